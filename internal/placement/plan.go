package placement

import (
	"cmp"
	"slices"
	"time"
)

// Plan returns the orders to issue now, the most urgent first: first copies, then
// second copies, then copies in a second failure domain, then copies for the
// demand. It does not modify the state and is deterministic.
func Plan(s *State, now time.Time) []Order {
	p := newPlanner(s, now)
	for copies := 1; copies <= MinCopies; copies++ {
		for _, n := range s.Needs {
			p.coverModel(n.Key, ReasonMinimum, func(c coverage) bool { return c.copies < copies })
		}
	}
	for _, n := range s.Needs {
		p.coverModel(n.Key, ReasonDomain, func(c coverage) bool { return len(c.domains) == 1 })
	}
	for _, n := range s.Needs {
		p.coverModel(n.Key, ReasonDemand, func(c coverage) bool { return c.copies < n.Copies })
	}
	// While an unload frees memory for another copy, idle engines aren't filled: until that
	// copy is loaded, an idle engine could get the wrong model.
	if !p.hasUnload() {
		p.fillIdle()
	}
	return p.orders
}

// engineSlot is the projected state of an engine after the orders in flight and the
// planned orders have taken effect.
type engineSlot struct {
	*Engine
	models []string
	// hasOrder is set while an order is in flight or planned: an engine gets one at
	// a time.
	hasOrder bool
	// reserved is the model for which an unload on this engine frees memory.
	reserved string
}

func (e *engineSlot) willHave(model string) bool {
	return e.reserved == model && model != "" || slices.Contains(e.models, model)
}

// planner is the state of one call of Plan.
type planner struct {
	s          *State
	now        time.Time
	limits     Limits
	slots      []*engineSlot // by name
	readBudget int64         // remaining read rate for further loads, in bytes per second
	orders     []Order
}

func newPlanner(s *State, now time.Time) *planner {
	p := &planner{s: s, now: now, limits: s.Limits.withDefaults()}
	p.readBudget = p.limits.ReadRate
	byName := make(map[string]*engineSlot, len(s.Engines))
	for i := range s.Engines {
		e := &engineSlot{Engine: &s.Engines[i], models: slices.Clone(s.Engines[i].Models)}
		p.slots = append(p.slots, e)
		byName[e.Name] = e
	}
	slices.SortFunc(p.slots, func(a, b *engineSlot) int { return cmp.Compare(a.Name, b.Name) })
	for _, o := range s.Orders {
		if o.Reading {
			p.readBudget -= p.limits.EngineReadRate
		}
		if e := byName[o.Engine]; e != nil {
			e.apply(o.Order)
		}
	}
	return p
}

// apply updates the projected state as if the order had taken effect.
func (e *engineSlot) apply(o Order) {
	e.hasOrder = true
	if o.Action == Unload {
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
		e.reserved = o.For
		return
	}
	if !slices.Contains(e.models, o.Model) {
		e.models = append(e.models, o.Model)
	}
}

func (p *planner) addOrder(e *engineSlot, o Order) {
	o.Engine, o.Address, o.Service = e.Name, e.Address, e.Service
	p.orders = append(p.orders, o)
	if o.Action == Load {
		p.readBudget -= p.limits.EngineReadRate
	}
	e.apply(o)
}

// coverage is the distribution of a model over the usable engines of a service.
type coverage struct {
	copies  int
	domains map[string]int
}

func (p *planner) coverage(k Key) coverage {
	c := coverage{domains: make(map[string]int)}
	for _, e := range p.slots {
		if e.Usable && e.Service == k.Service && e.willHave(k.Model) {
			c.copies++
			c.domains[e.Domain]++
		}
	}
	return c
}

// coverModel orders loads of a model while it lacks copies and there are engines for
// them.
func (p *planner) coverModel(k Key, r Reason, lacks func(coverage) bool) {
	for {
		c := p.coverage(k)
		if !lacks(c) || p.readBudget < p.limits.EngineReadRate || !p.retryDue(k.Model) {
			return
		}
		accept := func(e *engineSlot) bool { return r != ReasonDomain || c.domains[e.Domain] == 0 }
		if e := p.chooseEngine(k, c, accept); e != nil {
			p.addOrder(e, Order{Action: Load, Model: k.Model, Reason: r})
			continue
		}
		// If an engine has free memory once its order in flight is done, wait for
		// it: a copy that is unloaded too early may have to be loaded again.
		if slices.ContainsFunc(p.slots, func(e *engineSlot) bool {
			return accept(e) && e.hasOrder && p.isEligible(e, k) && p.hasMemory(e, k.Model)
		}) {
			return
		}
		e := p.chooseEviction(k, c, accept)
		if e == nil {
			return
		}
		p.freeMemory(e, k)
	}
}

func (p *planner) retryDue(model string) bool {
	return p.s.FailedModels[model].retryDue(p.now, modelRetryInitialBackoff, modelRetryMaxBackoff)
}

// isEligible reports whether an engine is eligible for a load of the model, ignoring
// memory and the order in flight.
func (p *planner) isEligible(e *engineSlot, k Key) bool {
	return e.Usable && e.Service == k.Service && !e.willHave(k.Model) &&
		p.s.Failed[Copy{Engine: e.Name, Model: k.Model}].retryDue(p.now, retryInitialBackoff, retryMaxBackoff)
}

// isAvailable reports whether an engine is eligible for a load of the model now,
// ignoring memory.
func (p *planner) isAvailable(e *engineSlot, k Key) bool { return !e.hasOrder && p.isEligible(e, k) }

func (p *planner) usedMemory(e *engineSlot) int64 {
	var sum int64
	for _, m := range e.models {
		sum += p.s.Sizes[m]
	}
	return sum
}

func (p *planner) hasMemory(e *engineSlot, model string) bool {
	return p.limits.EngineMemory == 0 || p.usedMemory(e)+p.s.Sizes[model] <= p.limits.EngineMemory
}

// chooseEngine returns the engine for the next copy: in the failure domain with the
// fewest copies, then with the fewest models, then the first by name. It returns
// nil if no engine is eligible.
func (p *planner) chooseEngine(k Key, c coverage, accept func(*engineSlot) bool) *engineSlot {
	var best *engineSlot
	for _, e := range p.slots {
		if !p.isAvailable(e, k) || !p.hasMemory(e, k.Model) || !accept(e) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.domains[e.Domain], c.domains[best.Domain]), cmp.Compare(len(e.models), len(best.models))) < 0 {
			best = e
		}
	}
	return best
}

// surplusFor returns the first surplus copy to unload, preferably one that no stage
// needs, if the model fits on the engine without all surplus copies. Further copies
// are unloaded after the first.
func (p *planner) surplusFor(e *engineSlot, k Key) (first string, ok bool) {
	if !p.isAvailable(e, k) || p.hasMemory(e, k.Model) {
		return "", false
	}
	excess := p.usedMemory(e) + p.s.Sizes[k.Model] - p.limits.EngineMemory
	for _, m := range e.models {
		if !p.isSurplus(e, m) {
			continue
		}
		excess -= p.s.Sizes[m]
		if first == "" || p.isNeededOn(e, first) && !p.isNeededOn(e, m) {
			first = m
		}
	}
	return first, first != "" && excess <= 0
}

// chooseEviction returns the engine on which to free memory: one in a second failure
// domain, then one that serves nothing, then the first by name.
func (p *planner) chooseEviction(k Key, c coverage, accept func(*engineSlot) bool) *engineSlot {
	rank := func(e *engineSlot) (n int) {
		if c.domains[e.Domain] > 0 && len(c.domains) == 1 {
			n += 2
		}
		if p.servesModel(e) {
			n++
		}
		return n
	}
	var best *engineSlot
	for _, e := range p.slots {
		if _, ok := p.surplusFor(e, k); ok && accept(e) && (best == nil || rank(e) < rank(best)) {
			best = e
		}
	}
	return best
}

// freeMemory orders the unload of the copy that room returns.
func (p *planner) freeMemory(e *engineSlot, k Key) {
	if first, ok := p.surplusFor(e, k); ok {
		p.addOrder(e, Order{Action: Unload, Model: first, Reason: ReasonMemory, For: k.Model})
	}
}

// loadedCoverage returns the coverage by copies that are loaded now and not about
// to be unloaded. Loads in flight do not count, because they may fail.
func (p *planner) loadedCoverage(k Key) coverage {
	c := coverage{domains: make(map[string]int)}
	for _, e := range p.slots {
		if e.Usable && e.Service == k.Service && e.has(k.Model) && slices.Contains(e.models, k.Model) {
			c.copies++
			c.domains[e.Domain]++
		}
	}
	return c
}

// isSurplus reports whether the copy on e may be unloaded: it has been loaded for
// the quiet time, the remaining copies are at least those wanted and at least
// MinCopies if a stage needs the model, and they are still in two failure domains
// if they are now.
func (p *planner) isSurplus(e *engineSlot, model string) bool {
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
	c := p.loadedCoverage(k)
	if c.copies-1 < max(wanted, MinCopies) {
		return false
	}
	return len(c.domains) < 2 || len(c.domains) > 2 || c.domains[e.Domain] > 1
}

func (p *planner) isNeeded(k Key) bool {
	return slices.ContainsFunc(p.s.Needs, func(n Need) bool { return n.Key == k })
}

// hasUnload reports whether an unload is in flight or planned.
func (p *planner) hasUnload() bool {
	return slices.ContainsFunc(p.slots, func(e *engineSlot) bool { return e.reserved != "" })
}

// fillIdle orders for each engine without a needed model a load of the model of its
// service with the fewest copies relative to its demand, among those that fit if
// there are any.
func (p *planner) fillIdle() {
	for _, e := range p.slots {
		if p.readBudget < p.limits.EngineReadRate {
			return
		}
		if e.reserved != "" || p.servesModel(e) {
			continue
		}
		if k, ok := p.leastCovered(e, func(k Key) bool { return p.hasMemory(e, k.Model) }); ok {
			p.addOrder(e, Order{Action: Load, Model: k.Model, Reason: ReasonIdle})
			continue
		}
		if k, ok := p.leastCovered(e, func(k Key) bool { _, ok := p.surplusFor(e, k); return ok }); ok {
			p.freeMemory(e, k)
		}
	}
}

// servesModel reports whether the engine has, or will have, a needed model.
func (p *planner) servesModel(e *engineSlot) bool {
	return slices.ContainsFunc(e.models, func(m string) bool { return p.isNeededOn(e, m) })
}

func (p *planner) isNeededOn(e *engineSlot, model string) bool {
	return p.isNeeded(Key{Service: e.Service, Model: model})
}

func (p *planner) leastCovered(e *engineSlot, accept func(Key) bool) (best Key, found bool) {
	least := 0.0
	for _, n := range p.s.Needs {
		if !p.isAvailable(e, n.Key) || !p.retryDue(n.Model) || !accept(n.Key) {
			continue
		}
		share := float64(p.coverage(n.Key).copies) / float64(max(n.Copies, MinCopies))
		if !found || share < least {
			best, least, found = n.Key, share, true
		}
	}
	return best, found
}
