package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// TickPeriod is how often Tick should be called.
const TickPeriod = 250 * time.Millisecond

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
	// poolFailureWeight is the weight of one call in the pool's failure average.
	poolFailureWeight = 0.01
)

// Options configures a Pool. Zero fields take the defaults.
type Options struct {
	Service       string
	FailureDomain string // of this entry
	Policy        Policy // Adaptive when nil
	Seed          uint64 // of the random choices
	Health        HealthOptions
}

// Request describes the call that needs a target.
type Request struct {
	Model  string // model that the target must serve; any when empty
	Prefix string // prompt prefix; none when empty
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
	Reason        Reason
	// Load is the estimated number of calls at the target, and Slots what it
	// can work on at the same time.
	Load  float64
	Slots float64
	// Compared is the best target not chosen; empty when there was none.
	Compared string

	ref   *target
	epoch uint64
	probe bool
}

// group holds the usable targets that serve one model.
type group struct {
	all   []*target
	local []*target
}

// Pool holds what this entry knows of the targets of one service.
type Pool struct {
	mu      sync.Mutex
	service string
	domain  string
	policy  Policy
	rng     *rand.Rand
	health  HealthOptions

	targets    map[string]*target
	order      []*target // by name
	groups     map[string]*group
	available  int
	ejected    int
	nextProbe  time.Time
	next       uint64 // round robin position
	median     float64
	meanOthers float64
	failures   float64 // share of failed calls, averaged over all targets
	affinity   affinity
	scratch    []*target
}

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	if o.Policy == nil {
		o.Policy = Adaptive{}
	}
	return &Pool{
		service: o.Service,
		domain:  o.FailureDomain,
		policy:  o.Policy,
		rng:     rand.New(rand.NewPCG(o.Seed, 0)),
		health:  o.Health.withDefaults(),
		targets: map[string]*target{},
		groups:  map[string]*group{},
		median:  1,
	}
}

// Sync replaces the membership: new targets are added, changed ones updated and
// missing ones removed.
func (p *Pool) Sync(targets []Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]bool, len(targets))
	for _, t := range targets {
		known[t.Name] = true
		p.upsert(t, now)
	}
	for name := range p.targets {
		if !known[name] {
			p.remove(name)
		}
	}
	p.changed(now)
}

// Upsert adds one target or updates it.
func (p *Pool) Upsert(t Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upsert(t, now)
	p.changed(now)
}

// Remove forgets a target. Choices of it that are still in flight are ignored
// when they finish.
func (p *Pool) Remove(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(name)
	p.changed(now)
}

func (p *Pool) upsert(d Target, now time.Time) {
	t, ok := p.targets[d.Name]
	if !ok {
		t = newTarget(d, now)
		t.slowness = p.median
		p.targets[d.Name] = t
		i, _ := slices.BinarySearchFunc(p.order, d.Name, compareName)
		p.order = slices.Insert(p.order, i, t)
		return
	}
	if t.Incarnation != d.Incarnation {
		t.reset()
		t.slowness = p.median
	}
	t.describe(d)
}

func (p *Pool) remove(name string) {
	t, ok := p.targets[name]
	if !ok {
		return
	}
	t.epoch++
	t.inFlight = 0
	delete(p.targets, name)
	i, _ := slices.BinarySearchFunc(p.order, name, compareName)
	p.order = slices.Delete(p.order, i, i+1)
}

func compareName(t *target, name string) int { return strings.Compare(t.Name, name) }

// changed brings the derived state up to date after a membership change.
func (p *Pool) changed(now time.Time) {
	p.tally()
	p.enforceCap(now)
	p.rebuild()
}

func (p *Pool) tally() {
	p.available = 0
	p.ejected = 0
	for _, t := range p.order {
		if !t.available() {
			continue
		}
		p.available++
		if t.health.ejected {
			p.ejected++
		}
	}
}

// rebuild collects the usable targets by model, so that Pick needs no search.
func (p *Pool) rebuild() {
	p.tally()
	for _, g := range p.groups {
		clear(g.all)
		clear(g.local)
		g.all = g.all[:0]
		g.local = g.local[:0]
	}
	for _, t := range p.order {
		if !t.available() || t.health.ejected {
			continue
		}
		p.group("").add(t, p.domain)
		for _, m := range t.Models {
			p.group(m).add(t, p.domain)
		}
	}
	for m, g := range p.groups {
		if len(g.all) == 0 {
			delete(p.groups, m)
		}
	}
}

func (p *Pool) group(model string) *group {
	g, ok := p.groups[model]
	if !ok {
		g = &group{}
		p.groups[model] = g
	}
	return g
}

func (g *group) add(t *target, domain string) {
	g.all = append(g.all, t)
	if t.FailureDomain == domain {
		g.local = append(g.local, t)
	}
}

// Report records a load report of a target. Unknown targets are ignored.
func (p *Pool) Report(name string, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.targets[name]; ok {
		t.report(l, now)
	}
}

// Tick judges the targets' latencies and refreshes the means. It costs time in
// proportion to the pool and is called every TickPeriod.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetRefusals(now)
	p.refreshMeans()
	if _, ok := p.policy.(Adaptive); !ok {
		return
	}
	p.judge(now)
	for _, t := range p.order {
		t.relax(p.median)
	}
}

// forgetRefusals lets targets return whose refusal as leaving was not confirmed
// by membership, for instance because a drain was taken back at once.
func (p *Pool) forgetRefusals(now time.Time) {
	forgot := false
	for _, t := range p.order {
		if t.leaving && !t.Leaving && now.Sub(t.refused) >= leavingTime {
			t.leaving = false
			forgot = true
		}
	}
	if forgot {
		p.changed(now)
	}
}

func (p *Pool) refreshMeans() {
	p.meanOthers = 0
	for _, t := range p.order {
		if t.available() {
			p.meanOthers += t.others
		}
	}
	p.meanOthers /= float64(max(p.available, 1))
}

// Pick chooses a target and counts the call as in flight there. It allocates
// nothing unless it fails; the error is a *NoTargetError.
func (p *Pool) Pick(r Request, now time.Time) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var c Choice
	switch p.policy.(type) {
	case Baseline:
		c = p.pickBaseline(r)
	default:
		c = p.pickAdaptive(r, now)
	}
	if c.ref == nil {
		return Choice{}, p.shortage(r)
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
	c.Load = t.load(p.meanOthers, now)
	c.Slots = t.slots
	c.epoch = t.epoch
	t.count(1, now)
	if _, ok := p.policy.(Adaptive); ok && r.Prefix != "" {
		// The target holds the prefix once it has begun the call. Learning it
		// here keeps a burst with the same prefix together.
		p.affinity.store(r.Prefix, t, now, now)
	}
	return c
}

func (p *Pool) pickBaseline(r Request) Choice {
	g, ok := p.groups[r.Model]
	if !ok {
		return Choice{}
	}
	for range g.all {
		p.next++
		t := g.all[p.next%uint64(len(g.all))]
		if !excluded(r, t) {
			return Choice{ref: t, Reason: ReasonRoundRobin}
		}
	}
	return Choice{}
}

func excluded(r Request, t *target) bool {
	return slices.Contains(r.Exclude, t.Name)
}

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
		return Choice{}
	}
	best, second := p.sample(g.all, r, now)
	if best.t == nil {
		return Choice{}
	}
	local, _ := p.sample(g.local, r, now)
	c := Choice{ref: best.t, Reason: ReasonLeastLoaded}
	if second.t == nil {
		c.Reason = ReasonOnlyCandidate
	} else {
		c.Compared = second.t.Name
	}
	if local.t != nil && p.costsNothing(local, best, now) {
		c.Reason = ReasonLocalDomain
		if local.t != best.t {
			c.Compared = best.t.Name
		}
		c.ref = local.t
		best = local
	}
	if holder := p.holder(r, best, now); holder != nil {
		if holder != best.t {
			c.Compared = best.t.Name
		}
		c.ref = holder
		c.Reason = ReasonPrefixCached
	}
	return c
}

// costsNothing reports whether a preferred target is expected to answer as early
// as the best one: it scores no worse, or it has free slots and isn't slower.
func (p *Pool) costsNothing(preferred, best candidate, now time.Time) bool {
	if preferred.score <= best.score {
		return true
	}
	use := (preferred.t.load(p.meanOthers, now) + 1) / preferred.t.slots
	return use <= preferredUse && p.cost(preferred.t) <= preferredSlowness*p.cost(best.t)
}

// usable reports whether a target may get the call.
func (p *Pool) usable(t *target, r Request) bool {
	return t.state() == StateUsable && t.serves(r.Model) && !excluded(r, t)
}

// cost is the target's latency relative to an ordinary target, raised by failures.
func (p *Pool) cost(t *target) float64 {
	return max(t.slowness, minSlowness) * (1 + failurePenalty*t.failures)
}

// minSlowness keeps a zero latency sample from making a target free of cost.
const minSlowness = 1e-6

func (p *Pool) score(t *target, now time.Time) float64 {
	return p.cost(t) * (t.load(p.meanOthers, now) + 1) / t.slots
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
		if t == best.t || t == second.t || excluded(r, t) {
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
		if t == best.t || t == second.t || excluded(r, t) {
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
		if !h.ejected || h.probing || !t.available() || !t.serves(r.Model) || excluded(r, t) {
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

// Overdue reports that a call still runs after a time in which most calls have
// ended, for instance when it may be hedged. The target counts as that slow from
// then on, so that further calls avoid it before the first one times out.
func (p *Pool) Overdue(c Choice, ran, expected time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ref != nil && c.ref.epoch == c.epoch {
		c.ref.observeAtLeast(ran, expected)
	}
}

// Finish reports what became of a call. A Choice of a target that has left or
// restarted since is ignored.
func (p *Pool) Finish(c Choice, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := c.ref
	if t == nil || t.epoch != c.epoch {
		return
	}
	t.count(-1, now)
	p.learn(t, c.probe, o, now)
}

func (p *Pool) learn(t *target, probe bool, o Outcome, now time.Time) {
	switch o := o.(type) {
	case Success:
		outlier := t.observe(o) > p.health.Outlier*p.median
		t.health.consecutive = 0
		p.failures -= poolFailureWeight * p.failures
		if probe {
			p.probeDone(t, !outlier, now)
			return
		}
		p.judgeResult(t, outlier, now)
	case Failure:
		t.observeFailure()
		t.health.consecutive++
		p.failures += poolFailureWeight * (1 - p.failures)
		if probe {
			p.probeDone(t, false, now)
			return
		}
		p.judgeFailures(t, now)
	case Overloaded:
		t.others = max(t.others, t.slots)
		t.reportedAt = now
		p.probeOpen(t, probe, now)
	case Leaving:
		t.leaving = true
		t.refused = now
		p.changed(now)
	case Canceled:
		outlier := t.observeAtLeast(o.Ran, o.Expected) > p.health.Outlier*p.median
		switch {
		case !outlier:
			p.probeOpen(t, probe, now)
		case probe:
			p.probeDone(t, false, now)
		default:
			p.judgeResult(t, true, now)
		}
	case SilentConnection:
		p.probeOpen(t, probe, now)
	}
}

// shortage explains why nothing fits.
func (p *Pool) shortage(r Request) error {
	e := &NoTargetError{service: p.service, model: r.Model, known: len(p.order)}
	for _, t := range p.order {
		if !t.serves(r.Model) {
			e.noModel++
			continue
		}
		switch t.state() {
		case StateLeaving:
			e.leaving++
		case StateSilent:
			e.silent++
		case StateNotReady:
			e.notReady++
		case StateEjected:
			e.ejected++
		case StateUsable:
			e.excluded++
		}
	}
	e.classify()
	return e
}
