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

// poolFailureWeight is the weight of one call in the pool's failure average.
const poolFailureWeight = 0.01

// Options configures a Pool. Zero fields take the defaults.
type Options struct {
	Service       string
	FailureDomain string // of this entry
	Policy        Policy // Adaptive when nil
	Seed          uint64 // of the random choices
	Health        HealthOptions
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
	shared     int       // targets with a ramp or a speed
	sharesAt   time.Time // when the shares were last computed
	usual      float64   // latency over the expected one, averaged; 0 before the first answer
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
	p.noteReturns(now)
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

// ReportLoad records a load report of a target. Unknown targets are ignored.
func (p *Pool) ReportLoad(name string, l LoadReport, now time.Time) {
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
		if t.leaving && !t.Draining && now.Sub(t.refused) >= leavingTime {
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

// ReportOverdue reports that a call still runs after a time in which most calls have
// ended, for instance when it may be hedged. The target counts as that slow from
// then on, so that further calls avoid it before the first one times out.
func (p *Pool) ReportOverdue(c Choice, ran, expected time.Duration) {
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
	p.observe(t, c, o, now)
	p.learn(t, c.probe, o, now)
}

// PacedRate returns the calls a second that all usable targets together take from this entry, and
// false if one of them takes any number, or if there is none.
func (p *Pool) PacedRate(now time.Time) (perSecond float64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.order {
		if !t.available() || t.health.ejected {
			continue
		}
		if t.Pacer == nil {
			return 0, false
		}
		rate, limited := t.Pacer.Rate(now)
		if !limited {
			return 0, false
		}
		perSecond, ok = perSecond+rate, true
	}
	return perSecond, ok
}

// ReturnPlace gives back the place of a call that was chosen but not sent. The choice still has
// to be finished.
func (p *Pool) ReturnPlace(c Choice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := c.ref; t != nil && t.epoch == c.epoch && t.Pacer != nil {
		t.Pacer.Return(now)
	}
}

func (p *Pool) learn(t *target, probe bool, o Outcome, now time.Time) {
	switch o := o.(type) {
	case Success:
		outlier := t.observe(o) > p.health.LatencyOutlierFactor*p.median
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
	case Draining:
		t.leaving = true
		t.refused = now
		p.changed(now)
	case Canceled:
		outlier := t.observeAtLeast(o.Ran, o.Expected) > p.health.LatencyOutlierFactor*p.median
		switch {
		case !outlier:
			p.probeOpen(t, probe, now)
		case probe:
			p.probeDone(t, false, now)
		default:
			p.judgeResult(t, true, now)
		}
	case UnresponsiveConnection:
		p.probeOpen(t, probe, now)
	}
}
