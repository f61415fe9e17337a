package ledger

import (
	"maps"
	"slices"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// setDrain marks a target as draining or takes the mark away.
func (s *state) setDrain(c *wire.SetDrain) *wire.Result {
	if field := missing("target", c.GetTarget()); field != "" {
		return invalid(field)
	}
	_, draining := s.drains[c.GetTarget()]
	if draining == c.GetDraining() {
		return &wire.Result{Repeated: true}
	}
	if c.GetDraining() {
		s.drains[c.GetTarget()] = struct{}{}
	} else {
		delete(s.drains, c.GetTarget())
	}
	return &wire.Result{}
}

func (s *state) drainNames() []string {
	return slices.Sorted(maps.Keys(s.drains))
}

// grantFence returns a fencing token that is larger than all earlier ones of
// the scope. A resend gets a larger token too, which is harmless.
func (s *state) grantFence(c *wire.GrantFence) *wire.Result {
	if field := missing("scope", c.GetScope(), "holder", c.GetHolder()); field != "" {
		return invalid(field)
	}
	fence := s.fences[c.GetScope()].GetFence() + 1
	s.fences[c.GetScope()] = &wire.FenceRecord{Scope: c.GetScope(), Fence: fence, Holder: c.GetHolder()}
	return &wire.Result{Fence: fence}
}
