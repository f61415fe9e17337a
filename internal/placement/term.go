package placement

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// settleTime is how long an answered order counts as in flight unless the roster
// shows its effect before. Agents describe their target every 2 s.
const settleTime = 10 * time.Second

// sent is an order that was sent to an agent.
type sent struct {
	order Order
	// answered is when the answer came; zero before.
	answered time.Time
	// readUntil is until when a load whose outcome is unknown may still read.
	readUntil time.Time
}

// term is what the runner knows in one term of this VM's leadership. Nothing of
// it outlives the term.
type term struct {
	number uint64
	fence  uint64
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc

	levels levels

	mu           sync.Mutex
	deposed      bool
	sent         map[string]*sent // by engine
	since        map[Copy]time.Time
	failed       map[Copy]Failure
	failedModels map[string]Failure
}

func newTerm(ctx context.Context, number, fence uint64, now time.Time) *term {
	t := &term{
		number: number, fence: fence, began: now, levels: make(levels), sent: make(map[string]*sent),
		since: make(map[Copy]time.Time), failed: make(map[Copy]Failure), failedModels: make(map[string]Failure),
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

// depose ends the orders of the term and gives no more.
func (t *term) depose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deposed = true
	t.cancel()
}

func (t *term) isDeposed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deposed
}

// observe notes new copies and drops the orders whose effect shows or that settled.
func (t *term) observe(engines []Engine, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[Copy]struct{}, len(t.since))
	for i := range engines {
		e := &engines[i]
		for _, m := range e.Models {
			c := Copy{Engine: e.Name, Model: m}
			seen[c] = struct{}{}
			if t.since[c].IsZero() {
				t.since[c] = now
			}
		}
		if s := t.sent[e.Name]; s != nil && s.shows(e) {
			delete(t.sent, e.Name)
		}
	}
	for c := range t.since {
		if _, ok := seen[c]; !ok {
			delete(t.since, c)
		}
	}
	for name, s := range t.sent {
		if s.settled(now) {
			delete(t.sent, name)
		}
	}
}

// shows reports whether the roster shows the effect of an answered order.
func (s *sent) shows(e *Engine) bool {
	return !s.answered.IsZero() && s.readUntil.IsZero() && e.has(s.order.Model) == (s.order.Action == Load)
}

func (s *sent) settled(now time.Time) bool {
	if s.answered.IsZero() {
		return false
	}
	if !s.readUntil.IsZero() {
		return !now.Before(s.readUntil)
	}
	return now.Sub(s.answered) >= settleTime
}

// fill adds what the term knows to a state.
func (t *term) fill(s *State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Wanted, s.Since, s.Failed, s.FailedModels = t.levels.copies(), t.since, t.failed, t.failedModels
	for _, o := range t.sent {
		reading := o.order.Action == Load && (o.answered.IsZero() || !o.readUntil.IsZero())
		s.Orders = append(s.Orders, InFlight{Order: o.order, Reading: reading})
	}
}

// plan calls Plan under the lock that guards the maps of the state.
func (t *term) plan(s *State, now time.Time) []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Plan(s, now)
}

func (t *term) begin(o Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[o.Engine] = &sent{order: o}
}

// finish notes what became of an order. A load without an answer may go on
// reading, so it keeps its share of the read rate for the time of a load.
func (t *term) finish(o Order, resp *wire.EngineOrderResponse, err error, loadTime time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sent[o.Engine]
	c := Copy{Engine: o.Engine, Model: o.Model}
	switch {
	case err == nil && resp.GetAccepted():
		s.answered = now
		delete(t.failed, c)
		delete(t.failedModels, o.Model)
		return
	case err != nil && o.Action == Load:
		s.answered, s.readUntil = now, now.Add(loadTime)
	default:
		delete(t.sent, o.Engine)
	}
	t.failed[c] = Failure{Count: t.failed[c].Count + 1, At: now}
	t.failedModels[o.Model] = Failure{Count: t.failedModels[o.Model].Count + 1, At: now}
}
