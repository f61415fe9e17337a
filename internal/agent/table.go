package agent

import (
	"container/list"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// resultRetention is how long the table keeps what became of an attempt, so
	// that an entry can settle an order after it lost the answer.
	resultRetention = 10 * time.Minute

	// orderLifetime is how long after it was addressed an order may start here. It is
	// far below resultRetention, so that an order from an entry that was frozen, or
	// from a slow network, never starts after the table has forgotten it.
	orderLifetime = time.Minute

	// maxAttempts bounds the table. At 100 attempts a second it spans 10 minutes.
	maxAttempts = 60_000

	// maxKeptOutput bounds the memory for kept outputs, in bytes.
	maxKeptOutput = 16 << 20
)

type attemptState int

const (
	stateRunning attemptState = iota + 1
	stateFinished
	stateBarred
)

type record struct {
	attempt string
	state   attemptState
	result  *wire.AttemptResult
	ended   time.Time
	cancel  func()
	done    chan struct{}
	order   bool
}

// table remembers the attempts of this incarnation. An attempt id starts at most
// once, and a barred one never starts. Records are kept for resultRetention after
// their end, outputs only those of orders.
type table struct {
	now      func() time.Time
	mu       sync.Mutex
	attempts map[string]*list.Element
	byAge    *list.List
	running  int
	kept     int
}

func newTable(now func() time.Time) *table {
	return &table{now: now, attempts: make(map[string]*list.Element), byAge: list.New()}
}

// begin registers an attempt. It answers the state of one that is already known,
// and nil for the record of a new one that may not start because the table is full.
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
	r = &record{attempt: attempt, state: stateRunning, cancel: cancel, done: make(chan struct{}), order: order}
	t.attempts[attempt] = t.byAge.PushBack(r)
	t.running++
	return r, 0
}

// finish stores what became of a running attempt.
func (t *table) finish(r *record, result *wire.AttemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.state = stateFinished
	r.ended = t.now()
	if r.order {
		r.result = result
		t.kept += len(result.GetOutput())
	}
	t.running--
	close(r.done)
	t.trimOutputs()
}

// bar answers the state of an attempt and makes sure that one which never
// started can't start any more. It answers stateBarred in that case, and 0 when
// the table is full and can't hold the bar.
func (t *table) bar(attempt string) (attemptState, *wire.AttemptResult) {
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
	r := &record{attempt: attempt, state: stateBarred, ended: t.now()}
	t.attempts[attempt] = t.byAge.PushBack(r)
	return stateBarred, nil
}

// stop cancels a running attempt and reports whether there was one.
func (t *table) stop(attempt string) bool {
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
	return t.running
}

// expire removes ended records from the old end. A long-running attempt at the
// front must not keep the ended ones behind it, so it is moved to the back.
func (t *table) expire() {
	limit := t.now().Add(-resultRetention)
	for range t.byAge.Len() {
		e := t.byAge.Front()
		r := e.Value.(*record)
		if r.state == stateRunning {
			t.byAge.MoveToBack(e)
			continue
		}
		if r.ended.After(limit) {
			return
		}
		t.kept -= len(r.result.GetOutput())
		t.byAge.Remove(e)
		delete(t.attempts, r.attempt)
	}
}

// trimOutputs drops the oldest outputs above the memory bound. The record stays,
// so that the attempt still can't start again; settling it answers unknown.
func (t *table) trimOutputs() {
	for e := t.byAge.Front(); e != nil && t.kept > maxKeptOutput; e = e.Next() {
		r := e.Value.(*record)
		if r.result != nil {
			t.kept -= len(r.result.GetOutput())
			r.result = nil
		}
	}
}
