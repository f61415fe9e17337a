package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// resolve queries the agent for the outcome of the attempt until the deadline. It
// continues in the background if the caller gets the outcome unknown.
func (o *orderRun) resolve(ctx context.Context, r *wire.OrderRecord) *answer {
	for {
		a, settled := o.resolveOnce(ctx, r)
		if settled {
			return a
		}
		if o.e.o.Timers.Sleep(ctx, resolveInterval) != nil {
			o.resolveInBackground(ctx, r)
			return a
		}
	}
}

// resolveOnce queries the agent once. It reports whether the answer is final for this
// request.
func (o *orderRun) resolveOnce(ctx context.Context, r *wire.OrderRecord) (a *answer, settled bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveCallTimeout)
	defer cancel()
	resp, err := o.e.agentClient(r.GetAgentAddress()).Settle(ctx, &wire.SettleRequest{
		Attempt: r.GetAttempt(), Incarnation: r.GetIncarnation(), Sender: o.e.o.Name, Revision: o.e.o.Config.Revision(),
	})
	if err != nil {
		return o.unknownAnswer("the agent that received the order does not respond"), false
	}
	switch resp.GetState() {
	case wire.SettleState_SETTLE_STATE_FINISHED:
		return o.answerFinished(ctx, r, resp.GetResult()), true
	case wire.SettleState_SETTLE_STATE_RUNNING:
		return o.unknownAnswer("the order is still running"), false
	case wire.SettleState_SETTLE_STATE_BARRED:
		return o.answerBlocked(r), true
	case wire.SettleState_SETTLE_STATE_OTHER_INCARNATION:
		o.record(r, wire.OrderState_ORDER_STATE_UNKNOWN, nil, "agent_restarted")
		return o.unknownAnswer("the agent that received the order was restarted and has no record of its outcome"), true
	}
	o.record(r, wire.OrderState_ORDER_STATE_UNKNOWN, nil, "agent_forgot")
	return o.unknownAnswer("the agent no longer stores the outcome of the order"), true
}

func (o *orderRun) answerFinished(ctx context.Context, r *wire.OrderRecord, res *wire.AttemptResult) *answer {
	if res.GetError() == "" || res.GetRan() {
		return o.recordResult(ctx, r, res)
	}
	o.record(r, wire.OrderState_ORDER_STATE_NOT_RUN, nil, res.GetError())
	return &answer{outcome: outcomeNotRun, reason: reasonTargetRefused, detail: "the agent reports: " + res.GetError()}
}

// answerBlocked answers for an attempt that never started and was blocked by the agent.
// The agent's response alone makes "not run" correct; the record allows a retry to run.
func (o *orderRun) answerBlocked(r *wire.OrderRecord) *answer {
	o.record(r, wire.OrderState_ORDER_STATE_NOT_RUN, nil, "barred")
	return &answer{outcome: outcomeNotRun, reason: reasonConnectionLost, detail: "the order never reached its target, and the agent has blocked the attempt; it may be retried"}
}

// withdrawClaim records in the background that a claim without a response was never sent. The
// claim may be committed late, for instance after a network partition, and would then look
// like an order that an operator has to resolve.
func (o *orderRun) withdrawClaim(ctx context.Context, claim *wire.ClaimOrder) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	o.e.background.Go(func() {
		defer cancel()
		for !o.e.leaving.Load() && o.e.o.Timers.Sleep(ctx, time.Second) == nil {
			result := o.record(newClaimRecord(claim), wire.OrderState_ORDER_STATE_NOT_RUN, nil, reasonNoQuorum)
			if result != nil && result.GetRefusal() != ledger.RefusedOrderUnknown {
				return
			}
		}
	})
}

// resolveInBackground continues to resolve the outcome after the response to the caller.
func (o *orderRun) resolveInBackground(ctx context.Context, r *wire.OrderRecord) {
	o.e.o.Metrics.Count("entry_orders_settled_later", 1)
	klog.InfoS("Order outcome unknown, resolving in the background", "customer", r.GetCustomer(), "order", r.GetOrderId(), "agent", r.GetAgent())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	o.e.background.Go(func() {
		defer cancel()
		for {
			if _, settled := o.resolveOnce(ctx, r); settled {
				return
			}
			if o.e.leaving.Load() || o.e.o.Timers.Sleep(ctx, time.Second) != nil {
				o.record(r, wire.OrderState_ORDER_STATE_UNKNOWN, nil, "agent_silent")
				return
			}
		}
	})
}
