package agent

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// service implements the twirp service of the agent.
type service struct {
	a *Agent
}

// Settle implements wire.Agent. It blocks an attempt that never started here, so that its
// response stays correct if a delayed message with the attempt arrives later.
func (s *service) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error) {
	resp := &wire.SettleResponse{Incarnation: s.a.incarnation, Revision: s.a.o.Config.Revision()}
	if r.GetIncarnation() != s.a.incarnation {
		resp.State = wire.SettleState_SETTLE_STATE_OTHER_INCARNATION
		return resp, nil
	}
	state, result := s.a.table.block(r.GetAttempt())
	switch {
	case state == stateBlocked:
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
	return &wire.CancelResponse{Found: s.a.table.cancel(r.GetAttempt())}, nil
}

// Refusals of EngineOrder.
const (
	refusedStaleFence   = "stale_fence"
	refusedUnknownFence = "fence_not_learned"
)

// EngineOrder implements wire.Agent. It responds when the target has executed the order,
// which takes as long as loading a model.
func (s *service) EngineOrder(ctx context.Context, r *wire.EngineOrderRequest) (*wire.EngineOrderResponse, error) {
	ctx, end, refusal := s.a.fencing.admit(ctx, r.GetFence())
	if refusal != "" {
		s.a.o.Metrics.CountReason("agent_engine_order_refusals", refusal)
		return &wire.EngineOrderResponse{Refusal: refusal, Fence: s.a.fencing.highestToken()}, nil
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
		return &wire.EngineOrderResponse{Refusal: refusedStaleFence, Fence: s.a.fencing.highestToken()}, nil
	}
	if err != nil {
		return &wire.EngineOrderResponse{Refusal: "target_refused: " + err.Error(), Fence: r.GetFence()}, nil
	}
	// The order may have changed the loaded models, by which entries route.
	s.a.refreshInfo(ctx)
	return &wire.EngineOrderResponse{Accepted: true, Fence: r.GetFence()}, nil
}
