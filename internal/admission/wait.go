package admission

import "time"

// ExpectedWait returns the expected wait of a call for a slot.
func (q *Queue) ExpectedWait(r Request, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.policy.(Baseline); ok {
		return 0
	}
	return q.expectedWait(r.normalized(), now)
}

// expectedWait returns 0 if the call can start now, and otherwise the work that is
// served before the call divided by the service rate. The work is limited to what
// is served until then if the customer gets only its fair share, so that one
// customer's backlog never causes rejections of another customer's calls.
func (q *Queue) expectedWait(r Request, now time.Time) time.Duration {
	ahead := 0.0
	for p := range r.Priority + 1 {
		ahead += q.levels[p].queuedCost
	}
	if ahead == 0 && q.hasFreeSlot(r.Priority, now) {
		return 0
	}
	l := &q.levels[r.Priority]
	l.updateRate(now)
	guaranteed := q.guaranteedRate(r.Priority) / q.timeRatio
	inLevel := min(l.queuedCost+cost(r), q.fairShareWork(r))
	seconds := inLevel / max(l.startRate, guaranteed)
	if l.startRate == 0 {
		all := float64(q.limiter.value()) / q.timeRatio
		seconds = min(seconds, min(ahead+cost(r), q.fairShareWork(r))/all)
	}
	return max(time.Duration(seconds*float64(time.Second)), 1)
}

// guaranteedRate returns the minimum rate of a level in slot time per second while
// other levels are served, for calls that take the expected time.
func (q *Queue) guaranteedRate(priority int) float64 {
	limit := float64(q.limiter.value())
	others := 0
	urgent := true
	for i := range q.levels {
		if i == priority || len(q.levels[i].customers) == 0 {
			continue
		}
		others++
		urgent = urgent && i > priority
	}
	if urgent {
		return (1 - lowerPriorityShare) * limit
	}
	return lowerPriorityShare / float64(others) * limit
}

// fairShareWork returns the work that is served until a call of the customer starts
// if the customer gets exactly its fair share: the virtual time until the start,
// multiplied by the weights of all waiting customers.
func (q *Queue) fairShareWork(r Request) float64 {
	weights := q.waitingWeight
	ahead := 0.0
	c, ok := q.customers[r.Customer]
	if !ok || c.waiting == 0 {
		weights += r.Weight
	}
	if ok {
		own := 0.0
		for p := range r.Priority + 1 {
			own += c.queuedCost[p]
		}
		ahead = max(c.virtualStart-q.virtualTime, 0) + own/r.Weight
	}
	return ahead*weights + cost(r)
}
