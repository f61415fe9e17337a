package placement

import (
	"cmp"
	"slices"
	"time"
)

// Plan returns the orders to give now, the most urgent first: first copies, then
// second ones, then those in a second failure domain, then those for the demand.
// It never changes the state and gives the same orders for the same state.
func Plan(s *State, now time.Time) []Order {
	p := newPlanner(s, now)
	for copies := 1; copies <= MinCopies; copies++ {
		for _, n := range s.Needs {
			p.cover(n.Key, ReasonMinimum, func(c coverage) bool { return c.copies < copies })
		}
	}
	for _, n := range s.Needs {
		p.cover(n.Key, ReasonDomain, func(c coverage) bool { return len(c.domains) == 1 })
	}
	for _, n := range s.Needs {
		p.cover(n.Key, ReasonDemand, func(c coverage) bool { return c.copies < n.Copies })
	}
	// A copy that is unloaded makes room for another; until that is loaded, an
	// idle engine could take the wrong one.
	if !p.unloading() {
		p.fillIdle()
	}
	return p.orders
}

// slot is an engine as it will be once the orders in flight and the planned
// ones have taken effect.
type slot struct {
	*Engine
	models []string
	// busy is set while an order is in flight or planned: an engine gets one at a time.
	busy bool
	// reserved is the model that an unload on this engine makes room for.
	reserved string
}

func (e *slot) will(model string) bool {
	return e.reserved == model && model != "" || slices.Contains(e.models, model)
}

// planner holds the state of one call of Plan.
type planner struct {
	s      *State
	now    time.Time
	limits Limits
	slots  []*slot // by name
	budget int64   // bytes per second that further loads may read
	orders []Order
}

func newPlanner(s *State, now time.Time) *planner {
	p := &planner{s: s, now: now, limits: s.Limits.withDefaults()}
	p.budget = p.limits.ReadRate
	byName := make(map[string]*slot, len(s.Engines))
	for i := range s.Engines {
		e := &slot{Engine: &s.Engines[i], models: slices.Clone(s.Engines[i].Models)}
		p.slots = append(p.slots, e)
		byName[e.Name] = e
	}
	slices.SortFunc(p.slots, func(a, b *slot) int { return cmp.Compare(a.Name, b.Name) })
	for _, o := range s.Orders {
		if o.Reading {
			p.budget -= p.limits.EngineReadRate
		}
		if e := byName[o.Engine]; e != nil {
			e.apply(o.Order)
		}
	}
	return p
}

// apply notes an order as if it had taken effect.
func (e *slot) apply(o Order) {
	e.busy = true
	if o.Action == Unload {
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
		e.reserved = o.For
		return
	}
	if !slices.Contains(e.models, o.Model) {
		e.models = append(e.models, o.Model)
	}
}

func (p *planner) give(e *slot, o Order) {
	o.Engine, o.Address, o.Service = e.Name, e.Address, e.Service
	p.orders = append(p.orders, o)
	if o.Action == Load {
		p.budget -= p.limits.EngineReadRate
	}
	e.apply(o)
}

// coverage is how a model is spread over the usable engines of a service.
type coverage struct {
	copies  int
	domains map[string]int
}

func (p *planner) coverage(k Key) coverage {
	c := coverage{domains: make(map[string]int)}
	for _, e := range p.slots {
		if e.Usable && e.Service == k.Service && e.will(k.Model) {
			c.copies++
			c.domains[e.Domain]++
		}
	}
	return c
}

// cover orders loads of a model while it lacks copies and engines take them.
func (p *planner) cover(k Key, r Reason, lacks func(coverage) bool) {
	for {
		c := p.coverage(k)
		if !lacks(c) || p.budget < p.limits.EngineReadRate || !p.mayTry(k.Model) {
			return
		}
		accept := func(e *slot) bool { return r != ReasonDomain || c.domains[e.Domain] == 0 }
		if e := p.choose(k, c, accept); e != nil {
			p.give(e, Order{Action: Load, Model: k.Model, Reason: r})
			continue
		}
		// An engine that has room once its order in flight is done is worth the
		// wait: a copy that is unloaded too early may have to be loaded again.
		if slices.ContainsFunc(p.slots, func(e *slot) bool { return accept(e) && e.busy && p.suits(e, k) && p.fits(e, k.Model) }) {
			return
		}
		e := p.chooseToEmpty(k, c, accept)
		if e == nil {
			return
		}
		p.makeRoom(e, k)
	}
}

func (p *planner) mayTry(model string) bool {
	return p.s.FailedModels[model].over(p.now, modelRetryFirst, modelRetryMost)
}

// suits reports whether an engine may be given a load of the model, apart from
// memory and the order in flight.
func (p *planner) suits(e *slot, k Key) bool {
	return e.Usable && e.Service == k.Service && !e.will(k.Model) &&
		p.s.Failed[Copy{Engine: e.Name, Model: k.Model}].over(p.now, retryFirst, retryMost)
}

// takes reports whether an engine may be given a load of the model now, apart from memory.
func (p *planner) takes(e *slot, k Key) bool { return !e.busy && p.suits(e, k) }

func (p *planner) used(e *slot) int64 {
	var sum int64
	for _, m := range e.models {
		sum += p.s.Sizes[m]
	}
	return sum
}

func (p *planner) fits(e *slot, model string) bool {
	return p.limits.EngineMemory == 0 || p.used(e)+p.s.Sizes[model] <= p.limits.EngineMemory
}

// choose returns the engine for the next copy: in the failure domain with the
// fewest copies, then with the fewest models, then the first by name.
func (p *planner) choose(k Key, c coverage, accept func(*slot) bool) *slot {
	var best *slot
	for _, e := range p.slots {
		if !p.takes(e, k) || !p.fits(e, k.Model) || !accept(e) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.domains[e.Domain], c.domains[best.Domain]), cmp.Compare(len(e.models), len(best.models))) < 0 {
			best = e
		}
	}
	return best
}

// room returns the first surplus copy to unload, one that no stage needs if there
// is any, when the model fits on the engine without all surplus copies. Further
// copies go once the first is gone.
func (p *planner) room(e *slot, k Key) (first string, ok bool) {
	if !p.takes(e, k) || p.fits(e, k.Model) {
		return "", false
	}
	excess := p.used(e) + p.s.Sizes[k.Model] - p.limits.EngineMemory
	for _, m := range e.models {
		if !p.isSurplus(e, m) {
			continue
		}
		excess -= p.s.Sizes[m]
		if first == "" || p.needed(e, first) && !p.needed(e, m) {
			first = m
		}
	}
	return first, first != "" && excess <= 0
}

// chooseToEmpty returns the engine that makes room: one in a second failure
// domain, then one that serves nothing, then the first by name.
func (p *planner) chooseToEmpty(k Key, c coverage, accept func(*slot) bool) *slot {
	rank := func(e *slot) (n int) {
		if c.domains[e.Domain] > 0 && len(c.domains) == 1 {
			n += 2
		}
		if p.serves(e) {
			n++
		}
		return n
	}
	var best *slot
	for _, e := range p.slots {
		if _, ok := p.room(e, k); ok && accept(e) && (best == nil || rank(e) < rank(best)) {
			best = e
		}
	}
	return best
}

// makeRoom orders the unload that room returns.
func (p *planner) makeRoom(e *slot, k Key) {
	if first, ok := p.room(e, k); ok {
		p.give(e, Order{Action: Unload, Model: first, Reason: ReasonMemory, For: k.Model})
	}
}

// present is the coverage by copies that are loaded now and not about to go.
// Loads in flight don't count, because they may fail.
func (p *planner) present(k Key) coverage {
	c := coverage{domains: make(map[string]int)}
	for _, e := range p.slots {
		if e.Usable && e.Service == k.Service && e.has(k.Model) && slices.Contains(e.models, k.Model) {
			c.copies++
			c.domains[e.Domain]++
		}
	}
	return c
}

// isSurplus reports whether the copy on e may go: it was loaded for the quiet
// time, and the copies that remain are those wanted, at least MinCopies when a
// stage needs the model, and in no fewer than two failure domains when they are now.
func (p *planner) isSurplus(e *slot, model string) bool {
	k := Key{Service: e.Service, Model: model}
	if _, declared := p.s.Sizes[model]; !declared {
		return false
	}
	since, seen := p.s.Since[Copy{Engine: e.Name, Model: model}]
	if !seen || p.now.Sub(since) < p.limits.QuietTime {
		return false
	}
	wanted, held := p.s.Wanted[k]
	if !held {
		return !p.isNeeded(k)
	}
	c := p.present(k)
	if c.copies-1 < max(wanted, MinCopies) {
		return false
	}
	return len(c.domains) < 2 || len(c.domains) > 2 || c.domains[e.Domain] > 1
}

func (p *planner) isNeeded(k Key) bool {
	return slices.ContainsFunc(p.s.Needs, func(n Need) bool { return n.Key == k })
}

// unloading reports whether an unload is in flight or planned.
func (p *planner) unloading() bool {
	return slices.ContainsFunc(p.slots, func(e *slot) bool { return e.reserved != "" })
}

// fillIdle gives each engine that holds no needed model the one of its service
// that has the fewest copies for its demand, among those that fit if there are any.
func (p *planner) fillIdle() {
	for _, e := range p.slots {
		if p.budget < p.limits.EngineReadRate {
			return
		}
		if e.reserved != "" || p.serves(e) {
			continue
		}
		if k, ok := p.scarcest(e, func(k Key) bool { return p.fits(e, k.Model) }); ok {
			p.give(e, Order{Action: Load, Model: k.Model, Reason: ReasonIdle})
			continue
		}
		if k, ok := p.scarcest(e, func(k Key) bool { _, ok := p.room(e, k); return ok }); ok {
			p.makeRoom(e, k)
		}
	}
}

// serves reports whether the engine holds, or is to get, a needed model.
func (p *planner) serves(e *slot) bool {
	return slices.ContainsFunc(e.models, func(m string) bool { return p.needed(e, m) })
}

func (p *planner) needed(e *slot, model string) bool {
	return p.isNeeded(Key{Service: e.Service, Model: model})
}

func (p *planner) scarcest(e *slot, accept func(Key) bool) (best Key, found bool) {
	least := 0.0
	for _, n := range p.s.Needs {
		if !p.takes(e, n.Key) || !p.mayTry(n.Model) || !accept(n.Key) {
			continue
		}
		share := float64(p.coverage(n.Key).copies) / float64(max(n.Copies, MinCopies))
		if !found || share < least {
			best, least, found = n.Key, share, true
		}
	}
	return best, found
}
