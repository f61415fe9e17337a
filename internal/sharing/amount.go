package sharing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minConcurrent lets every entry run one call of a customer, even if more
	// entries serve the customer than its limit has concurrent calls.
	minConcurrent = 1
	// minRate keeps a share from being 0, which would mean unlimited. It is the
	// lowest rate that a manifest accepts, in requests per second.
	minRate = 0.001
)

// Amount is a part of a customer's limits, or a demand for one.
type Amount struct {
	Concurrent int
	Rate       float64 // requests per second
}

// Fallback is the share of an entry without a grant.
func Fallback(limit Amount, ready int) Amount {
	ready = max(ready, 1)
	return atLeastMinimum(Amount{Concurrent: limit.Concurrent / ready, Rate: limit.Rate / float64(ready)})
}

func atLeastMinimum(a Amount) Amount {
	return Amount{Concurrent: max(a.Concurrent, minConcurrent), Rate: max(a.Rate, minRate)}
}

func (a Amount) min(b Amount) Amount {
	return Amount{Concurrent: min(a.Concurrent, b.Concurrent), Rate: min(a.Rate, b.Rate)}
}

func (a Amount) max(b Amount) Amount {
	return Amount{Concurrent: max(a.Concurrent, b.Concurrent), Rate: max(a.Rate, b.Rate)}
}

func (a Amount) plus(b Amount) Amount {
	return Amount{Concurrent: a.Concurrent + b.Concurrent, Rate: a.Rate + b.Rate}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{Concurrent: a.Concurrent - b.Concurrent, Rate: a.Rate - b.Rate}
}

// Owner returns the allocator of a customer among the entries, by rendezvous
// hashing: when an entry is added or removed, only its own customers move. It
// returns "" when there is no entry.
func Owner(customer string, entries []string) string {
	var owner string
	var best uint64
	h := xxhash.New()
	for _, name := range entries {
		h.Reset()
		_, _ = h.WriteString(customer)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(name)
		weight := h.Sum64()
		if owner == "" || weight > best || weight == best && name < owner {
			owner, best = name, weight
		}
	}
	return owner
}

// Divide returns the shares of a limit by demand, in the order of the demands.
// They are max-min fair: no entry gets less than its demand while another gets
// more than an equal part. Unused capacity is divided equally. The calls that
// remain after rounding go to the first entries.
func Divide(limit Amount, demands []Amount) []Amount {
	calls := make([]float64, len(demands))
	rates := make([]float64, len(demands))
	for i, d := range demands {
		calls[i], rates[i] = float64(d.Concurrent), d.Rate
	}
	calls, rates = maxMinFair(float64(limit.Concurrent), calls), maxMinFair(limit.Rate, rates)
	left := limit.Concurrent
	out := make([]Amount, len(demands))
	for i := range demands {
		// Sums of fractions such as 1/3 are below an integer by a rounding error.
		whole := int(math.Floor(calls[i] + 1e-6))
		out[i] = Amount{Concurrent: whole, Rate: rates[i]}
		left -= whole
	}
	for i := 0; i < len(out) && left > 0; i++ {
		out[i].Concurrent++
		left--
	}
	return out
}

func maxMinFair(limit float64, demands []float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[a], demands[b]) })
	shares := make([]float64, len(demands))
	left := limit
	for n, i := range order {
		shares[i] = min(demands[i], left/float64(len(order)-n))
		left -= shares[i]
	}
	for i := range shares {
		shares[i] += max(left, 0) / float64(len(shares))
	}
	return shares
}
