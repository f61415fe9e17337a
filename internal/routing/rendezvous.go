package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rendezvousFactor and rendezvousSpare bound the load of a target that is
	// chosen by a hash: the factor times the pool's mean and some calls more. A
	// prefix with much of the traffic spills over to the next target in its order.
	rendezvousFactor = 1.5
	rendezvousSpare  = 3.0
	// rendezvousCost is how much dearer than an ordinary target it may be.
	rendezvousCost = 2.0
)

// rendezvous returns the first target in the order of the prefix's hash that is
// not loaded far above the mean. All entries have the same order, so that the
// requests that share a prefix meet at one target wherever they come in.
func (p *Pool) rendezvous(from []*target, r Request, now time.Time) (chosen *target, alternative string) {
	total := 0.0
	for _, t := range from {
		total += t.load(p.meanOthers, now)
	}
	bound := rendezvousFactor*total/float64(max(len(from), 1)) + rendezvousSpare
	var best, fallback *target
	var bestHash, fallbackHash uint64
	for _, t := range from {
		if excluded(r, t) {
			continue
		}
		h := pairHash(r.Prefix, t.Name)
		if fallback == nil || h > fallbackHash {
			fallback, fallbackHash = t, h
		}
		if t.load(p.meanOthers, now) > bound || p.cost(t) > rendezvousCost*max(p.median, minSlowness) {
			continue
		}
		if best == nil || h > bestHash {
			best, bestHash = t, h
		}
	}
	if best == nil {
		return fallback, ""
	}
	if best != fallback {
		alternative = fallback.Name
	}
	return best, alternative
}

// pairHash orders the targets for a prefix.
func pairHash(prefix, target string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(prefix)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(target)
	return d.Sum64()
}

// Home returns the failure domain of the target that a request with the prefix
// would be sent to now.
func (p *Pool) Home(prefix string, now time.Time) (domain string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, found := p.groups[""]
	if !found || prefix == "" {
		return "", false
	}
	t, _ := p.rendezvous(g.all, Request{Prefix: prefix}, now)
	if t == nil {
		return "", false
	}
	return t.FailureDomain, true
}
