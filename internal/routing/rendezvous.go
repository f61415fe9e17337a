package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rendezvousFactor and rendezvousSpare bound the load of a target that is
	// chosen by a hash: the factor times the pool's mean and some calls more. A
	// prefix with much of the traffic spills over to the next target in its order.
	rendezvousFactor = 2.0
	rendezvousSpare  = 6.0
	// rendezvousCost is how much dearer than an ordinary target it may be.
	rendezvousCost = 2.0
	// minDomainWeight keeps targets in use whose failure domain has no weight.
	minDomainWeight = 0.05
	// minShares keeps the bound finite in an empty pool.
	minShares = 1e-6
)

// rendezvous returns the first target in the order of the prefix's hash that is
// not loaded far above the mean. All entries have the same order, so that the
// requests that share a prefix meet at one target wherever they come in.
func (p *Pool) rendezvous(from []*target, r Request, now time.Time) (chosen *target, alternative string) {
	total, shares := 0.0, 0.0
	for _, t := range from {
		total += t.load(p.meanOthers, now)
		shares += t.share
	}
	bound := rendezvousFactor*total/max(shares, minShares) + rendezvousSpare
	var first, best candidate
	for _, t := range from {
		if excluded(r, t, now) {
			continue
		}
		c := candidate{t, pairScore(r, t)}
		first = higher(first, c)
		if t.load(p.meanOthers, now) <= t.share*bound && p.cost(t) <= rendezvousCost*max(p.median, minSlowness) {
			best = higher(best, c)
		}
	}
	if best.t == nil {
		return first.t, ""
	}
	if best.t != first.t {
		alternative = first.t.Name
	}
	return best.t, alternative
}

// higher returns the candidate with the higher score.
func higher(a, b candidate) candidate {
	if a.t == nil || b.score > a.score {
		return b
	}
	return a
}

// pairScore orders the targets for a prefix. With weights, a target is the first of
// a share of all prefixes that is in proportion to its weight.
func pairScore(r Request, t *target) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Prefix)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(t.Name)
	uniform := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	weight := 1.0
	if r.DomainWeights != nil {
		weight = max(r.DomainWeights[t.FailureDomain], minDomainWeight)
	}
	return -weight * t.share / math.Log(uniform)
}

// HomeDomain returns the failure domain of the target that a request would be sent to now
// by the hash of its prefix.
func (p *Pool) HomeDomain(r Request, now time.Time) (domain string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, found := p.groups[""]
	if !found || r.Prefix == "" {
		return "", false
	}
	p.refreshShares(now)
	t, _ := p.rendezvous(g.all, r, now)
	if t == nil {
		return "", false
	}
	return t.FailureDomain, true
}
