package agent

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// errNewerFence is the cause of cancellation of an order whose fencing token was
// superseded.
var errNewerFence = errors.New("superseded by a newer fencing token")

// fenceGuard refuses engine orders with a stale fencing token, also on behalf of targets
// that ignore the token. Until a quorum-confirmed heartbeat response has contained the
// current token, it refuses every order, because an agent has no disk and doesn't know the
// tokens that its previous incarnation received.
//
// A newer token also cancels the orders that run under an older one, so that model loads
// of a former leader don't compete with those of the new leader for the bandwidth of the
// weight store.
type fenceGuard struct {
	mu          sync.Mutex
	initialized bool
	highest     uint64
	running     map[*fencedOrder]struct{}
}

// fencedOrder is an engine order that is running at the target.
type fencedOrder struct {
	fence  uint64
	cancel context.CancelCauseFunc
}

func (g *fenceGuard) update(fence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialized = true
	g.raise(fence)
}

// raise records a token and cancels the orders with older ones.
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

// admit returns the context for an order with this token and a function to call when it
// finishes, or the reason for its refusal.
func (g *fenceGuard) admit(ctx context.Context, fence uint64) (_ context.Context, end func(), refusal string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.initialized:
		return nil, nil, refusedUnknownFence
	case fence < g.highest:
		return nil, nil, refusedStaleFence
	}
	g.raise(fence)
	ctx, cancel := context.WithCancelCause(ctx)
	o := &fencedOrder{fence: fence, cancel: cancel}
	if g.running == nil {
		g.running = make(map[*fencedOrder]struct{})
	}
	g.running[o] = struct{}{}
	return ctx, func() { g.finish(o) }, ""
}

func (g *fenceGuard) finish(o *fencedOrder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, o)
	o.cancel(nil)
}

func (g *fenceGuard) highestToken() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest
}
