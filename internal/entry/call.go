package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/attempt"
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
	onToken  func(*wire.Token) error
	timeline *timeline
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

func (e *Entry) contextError(ctx context.Context) *callError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &callError{reason: reasonDeadline, detail: "the deadline passed before the call could start"}
	}
	return &callError{reason: reasonCallerGone, detail: "the caller closed the connection"}
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

// report hands a load report that came with an answer to the pool.
func (e *Entry) report(s *serviceState, target string, load *wire.LoadReport) {
	if load == nil {
		return
	}
	s.learnCache(target, load, e.o.Timers.Now())
	s.pool.ReportLoad(target, routing.LoadReport{
		Queued:   int(load.GetQueued()),
		Running:  int(load.GetRunning()),
		Slots:    int(load.GetSlots()),
		InFlight: int(load.GetInFlight()),
		Age:      time.Duration(load.GetAgeMs()) * time.Millisecond,
	}, e.o.Timers.Now())
}

// agentAt returns the twirp client of the agent at an address, on the connections
// that carry its attempts.
func (e *Entry) agentAt(address string) wire.Agent {
	return wire.NewAgentProtobufClient("http://"+address, e.attempts.HTTPClient(address))
}

// learnFrom takes a newer configuration from the agent that refused this one.
func (e *Entry) learnFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, settleCall)
	defer cancel()
	resp, err := e.agentAt(address).Config(ctx, &wire.ConfigRequest{KnownRevision: e.o.Config.Revision(), Process: e.o.Name})
	if err == nil {
		err = e.o.Config.Apply(resp.GetManifest())
	}
	if err != nil {
		e.o.Metrics.Count("entry_config_from_agent_failures", 1)
	}
}
