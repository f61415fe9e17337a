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
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// Reasons that this package adds to those of admission and of the agents.
const (
	reasonNoTarget        = "no_target"
	reasonDeadline        = "deadline_exceeded"
	reasonTargetFailed    = "target_failed"
	reasonConnectionLost  = "connection_lost"
	reasonCallerGone      = "caller_gone"
	reasonTargetRefused   = "target_refused"
	reasonCutOff          = "cut_off"
	reasonNoQuorum        = "no_quorum"
	reasonLeaving         = "leaving"
	reasonTooManyRequests = "too_many_requests"
	reasonTooSlow         = "too_slow"
)

// call is one stage or service call.
type call struct {
	request   string
	customer  *manifest.Customer
	class     *manifest.Class
	service   *manifest.Service
	operation *manifest.Operation
	stage     string
	model     string
	prefix    string
	input     []byte
	maxTokens int
	deadline  time.Time
	// key names the call in the estimator.
	key string
	// expected is how long the call takes on average, typical the same to the end
	// of the whole request, and needs the 90th percentile of that.
	expected time.Duration
	typical  time.Duration
	needs    time.Duration
	// limit is the longest time to give the call; hedgeAfter is when a second
	// attempt may start beside the first. Neither applies when zero.
	limit      time.Duration
	hedgeAfter time.Duration
	// started tells that earlier stages of the request have run.
	started bool
	policy  manifest.Policy
	// engine tells that the answer is a stream of tokens.
	engine bool
	// onToken receives the tokens when the caller asked for them.
	onToken func(*wire.Token) error
	story   *story
}

// streams reports whether the tokens are needed here: for the caller, or to watch
// the progress of the call and to go on elsewhere from the last token.
func (c *call) streams() bool {
	return c.onToken != nil || c.engine && c.policy != manifest.PolicyBaseline
}

// reply is the result of a call.
type reply struct {
	output   []byte
	tokens   int
	target   string
	attempts int
	took     time.Duration
	// busy is what the call cost the target, working how long it worked on it.
	busy    time.Duration
	working time.Duration
}

// callError is a call without a result.
type callError struct {
	reason string
	detail string
	// mayHaveRun tells that at least one attempt may have started at a target.
	mayHaveRun bool
}

// Error implements error.
func (e *callError) Error() string {
	return fmt.Sprintf("%s: %s", e.reason, e.detail)
}

// acquire waits for a slot of the service.
func (e *Entry) acquire(ctx context.Context, s *serviceState, c *call) (*admission.Ticket, error) {
	decision := make(chan admission.Decision, 1)
	now := e.o.Timers.Now()
	first := s.queue.Offer(admission.Request{
		Customer: c.customer.Name(),
		Weight:   float64(c.customer.Weight()),
		Priority: c.class.Priority(),
		Deadline: c.deadline,
		Expected: c.expected,
		Needs:    c.needs,
		Started:  c.started,
		Owner:    decision,
	}, now)
	var waiting *admission.Ticket
	for {
		switch d := first.(type) {
		case admission.Admitted:
			e.o.Metrics.ObserveStage("queue_seconds", c.stage, c.class.Name(), d.Waited)
			c.story.admitted(d.Waited)
			return d.Ticket, nil
		case admission.Refused:
			return nil, &callError{reason: string(d.Reason), detail: refusalDetail(d)}
		case admission.Queued:
			waiting = d.Ticket
		}
		select {
		case first = <-decision:
		case <-ctx.Done():
			return nil, e.withdraw(ctx, s, waiting, decision)
		}
	}
}

// withdraw gives up a waiting ticket. A decision that crossed the withdrawal is
// taken back, so that its slot isn't lost.
func (e *Entry) withdraw(ctx context.Context, s *serviceState, t *admission.Ticket, decision <-chan admission.Decision) error {
	now := e.o.Timers.Now()
	more, ok := s.queue.Withdraw(t, now)
	deliver(more)
	if !ok {
		if _, admitted := (<-decision).(admission.Admitted); admitted {
			deliver(s.queue.Finish(t, admission.Dropped{}, now))
		}
	}
	return e.contextError(ctx)
}

func (e *Entry) contextError(ctx context.Context) *callError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &callError{reason: reasonDeadline, detail: "the deadline passed before the call could start"}
	}
	return &callError{reason: reasonCallerGone, detail: "the caller closed the connection"}
}

func refusalDetail(d admission.Refused) string {
	switch d.Reason {
	case admission.ReasonNotEnoughTime:
		return fmt.Sprintf("the answer could not be ready in time: the expected wait for a slot is %v", d.ExpectedWait.Round(time.Millisecond))
	case admission.ReasonQueueFull:
		return "too many requests already wait for this service"
	case admission.ReasonCustomerConcurrency:
		return "the customer already has as many requests running as its limit allows"
	case admission.ReasonCustomerRate:
		return "the customer sends more requests a second than its limit allows"
	}
	return string(d.Reason)
}

// run runs an idempotent call: it waits for a slot and tries targets until one
// answers, as far as time and the retry budget allow.
func (e *Entry) run(ctx context.Context, c *call) (*reply, error) {
	s := e.service(c.service, c.policy)
	ticket, err := e.acquire(ctx, s, c)
	if err != nil {
		return nil, err
	}
	began := e.o.Timers.Now()
	e.retries.Load().Request(c.service.Name())
	t := &tries{e: e, s: s, c: c}
	r, outcome, err := t.run(ctx)
	if done, ok := outcome.(admission.Completed); ok {
		done.Latency = e.o.Timers.Since(began)
		outcome = done
	}
	deliver(s.queue.Finish(ticket, outcome, e.o.Timers.Now()))
	if err != nil {
		return nil, err
	}
	r.took = e.o.Timers.Since(began)
	e.estimator.Observe(c.key, r.took, e.o.Timers.Now())
	e.o.Metrics.ObserveStage("stage_seconds", c.stage, c.class.Name(), r.took)
	e.o.Metrics.CountCost(busyCounter, c.customer.Name(), c.stage, r.busy.Microseconds())
	e.o.Metrics.CountCost(tokenCounter, c.customer.Name(), c.stage, int64(r.tokens))
	return r, nil
}

// pathAllowance is the part of an attempt's time that the path between entry and
// target may take. Without it, a call of 2 ms would look as if it had queued.
const pathAllowance = 5 * time.Millisecond

// completed tells the admission queue of an attempt that gave the answer.
func completed(latency, working time.Duration) admission.Completed {
	return admission.Completed{Latency: latency, Attempt: max(latency-pathAllowance, working), Busy: working}
}

// workingTime is the part of an attempt's time in which the target worked on it.
// An engine shares its steps between the requests of a batch, so that its busy
// time is a cost and not a time; its queue length tells how long calls wait there.
func (c *call) workingTime(latency time.Duration, r *wire.AttemptResult) time.Duration {
	if !c.engine {
		return time.Duration(r.GetBusyUs()) * time.Microsecond
	}
	running, queued := float64(max(r.GetLoad().GetRunning(), 1)), float64(r.GetLoad().GetQueued())
	return time.Duration(float64(latency) * running / (running + queued))
}

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
}

func (t *tries) run(ctx context.Context) (*reply, admission.Outcome, error) {
	for {
		now := t.e.o.Timers.Now()
		choice, err := t.pick(now)
		if err != nil {
			return nil, admission.Dropped{}, t.fail(reasonNoTarget, err.Error())
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
			t.c.story.retried(t.c.stage, choice.Target, next.reason)
		}
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
func (gaveUp) isVerdict()   {}
func (tryAgain) isVerdict() {}

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
		Service: t.c.service.Name(), Idempotent: true, Tried: t.attempts,
		Left: t.c.deadline.Sub(t.e.o.Timers.Now()), Typical: t.typical(), Cause: v.cause, Spare: t.s.queue.Spare(),
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
		t.s.pool.Overdue(choice, t.c.hedgeAfter, t.c.expected)
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
		Service: t.c.service.Name(), Idempotent: true, Tried: t.attempts,
		Left: t.c.deadline.Sub(t.e.o.Timers.Now()), Typical: t.c.typical, Spare: t.s.queue.Spare(),
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
	t.c.story.hedged(t.c.stage, choice.Target, t.c.hedgeAfter)
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
	c.story.dispatched(c.stage, choice, req.GetAttempt())
	began := t.e.o.Timers.Now()
	end := t.e.attempts.Do(ctx, choice.Address, req, t.onToken)
	return end, t.e.o.Timers.Since(began)
}

func (e *Entry) newAttempt(c *call, choice routing.Choice, left time.Duration) *wire.AttemptRequest {
	return &wire.AttemptRequest{
		Attempt:     attempt.NewID(),
		Request:     c.request,
		Customer:    c.customer.Name(),
		Class:       c.class.Name(),
		Service:     c.service.Name(),
		Operation:   c.operation.Name(),
		Incarnation: choice.Incarnation,
		Input:       c.input,
		MaxTokens:   int32(c.maxTokens),
		Priority:    int32(c.class.Priority()),
		Prefix:      c.prefix,
		TimeLeftMs:  max(left.Milliseconds(), 1),
		Revision:    e.o.Config.Revision(),
		Entry:       e.o.Name,
		Model:       c.model,
	}
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
		return t.judgeLost(ctx, end, latency, finish)
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
		again.cause = budget.LeavingCall{}
		finish(routing.Leaving{})
	case attempt.ReasonOverloaded:
		finish(routing.Overloaded{})
		again.outcome = admission.Overloaded{}
	case attempt.ReasonStaleRevision:
		again.cause = budget.LeavingCall{}
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

func (t *tries) judgeLost(ctx context.Context, end *attempt.Lost, latency time.Duration, finish func(routing.Outcome)) verdict {
	t.ran = true
	var foreign *attempt.ForeignError
	var slow *slowError
	var stalled *stalledError
	switch {
	case end.Silent():
		t.e.o.Metrics.Count("entry_silent_connections", 1)
		finish(routing.SilentConnection{})
		return tryAgain{reason: reasonConnectionLost, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.SilentCall{}}
	case ctx.Err() != nil:
		finish(routing.Canceled{Ran: latency, Expected: t.c.expected})
		err := t.e.contextError(ctx)
		err.mayHaveRun = true
		return gaveUp{err: err, outcome: admission.Dropped{}}
	case errors.As(end.Err(), &slow):
		t.e.o.Metrics.Count("entry_streams_moved", 1)
		finish(routing.Canceled{Ran: slow.took, Expected: slow.expected})
		return tryAgain{reason: reasonTooSlow, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.SilentCall{}}
	case errors.As(end.Err(), &stalled):
		t.e.o.Metrics.Count("entry_streams_stalled", 1)
		finish(routing.Canceled{Ran: latency, Expected: t.c.expected})
		return tryAgain{reason: reasonTooSlow, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.SilentCall{}}
	case errors.As(end.Err(), &foreign):
		t.e.o.Metrics.Count("entry_foreign_answers_dropped", 1)
	}
	finish(routing.Failure{})
	return tryAgain{reason: reasonConnectionLost, detail: end.Err().Error(), outcome: admission.Dropped{}, cause: budget.FailedCall{}}
}

// report hands a load report that came with an answer to the pool.
func (e *Entry) report(s *serviceState, target string, load *wire.LoadReport) {
	if load == nil {
		return
	}
	s.learnCache(target, load, e.o.Timers.Now())
	s.pool.Report(target, routing.Load{
		Queued:   int(load.GetQueued()),
		Running:  int(load.GetRunning()),
		Slots:    int(load.GetSlots()),
		InFlight: int(load.GetInFlight()),
		Age:      time.Duration(load.GetAgeMs()) * time.Millisecond,
	}, e.o.Timers.Now())
}

// learnFrom takes a newer configuration from the agent that refused this one.
func (e *Entry) learnFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, settleCall)
	defer cancel()
	client := wire.NewAgentProtobufClient("http://"+address, e.attempts.HTTP(address))
	resp, err := client.Config(ctx, &wire.ConfigRequest{KnownRevision: e.o.Config.Revision(), Process: e.o.Name})
	if err == nil {
		err = e.o.Config.Offer(resp.GetManifest())
	}
	if err != nil {
		e.o.Metrics.Count("entry_config_from_agent_failures", 1)
	}
}
