package admission

import (
	"container/heap"
	"time"
)

// Priorities of requests: 0 is the most urgent, 9 the least.
const (
	priorities = 10
	// deferrable is the first priority whose calls leave slots free for urgent ones.
	deferrable = 5
)

// Request describes a call that asks for a slot.
type Request struct {
	Customer string
	Weight   float64 // share of the customer; 1 when not positive
	Priority int     // 0 is the most urgent, 9 the least
	Deadline time.Time
	// Expected is how long the call occupies a slot on average.
	Expected time.Duration
	// Needs is the time from the start of the call to the end of the whole
	// request, later stages included; Expected when smaller.
	Needs time.Duration
	// Started tells that earlier stages of the request have run. It goes ahead
	// of the customer's other calls, and only an exceeded deadline refuses it.
	Started bool
	// Owner is handed back by Ticket.Owner.
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

// Ticket stands for one call at a Queue.
type Ticket struct {
	request     Request
	customer    *customer
	state       ticketState
	offered     time.Time
	latestStart time.Time
	sequence    uint64
	byCustomer  int // heap positions
	byDeadline  int
}

// Owner returns the Owner of the Request.
func (t *Ticket) Owner() any { return t.request.Owner }

// Customer returns the customer of the Request.
func (t *Ticket) Customer() string { return t.request.Customer }

// Priority returns the priority of the Request, from 0 to 9.
func (t *Ticket) Priority() int { return t.request.Priority }

// cost is the slot time in seconds that the call is charged with.
func (t *Ticket) cost() float64 {
	return cost(t.request)
}

// minimumCost is charged for a call without an expected time.
const minimumCost = time.Millisecond

func cost(r Request) float64 {
	return max(r.Expected, minimumCost).Seconds()
}

// ticketHeap orders waiting calls by their latest start: those of one customer
// and priority, or all of a queue.
type ticketHeap struct {
	tickets []*Ticket
	// all marks the heap of all waiting calls. The others put calls of requests
	// that have started first.
	all bool
}

func (h *ticketHeap) position(t *Ticket) *int {
	if h.all {
		return &t.byDeadline
	}
	return &t.byCustomer
}

// Len implements heap.Interface.
func (h *ticketHeap) Len() int { return len(h.tickets) }

// Less implements heap.Interface.
func (h *ticketHeap) Less(i, j int) bool {
	a, b := h.tickets[i], h.tickets[j]
	if !h.all && a.request.Started != b.request.Started {
		return a.request.Started
	}
	return earlier(a, b)
}

// Swap implements heap.Interface.
func (h *ticketHeap) Swap(i, j int) {
	h.tickets[i], h.tickets[j] = h.tickets[j], h.tickets[i]
	*h.position(h.tickets[i]) = i
	*h.position(h.tickets[j]) = j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	*h.position(t) = len(h.tickets)
	h.tickets = append(h.tickets, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any { return popLast(&h.tickets) }

// first returns the call that is served next; the heap must not be empty.
func (h *ticketHeap) first() *Ticket { return h.tickets[0] }

func earlier(a, b *Ticket) bool {
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
	name     string
	weight   float64
	virtual  float64 // start of its next call in virtual time
	inFlight int
	waiting  int
	waits    [priorities]ticketHeap
	cost     [priorities]float64 // of the waiting calls
	position [priorities]int     // in the heap of each level
	idleMark uint64
}

// level holds the customers that have calls of one priority waiting.
type level struct {
	priority  int
	customers []*customer
	cost      float64 // of the waiting calls
	credit    float64 // slot time owed to the level while more urgent ones are served
	served    uint64  // number of the queue's dispatch that last served it

	// The rate at which the level's waiting calls were started lately, as slot
	// time for each second, while it never ran empty. It is 0 until known.
	rate     float64
	drained  float64
	measured time.Time
}

const (
	rateWindow = time.Second
	// rateWeight is the weight of one window in the rate.
	rateWeight = 0.5
)

// measure ends a window of the rate when it is over.
func (l *level) measure(now time.Time) {
	elapsed := now.Sub(l.measured)
	if len(l.customers) == 0 || elapsed < rateWindow {
		return
	}
	rate := l.drained / elapsed.Seconds()
	if l.rate > 0 {
		rate = l.rate + rateWeight*(rate-l.rate)
	}
	l.rate = rate
	l.drained = 0
	l.measured = now
}

// Len implements heap.Interface.
func (l *level) Len() int { return len(l.customers) }

// Less implements heap.Interface.
func (l *level) Less(i, j int) bool {
	a, b := l.customers[i], l.customers[j]
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.waits[l.priority].first().sequence < b.waits[l.priority].first().sequence
}

// Swap implements heap.Interface.
func (l *level) Swap(i, j int) {
	l.customers[i], l.customers[j] = l.customers[j], l.customers[i]
	l.customers[i].position[l.priority] = i
	l.customers[j].position[l.priority] = j
}

// Push implements heap.Interface.
func (l *level) Push(x any) {
	c := x.(*customer)
	c.position[l.priority] = len(l.customers)
	l.customers = append(l.customers, c)
}

// Pop implements heap.Interface.
func (l *level) Pop() any { return popLast(&l.customers) }

// add queues a ticket of a customer.
func (l *level) add(t *Ticket) {
	c := t.customer
	if len(l.customers) == 0 {
		l.measured = t.offered
		l.drained = 0
		l.rate = 0
	}
	heap.Push(&c.waits[l.priority], t)
	l.cost += t.cost()
	c.cost[l.priority] += t.cost()
	if c.waits[l.priority].Len() == 1 {
		heap.Push(l, c)
		return
	}
	heap.Fix(l, c.position[l.priority])
}

// remove takes a ticket out of the customer's queue.
func (l *level) remove(t *Ticket) {
	c := t.customer
	heap.Remove(&c.waits[l.priority], t.byCustomer)
	l.cost -= t.cost()
	c.cost[l.priority] -= t.cost()
	if c.waits[l.priority].Len() > 0 {
		heap.Fix(l, c.position[l.priority])
		return
	}
	c.cost[l.priority] = 0
	heap.Remove(l, c.position[l.priority])
	if len(l.customers) == 0 {
		l.cost = 0
		l.credit = 0
	}
}
