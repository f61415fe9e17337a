package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subsetSlack is how far above the mean the number of entries of one target may
// rise. A tighter bound balances better but moves more targets at each change.
const subsetSlack = 1.05

type pair struct {
	weight        uint64
	entry, target int
}

// Subset returns the size targets that one entry works on, sorted by name. All
// entries compute the same assignment from the same names: each pair of entry
// and target has a pseudo-random weight, and pairs are taken by weight until an
// entry has its size and a target its share of entries. A change of one name
// therefore moves few others. An entry that isn't among entries is added.
//
// The cost is that of sorting all pairs, so it is called at membership changes.
func Subset(entry string, entries, targets []string, size int) []string {
	targets = sortedUnique(targets)
	if size <= 0 || size >= len(targets) {
		return targets
	}
	entries = sortedUnique(append(slices.Clone(entries), entry))
	i, _ := slices.BinarySearch(entries, entry)
	return assign(entries, targets, size)[i]
}

func sortedUnique(names []string) []string {
	s := slices.Clone(names)
	slices.Sort(s)
	return slices.Compact(s)
}

// assign returns the targets of each entry.
func assign(entries, targets []string, size int) [][]string {
	pairs := weighPairs(entries, targets)
	limit := int(subsetSlack*float64(len(entries)*size)/float64(len(targets))) + 1
	chosen := make([][]string, len(entries))
	taken := make([]int, len(targets))
	var left []pair
	for _, p := range pairs {
		if len(chosen[p.entry]) == size {
			continue
		}
		if taken[p.target] >= limit {
			left = append(left, p)
			continue
		}
		taken[p.target]++
		chosen[p.entry] = append(chosen[p.entry], targets[p.target])
	}
	// An entry that met only full targets takes them all the same.
	for _, p := range left {
		if len(chosen[p.entry]) < size {
			chosen[p.entry] = append(chosen[p.entry], targets[p.target])
		}
	}
	for _, c := range chosen {
		slices.Sort(c)
	}
	return chosen
}

func weighPairs(entries, targets []string) []pair {
	hashes := make([]uint64, len(targets))
	for j, t := range targets {
		hashes[j] = xxhash.Sum64String(t)
	}
	pairs := make([]pair, 0, len(entries)*len(targets))
	for i, e := range entries {
		h := xxhash.Sum64String(e)
		for j := range targets {
			pairs = append(pairs, pair{mix(h ^ hashes[j]), i, j})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.entry, b.entry), cmp.Compare(a.target, b.target))
	})
	return pairs
}

// mix is the finalizer of splitmix64. It makes weights of similar hashes unrelated.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
