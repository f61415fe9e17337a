package routing

import (
	"slices"
	"time"
)

const (
	// choices is the number of random targets compared, each from the own
	// failure domain and from all. Two avoid that entries with the same stale
	// reports all choose the same target.
	choices = 2
	// preferredUse is the share of its slots up to which a target of the own
	// failure domain or with a cached prefix is preferred. Above it, queueing
	// could cost more than the preference saves.
	preferredUse = 0.8
	// preferredSlowness is how much slower a preferred target may be.
	preferredSlowness = 1.25
	// scoreTie is the relative difference below which scores count as equal.
	// Otherwise an idle pool would never again choose a target whose averages
	// are a trace above the others'.
	scoreTie = 0.1
	// probeRetry is the time until the next search for a target to probe, when
	// the last call was not suitable. It bounds the cost of the search.
	probeRetry = 50 * time.Millisecond
)

// Request describes the call that needs a target.
type Request struct {
	Model  string // model that the target must serve; any when empty
	Prefix string // prompt prefix; none when empty
	// Rendezvous chooses the target by a hash of the prefix, which is the same at
	// all entries, in the place of what this entry learned of prompt caches.
	Rendezvous bool
	// DomainWeights says how much of the prefixes the targets of each failure domain
	// take, with Rendezvous; all the same when nil.
	DomainWeights map[string]float64
	// OneVersion restricts the choice to targets that run the version Software, because the call
	// continues what another target of that version has begun.
	OneVersion bool
	Software   string
	// Exclude names the targets already tried.
	Exclude []string
	// MayProbe tells that the call is idempotent and has time for a second
	// attempt, so that it may probe an ejected target.
	MayProbe bool
}

// Choice is a chosen target. It must be passed to Pool.Finish exactly once.
type Choice struct {
	Target        string
	Address       string
	Incarnation   string
	FailureDomain string
	Software      string
	Reason        Reason
	// Load is the estimated number of calls at the target, and Slots what it
	// can work on at the same time.
	Load  float64
	Slots float64
	// Compared is the best target not chosen; empty when there was none.
	RunnerUp string

	ref   *target
	epoch uint64
	probe bool
	sent  uint64 // of the target's ramp
	begun bool   // the answer has begun
}

// Pick chooses a target and counts the call as in flight there. It allocates
// nothing unless it fails; the error is a *NoTargetError.
func (p *Pool) Pick(r Request, now time.Time) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var c Choice
	switch p.policy.(type) {
	case Baseline:
		c = p.pickBaseline(r, now)
	default:
		c = p.pickAdaptive(r, now)
	}
	if c.ref == nil {
		return Choice{}, p.shortage(r, now)
	}
	return p.commit(c, r, now), nil
}

// commit counts the call and completes the Choice.
func (p *Pool) commit(c Choice, r Request, now time.Time) Choice {
	t := c.ref
	c.Target = t.Name
	c.Address = t.Address
	c.Incarnation = t.Incarnation
	c.FailureDomain = t.FailureDomain
	c.Software = t.Software
	c.Load = t.load(p.meanOthers, now)
	c.Slots = t.slots
	c.epoch = t.epoch
	t.count(1, now)
	if t.Pacer != nil {
		t.Pacer.Take(now)
	}
	if t.Ramp != nil {
		c.sent = t.Ramp.Sent(now)
	}
	if _, ok := p.policy.(Adaptive); ok && r.Prefix != "" && !r.Rendezvous {
		// The target holds the prefix once it has begun the call. Learning it
		// here keeps a burst with the same prefix together.
		p.affinity.store(r.Prefix, t, now, now)
	}
	return c
}

func (p *Pool) pickBaseline(r Request, now time.Time) Choice {
	g, ok := p.groups[r.Model]
	if !ok {
		return Choice{}
	}
	for range g.all {
		p.next++
		t := g.all[p.next%uint64(len(g.all))]
		if !excluded(r, t, now) {
			return Choice{ref: t, Reason: ReasonRoundRobin}
		}
	}
	return Choice{}
}

// excluded reports whether a target doesn't get a call: it was tried before, runs another version
// than the call needs, or takes none just now.
func excluded(r Request, t *target, now time.Time) bool {
	return r.otherVersion(t) || slices.Contains(r.Exclude, t.Name) || t.isPaced(now)
}

// otherVersion reports whether a target runs another version than the call needs.
func (r Request) otherVersion(t *target) bool { return r.OneVersion && t.Software != r.Software }

// candidate is a target with its score; lower is better.
type candidate struct {
	t     *target
	score float64
}

func (p *Pool) pickAdaptive(r Request, now time.Time) Choice {
	if t := p.dueProbe(r, now); t != nil {
		t.health.probing = true
		return Choice{ref: t, Reason: ReasonProbe, probe: true}
	}
	g, ok := p.groups[r.Model]
	if !ok {
		return p.pickEjected(r, now)
	}
	p.refreshShares(now)
	if r.Rendezvous && r.Prefix != "" {
		if t, alternative := p.rendezvous(g.all, r, now); t != nil {
			return Choice{ref: t, Reason: ReasonRendezvous, RunnerUp: alternative}
		}
	}
	best, second := p.sample(g.all, r, now)
	if best.t == nil {
		return p.pickEjected(r, now)
	}
	local, _ := p.sample(g.local, r, now)
	c := Choice{ref: best.t, Reason: ReasonLeastLoaded}
	if second.t == nil {
		c.Reason = ReasonOnlyCandidate
	} else {
		c.RunnerUp = second.t.Name
	}
	if local.t != nil && p.costsNothing(local, best, now) {
		c.Reason = ReasonLocalDomain
		if local.t != best.t {
			c.RunnerUp = best.t.Name
		}
		c.ref = local.t
		best = local
	}
	if holder := p.holder(r, best, now); holder != nil {
		if holder != best.t {
			c.RunnerUp = best.t.Name
		}
		c.ref = holder
		c.Reason = ReasonPrefixCached
	}
	return c
}

// pickEjected chooses the best ejected target for a call that needs one version, because the
// targets of other versions can't take its place.
func (p *Pool) pickEjected(r Request, now time.Time) Choice {
	var best candidate
	if !r.OneVersion {
		return Choice{}
	}
	for _, t := range p.order {
		if !t.available() || !t.serves(r.Model) || excluded(r, t, now) {
			continue
		}
		if c := (candidate{t, p.score(t, now)}); best.t == nil || c.score < best.score {
			best = c
		}
	}
	return Choice{ref: best.t, Reason: ReasonOnlyCandidate}
}

// costsNothing reports whether a preferred target is expected to answer as early
// as the best one: it scores no worse, or it has free slots and isn't slower.
func (p *Pool) costsNothing(preferred, best candidate, now time.Time) bool {
	if preferred.score <= best.score {
		return true
	}
	use := (preferred.t.shared(p.meanOthers, now) + 1) / preferred.t.slots
	return use <= preferredUse && p.cost(preferred.t) <= preferredSlowness*p.cost(best.t)
}

// usable reports whether a target may get the call.
func (p *Pool) usable(t *target, r Request, now time.Time) bool {
	return t.state() == StateUsable && t.serves(r.Model) && !excluded(r, t, now)
}

// cost is the target's latency relative to an ordinary target, raised by failures.
func (p *Pool) cost(t *target) float64 {
	slowness := t.slowness
	if t.warming {
		slowness = min(slowness, p.median)
	}
	return max(p.unexplained(slowness, t.speed), minSlowness) * (1 + failurePenalty*t.failures)
}

// minSlowness keeps a zero latency sample from making a target free of cost.
const minSlowness = 1e-6

func (p *Pool) score(t *target, now time.Time) float64 {
	return p.cost(t) * (t.shared(p.meanOthers, now) + 1) / t.slots
}

// sample returns the best and the second best of a few random targets. When all
// of these are excluded, it searches on from a random place.
func (p *Pool) sample(from []*target, r Request, now time.Time) (best, second candidate) {
	if len(from) == 0 {
		return best, second
	}
	found := 0
	for range 2 * choices {
		t := from[p.rng.IntN(len(from))]
		if t == best.t || t == second.t || excluded(r, t, now) || t.share < 1 && p.rng.Float64() >= t.share {
			continue
		}
		best, second = rank(best, second, candidate{t, p.score(t, now)})
		if found++; found == choices {
			return best, second
		}
	}
	start := p.rng.IntN(len(from))
	for i := range from {
		t := from[(start+i)%len(from)]
		// A target that warms up was passed over above, unless there is no other one.
		if t == best.t || t == second.t || excluded(r, t, now) || t.share < 1 && best.t != nil {
			continue
		}
		best, second = rank(best, second, candidate{t, p.score(t, now)})
		if found++; found == choices {
			break
		}
	}
	return best, second
}

// rank adds a candidate. Scores that differ by less than scoreTie count as equal,
// and the earlier one, which is random, stays.
func rank(best, second, c candidate) (candidate, candidate) {
	switch {
	case best.t == nil || c.score < (1-scoreTie)*best.score:
		return c, best
	case second.t == nil || c.score < second.score:
		return best, c
	}
	return best, second
}

// dueProbe returns an ejected target whose ejection time is over, if the call
// may probe it. After a further ejection time any call may, because a service
// whose calls are never idempotent would otherwise lose the target for good.
func (p *Pool) dueProbe(r Request, now time.Time) *target {
	if p.ejected == 0 || now.Before(p.nextProbe) {
		return nil
	}
	next := now.Add(probeRetry)
	for _, t := range p.order {
		h := &t.health
		if !h.ejected || h.probing || !t.available() || !t.serves(r.Model) || excluded(r, t, now) {
			continue
		}
		due := h.until
		if !r.MayProbe {
			due = due.Add(h.duration(p.health))
		}
		if !now.Before(due) {
			return t
		}
	}
	p.nextProbe = next
	return nil
}

// shortage explains why nothing fits.
func (p *Pool) shortage(r Request, now time.Time) error {
	e := &NoTargetError{service: p.service, model: r.Model, oneVersion: r.OneVersion, software: r.Software, known: len(p.order)}
	for _, t := range p.order {
		if !t.serves(r.Model) {
			e.noModel++
			continue
		}
		if r.otherVersion(t) {
			e.otherVersion++
			continue
		}
		switch t.state() {
		case StateDraining:
			e.leaving++
		case StateHeartbeatTimedOut:
			e.silent++
		case StateNotReady:
			e.notReady++
		case StatePaused:
			e.paused++
		case StateEvacuated:
			e.evacuated++
		case StateEjected:
			e.ejected++
		case StateUsable:
			if t.isPaced(now) && !slices.Contains(r.Exclude, t.Name) {
				e.limited++
			} else {
				e.excluded++
			}
		}
	}
	e.classify()
	return e
}
