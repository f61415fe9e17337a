package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// settle asks the agent what became of the attempt until the deadline. It goes
// on in the background when the caller has to be told that it isn't known.
func (o *orderRun) settle(ctx context.Context, r *wire.OrderRecord) *answer {
	for {
		a, settled := o.settleOnce(ctx, r)
		if settled {
			return a
		}
		if o.e.o.Timers.Sleep(ctx, settlePause) != nil {
			o.later(ctx, r)
			return a
		}
	}
}

// settleOnce asks the agent once. It reports whether the answer is final for
// this request.
func (o *orderRun) settleOnce(ctx context.Context, r *wire.OrderRecord) (a *answer, settled bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleCall)
	defer cancel()
	resp, err := o.e.agentAt(r.GetAgentAddress()).Settle(ctx, &wire.SettleRequest{
		Attempt: r.GetAttempt(), Incarnation: r.GetIncarnation(), Sender: o.e.o.Name, Revision: o.e.o.Config.Revision(),
	})
	if err != nil {
		return o.unknown("the agent that was given the order does not answer"), false
	}
	switch resp.GetState() {
	case wire.SettleState_SETTLE_STATE_FINISHED:
		return o.settleFinished(ctx, r, resp.GetResult()), true
	case wire.SettleState_SETTLE_STATE_RUNNING:
		return o.unknown("the order is still running"), false
	case wire.SettleState_SETTLE_STATE_BARRED:
		return o.settleBarred(r), true
	case wire.SettleState_SETTLE_STATE_OTHER_INCARNATION:
		o.record(r, wire.OrderState_ORDER_STATE_UNKNOWN, nil, "agent_restarted")
		return o.unknown("the agent that was given the order was restarted and can't tell whether it ran"), true
	}
	o.record(r, wire.OrderState_ORDER_STATE_UNKNOWN, nil, "agent_forgot")
	return o.unknown("the agent no longer holds the outcome of the order"), true
}

func (o *orderRun) settleFinished(ctx context.Context, r *wire.OrderRecord, res *wire.AttemptResult) *answer {
	if res.GetError() == "" || res.GetRan() {
		return o.recordResult(ctx, r, res)
	}
	o.record(r, wire.OrderState_ORDER_STATE_NOT_RUN, nil, res.GetError())
	return &answer{outcome: outcomeNotRun, reason: reasonTargetRefused, detail: "the agent reports: " + res.GetError()}
}

// settleBarred answers an attempt that never started and can't start any more.
// The agent's answer alone makes "not run" true; the record lets a resend run.
func (o *orderRun) settleBarred(r *wire.OrderRecord) *answer {
	o.record(r, wire.OrderState_ORDER_STATE_NOT_RUN, nil, "barred")
	return &answer{outcome: outcomeNotRun, reason: reasonConnectionLost, detail: "the order never reached its target, and the agent has barred it; it may be sent again"}
}

// withdraw records in the background that a claim whose answer was lost was never
// sent. The claim may be committed late, for instance after a cut, and would then
// look like an order that a person has to settle.
func (o *orderRun) withdraw(ctx context.Context, claim *wire.ClaimOrder) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	o.e.background.Go(func() {
		defer cancel()
		for !o.e.leaving.Load() && o.e.o.Timers.Sleep(ctx, time.Second) == nil {
			result := o.record(claimRecord(claim), wire.OrderState_ORDER_STATE_NOT_RUN, nil, reasonNoQuorum)
			if result != nil && result.GetRefusal() != ledger.RefusedOrderUnknown {
				return
			}
		}
	})
}

// later goes on settling after the caller was answered.
func (o *orderRun) later(ctx context.Context, r *wire.OrderRecord) {
	o.e.o.Metrics.Count("entry_orders_settled_later", 1)
	klog.InfoS("Order outcome open", "customer", r.GetCustomer(), "order", r.GetOrderId(), "agent", r.GetAgent())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	o.e.background.Go(func() {
		defer cancel()
		for {
			if _, settled := o.settleOnce(ctx, r); settled {
				return
			}
			if o.e.leaving.Load() || o.e.o.Timers.Sleep(ctx, time.Second) != nil {
				o.record(r, wire.OrderState_ORDER_STATE_UNKNOWN, nil, "agent_silent")
				return
			}
		}
	})
}
