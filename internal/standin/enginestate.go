package standin

import "slices"

// engineState is what engine orders change. Its owner guards it.
type engineState struct {
	models []string
	fence  uint64
	checks bool
}

func newEngineState(o EngineOptions) engineState {
	return engineState{models: slices.Clone(o.Models), checks: o.ChecksFencing}
}

func (s *engineState) names() []string {
	return append([]string{}, s.models...)
}

// admit checks the fencing token and the model of a call. An engine without
// listed models runs every model.
func (s *engineState) admit(r StageRequest) error {
	if err := s.pass(r.Fence); err != nil {
		return err
	}
	if r.Model != "" && len(s.models) > 0 && !slices.Contains(s.models, r.Model) {
		return errUnknownModel
	}
	return nil
}

// pass refuses a fencing token below the highest one seen. A call without a
// token passes.
func (s *engineState) pass(fence uint64) error {
	if fence == 0 {
		return nil
	}
	if s.checks && fence < s.fence {
		return errStaleFence
	}
	s.fence = max(s.fence, fence)
	return nil
}
