package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/budget"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	// noTargetWait is how long a call waits for a target when there is none: about the
	// time of a heartbeat and its propagation to the entries. noTargetPollInterval is how
	// often it checks.
	noTargetWait         = 1500 * time.Millisecond
	noTargetPollInterval = 50 * time.Millisecond
)

// callRunner runs the attempts of one call.
type callRunner struct {
	e                *Entry
	s                *serviceState
	c                *call
	attemptedTargets []string
	// tokens are the texts received so far; a retry resumes after them.
	tokens   []string
	timing   tokenTiming
	attempts int
	ran      bool
	// unresponsive is the target whose connection became unresponsive in the last attempt.
	unresponsive string
}

func (t *callRunner) run(ctx context.Context) (*callResult, admission.Outcome, error) {
	for {
		now := t.e.o.Timers.Now()
		choice, err := t.pickWithWait(ctx, now)
		if err != nil {
			return nil, admission.Dropped{}, t.fail(reasonNoTarget, err.Error())
		}
		if t.unresponsive != "" {
			t.c.timeline.moved(t.c.stage, t.unresponsive, choice.Target)
			t.unresponsive = ""
		}
		t.attempts++
		t.attemptedTargets = append(t.attemptedTargets, choice.Target)
		done := t.sendHedged(ctx, choice)
		choice, latency := done.choice, done.latency
		class := t.classify(ctx, choice, done.end, latency)
		if _, ok := class.(succeeded); !ok && t.ran {
			t.e.o.Metrics.CountCost(wastedCounter, t.c.customer.Name(), t.c.stage, latency.Microseconds())
		}
		switch class := class.(type) {
		case succeeded:
			return class.result, completed(latency, class.result.workTime), nil
		case failed:
			return nil, class.outcome, class.err
		case retryable:
			if err := t.checkRetry(ctx, class); err != nil {
				return nil, class.outcome, err
			}
			if t.unresponsive == "" {
				t.c.timeline.retried(t.c.stage, choice.Target, class.reason)
			}
		}
	}
}

// pickWithWait picks a target. When there is none, it waits briefly, because a restarted
// target is back within a heartbeat, and most deadlines allow it.
func (t *callRunner) pickWithWait(ctx context.Context, now time.Time) (routing.Choice, error) {
	limit := now.Add(noTargetWait)
	for {
		choice, err := t.pick(now)
		if err == nil || t.c.policy == manifest.PolicyBaseline || !now.Before(limit) || t.c.deadline.Sub(now) < t.c.typical+noTargetPollInterval {
			return choice, err
		}
		if t.e.o.Timers.Sleep(ctx, noTargetPollInterval) != nil {
			return choice, err
		}
		now = t.e.o.Timers.Now()
	}
}

// pick chooses a target that was not attempted yet. When there is none, it excludes only
// the last attempted target, and finally none: a target that was overloaded or failed once
// may succeed now.
func (t *callRunner) pick(now time.Time) (routing.Choice, error) {
	r := routing.Request{Model: t.c.model, Prefix: t.c.prefix, Exclude: t.attemptedTargets, MayProbe: t.attempts == 0}
	choice, err := t.s.pool.Pick(r, now)
	if err == nil || len(t.attemptedTargets) == 0 {
		return choice, err
	}
	r.Exclude = t.attemptedTargets[len(t.attemptedTargets)-1:]
	if choice, err = t.s.pool.Pick(r, now); err == nil {
		return choice, nil
	}
	r.Exclude = nil
	return t.s.pool.Pick(r, now)
}

func (t *callRunner) fail(reason, detail string) *callError {
	return &callError{reason: reason, detail: detail, mayHaveRun: t.ran}
}

func (t *callRunner) checkRetry(ctx context.Context, v retryable) error {
	if ctx.Err() != nil {
		err := t.e.contextError(ctx)
		err.mayHaveRun = t.ran
		return err
	}
	d := t.e.retries.Load().Retry(budget.Attempt{
		Service: t.c.service.Name(), Idempotent: true, Attempts: t.attempts,
		TimeLeft: t.c.deadline.Sub(t.e.o.Timers.Now()), Typical: t.remainingTypical(), Cause: v.cause, IdleCapacity: t.s.queue.HasIdleCapacity(),
	})
	if d.Allowed {
		return nil
	}
	t.e.o.Metrics.CountReason("entry_retries_refused", string(d.Reason))
	return t.fail(v.reason, fmt.Sprintf("%s; not retried: %s", v.detail, d.Reason))
}

// finishedAttempt is one attempt with its result.
type finishedAttempt struct {
	choice  routing.Choice
	end     attempt.End
	latency time.Duration
}

func (d finishedAttempt) succeeded() bool {
	f, ok := d.end.(*attempt.Finished)
	return ok && f.Result().GetError() == ""
}

// sendHedged makes an attempt and, if it takes unusually long and the hedge budget allows,
// a second one at another target. The first successful attempt wins, and the other one is
// canceled. A stream isn't hedged, because its tokens come from one target.
func (t *callRunner) sendHedged(ctx context.Context, choice routing.Choice) finishedAttempt {
	if t.c.hedgeAfter <= 0 || t.c.needsTokens() {
		end, latency := t.send(ctx, choice)
		return finishedAttempt{choice: choice, end: end, latency: latency}
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan finishedAttempt, 2)
	start := func(choice routing.Choice) {
		end, latency := t.send(ctx, choice)
		results <- finishedAttempt{choice: choice, end: end, latency: latency}
	}
	go start(choice)
	select {
	case first := <-results:
		cancel()
		return first
	case <-t.e.o.Timers.After(t.c.hedgeAfter):
		t.s.pool.ReportOverdue(choice, t.c.hedgeAfter, t.c.expected)
	}
	second, ok := t.pickHedge()
	if !ok {
		defer cancel()
		return <-results
	}
	go start(second)
	first := <-results
	if first.succeeded() {
		t.e.background.Go(func() { t.finishLoser(<-results) })
		cancel()
		return first
	}
	defer cancel()
	t.classify(ctx, first.choice, first.end, first.latency)
	return <-results
}

func (t *callRunner) pickHedge() (routing.Choice, bool) {
	d := t.e.retries.Load().Hedge(budget.Attempt{
		Service: t.c.service.Name(), Idempotent: true, Attempts: t.attempts,
		TimeLeft: t.c.deadline.Sub(t.e.o.Timers.Now()), Typical: t.c.typical, IdleCapacity: t.s.queue.HasIdleCapacity(),
	})
	if !d.Allowed {
		return routing.Choice{}, false
	}
	choice, err := t.s.pool.Pick(routing.Request{Model: t.c.model, Prefix: t.c.prefix, Exclude: t.attemptedTargets}, t.e.o.Timers.Now())
	if err != nil {
		return routing.Choice{}, false
	}
	t.attempts++
	t.attemptedTargets = append(t.attemptedTargets, choice.Target)
	t.e.o.Metrics.Count("entry_hedges", 1)
	t.c.timeline.hedged(t.c.stage, choice.Target, t.c.hedgeAfter)
	return choice, true
}

// finishLoser reports the attempt that was canceled because the other one succeeded first.
func (t *callRunner) finishLoser(d finishedAttempt) {
	t.s.pool.Finish(d.choice, routing.Canceled{Ran: d.latency, Expected: t.c.expected}, t.e.o.Timers.Now())
}

// send makes one attempt at the chosen target.
func (t *callRunner) send(ctx context.Context, choice routing.Choice) (attempt.End, time.Duration) {
	c := t.c
	left := min(c.deadline.Sub(t.e.o.Timers.Now()), c.operation.Timeout())
	if c.limit > 0 {
		left = min(left, c.limit)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	t.timing.restart(t.e.o.Timers.Now())
	if c.needsTokens() {
		var stalled context.CancelCauseFunc
		ctx, stalled = context.WithCancelCause(ctx)
		defer stalled(nil)
		go t.watchStall(ctx, stalled)
	}
	req := t.e.newAttempt(c, choice, left)
	req.FromOffset = int32(len(t.tokens))
	req.Idempotent = true
	req.Stream = c.needsTokens()
	req.CacheSeen = t.s.lastSeenCacheEvent(choice.Target)
	c.timeline.dispatched(c.stage, choice, req.GetAttempt())
	began := t.e.o.Timers.Now()
	end := t.e.attempts.Do(ctx, choice.Address, req, t.onToken)
	return end, t.e.o.Timers.Since(began)
}

// onToken accepts only the token at the next offset, so that none is lost or duplicated
// when a stream moves to another target.
func (t *callRunner) onToken(token *wire.Token) error {
	if int(token.GetOffset()) != len(t.tokens) {
		return errors.Errorf("token at offset %d, expected %d", token.GetOffset(), len(t.tokens))
	}
	t.tokens = append(t.tokens, token.GetText())
	t.timing.add(t.e.o.Timers.Now())
	if t.c.onToken != nil {
		if err := t.c.onToken(token); err != nil {
			return err
		}
	}
	return t.checkTokenRate()
}
