package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue grants a limited number of slots by priority, then by arrival.
// It is safe for concurrent use.
type slotQueue struct {
	mu      sync.Mutex
	slots   int
	limit   int
	running int
	arrived uint64
	waiting waiters
}

func newSlotQueue(slots, limit int) *slotQueue {
	return &slotQueue{slots: slots, limit: limit}
}

// acquire waits for a slot. It fails with errOverloaded when the queue is full
// and with the error of ctx when that ends first.
func (q *slotQueue) acquire(ctx context.Context, priority int) error {
	q.mu.Lock()
	if q.running < q.slots {
		q.running++
		q.mu.Unlock()
		return nil
	}
	if len(q.waiting) >= q.limit {
		q.mu.Unlock()
		return errOverloaded
	}
	q.arrived++
	w := &waiter{priority: priority, arrival: q.arrived, granted: make(chan struct{})}
	heap.Push(&q.waiting, w)
	q.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		q.abandon(w)
		return ctx.Err()
	}
}

// abandon removes a waiter; a slot that it was granted in the meantime is passed on.
func (q *slotQueue) abandon(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&q.waiting, w.index)
		return
	}
	q.pass()
}

func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pass()
}

func (q *slotQueue) pass() {
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	close(heap.Pop(&q.waiting).(*waiter).granted)
}

func (q *slotQueue) counts() (queued, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting), q.running
}

type waiter struct {
	priority int
	arrival  uint64
	granted  chan struct{}
	index    int // in the heap; -1 once removed
}

// waiters is a heap with the most urgent waiter first.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	e.index = -1
	*w = old[:len(old)-1]
	return e
}
