package entry

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/agent"
	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// addressTimeout bounds the question for an agent's clock.
	addressTimeout = 400 * time.Millisecond
	// claimTimeout bounds the commit of a claim. After it the attempt is dropped
	// unsent, so "not run" is true.
	claimTimeout = 1500 * time.Millisecond
	// recordTimeout bounds one try to record an outcome.
	recordTimeout = 2 * time.Second
	// settleTimeout bounds the settling that goes on after the caller was told
	// that the outcome is unknown.
	settleTimeout = time.Minute
	settlePause   = 50 * time.Millisecond
	settleCall    = 800 * time.Millisecond
	// claimGrace is how long another entry may take between its claim and its
	// attempt. Barring the attempt earlier would make two entries that hold the
	// same order bar each other.
	claimGrace = 400 * time.Millisecond
	// maxClaims bounds the claims that one request makes after attempts that did not run.
	maxClaims = 4
)

// orderRun is one request for an order that must not repeat.
type orderRun struct {
	e       *Entry
	s       *serviceState
	c       *call
	orderID string
	// first is set when the caller says that no earlier request used this order id.
	first bool
	began time.Time
	tried []string
}

// newOrder returns the run of a call that must not repeat. The order is claimed durably before
// it is sent, and after it may have been sent it is never sent again.
func (e *Entry) newOrder(c *call, orderID string, first bool) *orderRun {
	return &orderRun{e: e, s: e.service(c.service, c.policy), c: c, orderID: orderID, first: first, began: e.o.Timers.Now()}
}

// run carries the order out, or tells the recorded outcome of an earlier request for it.
func (o *orderRun) run(ctx context.Context) *answer {
	a := o.admitAndRun(ctx)
	a.orderID = o.orderID
	return a
}

func (o *orderRun) admitAndRun(ctx context.Context) *answer {
	o.e.estimate(o.c)
	ticket, err := o.e.acquire(ctx, o.s, o.c)
	if err != nil {
		return o.refuse(ctx, err)
	}
	a, outcome := o.claimAndSend(ctx)
	now := o.e.o.Timers.Now()
	if done, ok := outcome.(admission.Completed); ok {
		done.Latency = now.Sub(o.began)
		outcome = done
	}
	deliver(o.s.queue.Finish(ticket, outcome, now))
	if a.outcome == outcomeDone && !a.repeated {
		o.e.estimator.Observe(o.c.key, now.Sub(o.began), now)
	}
	return a
}

// refuse answers a request that was refused before a claim. An earlier request
// for the same order may have run, so its record decides what is true.
func (o *orderRun) refuse(ctx context.Context, cause error) *answer {
	a := refused(cause)
	a.orderID = o.orderID
	r, err := o.e.queryOrder(ctx, o.c.customer.Name(), o.orderID)
	switch {
	case err != nil:
		return o.notKnown(a)
	case r == nil || r.GetState() == wire.OrderState_ORDER_STATE_NOT_RUN:
		return a
	}
	return o.tellRecorded(ctx, r)
}

// notKnown makes an answer about this attempt true for the order. Without a
// quorum nobody can say whether an earlier request for the order has run, so
// "not run" needs the caller's statement that there was none.
func (o *orderRun) notKnown(a *answer) *answer {
	if o.first {
		return a
	}
	a.outcome = outcomeUnknown
	a.detail += "; this attempt was not sent and never will be, but whether an earlier request with the same order id has run can't be read now"
	return a
}

// queryOrder reads the record of an order, or nil when there is none.
func (e *Entry) queryOrder(ctx context.Context, customer, orderID string) (*wire.OrderRecord, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	resp, err := e.o.Control.Query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Order{Order: &wire.OrderQuery{Customer: customer, OrderId: orderID}}})
	if err != nil || !resp.GetFound() {
		return nil, err
	}
	return resp.GetOrder(), nil
}

func (o *orderRun) claimAndSend(ctx context.Context) (*answer, admission.Outcome) {
	last := &callError{reason: reasonNoTarget, detail: "no target took the order"}
	for range maxClaims {
		choice, err := o.s.pool.Pick(routing.Request{Exclude: o.tried}, o.e.o.Timers.Now())
		if err != nil {
			if len(o.tried) == 0 {
				last = &callError{reason: reasonNoTarget, detail: err.Error()}
			}
			return o.refuse(ctx, last), admission.Dropped{}
		}
		o.tried = append(o.tried, choice.Target)
		addressedAt, err := o.address(ctx, choice)
		if err != nil {
			last = &callError{reason: reasonConnectionLost, detail: err.Error()}
			continue
		}
		claim := o.newClaim(choice)
		result, err := o.claim(ctx, claim)
		if err != nil {
			o.s.pool.Finish(choice, routing.Canceled{}, o.e.o.Timers.Now())
			o.withdraw(ctx, claim)
			return o.noClaim(err), admission.Dropped{}
		}
		if result.GetRefusal() != "" {
			o.s.pool.Finish(choice, routing.Canceled{}, o.e.o.Timers.Now())
			return o.tellRefusal(ctx, result), admission.Dropped{}
		}
		o.c.timeline.claimed(claim)
		v := o.attempt(ctx, choice, claim, addressedAt)
		if v.answer != nil {
			return v.answer, v.outcome
		}
		last = v.notRun
	}
	return o.refuse(ctx, last), admission.Dropped{}
}

// address asks the chosen agent for its clock, before the claim. The agent refuses
// the order a while later, so that an entry that was frozen can't start it then.
func (o *orderRun) address(ctx context.Context, choice routing.Choice) (clockMs int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	resp, err := o.e.agentAt(choice.Address).Clock(ctx, &wire.ClockRequest{Sender: o.e.o.Name, Revision: o.e.o.Config.Revision()})
	now := o.e.o.Timers.Now()
	switch {
	case err != nil:
		o.s.pool.Finish(choice, routing.Failure{}, now)
		return 0, errors.Wrapf(err, "ask agent of %s for its clock", choice.Target)
	case resp.GetIncarnation() != choice.Incarnation:
		o.s.pool.Finish(choice, routing.Draining{}, now)
		return 0, errors.Errorf("agent of %s was restarted", choice.Target)
	}
	return resp.GetClockMs(), nil
}

func (o *orderRun) newClaim(choice routing.Choice) *wire.ClaimOrder {
	hash := sha256.New()
	for _, part := range []string{o.c.service.Name(), o.c.operation.Name(), string(o.c.input)} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return &wire.ClaimOrder{
		Customer:     o.c.customer.Name(),
		OrderId:      o.orderID,
		BodyHash:     hash.Sum(nil),
		Attempt:      attempt.NewID(),
		Agent:        choice.Target,
		Incarnation:  choice.Incarnation,
		AgentAddress: choice.Address,
		Entry:        o.e.o.Name,
		Service:      o.c.service.Name(),
		Operation:    o.c.operation.Name(),
		Request:      o.c.request,
		DeadlineMs:   time.Now().Add(o.c.deadline.Sub(o.e.o.Timers.Now())).UnixMilli(),
	}
}

func (o *orderRun) claim(ctx context.Context, claim *wire.ClaimOrder) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return o.e.o.Control.Execute(ctx, &wire.Command{Kind: &wire.Command_ClaimOrder{ClaimOrder: claim}})
}

// noClaim answers a claim without an answer. The claim may still be committed,
// but its attempt was not sent and never will be.
func (o *orderRun) noClaim(err error) *answer {
	o.e.o.Metrics.Count("entry_claims_without_quorum", 1)
	return o.notKnown(&answer{
		outcome: outcomeNotRun, reason: reasonNoQuorum,
		detail: "the order could not be recorded: " + err.Error(),
	})
}

// tellRefusal answers a claim that the replicated state refused.
func (o *orderRun) tellRefusal(ctx context.Context, result *wire.Result) *answer {
	switch result.GetRefusal() {
	case ledger.RefusedOrderExists:
		return o.tellRecorded(ctx, result.GetOrder())
	}
	return &answer{outcome: outcomeNotRun, reason: result.GetRefusal(), detail: result.GetDetail()}
}

// sent is what follows from one attempt: an answer, or why the attempt did not run.
type sent struct {
	answer  *answer
	outcome admission.Outcome
	notRun  *callError
}

func (o *orderRun) attempt(ctx context.Context, choice routing.Choice, claim *wire.ClaimOrder, addressedAt int64) sent {
	left := min(o.c.deadline.Sub(o.e.o.Timers.Now()), o.c.operation.Timeout())
	if left <= 0 || left < o.c.expected || ctx.Err() != nil {
		// Sent now, the order would most likely end as unknown.
		o.s.pool.Finish(choice, routing.Canceled{}, o.e.o.Timers.Now())
		err := &callError{reason: reasonDeadline, detail: "too little time was left when the order was recorded, so it was not sent"}
		o.recordNotRun(claim, err)
		return sent{answer: refused(err), outcome: admission.Dropped{}}
	}
	req := o.e.newAttempt(o.c, choice, left)
	req.Attempt = claim.GetAttempt()
	req.Incarnation = claim.GetIncarnation()
	req.OrderId = o.orderID
	req.AddressedAtMs = addressedAt
	o.c.timeline.dispatched(o.c.stage, choice, req.GetAttempt())
	began := o.e.o.Timers.Now()
	// The attempt outlives a caller that closes the connection, because its
	// outcome must be recorded.
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left+settlePause)
	defer cancel()
	end := o.e.attempts.Do(sendCtx, claim.GetAgentAddress(), req, nil)
	return o.judge(ctx, choice, claim, end, o.e.o.Timers.Since(began))
}

func (o *orderRun) judge(ctx context.Context, choice routing.Choice, claim *wire.ClaimOrder, end attempt.End, latency time.Duration) sent {
	now := o.e.o.Timers.Now()
	switch end := end.(type) {
	case *attempt.Finished:
		o.e.report(o.s, choice.Target, end.Result().GetLoad())
		return o.judgeResult(ctx, choice, claim, end.Result(), latency)
	case *attempt.Refused:
		r := end.Refusal()
		o.s.pool.Finish(choice, refusalOutcome(r), now)
		if r.GetReason() == attempt.ReasonStaleRevision {
			o.e.learnFrom(ctx, choice.Address)
			o.tried = o.tried[:len(o.tried)-1]
		}
		return o.notRun(claim, &callError{reason: r.GetReason(), detail: r.GetDetail()})
	case *attempt.NotSent:
		o.s.pool.Finish(choice, routing.Failure{}, now)
		return o.notRun(claim, &callError{reason: reasonConnectionLost, detail: end.Err().Error()})
	case *attempt.Lost:
		if end.Unresponsive() {
			o.e.o.Metrics.Count("entry_silent_connections", 1)
			o.s.pool.Finish(choice, routing.UnresponsiveConnection{}, now)
		} else {
			o.s.pool.Finish(choice, routing.Failure{}, now)
		}
		return sent{answer: o.settle(ctx, claimRecord(claim)), outcome: admission.Dropped{}}
	}
	return sent{answer: o.unknown("the attempt ended in an unknown way"), outcome: admission.Dropped{}}
}

func refusalOutcome(r *wire.Refused) routing.Outcome {
	switch r.GetReason() {
	case attempt.ReasonLeaving, attempt.ReasonNotReady, attempt.ReasonOtherIncarnation:
		return routing.Draining{}
	case attempt.ReasonOverloaded:
		return routing.Overloaded{}
	}
	return routing.Canceled{}
}

func (o *orderRun) judgeResult(ctx context.Context, choice routing.Choice, claim *wire.ClaimOrder, r *wire.AttemptResult, latency time.Duration) sent {
	now := o.e.o.Timers.Now()
	switch {
	case r.GetError() == "":
		o.s.pool.Finish(choice, routing.Success{Latency: latency, Expected: o.c.expected}, now)
		return sent{answer: o.recordResult(ctx, claimRecord(claim), r), outcome: completed(latency, time.Duration(r.GetBusyUs())*time.Microsecond)}
	case r.GetError() == agent.ErrorOverloaded:
		o.s.pool.Finish(choice, routing.Overloaded{}, now)
		return o.notRun(claim, &callError{reason: agent.ErrorOverloaded, detail: "the target's queue is full"})
	case !r.GetRan():
		o.s.pool.Finish(choice, routing.Failure{}, now)
		return o.notRun(claim, &callError{reason: reasonTargetRefused, detail: r.GetError()})
	}
	o.s.pool.Finish(choice, routing.Failure{}, now)
	return sent{answer: o.recordResult(ctx, claimRecord(claim), r), outcome: admission.Dropped{}}
}

// notRun records that the claimed attempt did not run. Without the record, no
// other attempt is made, because the claim still stands.
func (o *orderRun) notRun(claim *wire.ClaimOrder, err *callError) sent {
	if !o.recordNotRun(claim, err) {
		return sent{answer: refused(err), outcome: admission.Dropped{}}
	}
	return sent{notRun: err}
}

func (o *orderRun) recordNotRun(claim *wire.ClaimOrder, err *callError) bool {
	o.c.timeline.retried(o.c.stage, claim.GetAgent(), err.reason)
	result := o.record(claimRecord(claim), wire.OrderState_ORDER_STATE_NOT_RUN, nil, err.reason)
	return result != nil && result.GetRefusal() == ""
}

func claimRecord(c *wire.ClaimOrder) *wire.OrderRecord {
	return &wire.OrderRecord{
		Customer: c.GetCustomer(), OrderId: c.GetOrderId(), Attempt: c.GetAttempt(), Agent: c.GetAgent(),
		Incarnation: c.GetIncarnation(), AgentAddress: c.GetAgentAddress(), State: wire.OrderState_ORDER_STATE_CLAIMED,
	}
}

var outcomeNames = map[wire.OrderState]string{
	wire.OrderState_ORDER_STATE_DONE:    outcomeDone,
	wire.OrderState_ORDER_STATE_NOT_RUN: outcomeNotRun,
	wire.OrderState_ORDER_STATE_UNKNOWN: outcomeUnknown,
	wire.OrderState_ORDER_STATE_FAILED:  outcomeFailed,
}

// record commits an outcome. It returns nil when no control VM answered in time.
func (o *orderRun) record(r *wire.OrderRecord, state wire.OrderState, result []byte, reason string) *wire.Result {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	res, err := o.e.o.Control.Execute(ctx, &wire.Command{Kind: &wire.Command_RecordOutcome{RecordOutcome: &wire.RecordOutcome{
		Customer: r.GetCustomer(), OrderId: r.GetOrderId(), Attempt: r.GetAttempt(), State: state, Result: result, Reason: reason,
	}}})
	if err != nil {
		o.e.o.Metrics.Count("entry_outcomes_not_recorded", 1)
		return nil
	}
	if res.GetRefusal() == "" {
		o.c.timeline.settled(r.GetOrderId(), outcomeNames[state], reason)
	}
	return res
}

// recordResult records the agent's result of an attempt that ran and answers with it.
func (o *orderRun) recordResult(ctx context.Context, r *wire.OrderRecord, res *wire.AttemptResult) *answer {
	if res.GetError() != "" {
		o.record(r, wire.OrderState_ORDER_STATE_UNKNOWN, nil, res.GetError())
		return o.unknown("the target did not answer the order properly (" + res.GetError() + "), so it may have run")
	}
	out := string(res.GetOutput())
	if o.record(r, wire.OrderState_ORDER_STATE_DONE, res.GetOutput(), "") == nil {
		o.later(ctx, r)
	}
	return &answer{outcome: outcomeDone, output: &out, stages: []stageReply{{stage: o.c.stage, reply: &reply{
		target: r.GetAgent(), attempts: len(o.tried), took: o.e.o.Timers.Since(o.began), busy: time.Duration(res.GetBusyUs()) * time.Microsecond,
	}}}}
}

func (o *orderRun) unknown(detail string) *answer {
	return &answer{outcome: outcomeUnknown, reason: reasonConnectionLost, detail: detail + "; ask again with the same order id to learn the recorded outcome"}
}

// tellRecorded answers from the record of an earlier request for the same order.
func (o *orderRun) tellRecorded(ctx context.Context, r *wire.OrderRecord) *answer {
	switch r.GetState() {
	case wire.OrderState_ORDER_STATE_DONE:
		out := string(r.GetResult())
		return &answer{outcome: outcomeDone, output: &out, repeated: true}
	case wire.OrderState_ORDER_STATE_FAILED:
		return &answer{outcome: outcomeFailed, reason: r.GetReason(), detail: "the recorded outcome of this order", repeated: true}
	case wire.OrderState_ORDER_STATE_NOT_RUN:
		return &answer{outcome: outcomeNotRun, reason: r.GetReason(), detail: "the recorded outcome of this order; it may be sent again", repeated: true}
	}
	if r.GetState() == wire.OrderState_ORDER_STATE_CLAIMED {
		_ = o.e.o.Timers.Sleep(ctx, claimGrace)
		again, err := o.e.queryOrder(ctx, r.GetCustomer(), r.GetOrderId())
		if err == nil && again != nil {
			if again.GetState() != wire.OrderState_ORDER_STATE_CLAIMED && again.GetState() != wire.OrderState_ORDER_STATE_UNKNOWN {
				return o.tellRecorded(ctx, again)
			}
			r = again
		}
	}
	a := o.settle(ctx, r)
	a.repeated = true
	return a
}
