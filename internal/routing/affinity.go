package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixSets and prefixWays bound the remembered prefixes of one pool to
	// 16,384, in about 1.5 MB.
	prefixSets = 4096
	prefixWays = 4
	// prefixHolders is the number of targets remembered for one prefix. A prefix
	// too busy for that many is cached almost everywhere.
	prefixHolders = 3
	// prefixSaving is the part of a call's cost that a cached prefix is assumed
	// to save when it is weighed against a less loaded target.
	prefixSaving = 0.4
	// prefixHalfLife is how fast confidence in an unconfirmed holder falls,
	// because targets evict prefixes that aren't used.
	prefixHalfLife = 2 * time.Minute
	// gapConfidence scales the confidence in holders whose target lost events
	// since: an eviction may be among the lost ones.
	gapConfidence = 0.5
	// minConfidence is the confidence below which a holder is no candidate.
	minConfidence = 0.1
)

// CacheEvent is one change of a target's prompt cache.
type CacheEvent struct {
	Prefix  string
	Evicted bool          // stored otherwise
	Age     time.Duration // since the change
}

// affinity remembers which targets are likely to hold which prompt prefix. It
// is a table of fixed size with replacement by age, so that learning from a
// dispatch allocates nothing. Prefixes are known by their hash; a collision
// costs one worse choice.
type affinity struct {
	sets [][prefixWays]prefixEntry // allocated with the first prefix
}

type prefixEntry struct {
	hash    uint64
	used    time.Time
	holders [prefixHolders]prefixHolder
}

type prefixHolder struct {
	t     *target
	epoch uint64
	at    time.Time // last confirmation
}

func (h *prefixHolder) valid() bool {
	return h.t != nil && h.t.epoch == h.epoch
}

// confidence is the assumed probability that the target still holds the prefix.
func (h *prefixHolder) confidence(now time.Time) float64 {
	c := math.Exp2(-max(now.Sub(h.at), 0).Seconds() / prefixHalfLife.Seconds())
	if h.at.Before(h.t.cacheGap) {
		c *= gapConfidence
	}
	return c
}

func (a *affinity) set(hash uint64) *[prefixWays]prefixEntry {
	if a.sets == nil {
		a.sets = make([][prefixWays]prefixEntry, prefixSets)
	}
	return &a.sets[hash%prefixSets]
}

// find returns the entry of a prefix, or nil.
func (a *affinity) find(hash uint64) *prefixEntry {
	set := a.set(hash)
	for i := range set {
		if set[i].hash == hash {
			return &set[i]
		}
	}
	return nil
}

// store notes that a target holds a prefix. It replaces the entry used least
// recently and in it the holder confirmed least recently.
func (a *affinity) store(prefix string, t *target, at, now time.Time) {
	hash := xxhash.Sum64String(prefix)
	e := a.find(hash)
	if e == nil {
		e = oldestEntry(a.set(hash))
		*e = prefixEntry{hash: hash}
	}
	e.used = now
	h := e.slot(t)
	if h.t != t || h.epoch != t.epoch || h.at.Before(at) {
		*h = prefixHolder{t: t, epoch: t.epoch, at: at}
	}
}

func oldestEntry(set *[prefixWays]prefixEntry) *prefixEntry {
	oldest := &set[0]
	for i := range set[1:] {
		if e := &set[i+1]; e.used.Before(oldest.used) {
			oldest = e
		}
	}
	return oldest
}

// slot returns the holder for a target: its own, or the one to be replaced.
func (e *prefixEntry) slot(t *target) *prefixHolder {
	oldest := &e.holders[0]
	for i := range e.holders {
		h := &e.holders[i]
		if h.t == t {
			return h
		}
		if !h.valid() || (oldest.valid() && h.at.Before(oldest.at)) {
			oldest = h
		}
	}
	return oldest
}

// evict forgets a holder unless it was confirmed after the eviction.
func (a *affinity) evict(prefix string, t *target, at time.Time) {
	e := a.find(xxhash.Sum64String(prefix))
	if e == nil {
		return
	}
	for i := range e.holders {
		if h := &e.holders[i]; h.t == t && !h.at.After(at) {
			*h = prefixHolder{}
		}
	}
}

// holder returns a target that likely holds the prefix and serves the call no
// later than the best other candidate, or nil.
func (p *Pool) holder(r Request, best candidate, now time.Time) *target {
	if r.Prefix == "" {
		return nil
	}
	e := p.affinity.find(xxhash.Sum64String(r.Prefix))
	if e == nil {
		return nil
	}
	var chosen candidate
	for i := range e.holders {
		h := &e.holders[i]
		if !h.valid() || !p.usable(h.t, r, now) {
			continue
		}
		confidence := h.confidence(now)
		if confidence < minConfidence {
			continue
		}
		c := candidate{h.t, p.score(h.t, now) * (1 - prefixSaving*confidence)}
		if (chosen.t == nil || c.score < chosen.score) && p.costsNothing(c, best, now) {
			chosen = c
		}
	}
	return chosen.t
}

// CacheEvents learns from events of a target's prompt cache. The first event
// has the given sequence number and the others follow it; a jump of the number
// tells that events were lost. Unknown targets are ignored.
func (p *Pool) CacheEvents(name string, first uint64, events []CacheEvent, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[name]
	if !ok {
		return
	}
	if first != t.cacheNext {
		t.cacheGap = now
	}
	t.cacheNext = first + uint64(len(events))
	for _, e := range events {
		at := now.Add(-e.Age)
		if e.Evicted {
			p.affinity.evict(e.Prefix, t, at)
			continue
		}
		p.affinity.store(e.Prefix, t, at, now)
	}
}
