package admission

import (
	"container/heap"
	"time"
)

// Priorities of requests: 0 is the most urgent, 9 the least.
const (
	priorities = 10
	// deferrable is the lowest priority value whose calls leave reserved slots to
	// urgent calls.
	deferrable = 5
)

// Request describes a call that requests a slot.
type Request struct {
	Customer string
	Weight   float64 // weight of the customer; 1 when not positive
	Priority int     // 0 is the most urgent, 9 the least
	Deadline time.Time
	// Expected is the mean time that the call occupies a slot.
	Expected time.Duration
	// Needs is the time from the start of the call to the end of the complete
	// request, including later stages; Expected if it is smaller.
	Needs time.Duration
	// Started is set when earlier stages of the request have run. The call goes
	// before the customer's other calls and is only rejected if it cannot meet its
	// deadline even without waiting.
	Started bool
	// Owner is returned by Ticket.Owner.
	Owner any
}

func (r Request) normalized() Request {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	r.Priority = min(max(r.Priority, 0), priorities-1)
	r.Needs = max(r.Needs, r.Expected)
	return r
}

type ticketState int

const (
	stateQueued ticketState = iota
	stateAdmitted
	stateDone
)

// Ticket represents one call at a Queue.
type Ticket struct {
	request       Request
	customer      *customer
	state         ticketState
	offeredAt     time.Time
	latestStart   time.Time
	sequence      uint64
	customerIndex int // heap positions
	deadlineIndex int
}

// Owner returns the Owner of the Request.
func (t *Ticket) Owner() any { return t.request.Owner }

// Customer returns the customer of the Request.
func (t *Ticket) Customer() string { return t.request.Customer }

// Priority returns the priority of the Request, from 0 to 9.
func (t *Ticket) Priority() int { return t.request.Priority }

// cost returns the slot time in seconds that is charged for the call.
func (t *Ticket) cost() float64 {
	return cost(t.request)
}

// minimumCost is the slot time charged for a call without an expected time.
const minimumCost = time.Millisecond

func cost(r Request) float64 {
	return max(r.Expected, minimumCost).Seconds()
}

// ticketHeap is a heap of queued calls by latest start, either the calls of one
// customer and priority or all calls of a queue.
type ticketHeap struct {
	tickets []*Ticket
	// allCustomers is set for the heap of all queued calls. The other heaps order
	// calls of requests that have run a stage first.
	allCustomers bool
}

func (h *ticketHeap) index(t *Ticket) *int {
	if h.allCustomers {
		return &t.deadlineIndex
	}
	return &t.customerIndex
}

// Len implements heap.Interface.
func (h *ticketHeap) Len() int { return len(h.tickets) }

// Less implements heap.Interface.
func (h *ticketHeap) Less(i, j int) bool {
	a, b := h.tickets[i], h.tickets[j]
	if !h.allCustomers && a.request.Started != b.request.Started {
		return a.request.Started
	}
	return startsEarlier(a, b)
}

// Swap implements heap.Interface.
func (h *ticketHeap) Swap(i, j int) {
	h.tickets[i], h.tickets[j] = h.tickets[j], h.tickets[i]
	*h.index(h.tickets[i]) = i
	*h.index(h.tickets[j]) = j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	*h.index(t) = len(h.tickets)
	h.tickets = append(h.tickets, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any { return popLast(&h.tickets) }

// first returns the minimum of the heap, which must not be empty.
func (h *ticketHeap) first() *Ticket { return h.tickets[0] }

func startsEarlier(a, b *Ticket) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.sequence < b.sequence
}

func popLast[T any](s *[]*T) *T {
	last := len(*s) - 1
	x := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	return x
}

// customer is the state of one customer at a Queue while it is active.
type customer struct {
	name         string
	weight       float64
	virtualStart float64 // virtual start time of its next call
	inFlight     int
	waiting      int
	queues       [priorities]ticketHeap
	queuedCost   [priorities]float64 // of the queued calls
	levelIndex   [priorities]int     // in the heap of each level
	idleSequence uint64
}

// level is the heap of the customers that have queued calls of one priority.
type level struct {
	priority   int
	customers  []*customer
	queuedCost float64 // of the queued calls
	credit     float64 // slot time accrued while levels of higher priority are served
	lastServed uint64  // sequence number of the dispatch that last served the level

	// Moving average of the rate at which the level's queued calls were started
	// while it was never empty, as slot time per second; 0 until known.
	startRate   float64
	startedCost float64
	windowStart time.Time
}

const (
	rateWindow = time.Second
	// rateWeight is the weight of one window in the moving average.
	rateWeight = 0.5
)

// updateRate updates the rate when the current window has elapsed.
func (l *level) updateRate(now time.Time) {
	elapsed := now.Sub(l.windowStart)
	if len(l.customers) == 0 || elapsed < rateWindow {
		return
	}
	rate := l.startedCost / elapsed.Seconds()
	if l.startRate > 0 {
		rate = l.startRate + rateWeight*(rate-l.startRate)
	}
	l.startRate = rate
	l.startedCost = 0
	l.windowStart = now
}

// Len implements heap.Interface.
func (l *level) Len() int { return len(l.customers) }

// Less implements heap.Interface.
func (l *level) Less(i, j int) bool {
	a, b := l.customers[i], l.customers[j]
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.queues[l.priority].first().sequence < b.queues[l.priority].first().sequence
}

// Swap implements heap.Interface.
func (l *level) Swap(i, j int) {
	l.customers[i], l.customers[j] = l.customers[j], l.customers[i]
	l.customers[i].levelIndex[l.priority] = i
	l.customers[j].levelIndex[l.priority] = j
}

// Push implements heap.Interface.
func (l *level) Push(x any) {
	c := x.(*customer)
	c.levelIndex[l.priority] = len(l.customers)
	l.customers = append(l.customers, c)
}

// Pop implements heap.Interface.
func (l *level) Pop() any { return popLast(&l.customers) }

// add queues a ticket.
func (l *level) add(t *Ticket) {
	c := t.customer
	if len(l.customers) == 0 {
		l.windowStart = t.offeredAt
		l.startedCost = 0
		l.startRate = 0
	}
	heap.Push(&c.queues[l.priority], t)
	l.queuedCost += t.cost()
	c.queuedCost[l.priority] += t.cost()
	if c.queues[l.priority].Len() == 1 {
		heap.Push(l, c)
		return
	}
	heap.Fix(l, c.levelIndex[l.priority])
}

// remove removes a queued ticket.
func (l *level) remove(t *Ticket) {
	c := t.customer
	heap.Remove(&c.queues[l.priority], t.customerIndex)
	l.queuedCost -= t.cost()
	c.queuedCost[l.priority] -= t.cost()
	if c.queues[l.priority].Len() > 0 {
		heap.Fix(l, c.levelIndex[l.priority])
		return
	}
	c.queuedCost[l.priority] = 0
	heap.Remove(l, c.levelIndex[l.priority])
	if len(l.customers) == 0 {
		l.queuedCost = 0
		l.credit = 0
	}
}
