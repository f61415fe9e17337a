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
	// noTargetWait is how long a call waits for a target when there is none: about
	// the time of a heartbeat and its way to the entries. noTargetPause is how often
	// it looks.
	noTargetWait  = 1500 * time.Millisecond
	noTargetPause = 50 * time.Millisecond
)

// tries are the attempts of one call.
type tries struct {
	e     *Entry
	s     *serviceState
	c     *call
	tried []string
	// tokens are the texts received so far; a retry resumes after them.
	tokens   []string
	pace     pace
	attempts int
	ran      bool
	// silent is the target whose connection went silent in the last attempt.
	silent string
}

func (t *tries) run(ctx context.Context) (*reply, admission.Outcome, error) {
	for {
		now := t.e.o.Timers.Now()
		choice, err := t.pickInTime(ctx, now)
		if err != nil {
			return nil, admission.Dropped{}, t.fail(reasonNoTarget, err.Error())
		}
		if t.silent != "" {
			t.c.timeline.moved(t.c.stage, t.silent, choice.Target)
			t.silent = ""
		}
		t.attempts++
		t.tried = append(t.tried, choice.Target)
		tried := t.sendHedged(ctx, choice)
		choice, latency := tried.choice, tried.latency
		next := t.judge(ctx, choice, tried.end, latency)
		if _, ok := next.(answered); !ok && t.ran {
			t.e.o.Metrics.CountCost(wastedCounter, t.c.customer.Name(), t.c.stage, latency.Microseconds())
		}
		switch next := next.(type) {
		case answered:
			return next.reply, completed(latency, next.reply.working), nil
		case gaveUp:
			return nil, next.outcome, next.err
		case tryAgain:
			if err := t.mayRetry(ctx, next); err != nil {
				return nil, next.outcome, err
			}
			if t.silent == "" {
				t.c.timeline.retried(t.c.stage, choice.Target, next.reason)
			}
		}
	}
}

// pickInTime picks a target. When there is none it waits a little, because a
// restarted target is back within a heartbeat, and most deadlines allow it.
func (t *tries) pickInTime(ctx context.Context, now time.Time) (routing.Choice, error) {
	last := now.Add(noTargetWait)
	for {
		choice, err := t.pick(now)
		if err == nil || t.c.policy == manifest.PolicyBaseline || !now.Before(last) || t.c.deadline.Sub(now) < t.c.typical+noTargetPause {
			return choice, err
		}
		if t.e.o.Timers.Sleep(ctx, noTargetPause) != nil {
			return choice, err
		}
		now = t.e.o.Timers.Now()
	}
}

// pick chooses a target that was not tried. When there is none, only the last one
// is left out, and at the end none: one that was full or failed once may answer now.
func (t *tries) pick(now time.Time) (routing.Choice, error) {
	r := routing.Request{Model: t.c.model, Prefix: t.c.prefix, Exclude: t.tried, MayProbe: t.attempts == 0}
	choice, err := t.s.pool.Pick(r, now)
	if err == nil || len(t.tried) == 0 {
		return choice, err
	}
	r.Exclude = t.tried[len(t.tried)-1:]
	if choice, err = t.s.pool.Pick(r, now); err == nil {
		return choice, nil
	}
	r.Exclude = nil
	return t.s.pool.Pick(r, now)
}

func (t *tries) fail(reason, detail string) *callError {
	return &callError{reason: reason, detail: detail, mayHaveRun: t.ran}
}

func (t *tries) mayRetry(ctx context.Context, v tryAgain) error {
	if ctx.Err() != nil {
		err := t.e.contextError(ctx)
		err.mayHaveRun = t.ran
		return err
	}
	d := t.e.retries.Load().Retry(budget.Attempt{
		Service: t.c.service.Name(), Idempotent: true, Attempts: t.attempts,
		TimeLeft: t.c.deadline.Sub(t.e.o.Timers.Now()), Typical: t.typical(), Cause: v.cause, IdleCapacity: t.s.queue.HasIdleCapacity(),
	})
	if d.Allowed {
		return nil
	}
	t.e.o.Metrics.CountReason("entry_retries_refused", string(d.Reason))
	return t.fail(v.reason, fmt.Sprintf("%s; not tried again: %s", v.detail, d.Reason))
}

// ended is one attempt that came to its end.
type ended struct {
	choice  routing.Choice
	end     attempt.End
	latency time.Duration
}

func (d ended) answered() bool {
	f, ok := d.end.(*attempt.Finished)
	return ok && f.Result().GetError() == ""
}

// sendHedged makes an attempt and, when it takes unusually long and the hedge
// budget allows, a second one at another target. The first answer wins, and the
// other attempt is canceled. A stream isn't hedged: its tokens come from one target.
func (t *tries) sendHedged(ctx context.Context, choice routing.Choice) ended {
	if t.c.hedgeAfter <= 0 || t.c.streams() {
		end, latency := t.send(ctx, choice)
		return ended{choice: choice, end: end, latency: latency}
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan ended, 2)
	start := func(choice routing.Choice) {
		end, latency := t.send(ctx, choice)
		results <- ended{choice: choice, end: end, latency: latency}
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
	if first.answered() {
		t.e.background.Go(func() { t.dropLoser(<-results) })
		cancel()
		return first
	}
	defer cancel()
	t.judge(ctx, first.choice, first.end, first.latency)
	return <-results
}

func (t *tries) pickHedge() (routing.Choice, bool) {
	d := t.e.retries.Load().Hedge(budget.Attempt{
		Service: t.c.service.Name(), Idempotent: true, Attempts: t.attempts,
		TimeLeft: t.c.deadline.Sub(t.e.o.Timers.Now()), Typical: t.c.typical, IdleCapacity: t.s.queue.HasIdleCapacity(),
	})
	if !d.Allowed {
		return routing.Choice{}, false
	}
	choice, err := t.s.pool.Pick(routing.Request{Model: t.c.model, Prefix: t.c.prefix, Exclude: t.tried}, t.e.o.Timers.Now())
	if err != nil {
		return routing.Choice{}, false
	}
	t.attempts++
	t.tried = append(t.tried, choice.Target)
	t.e.o.Metrics.Count("entry_hedges", 1)
	t.c.timeline.hedged(t.c.stage, choice.Target, t.c.hedgeAfter)
	return choice, true
}

// dropLoser reports the attempt that was canceled because the other one answered first.
func (t *tries) dropLoser(d ended) {
	t.s.pool.Finish(d.choice, routing.Canceled{Ran: d.latency, Expected: t.c.expected}, t.e.o.Timers.Now())
}

// send makes one attempt at the chosen target.
func (t *tries) send(ctx context.Context, choice routing.Choice) (attempt.End, time.Duration) {
	c := t.c
	left := min(c.deadline.Sub(t.e.o.Timers.Now()), c.operation.Timeout())
	if c.limit > 0 {
		left = min(left, c.limit)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	t.pace.restart(t.e.o.Timers.Now())
	if c.streams() {
		var stalled context.CancelCauseFunc
		ctx, stalled = context.WithCancelCause(ctx)
		defer stalled(nil)
		go t.watchStall(ctx, stalled)
	}
	req := t.e.newAttempt(c, choice, left)
	req.FromOffset = int32(len(t.tokens))
	req.Idempotent = true
	req.Stream = c.streams()
	req.CacheSeen = t.s.seen(choice.Target)
	c.timeline.dispatched(c.stage, choice, req.GetAttempt())
	began := t.e.o.Timers.Now()
	end := t.e.attempts.Do(ctx, choice.Address, req, t.onToken)
	return end, t.e.o.Timers.Since(began)
}

// onToken accepts only the next token, so that none is lost or doubled when a
// stream moves to another target.
func (t *tries) onToken(token *wire.Token) error {
	if int(token.GetOffset()) != len(t.tokens) {
		return errors.Errorf("token at offset %d, expected %d", token.GetOffset(), len(t.tokens))
	}
	t.tokens = append(t.tokens, token.GetText())
	t.pace.add(t.e.o.Timers.Now())
	if t.c.onToken != nil {
		if err := t.c.onToken(token); err != nil {
			return err
		}
	}
	return t.watchPace()
}
