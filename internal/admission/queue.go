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
	// lowerShare is the share of slot time that less urgent levels together get
	// while more urgent calls wait, so that none starves. Deferrable calls get it on
	// average over their waiting time.
	lowerShare = 0.1
	// agedShare replaces lowerShare for a level with a call that must start soon.
	agedShare = 0.3
	// agedSlack is the part of its waiting time that a call has left when it
	// must start soon.
	agedSlack = 0.25
	// reserveHeadroom scales the slots that urgent calls used recently into the
	// slots kept free of deferrable calls.
	reserveHeadroom = 1.25
	// reserveMost bounds the reserve, so that deferrable calls go on.
	reserveMost = 0.8
	// reserveHalfLife is how fast the reserve falls without urgent calls.
	reserveHalfLife = 10 * time.Second
	// waitMargin scales the expected wait of urgent calls. Without it, an
	// overloaded queue starts every call at the last moment, and those that take
	// longer than expected run in vain.
	waitMargin = 2
	// stretchWeight is the weight of one call in the average of actual over
	// expected time.
	stretchWeight = 0.05
	// defaultMaxQueued bounds the memory of a queue.
	defaultMaxQueued = 10000
)

// Options configures a Queue. Zero fields take the defaults.
type Options struct {
	Service   string
	Policy    Policy // Adaptive when nil
	Slots     int    // calls that the targets can work on together, for this entry; 0 is unknown
	MaxQueued int    // 10000; see full
}

// Queue admits the calls of one entry to one service.
type Queue struct {
	mu        sync.Mutex
	service   string
	policy    Policy
	maxQueued int
	limiter   limiter

	inFlight    int
	deferred    int // deferrable calls in flight
	reservePeak float64
	reserveAt   time.Time
	stretch     float64 // actual over expected time

	levels     [priorities]level
	deadlines  ticketHeap
	customers  map[string]*customer
	weights    float64 // of the customers with waiting calls
	virtual    float64
	sequence   uint64
	dispatched uint64
	idle       idleList
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
		stretch:   1,
		customers: map[string]*customer{},
		deadlines: ticketHeap{all: true},
	}
	for i := range q.levels {
		q.levels[i].priority = i
	}
	return q
}

// SetSlots tells how many calls the targets can work on together for this entry.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.setSlots(slots)
}

// Status is a Queue's state for metrics and explanations.
type Status struct {
	Service   string
	Limit     int
	InFlight  int
	Waiting   int
	Reserved  int // slots kept free of deferrable calls
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

// Offer asks for a slot. The decision is Admitted, Queued or Refused.
func (q *Queue) Offer(r Request, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	r = r.normalized()
	q.sweep(sweepsPerCall, now)
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
	if q.full(r) {
		return Refused{Reason: ReasonQueueFull, ExpectedWait: wait, RetryAfter: wait}, true
	}
	counted := wait
	switch {
	case r.Started:
		counted = 0
	case r.Priority < deferrable:
		counted *= waitMargin
	}
	late := now.Add(counted + r.Needs).Sub(r.Deadline)
	if late <= 0 {
		return Refused{}, false
	}
	refused := Refused{Reason: ReasonNotEnoughTime, ExpectedWait: wait}
	if wait > 0 {
		refused.RetryAfter = min(late, wait)
	}
	return refused, true
}

// full reports whether the queue has no room for a call. When it is full, each
// customer still has its share of the places, so that one customer's backlog
// doesn't shut out others; the queue holds at most twice its size and one call
// of each customer. Calls of requests that have started always have room.
func (q *Queue) full(r Request) bool {
	if r.Started || q.deadlines.Len() < q.maxQueued {
		return false
	}
	c, ok := q.customers[r.Customer]
	if !ok || c.waiting == 0 {
		return false
	}
	return float64(c.waiting+1) > float64(q.maxQueued)*c.weight/q.weights
}

func (q *Queue) ticket(r Request, now time.Time) *Ticket {
	q.sequence++
	return &Ticket{
		request:     r,
		customer:    q.customer(r, now),
		offered:     now,
		latestStart: r.Deadline.Add(-r.Needs),
		sequence:    q.sequence,
	}
}

func (q *Queue) customer(r Request, now time.Time) *customer {
	c, ok := q.customers[r.Customer]
	if !ok {
		c = &customer{name: r.Customer, weight: r.Weight}
		q.customers[r.Customer] = c
		q.idle.add(c.name, &c.idleMark, now)
	}
	if c.waiting == 0 {
		c.weight = r.Weight
	}
	return c
}

func (q *Queue) enqueue(t *Ticket) {
	c := t.customer
	if c.waiting == 0 {
		// A customer that was idle starts at the present virtual time: it
		// neither saves up its idle share nor pays for earlier use.
		c.virtual = max(c.virtual, q.virtual)
		q.weights += c.weight
	}
	c.waiting++
	c.idleMark = 0
	q.levels[t.request.Priority].add(t)
	heap.Push(&q.deadlines, t)
}

func (q *Queue) dequeue(t *Ticket) {
	q.levels[t.request.Priority].remove(t)
	heap.Remove(&q.deadlines, t.byDeadline)
	c := t.customer
	c.waiting--
	if c.waiting == 0 {
		q.weights -= c.weight
	}
	if q.deadlines.Len() == 0 {
		q.weights = 0
	}
}

// admit gives the ticket a slot and charges its customer.
func (q *Queue) admit(t *Ticket, now time.Time) Admitted {
	t.state = stateAdmitted
	c := t.customer
	c.virtual = max(c.virtual, q.virtual)
	start := c.virtual
	c.virtual += t.cost() / c.weight
	c.inFlight++
	c.idleMark = 0
	for i := range c.waits {
		if c.waits[i].Len() > 0 {
			heap.Fix(&q.levels[i], c.position[i])
		}
	}
	q.advanceVirtual(start)
	q.inFlight++
	if t.request.Priority >= deferrable {
		q.deferred++
	}
	q.noteUrgent(now)
	return Admitted{Ticket: t, Waited: now.Sub(t.offered)}
}

// advanceVirtual moves the virtual time to the least start of the waiting
// customers, or to that of the call just served when none waits.
func (q *Queue) advanceVirtual(start float64) {
	for i := range q.levels {
		if l := &q.levels[i]; len(l.customers) > 0 {
			start = min(start, l.customers[0].virtual)
		}
	}
	q.virtual = max(q.virtual, start)
}

// noteUrgent raises the recent peak of urgent calls in flight, after its decay.
func (q *Queue) noteUrgent(now time.Time) {
	q.reservePeak = max(q.recentUrgent(now), float64(q.inFlight-q.deferred))
	q.reserveAt = now
}

func (q *Queue) recentUrgent(now time.Time) float64 {
	age := max(now.Sub(q.reserveAt), 0)
	return q.reservePeak * math.Exp2(-age.Seconds()/reserveHalfLife.Seconds())
}

// reserve returns the slots that are kept free of deferrable calls.
func (q *Queue) reserve(now time.Time) int {
	most := int(reserveMost * float64(q.limiter.value()))
	return min(int(math.Round(reserveHeadroom*q.recentUrgent(now))), most)
}

// free reports whether a call of the priority may start now.
func (q *Queue) free(priority int, now time.Time) bool {
	limit := q.limiter.value()
	if q.inFlight >= limit {
		return false
	}
	return priority < deferrable || q.deferred < limit-q.reserve(now)
}

// spareUse is the share of the limit below which a service has spare capacity.
const spareUse = 0.8

// HasIdleCapacity reports whether the service has capacity that no call waits for.
func (q *Queue) HasIdleCapacity() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.deadlines.Len() == 0 && float64(q.inFlight) < spareUse*q.limiter.limit
}

// Finish ends an admitted call and returns decisions on waiting ones.
func (q *Queue) Finish(t *Ticket, o Outcome, now time.Time) []Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateAdmitted {
		return nil
	}
	q.learn(t, o, now)
	t.state = stateDone
	q.inFlight--
	if t.request.Priority >= deferrable {
		q.deferred--
	}
	c := t.customer
	c.inFlight--
	q.rest(c, now)
	return q.dispatch(now)
}

func (q *Queue) learn(t *Ticket, o Outcome, now time.Time) {
	switch o := o.(type) {
	case Completed:
		ratio, exact := o.ratio(t.cost())
		q.limiter.observe(ratio, exact, q.inFlight, now)
		q.stretch += stretchWeight * (o.Latency.Seconds()/t.cost() - q.stretch)
	case Overloaded:
		q.limiter.overloaded(now)
	case Dropped:
	}
}

// rest marks a customer without calls as idle.
func (q *Queue) rest(c *customer, now time.Time) {
	if c.inFlight == 0 && c.waiting == 0 {
		q.idle.add(c.name, &c.idleMark, now)
	}
}

// Withdraw ends a call that still waits and returns decisions on others. It
// reports false when the call doesn't wait: then its decision has been or will
// be delivered, and an admitted call must still be finished.
func (q *Queue) Withdraw(t *Ticket, now time.Time) ([]Decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateQueued {
		return nil, false
	}
	q.drop(t, now)
	return q.dispatch(now), true
}

func (q *Queue) drop(t *Ticket, now time.Time) {
	t.state = stateDone
	q.dequeue(t)
	q.rest(t.customer, now)
}

// Expire refuses waiting calls that can no longer finish in time, and admits
// calls whose slots became free by the passing of time.
func (q *Queue) Expire(now time.Time) []Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(sweepsPerTick, now)
	return q.dispatch(now)
}

// dispatch admits waiting calls while slots are free. Calls that are too late
// are refused first, so that they never take a slot.
func (q *Queue) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for q.deadlines.Len() > 0 && now.After(q.deadlines.first().latestStart) {
		t := q.deadlines.first()
		q.drop(t, now)
		decisions = append(decisions, Refused{Ticket: t, Reason: ReasonNotEnoughTime, ExpectedWait: now.Sub(t.offered)})
	}
	for {
		l := q.nextLevel(now)
		if l == nil {
			return decisions
		}
		t := l.customers[0].waits[l.priority].first()
		q.charge(l, t, now)
		l.drained += t.cost()
		q.dispatched++
		l.served = q.dispatched
		q.dequeue(t)
		decisions = append(decisions, q.admit(t, now))
	}
}

// nextLevel returns the most urgent level that may start a call, or a less
// urgent one that is owed slot time. Of several it takes the one that was served
// longest ago, because few slots could otherwise all go to the first of them.
func (q *Queue) nextLevel(now time.Time) *level {
	var urgent, owed *level
	for i := range q.levels {
		l := &q.levels[i]
		if len(l.customers) == 0 || !q.free(i, now) {
			continue
		}
		if urgent == nil {
			urgent = l
			continue
		}
		enough := l.credit >= l.customers[0].waits[i].first().cost()
		if enough && (owed == nil || l.served < owed.served) {
			owed = l
		}
	}
	if owed != nil {
		return owed
	}
	return urgent
}

// charge gives the levels below the served one credit for its slot time.
func (q *Queue) charge(served *level, t *Ticket, now time.Time) {
	served.credit = max(served.credit-t.cost(), 0)
	lower := 0
	for i := served.priority + 1; i < priorities; i++ {
		if len(q.levels[i].customers) > 0 {
			lower++
		}
	}
	aged := q.aged(now)
	for i := served.priority + 1; i < priorities; i++ {
		l := &q.levels[i]
		switch {
		case len(l.customers) == 0:
		case l == aged:
			l.credit += agedShare * t.cost()
		default:
			l.credit += l.lowerShare(now) / float64(lower) * t.cost()
		}
	}
}

// lowerShare returns the share of slot time that the level gets beside more urgent
// ones. That of deferrable calls rises from nothing to twice lowerShare while
// their waiting time passes: a short overload is over before they need slots, and
// over the whole waiting time they get lowerShare, which their expected wait
// counts on.
func (l *level) lowerShare(now time.Time) float64 {
	if l.priority < deferrable {
		return lowerShare
	}
	t := l.customers[0].waits[l.priority].first()
	used := now.Sub(t.offered).Seconds() / max(t.latestStart.Sub(t.offered), 1).Seconds()
	return 2 * lowerShare * min(max(used, 0), 1)
}

// aged returns the level of the call that must start next, if its slack is low.
func (q *Queue) aged(now time.Time) *level {
	t := q.deadlines.first()
	if float64(t.latestStart.Sub(now)) > agedSlack*float64(t.latestStart.Sub(t.offered)) {
		return nil
	}
	return &q.levels[t.request.Priority]
}

// sweep forgets customers that have been idle.
func (q *Queue) sweep(most int, now time.Time) {
	for range most {
		name, mark, ok := q.idle.next(now)
		if !ok {
			return
		}
		if c, ok := q.customers[name]; ok && c.idleMark == mark {
			delete(q.customers, name)
		}
	}
}
