package ledger

import (
	"maps"
	"slices"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// setDrain sets or clears the draining state of a target.
func (s *state) setDrain(c *wire.SetDrain) *wire.Result {
	if field := firstMissing("target", c.GetTarget()); field != "" {
		return rejectInvalid(field)
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

// grantFence returns a fencing token that is larger than all earlier tokens of the
// scope. A retried command also gets a larger token, which is harmless.
func (s *state) grantFence(c *wire.GrantFence) *wire.Result {
	if field := firstMissing("scope", c.GetScope(), "holder", c.GetHolder()); field != "" {
		return rejectInvalid(field)
	}
	fence := s.fences[c.GetScope()].GetFence() + 1
	s.fences[c.GetScope()] = &wire.FenceRecord{Scope: c.GetScope(), Fence: fence, Holder: c.GetHolder()}
	return &wire.Result{Fence: fence}
}
