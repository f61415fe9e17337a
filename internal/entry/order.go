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
	// agentClockTimeout limits the query for an agent's clock.
	agentClockTimeout = 400 * time.Millisecond
	// claimTimeout limits the commit of a claim. When it expires, the attempt is dropped
	// unsent, so "not run" is correct.
	claimTimeout = 1500 * time.Millisecond
	// recordTimeout limits one attempt to record an outcome.
	recordTimeout = 2 * time.Second
	// resolveTimeout limits the resolution that continues in the background after the
	// caller got the outcome unknown.
	resolveTimeout     = time.Minute
	resolveInterval    = 50 * time.Millisecond
	resolveCallTimeout = 800 * time.Millisecond
	// claimGrace is how long another entry may take between its claim and its attempt.
	// Without it, two entries with the same order would block each other's attempts.
	claimGrace = 400 * time.Millisecond
	// maxClaims limits the targets for which one request tries to claim its order. It goes
	// on to the next after an attempt that did not run, or if it cannot read the agent's
	// clock.
	maxClaims = 4
)

// orderRun is one request for a non-idempotent order.
type orderRun struct {
	e       *Entry
	s       *serviceState
	c       *call
	orderID string
	// first is set when the caller states that no earlier request used this order id.
	first            bool
	startedAt        time.Time
	attemptedTargets []string
}

// newOrder returns the run of a non-idempotent call. The order is claimed durably before
// it is sent, and is never sent again once it may have been sent.
func (e *Entry) newOrder(c *call, orderID string, first bool) *orderRun {
	return &orderRun{e: e, s: e.service(c.service, c.policy), c: c, orderID: orderID, first: first, startedAt: e.o.Timers.Now()}
}

// run executes the order, or returns the recorded outcome of an earlier request for it.
func (o *orderRun) run(ctx context.Context) *answer {
	a := o.admitAndRun(ctx)
	a.orderID = o.orderID
	return a
}

func (o *orderRun) admitAndRun(ctx context.Context) *answer {
	o.e.setEstimates(o.c)
	ticket, err := o.e.acquireSlot(ctx, o.s, o.c)
	if err != nil {
		return o.reject(ctx, err)
	}
	a, outcome := o.claimAndSend(ctx)
	now := o.e.o.Timers.Now()
	if done, ok := outcome.(admission.Completed); ok {
		done.Latency = now.Sub(o.startedAt)
		outcome = done
	}
	deliverDecisions(o.s.queue.Finish(ticket, outcome, now))
	if a.outcome == outcomeDone && !a.repeated {
		o.e.estimator.Observe(o.c.key, now.Sub(o.startedAt), now)
	}
	return a
}

// reject responds to a request that was rejected before a claim. An earlier request for
// the same order may have run, so the recorded outcome takes precedence.
func (o *orderRun) reject(ctx context.Context, cause error) *answer {
	a := refused(cause)
	a.orderID = o.orderID
	r, err := o.e.queryOrder(ctx, o.c.customer.Name(), o.orderID)
	switch {
	case err != nil:
		return o.withoutRecord(a)
	case r == nil || r.GetState() == wire.OrderState_ORDER_STATE_NOT_RUN:
		return a
	}
	return o.answerFromRecord(ctx, r)
}

// withoutRecord adjusts an answer about this attempt when the record of the order can't be
// read. Without a quorum, an earlier request for the order may have run, so the outcome
// "not run" requires the caller's statement that there was none.
func (o *orderRun) withoutRecord(a *answer) *answer {
	if o.first {
		return a
	}
	a.outcome = outcomeUnknown
	a.detail += "; this attempt was not sent and never will be, but it is unknown whether an earlier request with the same order id has run"
	return a
}

// queryOrder reads the record of an order; it returns nil if there is none.
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
	last := &callError{reason: reasonNoTarget, detail: "no target accepted the order"}
	for range maxClaims {
		choice, err := o.s.pool.Pick(routing.Request{Exclude: o.attemptedTargets}, o.e.o.Timers.Now())
		if err != nil {
			if len(o.attemptedTargets) == 0 {
				last = &callError{reason: reasonNoTarget, detail: err.Error()}
			}
			return o.reject(ctx, last), admission.Dropped{}
		}
		o.attemptedTargets = append(o.attemptedTargets, choice.Target)
		addressedAt, err := o.readAgentClock(ctx, choice)
		if err != nil {
			last = &callError{reason: reasonConnectionLost, detail: err.Error()}
			continue
		}
		claim := o.newClaim(choice)
		result, err := o.claim(ctx, claim)
		if err != nil {
			o.s.pool.Finish(choice, routing.Canceled{}, o.e.o.Timers.Now())
			o.withdrawClaim(ctx, claim)
			return o.answerClaimFailed(err), admission.Dropped{}
		}
		if result.GetRefusal() != "" {
			o.s.pool.Finish(choice, routing.Canceled{}, o.e.o.Timers.Now())
			return o.answerClaimRefused(ctx, result), admission.Dropped{}
		}
		o.c.timeline.claimed(claim)
		v := o.attempt(ctx, choice, claim, addressedAt)
		if v.answer != nil {
			return v.answer, v.outcome
		}
		last = v.notRun
	}
	return o.reject(ctx, last), admission.Dropped{}
}

// readAgentClock queries the clock of the chosen agent before the claim. The agent rejects
// orders whose clock reading is too old, so that an entry that was frozen can't start the
// order later.
func (o *orderRun) readAgentClock(ctx context.Context, choice routing.Choice) (clockMs int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, agentClockTimeout)
	defer cancel()
	resp, err := o.e.agentClient(choice.Address).Clock(ctx, &wire.ClockRequest{Sender: o.e.o.Name, Revision: o.e.o.Config.Revision()})
	now := o.e.o.Timers.Now()
	switch {
	case err != nil:
		o.s.pool.Finish(choice, routing.Failure{}, now)
		return 0, errors.Wrapf(err, "query clock of agent of %s", choice.Target)
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

// answerClaimFailed responds when a claim got no response. The claim may still be
// committed, but its attempt was not sent and never will be.
func (o *orderRun) answerClaimFailed(err error) *answer {
	o.e.o.Metrics.Count("entry_claims_without_quorum", 1)
	return o.withoutRecord(&answer{
		outcome: outcomeNotRun, reason: reasonNoQuorum,
		detail: "the claim of the order could not be recorded: " + err.Error(),
	})
}

// answerClaimRefused responds to a claim that the replicated state rejected.
func (o *orderRun) answerClaimRefused(ctx context.Context, result *wire.Result) *answer {
	switch result.GetRefusal() {
	case ledger.RefusedOrderExists:
		return o.answerFromRecord(ctx, result.GetOrder())
	}
	return &answer{outcome: outcomeNotRun, reason: result.GetRefusal(), detail: result.GetDetail()}
}

// orderAttempt is the result of one attempt: a final answer, or the reason why the attempt
// did not run.
type orderAttempt struct {
	answer  *answer
	outcome admission.Outcome
	notRun  *callError
}

func (o *orderRun) attempt(ctx context.Context, choice routing.Choice, claim *wire.ClaimOrder, addressedAt int64) orderAttempt {
	left := min(o.c.deadline.Sub(o.e.o.Timers.Now()), o.c.operation.Timeout())
	if left <= 0 || left < o.c.expected || ctx.Err() != nil {
		// At this point the order would most likely end with the outcome unknown.
		o.s.pool.Finish(choice, routing.Canceled{}, o.e.o.Timers.Now())
		err := &callError{reason: reasonDeadline, detail: "the order was not sent, because too little time was left when its claim was recorded"}
		o.recordNotRun(claim, err)
		return orderAttempt{answer: refused(err), outcome: admission.Dropped{}}
	}
	req := o.e.newAttempt(o.c, choice, left)
	req.Attempt = claim.GetAttempt()
	req.Incarnation = claim.GetIncarnation()
	req.OrderId = o.orderID
	req.AddressedAtMs = addressedAt
	o.c.timeline.dispatched(o.c.stage, choice, req.GetAttempt())
	began := o.e.o.Timers.Now()
	// The attempt continues when the caller closes the connection, because its outcome
	// must be recorded.
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left+resolveInterval)
	defer cancel()
	end := o.e.attempts.Do(sendCtx, claim.GetAgentAddress(), req, nil)
	return o.handleEnd(ctx, choice, claim, end, o.e.o.Timers.Since(began))
}

func (o *orderRun) handleEnd(ctx context.Context, choice routing.Choice, claim *wire.ClaimOrder, end attempt.End, latency time.Duration) orderAttempt {
	now := o.e.o.Timers.Now()
	switch end := end.(type) {
	case *attempt.Finished:
		o.e.updateLoad(o.s, choice.Target, end.Result().GetLoad())
		return o.handleResult(ctx, choice, claim, end.Result(), latency)
	case *attempt.Refused:
		r := end.Refusal()
		o.s.pool.Finish(choice, refusalOutcome(r), now)
		if r.GetReason() == attempt.ReasonStaleRevision {
			o.e.fetchConfigFrom(ctx, choice.Address)
			o.attemptedTargets = o.attemptedTargets[:len(o.attemptedTargets)-1]
		}
		return o.attemptNotRun(claim, &callError{reason: r.GetReason(), detail: r.GetDetail()})
	case *attempt.NotSent:
		o.s.pool.Finish(choice, routing.Failure{}, now)
		return o.attemptNotRun(claim, &callError{reason: reasonConnectionLost, detail: end.Err().Error()})
	case *attempt.Lost:
		if end.Unresponsive() {
			o.e.o.Metrics.Count("entry_silent_connections", 1)
			o.s.pool.Finish(choice, routing.UnresponsiveConnection{}, now)
		} else {
			o.s.pool.Finish(choice, routing.Failure{}, now)
		}
		return orderAttempt{answer: o.resolve(ctx, newClaimRecord(claim)), outcome: admission.Dropped{}}
	}
	return orderAttempt{answer: o.unknownAnswer("the attempt ended in an unknown way"), outcome: admission.Dropped{}}
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

func (o *orderRun) handleResult(ctx context.Context, choice routing.Choice, claim *wire.ClaimOrder, r *wire.AttemptResult, latency time.Duration) orderAttempt {
	now := o.e.o.Timers.Now()
	switch {
	case r.GetError() == "":
		o.s.pool.Finish(choice, routing.Success{Latency: latency, Expected: o.c.expected}, now)
		return orderAttempt{answer: o.recordResult(ctx, newClaimRecord(claim), r), outcome: completed(latency, time.Duration(r.GetBusyUs())*time.Microsecond)}
	case r.GetError() == agent.ErrorOverloaded:
		o.s.pool.Finish(choice, routing.Overloaded{}, now)
		return o.attemptNotRun(claim, &callError{reason: agent.ErrorOverloaded, detail: "the target's queue is full"})
	case !r.GetRan():
		o.s.pool.Finish(choice, routing.Failure{}, now)
		return o.attemptNotRun(claim, &callError{reason: reasonTargetRefused, detail: r.GetError()})
	}
	o.s.pool.Finish(choice, routing.Failure{}, now)
	return orderAttempt{answer: o.recordResult(ctx, newClaimRecord(claim), r), outcome: admission.Dropped{}}
}

// attemptNotRun records that the claimed attempt did not run. If that fails, no other
// attempt is made, because the claim still stands.
func (o *orderRun) attemptNotRun(claim *wire.ClaimOrder, err *callError) orderAttempt {
	if !o.recordNotRun(claim, err) {
		return orderAttempt{answer: refused(err), outcome: admission.Dropped{}}
	}
	return orderAttempt{notRun: err}
}

func (o *orderRun) recordNotRun(claim *wire.ClaimOrder, err *callError) bool {
	o.c.timeline.retried(o.c.stage, claim.GetAgent(), err.reason)
	result := o.record(newClaimRecord(claim), wire.OrderState_ORDER_STATE_NOT_RUN, nil, err.reason)
	return result != nil && result.GetRefusal() == ""
}

func newClaimRecord(c *wire.ClaimOrder) *wire.OrderRecord {
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

// record commits an outcome. It returns nil if no control VM responded in time.
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

// recordResult records the agent's result of an attempt that ran and returns the answer.
func (o *orderRun) recordResult(ctx context.Context, r *wire.OrderRecord, res *wire.AttemptResult) *answer {
	if res.GetError() != "" {
		o.record(r, wire.OrderState_ORDER_STATE_UNKNOWN, nil, res.GetError())
		return o.unknownAnswer("the target returned an invalid response to the order (" + res.GetError() + "), so it may have run")
	}
	out := string(res.GetOutput())
	if o.record(r, wire.OrderState_ORDER_STATE_DONE, res.GetOutput(), "") == nil {
		o.resolveInBackground(ctx, r)
	}
	return &answer{outcome: outcomeDone, output: &out, stages: []stageResult{{stage: o.c.stage, result: &callResult{
		target: r.GetAgent(), attempts: len(o.attemptedTargets), took: o.e.o.Timers.Since(o.startedAt), busy: time.Duration(res.GetBusyUs()) * time.Microsecond,
	}}}}
}

func (o *orderRun) unknownAnswer(detail string) *answer {
	return &answer{outcome: outcomeUnknown, reason: reasonConnectionLost, detail: detail + "; ask again with the same order id to learn the recorded outcome"}
}

// answerFromRecord answers from the record of an earlier request for the same order.
func (o *orderRun) answerFromRecord(ctx context.Context, r *wire.OrderRecord) *answer {
	switch r.GetState() {
	case wire.OrderState_ORDER_STATE_DONE:
		out := string(r.GetResult())
		return &answer{outcome: outcomeDone, output: &out, repeated: true}
	case wire.OrderState_ORDER_STATE_FAILED:
		return &answer{outcome: outcomeFailed, reason: r.GetReason(), detail: "the recorded outcome of this order", repeated: true}
	case wire.OrderState_ORDER_STATE_NOT_RUN:
		return &answer{outcome: outcomeNotRun, reason: r.GetReason(), detail: "the recorded outcome of this order; it may be retried", repeated: true}
	}
	if r.GetState() == wire.OrderState_ORDER_STATE_CLAIMED {
		_ = o.e.o.Timers.Sleep(ctx, claimGrace)
		again, err := o.e.queryOrder(ctx, r.GetCustomer(), r.GetOrderId())
		if err == nil && again != nil {
			if again.GetState() != wire.OrderState_ORDER_STATE_CLAIMED && again.GetState() != wire.OrderState_ORDER_STATE_UNKNOWN {
				return o.answerFromRecord(ctx, again)
			}
			r = again
		}
	}
	a := o.resolve(ctx, r)
	a.repeated = true
	return a
}
