package placement

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// settleTime is how long an acknowledged order counts as in flight unless the roster
// shows its effect earlier. Agents report their target every 2 s.
const settleTime = 10 * time.Second

// sentOrder is an order that was sent to an agent.
type sentOrder struct {
	order Order
	// acknowledgedAt is when the response arrived; zero before.
	acknowledgedAt time.Time
	// mayReadUntil is the time until which a load with an unknown outcome may still
	// read.
	mayReadUntil time.Time
}

// term is the state of the Runner in one term of this VM's leadership. It is
// discarded at the end of the term.
type term struct {
	number    uint64
	fence     uint64
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc

	levels copyTargets

	mu           sync.Mutex
	ended        bool
	sent         map[string]*sentOrder // by engine
	since        map[Copy]time.Time
	failed       map[Copy]Failure
	failedModels map[string]Failure
}

func newTerm(ctx context.Context, number, fence uint64, now time.Time) *term {
	t := &term{
		number: number, fence: fence, startedAt: now, levels: make(copyTargets), sent: make(map[string]*sentOrder),
		since: make(map[Copy]time.Time), failed: make(map[Copy]Failure), failedModels: make(map[string]Failure),
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

// end cancels the orders of the term and prevents further ones.
func (t *term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.cancel()
}

func (t *term) isEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// observe records new copies and removes the orders whose effect is visible in the
// roster or whose settle time has passed.
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
		if s := t.sent[e.Name]; s != nil && s.isVisible(e) {
			delete(t.sent, e.Name)
		}
	}
	for c := range t.since {
		if _, ok := seen[c]; !ok {
			delete(t.since, c)
		}
	}
	for name, s := range t.sent {
		if s.isSettled(now) {
			delete(t.sent, name)
		}
	}
}

// isVisible reports whether the roster shows the effect of an acknowledged order.
func (s *sentOrder) isVisible(e *Engine) bool {
	return !s.acknowledgedAt.IsZero() && s.mayReadUntil.IsZero() && e.has(s.order.Model) == (s.order.Action == Load)
}

func (s *sentOrder) isSettled(now time.Time) bool {
	if s.acknowledgedAt.IsZero() {
		return false
	}
	if !s.mayReadUntil.IsZero() {
		return !now.Before(s.mayReadUntil)
	}
	return now.Sub(s.acknowledgedAt) >= settleTime
}

// addTo adds the state of the term to s.
func (t *term) addTo(s *State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Wanted, s.Since, s.Failed, s.FailedModels = t.levels.copies(), t.since, t.failed, t.failedModels
	for _, o := range t.sent {
		reading := o.order.Action == Load && (o.acknowledgedAt.IsZero() || !o.mayReadUntil.IsZero())
		s.Orders = append(s.Orders, InFlight{Order: o.order, Reading: reading})
	}
}

// plan calls Plan with the mutex held, which protects the maps of s.
func (t *term) plan(s *State, now time.Time) []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Plan(s, now)
}

func (t *term) addOrder(o Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[o.Engine] = &sentOrder{order: o}
}

// recordOutcome records the outcome of an order. A load without a response may
// still be reading, so it counts against the read rate for the duration of a load.
func (t *term) recordOutcome(o Order, resp *wire.EngineOrderResponse, err error, loadTime time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sent[o.Engine]
	c := Copy{Engine: o.Engine, Model: o.Model}
	switch {
	case err == nil && resp.GetAccepted():
		s.acknowledgedAt = now
		delete(t.failed, c)
		delete(t.failedModels, o.Model)
		return
	case err != nil && o.Action == Load:
		s.acknowledgedAt, s.mayReadUntil = now, now.Add(loadTime)
	default:
		delete(t.sent, o.Engine)
	}
	t.failed[c] = Failure{Count: t.failed[c].Count + 1, At: now}
	t.failedModels[o.Model] = Failure{Count: t.failedModels[o.Model].Count + 1, At: now}
}
