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

// Reasons in addition to those of the admission and agent packages.
const (
	reasonNoTarget           = "no_target"
	reasonDeadline           = "deadline_exceeded"
	reasonTargetFailed       = "target_failed"
	reasonConnectionLost     = "connection_lost"
	reasonCallerDisconnected = "caller_gone"
	reasonTargetRefused      = "target_refused"
	reasonDisconnected       = "cut_off"
	reasonNoQuorum           = "no_quorum"
	reasonShuttingDown       = "leaving"
	reasonTooManyRequests    = "too_many_requests"
	reasonTooSlow            = "too_slow"
)

// call is one call of a stage or of a service operation.
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
	// key is the key of the call in the estimator.
	key string
	// expected is the mean duration of the call, typical the mean time to the end of the
	// request, and needs the 90th percentile of that time.
	expected time.Duration
	typical  time.Duration
	needs    time.Duration
	// limit is the maximum duration of the call; hedgeAfter is the delay after which a
	// hedged attempt may start. Zero disables either.
	limit      time.Duration
	hedgeAfter time.Duration
	// priorStagesRan is set when earlier stages of the request have run.
	priorStagesRan bool
	policy         manifest.Policy
	// isEngine is set when the response is a stream of tokens.
	isEngine bool
	// onToken receives the tokens if the caller requested a stream.
	onToken  func(*wire.Token) error
	timeline *timeline
}

// needsTokens reports whether the entry needs the tokens as they arrive: to forward them
// to the caller, or to monitor the progress of the call and resume it at another target
// after the last token.
func (c *call) needsTokens() bool {
	return c.onToken != nil || c.isEngine && c.policy != manifest.PolicyBaseline
}

// callResult is the result of a successful call.
type callResult struct {
	output   []byte
	tokens   int
	target   string
	attempts int
	took     time.Duration
	// busy is the processing time that the call cost the target, workTime the time in
	// which the target worked on the call.
	busy     time.Duration
	workTime time.Duration
}

// callError describes why a call has no result.
type callError struct {
	reason string
	detail string
	// mayHaveRun is set when at least one attempt may have started at a target.
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
	return &callError{reason: reasonCallerDisconnected, detail: "the caller closed the connection"}
}

// execute runs an idempotent call: it waits for a slot and attempts the call at one target
// after the other until one succeeds, within the deadline and the retry budget.
func (e *Entry) execute(ctx context.Context, c *call) (*callResult, error) {
	s := e.service(c.service, c.policy)
	ticket, err := e.acquireSlot(ctx, s, c)
	if err != nil {
		return nil, err
	}
	began := e.o.Timers.Now()
	e.retries.Load().Request(c.service.Name())
	t := &callRunner{e: e, s: s, c: c}
	r, outcome, err := t.run(ctx)
	if done, ok := outcome.(admission.Completed); ok {
		done.Latency = e.o.Timers.Since(began)
		outcome = done
	}
	deliverDecisions(s.queue.Finish(ticket, outcome, e.o.Timers.Now()))
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

// workTime returns the part of an attempt's latency in which the target worked on it. An
// engine shares its steps between the requests of a batch, so its busy time is a cost and
// not a duration; the share of queued calls gives an estimate of the time in the queue
// instead.
func (c *call) workTime(latency time.Duration, r *wire.AttemptResult) time.Duration {
	if !c.isEngine {
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

// updateLoad passes a load report that came with a response to the pool.
func (e *Entry) updateLoad(s *serviceState, target string, load *wire.LoadReport) {
	if load == nil {
		return
	}
	s.applyCacheEvents(target, load, e.o.Timers.Now())
	s.pool.ReportLoad(target, routing.LoadReport{
		Queued:   int(load.GetQueued()),
		Running:  int(load.GetRunning()),
		Slots:    int(load.GetSlots()),
		InFlight: int(load.GetInFlight()),
		Age:      time.Duration(load.GetAgeMs()) * time.Millisecond,
	}, e.o.Timers.Now())
}

// agentClient returns the twirp client of the agent at an address. It shares the
// connections that carry the attempts.
func (e *Entry) agentClient(address string) wire.Agent {
	return wire.NewAgentProtobufClient("http://"+address, e.attempts.HTTPClient(address))
}

// fetchConfigFrom loads a newer configuration from the agent that rejected this entry's
// revision.
func (e *Entry) fetchConfigFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, resolveCallTimeout)
	defer cancel()
	resp, err := e.agentClient(address).Config(ctx, &wire.ConfigRequest{KnownRevision: e.o.Config.Revision(), Process: e.o.Name})
	if err == nil {
		err = e.o.Config.Apply(resp.GetManifest())
	}
	if err != nil {
		e.o.Metrics.Count("entry_config_from_agent_failures", 1)
	}
}
