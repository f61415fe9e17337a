package agent

import (
	"container/list"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// resultRetention is how long the table stores the outcome of an attempt, so that an
	// entry can resolve an order whose response it lost.
	resultRetention = 10 * time.Minute

	// orderLifetime is how long after an order was addressed it may start here. It is far
	// below resultRetention, so that an order from an entry that was frozen, or from a
	// slow network, never starts after its record was removed from the table.
	orderLifetime = time.Minute

	// maxAttempts limits the table. At 100 attempts a second it spans 10 minutes.
	maxAttempts = 60_000

	// maxOutputBytes limits the memory for stored outputs.
	maxOutputBytes = 16 << 20
)

type attemptState int

const (
	stateRunning attemptState = iota + 1
	stateFinished
	stateBlocked
)

type record struct {
	attempt    string
	state      attemptState
	result     *wire.AttemptResult
	finishedAt time.Time
	cancel     func()
	done       chan struct{}
	isOrder    bool
}

// table records the attempts of this incarnation. An attempt id starts at most once, and a
// blocked one never starts. Records are kept for resultRetention after their end, and only
// the records of orders include the output.
type table struct {
	now          func() time.Time
	mu           sync.Mutex
	attempts     map[string]*list.Element
	byAge        *list.List
	runningCount int
	outputBytes  int
}

func newTable(now func() time.Time) *table {
	return &table{now: now, attempts: make(map[string]*list.Element), byAge: list.New()}
}

// begin registers an attempt. If the attempt is already known, it returns its state. If
// the table is full, it returns no record and the state 0.
func (t *table) begin(attempt string, order bool, cancel func()) (r *record, known attemptState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if e, ok := t.attempts[attempt]; ok {
		return nil, e.Value.(*record).state
	}
	if t.byAge.Len() >= maxAttempts {
		return nil, 0
	}
	r = &record{attempt: attempt, state: stateRunning, cancel: cancel, done: make(chan struct{}), isOrder: order}
	t.attempts[attempt] = t.byAge.PushBack(r)
	t.runningCount++
	return r, 0
}

// finish records the result of a running attempt.
func (t *table) finish(r *record, result *wire.AttemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.state = stateFinished
	r.finishedAt = t.now()
	if r.isOrder {
		r.result = result
		t.outputBytes += len(result.GetOutput())
	}
	t.runningCount--
	close(r.done)
	t.trimOutputs()
}

// block returns the state of an attempt and prevents one that never started from starting;
// it returns stateBlocked in that case. It returns 0 if the table is full and can't record
// the block.
func (t *table) block(attempt string) (attemptState, *wire.AttemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if e, ok := t.attempts[attempt]; ok {
		r := e.Value.(*record)
		return r.state, r.result
	}
	if t.byAge.Len() >= maxAttempts {
		return 0, nil
	}
	r := &record{attempt: attempt, state: stateBlocked, finishedAt: t.now()}
	t.attempts[attempt] = t.byAge.PushBack(r)
	return stateBlocked, nil
}

// cancel cancels a running attempt and reports whether there was one.
func (t *table) cancel(attempt string) bool {
	t.mu.Lock()
	e, ok := t.attempts[attempt]
	var cancel func()
	if ok && e.Value.(*record).state == stateRunning {
		cancel = e.Value.(*record).cancel
	}
	t.mu.Unlock()
	if cancel == nil {
		return false
	}
	cancel()
	return true
}

func (t *table) inFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runningCount
}

// expire removes expired records from the front of the list. A running attempt at the
// front is moved to the back, so that it doesn't delay the removal of the ones behind it.
func (t *table) expire() {
	limit := t.now().Add(-resultRetention)
	for range t.byAge.Len() {
		e := t.byAge.Front()
		r := e.Value.(*record)
		if r.state == stateRunning {
			t.byAge.MoveToBack(e)
			continue
		}
		if r.finishedAt.After(limit) {
			return
		}
		t.outputBytes -= len(r.result.GetOutput())
		t.byAge.Remove(e)
		delete(t.attempts, r.attempt)
	}
}

// trimOutputs removes the oldest outputs above the memory limit. The record stays, so that
// the attempt still can't start again; its outcome is then reported as unknown.
func (t *table) trimOutputs() {
	for e := t.byAge.Front(); e != nil && t.outputBytes > maxOutputBytes; e = e.Next() {
		r := e.Value.(*record)
		if r.result != nil {
			t.outputBytes -= len(r.result.GetOutput())
			r.result = nil
		}
	}
}
