package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	pipelines "github.com/cardamomline/cardamomline/api/gen/pipelines"
	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// Outcomes of the caller API.
const (
	outcomeDone     = "done"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
	outcomeFailed   = "failed"
	outcomeAccepted = "accepted"
)

// fieldError reports an invalid field of a request.
type fieldError struct {
	field  string
	detail string
}

// Error implements error.
func (e *fieldError) Error() string {
	return fmt.Sprintf("%s: %s", e.field, e.detail)
}

// request is one accepted request of the caller API.
type request struct {
	id        string
	cfg       *configwatch.Config
	customer  *manifest.Customer
	class     *manifest.Class
	startedAt time.Time
	deadline  time.Time
	timeline  *timeline
}

func (r *request) manifest() *manifest.Manifest { return r.cfg.Manifest() }

// answer is the result of a request.
type answer struct {
	outcome  string
	reason   string
	detail   string
	output   *string
	tokens   int
	orderID  string
	repeated bool
	stages   []stageResult
}

// newRequest performs the checks that all requests share. The class is the one named by
// the caller, else the pipeline's default, else the customer's.
func (e *Entry) newRequest(customerKey, class, pipelineClass string, deadlineMs int64) (*request, error) {
	cfg := e.o.Config.Current()
	if cfg == nil {
		return nil, &callError{reason: attempt.ReasonNotReady, detail: "this entry has no configuration yet"}
	}
	if err := e.checkServing(cfg); err != nil {
		return nil, err
	}
	m := cfg.Manifest()
	customer, ok := m.Customer(customerKey)
	if !ok {
		return nil, &fieldError{field: "customer_key", detail: "no customer has this key"}
	}
	for _, fallback := range []string{pipelineClass, customer.DefaultClass()} {
		if class == "" {
			class = fallback
		}
	}
	cl, ok := m.Class(class)
	if !ok {
		return nil, &fieldError{field: "class", detail: fmt.Sprintf("no class is named %q", class)}
	}
	now := e.o.Timers.Now()
	return &request{
		cfg: cfg, customer: customer, class: cl, startedAt: now,
		deadline: now.Add(time.Duration(deadlineMs) * time.Millisecond),
	}, nil
}

// assignID sets the id of the request and starts its timeline.
func (e *Entry) assignID(r *request, id, what string) {
	r.id = id
	r.timeline = e.newTimeline(id)
	r.timeline.accepted(r, what)
}

// checkServing returns the reason why this entry doesn't accept new requests now, or nil.
func (e *Entry) checkServing(cfg *configwatch.Config) *callError {
	switch {
	case e.closed.Load():
		return &callError{reason: reasonShuttingDown, detail: "this entry is shutting down"}
	case cfg.Manifest().Unconfirmed() == manifest.UnconfirmedRefuse && !e.o.Config.Confirmed():
		return &callError{reason: reasonDisconnected, detail: "this entry is cut off from the control VMs and the manifest says to refuse then"}
	}
	return nil
}

// runWithLimits runs do under the request's deadline and the limits of its customer. If
// the limits reject the request, reject creates the answer.
func (e *Entry) runWithLimits(ctx context.Context, r *request, reject func(error) *answer, do func(ctx context.Context) *answer) *answer {
	if r.manifest().Policy() != manifest.PolicyBaseline {
		if refusal := e.limits.admit(r.customer, e.o.Timers.Now()); refusal != nil {
			return e.recordAnswer(r, reject(refusal))
		}
		defer func() { e.limits.release(r.customer, e.o.Timers.Now()) }()
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return e.recordAnswer(r, do(ctx))
}

// recordAnswer records the answer in the metrics and in the request's timeline.
func (e *Entry) recordAnswer(r *request, a *answer) *answer {
	took := e.o.Timers.Since(r.startedAt)
	e.o.Metrics.Observe("request_seconds", r.customer.Name(), r.class.Name(), took)
	e.o.Metrics.CountReason("outcomes", a.outcome)
	if a.reason != "" {
		e.o.Metrics.CountReason("reasons", a.reason)
	}
	r.timeline.answered(a)
	return a
}

// refused converts an error into an answer. The outcome is not_run only if no attempt can
// have started anywhere.
func refused(err error) *answer {
	var failed *callError
	if !errors.As(err, &failed) {
		return &answer{outcome: outcomeFailed, reason: reasonTargetFailed, detail: err.Error()}
	}
	if failed.mayHaveRun {
		return &answer{outcome: outcomeFailed, reason: failed.reason, detail: failed.detail}
	}
	return &answer{outcome: outcomeNotRun, reason: failed.reason, detail: failed.detail}
}

// result converts an answer to the type of the caller API.
func (r *request) result(a *answer) *pipelines.Answer {
	revision := r.cfg.Revision()
	out := &pipelines.Answer{RequestID: r.id, Outcome: a.outcome, Output: a.output, Revision: &revision}
	if a.reason != "" {
		out.Reason, out.Detail = &a.reason, &a.detail
	}
	if a.tokens > 0 {
		out.Tokens = &a.tokens
	}
	if a.orderID != "" {
		out.OrderID, out.Repeated = &a.orderID, &a.repeated
	}
	for _, s := range a.stages {
		out.Stages = append(out.Stages, &pipelines.StageReport{
			Stage: s.stage, Target: s.result.target, Attempts: s.result.attempts,
			Millis: float64(s.result.took) / float64(time.Millisecond),
		})
	}
	return out
}
