package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pairBits are the low bits of a weighed pair that hold its index; the others
// hold its weight. They suffice for 16 million pairs of entry and target.
const pairBits = 24

// Subset returns the size targets that one entry works on, sorted by name. All
// entries compute the same assignment from the same names: each pair of entry
// and target has a pseudo-random weight, and pairs are taken by weight until an
// entry has its size and a target its share of entries. Targets therefore differ
// by few entries, and a change of one name moves few others. An entry that isn't
// among entries is added.
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

// assign returns the targets of each entry. It first fills each target up to the
// mean rounded down, then up to one more. What is still open after that is open
// only because an entry has the targets with room already.
func assign(entries, targets []string, size int) [][]string {
	pairs := weighPairs(entries, targets)
	mean := len(entries) * size / len(targets)
	chosen := make([][]string, len(entries))
	taken := make([]int, len(targets))
	for _, limit := range []int{mean, mean + 1, len(entries)} {
		left := pairs[:0]
		for _, p := range pairs {
			i := int(p&(1<<pairBits-1)) / len(targets)
			j := int(p&(1<<pairBits-1)) % len(targets)
			switch {
			case len(chosen[i]) == size:
			case taken[j] >= limit:
				left = append(left, p)
			default:
				taken[j]++
				chosen[i] = append(chosen[i], targets[j])
			}
		}
		pairs = left
	}
	for _, c := range chosen {
		slices.Sort(c)
	}
	return chosen
}

// weighPairs returns all pairs of entry and target by weight.
func weighPairs(entries, targets []string) []uint64 {
	hashes := make([]uint64, len(targets))
	for j, t := range targets {
		hashes[j] = xxhash.Sum64String(t)
	}
	pairs := make([]uint64, 0, len(entries)*len(targets))
	for _, e := range entries {
		h := mix(xxhash.Sum64String(e))
		for j := range targets {
			pairs = append(pairs, mix(h^hashes[j])<<pairBits|uint64(len(pairs)))
		}
	}
	slices.Sort(pairs)
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
