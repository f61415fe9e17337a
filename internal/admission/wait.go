package admission

import "time"

// ExpectedWait returns how long a call would wait for its slot.
func (q *Queue) ExpectedWait(r Request, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.policy.(Baseline); ok {
		return 0
	}
	return q.expectedWait(r.normalized(), now)
}

// expectedWait is zero when the call can start now. Otherwise the work that is
// served before the call is divided by the rate of service. The work is bounded
// by the customer's own at its fair share, so that one customer's backlog never
// refuses another's calls.
func (q *Queue) expectedWait(r Request, now time.Time) time.Duration {
	ahead := 0.0
	for p := range r.Priority + 1 {
		ahead += q.levels[p].cost
	}
	if ahead == 0 && q.free(r.Priority, now) {
		return 0
	}
	l := &q.levels[r.Priority]
	l.measure(now)
	guaranteed := q.guaranteed(r.Priority) / q.stretch
	inLevel := min(l.cost+cost(r), q.fairWork(r))
	seconds := inLevel / max(l.rate, guaranteed)
	if l.rate == 0 {
		all := float64(q.limiter.value()) / q.stretch
		seconds = min(seconds, min(ahead+cost(r), q.fairWork(r))/all)
	}
	return max(time.Duration(seconds*float64(time.Second)), 1)
}

// guaranteed returns the slot time for each second that a level gets at least
// beside others, for calls of the expected time.
func (q *Queue) guaranteed(priority int) float64 {
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
		return (1 - lowerShare) * limit
	}
	return lowerShare / float64(others) * limit
}

// fairWork returns the work that is served until a call of the customer starts,
// if the customer gets just its share: the virtual time until then, for all
// customers that wait.
func (q *Queue) fairWork(r Request) float64 {
	weights := q.weights
	ahead := 0.0
	c, ok := q.customers[r.Customer]
	if !ok || c.waiting == 0 {
		weights += r.Weight
	}
	if ok {
		own := 0.0
		for p := range r.Priority + 1 {
			own += c.cost[p]
		}
		ahead = max(c.virtual-q.virtual, 0) + own/r.Weight
	}
	return ahead*weights + cost(r)
}
