package standin

import (
	"context"
	"sync"
	"time"
)

// work is what an attempt has used so far.
type work struct {
	busy   time.Duration
	tokens int
	ran    bool
}

// pool works on operations that take a fixed time in one of its slots.
type pool struct {
	operations map[string]Operation
	queue      *slotQueue
	life       *lifetime
}

func newPool(l *lifetime, o Options) *pool {
	p := &pool{operations: make(map[string]Operation), queue: newSlotQueue(o.Slots, o.Queue), life: l}
	for _, op := range o.Operations {
		p.operations[op.Name] = op
	}
	return p
}

// run works on one attempt. Once an operation that isn't idempotent has started
// it runs to its end, whatever becomes of the caller, as such services do.
func (p *pool) run(a *activeAttempt, op Operation) (StageResult, work, error) {
	if err := p.queue.acquire(a.ctx, a.request.Priority); err != nil {
		return StageResult{}, work{}, err
	}
	defer p.queue.release()
	ctx := a.ctx
	if !op.Idempotent {
		if !a.pin() {
			return StageResult{}, work{}, context.Canceled
		}
		ctx = p.life.ctx
	}
	s := p.life.standin
	start := s.timer.Now()
	err := p.life.spend(ctx, op.Duration, a.faults.slow)
	w := work{busy: s.timer.Since(start), ran: true}
	if err != nil {
		return StageResult{}, w, err
	}
	if !op.Idempotent {
		s.book.effect(op.Name, a.request, s.timer.Now())
	}
	return StageResult{
		Attempt: a.request.Attempt, Request: a.request.Request, BusyMS: millis(w.busy),
		Output: Output(Origin(a.request.Input), a.request.Request, op.Name, a.request.Order),
	}, w, nil
}

func (p *pool) load() Load {
	queued, running := p.queue.counts()
	return Load{Queued: queued, Running: running, Models: []string{}}
}

// activeAttempt is an attempt that has not ended.
type activeAttempt struct {
	request StageRequest
	faults  callFaults
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	pinned   bool
	canceled bool
}

// pin makes the attempt run to its end. It fails when it was canceled before.
func (a *activeAttempt) pin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled || a.ctx.Err() != nil {
		return false
	}
	a.pinned = true
	return true
}

// stop cancels the attempt unless it is pinned.
func (a *activeAttempt) stop() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pinned {
		return false
	}
	a.canceled = true
	a.cancel()
	return true
}
