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

// verdict is what follows from the end of one attempt: answered, gaveUp or tryAgain.
type verdict interface{ isVerdict() }

type answered struct{ reply *reply }

type gaveUp struct {
	err     error
	outcome admission.Outcome
}

type tryAgain struct {
	reason  string
	detail  string
	outcome admission.Outcome
	cause   budget.Cause
}

func (answered) isVerdict() {}

func (gaveUp) isVerdict() {}

func (tryAgain) isVerdict() {}

// judge reports the attempt's end to the pool and decides what follows.
func (t *tries) judge(ctx context.Context, choice routing.Choice, end attempt.End, latency time.Duration) verdict {
	now := t.e.o.Timers.Now()
	finish := func(o routing.Outcome) { t.s.pool.Finish(choice, o, now) }
	switch end := end.(type) {
	case *attempt.Finished:
		return t.judgeResult(choice, end.Result(), latency, finish)
	case *attempt.Refused:
		return t.judgeRefusal(ctx, choice, end.Refusal(), finish)
	case *attempt.NotSent:
		finish(routing.Failure{})
		return tryAgain{reason: reasonConnectionLost, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.RefusedCall{Retryable: true}}
	case *attempt.Lost:
		return t.judgeLost(ctx, choice, end, latency, finish)
	}
	return gaveUp{err: t.fail(reasonTargetFailed, "unknown end of an attempt"), outcome: admission.Dropped{}}
}

func (t *tries) judgeResult(choice routing.Choice, r *wire.AttemptResult, latency time.Duration, finish func(routing.Outcome)) verdict {
	t.e.report(t.s, choice.Target, r.GetLoad())
	t.ran = t.ran || r.GetRan()
	if r.GetError() == "" {
		finish(routing.Success{Latency: latency, Expected: t.c.expected})
		return answered{reply: t.reply(choice, r, latency)}
	}
	if r.GetError() == agent.ErrorOverloaded {
		finish(routing.Overloaded{})
		return tryAgain{reason: agent.ErrorOverloaded, detail: "the target's queue is full", outcome: admission.Overloaded{}, cause: budget.RefusedCall{Retryable: true}}
	}
	finish(routing.Failure{})
	return tryAgain{reason: reasonTargetFailed, detail: fmt.Sprintf("target %s: %s", choice.Target, r.GetError()), outcome: admission.Dropped{}, cause: budget.FailedCall{}}
}

func (t *tries) reply(choice routing.Choice, r *wire.AttemptResult, latency time.Duration) *reply {
	out := &reply{
		output: r.GetOutput(), tokens: int(r.GetTokens()), target: choice.Target,
		attempts: t.attempts, busy: time.Duration(r.GetBusyUs()) * time.Microsecond, working: t.c.workingTime(latency, r),
	}
	if len(t.tokens) == 0 {
		return out
	}
	t.observePace()
	out.output = nil
	for _, token := range t.tokens {
		out.output = append(out.output, token...)
	}
	out.tokens = len(t.tokens)
	return out
}

func (t *tries) judgeRefusal(ctx context.Context, choice routing.Choice, r *wire.Refused, finish func(routing.Outcome)) verdict {
	t.e.report(t.s, choice.Target, r.GetLoad())
	t.e.o.Metrics.CountReason("entry_agent_refusals", r.GetReason())
	again := tryAgain{reason: r.GetReason(), detail: r.GetDetail(), outcome: admission.Dropped{}, cause: budget.RefusedCall{Retryable: r.GetRetryable()}}
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
		t.e.learnFrom(ctx, choice.Address)
		t.tried = t.tried[:len(t.tried)-1]
	default:
		finish(routing.Failure{})
	}
	if !r.GetRetryable() {
		return gaveUp{err: t.fail(r.GetReason(), r.GetDetail()), outcome: admission.Dropped{}}
	}
	return again
}

func (t *tries) judgeLost(ctx context.Context, choice routing.Choice, end *attempt.Lost, latency time.Duration, finish func(routing.Outcome)) verdict {
	t.ran = true
	var foreign *attempt.MismatchError
	var slow *slowError
	var stalled *stalledError
	switch {
	case end.Unresponsive():
		t.e.o.Metrics.Count("entry_silent_connections", 1)
		t.silent = choice.Target
		finish(routing.UnresponsiveConnection{})
		return tryAgain{reason: reasonConnectionLost, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.UnresponsiveCall{}}
	case ctx.Err() != nil:
		finish(routing.Canceled{Ran: latency, Expected: t.c.expected})
		err := t.e.contextError(ctx)
		err.mayHaveRun = true
		return gaveUp{err: err, outcome: admission.Dropped{}}
	case errors.As(end.Err(), &slow):
		t.e.o.Metrics.Count("entry_streams_moved", 1)
		finish(routing.Canceled{Ran: slow.took, Expected: slow.expected})
		return tryAgain{reason: reasonTooSlow, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.UnresponsiveCall{}}
	case errors.As(end.Err(), &stalled):
		t.e.o.Metrics.Count("entry_streams_stalled", 1)
		finish(routing.Canceled{Ran: latency, Expected: t.c.expected})
		return tryAgain{reason: reasonTooSlow, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.UnresponsiveCall{}}
	case errors.As(end.Err(), &foreign):
		t.e.o.Metrics.Count("entry_foreign_answers_dropped", 1)
	}
	finish(routing.Failure{})
	return tryAgain{reason: reasonConnectionLost, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.FailedCall{}}
}
