package agent

import "sync"

// fenceGuard refuses engine orders that carry a stale fencing token, also for
// targets that ignore the token. Until a quorum-confirmed heartbeat answer has
// named the current token, every order is refused, because an agent without a
// disk can't know what its last incarnation had seen.
type fenceGuard struct {
	mu      sync.Mutex
	learned bool
	highest uint64
}

func (g *fenceGuard) learn(fence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learned = true
	g.highest = max(g.highest, fence)
}

// admit reports whether an order with this token may pass, and why not.
func (g *fenceGuard) admit(fence uint64) (ok bool, why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.learned:
		return false, "fence_not_learned"
	case fence < g.highest:
		return false, "stale_fence"
	}
	g.highest = fence
	return true, ""
}

func (g *fenceGuard) current() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest
}
