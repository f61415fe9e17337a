package agent

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// errNewerFence is the cause that ends an order whose token was superseded.
var errNewerFence = errors.New("a newer fencing token was learned")

// fenceGuard refuses engine orders that carry a stale fencing token, also for
// targets that ignore the token. Until a quorum-confirmed heartbeat answer has
// named the current token, every order is refused, because an agent without a
// disk can't know what its last incarnation had seen.
//
// A newer token also ends the orders that run under an older one, so that the
// loads of a deposed leader don't read from the weight store beside those of the
// next one.
type fenceGuard struct {
	mu      sync.Mutex
	learned bool
	highest uint64
	running map[*fencedOrder]struct{}
}

// fencedOrder is an engine order that the target is carrying out.
type fencedOrder struct {
	fence  uint64
	cancel context.CancelCauseFunc
}

func (g *fenceGuard) learn(fence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learned = true
	g.raise(fence)
}

// raise notes a token and ends the orders with older ones.
func (g *fenceGuard) raise(fence uint64) {
	if fence <= g.highest {
		return
	}
	g.highest = fence
	for o := range g.running {
		if o.fence < fence {
			o.cancel(errNewerFence)
		}
	}
}

// admit returns the context for an order with this token and the function to
// call at its end, or why the order may not pass.
func (g *fenceGuard) admit(ctx context.Context, fence uint64) (_ context.Context, end func(), why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.learned:
		return nil, nil, refusedNotLearned
	case fence < g.highest:
		return nil, nil, refusedStale
	}
	g.raise(fence)
	ctx, cancel := context.WithCancelCause(ctx)
	o := &fencedOrder{fence: fence, cancel: cancel}
	if g.running == nil {
		g.running = make(map[*fencedOrder]struct{})
	}
	g.running[o] = struct{}{}
	return ctx, func() { g.end(o) }, ""
}

func (g *fenceGuard) end(o *fencedOrder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, o)
	o.cancel(nil)
}

func (g *fenceGuard) current() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest
}
