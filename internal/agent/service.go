package agent

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// service is the twirp service of the agent.
type service struct {
	a *Agent
}

// Settle implements wire.Agent. An attempt that never started here is barred, so
// that the answer stays true when a delayed message arrives later.
func (s *service) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error) {
	resp := &wire.SettleResponse{Incarnation: s.a.incarnation, Revision: s.a.o.Config.Revision()}
	if r.GetIncarnation() != s.a.incarnation {
		resp.State = wire.SettleState_SETTLE_STATE_OTHER_INCARNATION
		return resp, nil
	}
	state, result := s.a.table.bar(r.GetAttempt())
	switch {
	case state == stateBarred:
		resp.State = wire.SettleState_SETTLE_STATE_BARRED
	case state == stateRunning:
		resp.State = wire.SettleState_SETTLE_STATE_RUNNING
	case state == stateFinished && result != nil:
		resp.State = wire.SettleState_SETTLE_STATE_FINISHED
		resp.Result = result
	default:
		resp.State = wire.SettleState_SETTLE_STATE_UNKNOWN
	}
	return resp, nil
}

// Config implements wire.Agent.
func (s *service) Config(_ context.Context, r *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	return &wire.ConfigResponse{Manifest: s.a.o.Config.RecordFor(r.GetKnownRevision()), Revision: s.a.o.Config.Revision()}, nil
}

// Clock implements wire.Agent.
func (s *service) Clock(context.Context, *wire.ClockRequest) (*wire.ClockResponse, error) {
	return &wire.ClockResponse{Incarnation: s.a.incarnation, ClockMs: s.a.clockMs(), Revision: s.a.o.Config.Revision()}, nil
}

// Cancel implements wire.Agent.
func (s *service) Cancel(_ context.Context, r *wire.CancelRequest) (*wire.CancelResponse, error) {
	if r.GetIncarnation() != s.a.incarnation {
		return &wire.CancelResponse{}, nil
	}
	return &wire.CancelResponse{Found: s.a.table.stop(r.GetAttempt())}, nil
}

// Refusals of EngineOrder.
const (
	refusedStale      = "stale_fence"
	refusedNotLearned = "fence_not_learned"
)

// EngineOrder implements wire.Agent. It answers when the target has carried the
// order out, which takes as long as a load.
func (s *service) EngineOrder(ctx context.Context, r *wire.EngineOrderRequest) (*wire.EngineOrderResponse, error) {
	ctx, end, why := s.a.fence.admit(ctx, r.GetFence())
	if why != "" {
		s.a.o.Metrics.CountReason("agent_engine_order_refusals", why)
		return &wire.EngineOrderResponse{Refusal: why, Fence: s.a.fence.current()}, nil
	}
	defer end()
	body := struct {
		Fence   uint64 `json:"fence"`
		Action  string `json:"action"`
		Model   string `json:"model,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
		Role    string `json:"role,omitempty"`
	}{r.GetFence(), r.GetAction(), r.GetModel(), r.GetAdapter(), r.GetVersion(), r.GetRole()}
	err := s.a.target.post(ctx, "/v1/engine-orders", body, nil)
	if err != nil && errors.Is(context.Cause(ctx), errNewerFence) {
		return &wire.EngineOrderResponse{Refusal: refusedStale, Fence: s.a.fence.current()}, nil
	}
	if err != nil {
		return &wire.EngineOrderResponse{Refusal: "target_refused: " + err.Error(), Fence: r.GetFence()}, nil
	}
	// The order may have changed the models, by which entries route.
	s.a.describe(ctx)
	return &wire.EngineOrderResponse{Accepted: true, Fence: r.GetFence()}, nil
}
