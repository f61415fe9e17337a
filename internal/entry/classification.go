package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/agent"
	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/budget"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// classification is how an attempt ended: succeeded, failed or retryable.
type classification interface{ isClassification() }

type succeeded struct{ result *callResult }

type failed struct {
	err     error
	outcome admission.Outcome
}

type retryable struct {
	reason  string
	detail  string
	outcome admission.Outcome
	cause   budget.Cause
}

func (succeeded) isClassification() {}

func (failed) isClassification() {}

func (retryable) isClassification() {}

// classify reports the end of the attempt to the pool and returns its classification.
func (t *callRunner) classify(ctx context.Context, choice routing.Choice, end attempt.End, latency time.Duration) classification {
	now := t.e.o.Timers.Now()
	finish := func(o routing.Outcome) { t.s.pool.Finish(choice, o, now) }
	switch end := end.(type) {
	case *attempt.Finished:
		return t.classifyResult(choice, end.Result(), latency, finish)
	case *attempt.Refused:
		return t.classifyRefusal(ctx, choice, end.Refusal(), finish)
	case *attempt.NotSent:
		finish(routing.Failure{})
		return retryable{reason: reasonConnectionLost, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.RefusedCall{Retryable: true}}
	case *attempt.Lost:
		return t.classifyLost(ctx, choice, end, latency, finish)
	}
	return failed{err: t.fail(reasonTargetFailed, "unknown result of an attempt"), outcome: admission.Dropped{}}
}

func (t *callRunner) classifyResult(choice routing.Choice, r *wire.AttemptResult, latency time.Duration, finish func(routing.Outcome)) classification {
	t.e.updateLoad(t.s, choice.Target, r.GetLoad())
	t.ran = t.ran || r.GetRan()
	if r.GetError() == "" {
		finish(routing.Success{Latency: latency, Expected: t.c.expected})
		return succeeded{result: t.result(choice, r, latency)}
	}
	if r.GetError() == agent.ErrorOverloaded {
		finish(routing.Overloaded{})
		return retryable{reason: agent.ErrorOverloaded, detail: "the target's queue is full", outcome: admission.Overloaded{}, cause: budget.RefusedCall{Retryable: true}}
	}
	finish(routing.Failure{})
	return retryable{reason: reasonTargetFailed, detail: fmt.Sprintf("target %s: %s", choice.Target, r.GetError()), outcome: admission.Dropped{}, cause: budget.FailedCall{}}
}

func (t *callRunner) result(choice routing.Choice, r *wire.AttemptResult, latency time.Duration) *callResult {
	out := &callResult{
		output: r.GetOutput(), tokens: int(r.GetTokens()), target: choice.Target,
		attempts: t.attempts, busy: time.Duration(r.GetBusyUs()) * time.Microsecond, workTime: t.c.workTime(latency, r),
	}
	if len(t.tokens) == 0 {
		return out
	}
	t.recordTiming()
	out.output = nil
	for _, token := range t.tokens {
		out.output = append(out.output, token...)
	}
	out.tokens = len(t.tokens)
	return out
}

func (t *callRunner) classifyRefusal(ctx context.Context, choice routing.Choice, r *wire.Refused, finish func(routing.Outcome)) classification {
	t.e.updateLoad(t.s, choice.Target, r.GetLoad())
	t.e.o.Metrics.CountReason("entry_agent_refusals", r.GetReason())
	again := retryable{reason: r.GetReason(), detail: r.GetDetail(), outcome: admission.Dropped{}, cause: budget.RefusedCall{Retryable: r.GetRetryable()}}
	switch r.GetReason() {
	case attempt.ReasonLeaving, attempt.ReasonNotReady, attempt.ReasonOtherIncarnation:
		again.cause = budget.DrainingCall{}
		finish(routing.Draining{})
	case attempt.ReasonOverloaded:
		finish(routing.Overloaded{})
		again.outcome = admission.Overloaded{}
	case attempt.ReasonStaleRevision:
		again.cause = budget.DrainingCall{}
		finish(routing.Canceled{})
		t.e.fetchConfigFrom(ctx, choice.Address)
		t.attemptedTargets = t.attemptedTargets[:len(t.attemptedTargets)-1]
	default:
		finish(routing.Failure{})
	}
	if !r.GetRetryable() {
		return failed{err: t.fail(r.GetReason(), r.GetDetail()), outcome: admission.Dropped{}}
	}
	return again
}

func (t *callRunner) classifyLost(ctx context.Context, choice routing.Choice, end *attempt.Lost, latency time.Duration, finish func(routing.Outcome)) classification {
	t.ran = true
	var foreign *attempt.MismatchError
	var slow *slowStreamError
	var stalled *stalledStreamError
	switch {
	case end.Unresponsive():
		t.e.o.Metrics.Count("entry_silent_connections", 1)
		t.unresponsive = choice.Target
		finish(routing.UnresponsiveConnection{})
		return retryable{reason: reasonConnectionLost, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.UnresponsiveCall{}}
	case ctx.Err() != nil:
		finish(routing.Canceled{Ran: latency, Expected: t.c.expected})
		err := t.e.contextError(ctx)
		err.mayHaveRun = true
		return failed{err: err, outcome: admission.Dropped{}}
	case errors.As(end.Err(), &slow):
		t.e.o.Metrics.Count("entry_streams_moved", 1)
		finish(routing.Canceled{Ran: slow.took, Expected: slow.expected})
		return retryable{reason: reasonTooSlow, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.UnresponsiveCall{}}
	case errors.As(end.Err(), &stalled):
		t.e.o.Metrics.Count("entry_streams_stalled", 1)
		finish(routing.Canceled{Ran: latency, Expected: t.c.expected})
		return retryable{reason: reasonTooSlow, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.UnresponsiveCall{}}
	case errors.As(end.Err(), &foreign):
		t.e.o.Metrics.Count("entry_foreign_answers_dropped", 1)
	}
	finish(routing.Failure{})
	return retryable{reason: reasonConnectionLost, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.FailedCall{}}
}
