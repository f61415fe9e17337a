package admission

import (
	"container/heap"
	"math"
	"sync"
	"time"
)

// TickPeriod is how often Expire should be called.
const TickPeriod = 50 * time.Millisecond

const (
	// lowerPriorityShare is the combined share of slot time of the lower priority
	// levels while calls of higher priority wait, which prevents starvation.
	// Deferrable calls get this share on average over their waiting time.
	lowerPriorityShare = 0.1
	// nearDeadlineShare replaces lowerPriorityShare for a level with a call near
	// its latest start.
	nearDeadlineShare = 0.3
	// nearDeadlineFraction is the remaining fraction of a call's maximum wait below
	// which the call is near its latest start.
	nearDeadlineFraction = 0.25
	// reserveHeadroom is the ratio of the slots reserved from deferrable calls to
	// the recent peak of slots used by urgent calls.
	reserveHeadroom = 1.25
	// maxReserveRatio is the maximum fraction of the limit that is reserved, so that
	// deferrable calls still make progress.
	maxReserveRatio = 0.8
	// reserveHalfLife is the half-life of the reserve without urgent calls.
	reserveHalfLife = 10 * time.Second
	// waitMargin scales the expected wait of urgent calls. Without it, an
	// overloaded queue starts every call at its latest start, and calls that take
	// longer than expected miss their deadlines and waste slot time.
	waitMargin = 2
	// timeRatioWeight is the weight of one call in the moving average of the ratio
	// of actual to expected time.
	timeRatioWeight = 0.05
	// defaultMaxQueued limits the memory of a queue.
	defaultMaxQueued = 10000
)

// Options configures a Queue. Zero fields take the defaults.
type Options struct {
	Service   string
	Policy    Policy // Adaptive when nil
	Slots     int    // concurrent calls that the targets can process for this entry; 0 if unknown
	MaxQueued int    // 10000; see isFull
}

// Queue admits the calls of one entry to one service.
type Queue struct {
	mu        sync.Mutex
	service   string
	policy    Policy
	maxQueued int
	limiter   limiter

	inFlight           int
	deferrableInFlight int
	urgentPeak         float64
	urgentPeakAt       time.Time
	timeRatio          float64 // ratio of actual to expected time

	levels        [priorities]level
	deadlines     ticketHeap
	customers     map[string]*customer
	waitingWeight float64 // of the customers with waiting calls
	virtualTime   float64
	sequence      uint64
	dispatched    uint64
	idle          idleList
}

// NewQueue returns an empty Queue.
func NewQueue(o Options) *Queue {
	if o.Policy == nil {
		o.Policy = Adaptive{}
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultMaxQueued
	}
	q := &Queue{
		service:   o.Service,
		policy:    o.Policy,
		maxQueued: o.MaxQueued,
		limiter:   newLimiter(o.Slots),
		timeRatio: 1,
		customers: map[string]*customer{},
		deadlines: ticketHeap{allCustomers: true},
	}
	for i := range q.levels {
		q.levels[i].priority = i
	}
	return q
}

// SetSlots sets the number of concurrent calls that the targets can process for
// this entry.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.setSlots(slots)
}

// Status is a Queue's state for metrics and diagnostics.
type Status struct {
	Service   string
	Limit     int
	InFlight  int
	Waiting   int
	Reserved  int // slots not available to deferrable calls
	Customers int // with state
}

// Status returns the current state.
func (q *Queue) Status(now time.Time) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Status{
		Service:   q.service,
		Limit:     q.limiter.value(),
		InFlight:  q.inFlight,
		Waiting:   q.deadlines.Len(),
		Reserved:  q.reserve(now),
		Customers: len(q.customers),
	}
}

// Offer requests a slot for a call. The decision is Admitted, Queued or Refused.
func (q *Queue) Offer(r Request, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	r = r.normalized()
	q.evictIdle(evictionsPerCall, now)
	if _, ok := q.policy.(Baseline); ok {
		return q.admit(q.ticket(r, now), now)
	}
	wait := q.expectedWait(r, now)
	if refusal, refused := q.refusal(r, wait, now); refused {
		return refusal
	}
	t := q.ticket(r, now)
	if wait == 0 {
		return q.admit(t, now)
	}
	q.enqueue(t)
	return Queued{Ticket: t, ExpectedWait: wait}
}

func (q *Queue) refusal(r Request, wait time.Duration, now time.Time) (Refused, bool) {
	if q.isFull(r) {
		return Refused{Reason: ReasonQueueFull, ExpectedWait: wait, RetryAfter: wait}, true
	}
	effectiveWait := wait
	switch {
	case r.Started:
		effectiveWait = 0
	case r.Priority < deferrable:
		effectiveWait *= waitMargin
	}
	overrun := now.Add(effectiveWait + r.Needs).Sub(r.Deadline)
	if overrun <= 0 {
		return Refused{}, false
	}
	refused := Refused{Reason: ReasonNotEnoughTime, ExpectedWait: wait}
	if wait > 0 {
		refused.RetryAfter = min(overrun, wait)
	}
	return refused, true
}

// isFull reports whether the queue has no capacity for a call. When the queue has
// reached MaxQueued, each customer may still queue up to its weighted share, so
// that one customer's backlog does not shut out others; the queue contains at most
// twice MaxQueued calls plus one call of each customer. Calls of requests that
// have already run a stage are always accepted.
func (q *Queue) isFull(r Request) bool {
	if r.Started || q.deadlines.Len() < q.maxQueued {
		return false
	}
	c, ok := q.customers[r.Customer]
	if !ok || c.waiting == 0 {
		return false
	}
	return float64(c.waiting+1) > float64(q.maxQueued)*c.weight/q.waitingWeight
}

func (q *Queue) ticket(r Request, now time.Time) *Ticket {
	q.sequence++
	return &Ticket{
		request:     r,
		customer:    q.customer(r, now),
		offeredAt:   now,
		latestStart: r.Deadline.Add(-r.Needs),
		sequence:    q.sequence,
	}
}

func (q *Queue) customer(r Request, now time.Time) *customer {
	c, ok := q.customers[r.Customer]
	if !ok {
		c = &customer{name: r.Customer, weight: r.Weight}
		q.customers[r.Customer] = c
		q.idle.add(c.name, &c.idleSequence, now)
	}
	if c.waiting == 0 {
		c.weight = r.Weight
	}
	return c
}

func (q *Queue) enqueue(t *Ticket) {
	c := t.customer
	if c.waiting == 0 {
		// A customer that was idle starts at the current virtual time: it neither
		// accumulates credit while idle nor is penalized for earlier usage.
		c.virtualStart = max(c.virtualStart, q.virtualTime)
		q.waitingWeight += c.weight
	}
	c.waiting++
	c.idleSequence = 0
	q.levels[t.request.Priority].add(t)
	heap.Push(&q.deadlines, t)
}

func (q *Queue) dequeue(t *Ticket) {
	q.levels[t.request.Priority].remove(t)
	heap.Remove(&q.deadlines, t.deadlineIndex)
	c := t.customer
	c.waiting--
	if c.waiting == 0 {
		q.waitingWeight -= c.weight
	}
	if q.deadlines.Len() == 0 {
		q.waitingWeight = 0
	}
}

// admit assigns a slot to the ticket and charges its customer.
func (q *Queue) admit(t *Ticket, now time.Time) Admitted {
	t.state = stateAdmitted
	c := t.customer
	c.virtualStart = max(c.virtualStart, q.virtualTime)
	start := c.virtualStart
	c.virtualStart += t.cost() / c.weight
	c.inFlight++
	c.idleSequence = 0
	for i := range c.queues {
		if c.queues[i].Len() > 0 {
			heap.Fix(&q.levels[i], c.levelIndex[i])
		}
	}
	q.advanceVirtualTime(start)
	q.inFlight++
	if t.request.Priority >= deferrable {
		q.deferrableInFlight++
	}
	q.updateUrgentPeak(now)
	return Admitted{Ticket: t, Waited: now.Sub(t.offeredAt)}
}

// advanceVirtualTime advances the virtual time to the earliest virtual start of the
// waiting customers, or to that of the call just served if none is waiting.
func (q *Queue) advanceVirtualTime(start float64) {
	for i := range q.levels {
		if l := &q.levels[i]; len(l.customers) > 0 {
			start = min(start, l.customers[0].virtualStart)
		}
	}
	q.virtualTime = max(q.virtualTime, start)
}

// updateUrgentPeak updates the decaying peak of urgent calls in flight.
func (q *Queue) updateUrgentPeak(now time.Time) {
	q.urgentPeak = max(q.decayedUrgentPeak(now), float64(q.inFlight-q.deferrableInFlight))
	q.urgentPeakAt = now
}

func (q *Queue) decayedUrgentPeak(now time.Time) float64 {
	age := max(now.Sub(q.urgentPeakAt), 0)
	return q.urgentPeak * math.Exp2(-age.Seconds()/reserveHalfLife.Seconds())
}

// reserve returns the number of slots reserved from deferrable calls.
func (q *Queue) reserve(now time.Time) int {
	limit := int(maxReserveRatio * float64(q.limiter.value()))
	return min(int(math.Round(reserveHeadroom*q.decayedUrgentPeak(now))), limit)
}

// hasFreeSlot reports whether a call of the priority may start now.
func (q *Queue) hasFreeSlot(priority int, now time.Time) bool {
	limit := q.limiter.value()
	if q.inFlight >= limit {
		return false
	}
	return priority < deferrable || q.deferrableInFlight < limit-q.reserve(now)
}

// idleCapacityThreshold is the utilization of the limit below which a service has
// idle capacity.
const idleCapacityThreshold = 0.8

// HasIdleCapacity reports whether the service has idle capacity and no queued calls.
func (q *Queue) HasIdleCapacity() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.deadlines.Len() == 0 && float64(q.inFlight) < idleCapacityThreshold*q.limiter.limit
}

// Finish ends an admitted call and returns decisions on queued calls.
func (q *Queue) Finish(t *Ticket, o Outcome, now time.Time) []Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateAdmitted {
		return nil
	}
	q.recordOutcome(t, o, now)
	t.state = stateDone
	q.inFlight--
	if t.request.Priority >= deferrable {
		q.deferrableInFlight--
	}
	c := t.customer
	c.inFlight--
	q.markIdle(c, now)
	return q.dispatch(now)
}

func (q *Queue) recordOutcome(t *Ticket, o Outcome, now time.Time) {
	switch o := o.(type) {
	case Completed:
		ratio, exact := o.ratio(t.cost())
		q.limiter.observe(ratio, exact, q.inFlight, now)
		q.timeRatio += timeRatioWeight * (o.Latency.Seconds()/t.cost() - q.timeRatio)
	case Overloaded:
		q.limiter.overloaded(now)
	case Dropped:
	}
}

// markIdle marks a customer as idle if it has no calls.
func (q *Queue) markIdle(c *customer, now time.Time) {
	if c.inFlight == 0 && c.waiting == 0 {
		q.idle.add(c.name, &c.idleSequence, now)
	}
}

// Withdraw removes a queued call and returns decisions on other calls. It reports
// false if the call is no longer queued: then its decision has been or will be
// delivered, and an admitted call must still be finished.
func (q *Queue) Withdraw(t *Ticket, now time.Time) ([]Decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateQueued {
		return nil, false
	}
	q.remove(t, now)
	return q.dispatch(now), true
}

func (q *Queue) remove(t *Ticket, now time.Time) {
	t.state = stateDone
	q.dequeue(t)
	q.markIdle(t.customer, now)
}

// Expire rejects queued calls that can no longer meet their deadline, and admits
// calls for which slots have become free through the decay of the reserve.
func (q *Queue) Expire(now time.Time) []Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evictIdle(evictionsPerTick, now)
	return q.dispatch(now)
}

// dispatch admits queued calls while slots are free. Calls that are past their
// latest start are rejected first, so that they never occupy a slot.
func (q *Queue) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for q.deadlines.Len() > 0 && now.After(q.deadlines.first().latestStart) {
		t := q.deadlines.first()
		q.remove(t, now)
		decisions = append(decisions, Refused{Ticket: t, Reason: ReasonNotEnoughTime, ExpectedWait: now.Sub(t.offeredAt)})
	}
	for {
		l := q.nextLevel(now)
		if l == nil {
			return decisions
		}
		t := l.customers[0].queues[l.priority].first()
		q.charge(l, t, now)
		l.startedCost += t.cost()
		q.dispatched++
		l.lastServed = q.dispatched
		q.dequeue(t)
		decisions = append(decisions, q.admit(t, now))
	}
}

// nextLevel returns the level with the highest priority that may start a call, or
// a lower one with enough credit. Among several levels with credit it returns the
// least recently served one; otherwise, with few slots, the first of them could
// take them all.
func (q *Queue) nextLevel(now time.Time) *level {
	var urgent, withCredit *level
	for i := range q.levels {
		l := &q.levels[i]
		if len(l.customers) == 0 || !q.hasFreeSlot(i, now) {
			continue
		}
		if urgent == nil {
			urgent = l
			continue
		}
		hasCredit := l.credit >= l.customers[0].queues[i].first().cost()
		if hasCredit && (withCredit == nil || l.lastServed < withCredit.lastServed) {
			withCredit = l
		}
	}
	if withCredit != nil {
		return withCredit
	}
	return urgent
}

// charge credits the levels below the served one with a share of its slot time.
func (q *Queue) charge(served *level, t *Ticket, now time.Time) {
	served.credit = max(served.credit-t.cost(), 0)
	lower := 0
	for i := served.priority + 1; i < priorities; i++ {
		if len(q.levels[i].customers) > 0 {
			lower++
		}
	}
	nearDeadline := q.nearDeadlineLevel(now)
	for i := served.priority + 1; i < priorities; i++ {
		l := &q.levels[i]
		switch {
		case len(l.customers) == 0:
		case l == nearDeadline:
			l.credit += nearDeadlineShare * t.cost()
		default:
			l.credit += l.lowerPriorityShare(now) / float64(lower) * t.cost()
		}
	}
}

// lowerPriorityShare returns the share of slot time of the level while levels of
// higher priority are served. For deferrable calls it rises from 0 to twice the
// constant lowerPriorityShare over their maximum wait: a short overload has passed
// before they need slots, and on average they get lowerPriorityShare, which their
// expected wait assumes.
func (l *level) lowerPriorityShare(now time.Time) float64 {
	if l.priority < deferrable {
		return lowerPriorityShare
	}
	t := l.customers[0].queues[l.priority].first()
	used := now.Sub(t.offeredAt).Seconds() / max(t.latestStart.Sub(t.offeredAt), 1).Seconds()
	return 2 * lowerPriorityShare * min(max(used, 0), 1)
}

// nearDeadlineLevel returns the level of the call with the earliest latest start if
// that call is near its latest start, or nil.
func (q *Queue) nearDeadlineLevel(now time.Time) *level {
	t := q.deadlines.first()
	if float64(t.latestStart.Sub(now)) > nearDeadlineFraction*float64(t.latestStart.Sub(t.offeredAt)) {
		return nil
	}
	return &q.levels[t.request.Priority]
}

// evictIdle evicts at most the given number of idle customers.
func (q *Queue) evictIdle(limit int, now time.Time) {
	for range limit {
		name, sequence, ok := q.idle.next(now)
		if !ok {
			return
		}
		if c, ok := q.customers[name]; ok && c.idleSequence == sequence {
			delete(q.customers, name)
		}
	}
}
