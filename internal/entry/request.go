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

// Outcomes told to callers.
const (
	outcomeDone     = "done"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
	outcomeFailed   = "failed"
	outcomeAccepted = "accepted"
)

// fieldError is bad input in one field of a request.
type fieldError struct {
	field  string
	detail string
}

// Error implements error.
func (e *fieldError) Error() string {
	return fmt.Sprintf("%s: %s", e.field, e.detail)
}

// request is one accepted call of the caller API.
type request struct {
	id       string
	cfg      *configwatch.Config
	customer *manifest.Customer
	class    *manifest.Class
	began    time.Time
	deadline time.Time
	timeline *timeline
}

func (r *request) manifest() *manifest.Manifest { return r.cfg.Manifest() }

// answer is what becomes of a request.
type answer struct {
	outcome  string
	reason   string
	detail   string
	output   *string
	tokens   int
	orderID  string
	repeated bool
	stages   []stageReply
}

// open checks what all requests share. The class is the one named by the caller,
// else the pipeline's default, else the customer's.
func (e *Entry) open(customerKey, class, pipelineClass string, deadlineMs int64) (*request, error) {
	cfg := e.o.Config.Current()
	if cfg == nil {
		return nil, &callError{reason: attempt.ReasonNotReady, detail: "this entry knows no configuration yet"}
	}
	if err := e.mayServe(cfg); err != nil {
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
		cfg: cfg, customer: customer, class: cl, began: now,
		deadline: now.Add(time.Duration(deadlineMs) * time.Millisecond),
	}, nil
}

// named gives the request its identity and begins its record.
func (e *Entry) named(r *request, id, what string) {
	r.id = id
	r.timeline = e.newTimeline(id)
	r.timeline.accepted(r, what)
}

// mayServe reports why this entry takes no new request now, or nil.
func (e *Entry) mayServe(cfg *configwatch.Config) *callError {
	switch {
	case e.closed.Load():
		return &callError{reason: reasonLeaving, detail: "this entry is stopping"}
	case cfg.Manifest().Unconfirmed() == manifest.UnconfirmedRefuse && !e.o.Config.Confirmed():
		return &callError{reason: reasonCutOff, detail: "this entry is cut off from the control VMs and the manifest says to refuse then"}
	}
	return nil
}

// bounded runs do while the request counts as running, under its deadline and
// the limits of its customer. The function refuse makes the answer to a refusal.
func (e *Entry) bounded(ctx context.Context, r *request, refuse func(error) *answer, do func(ctx context.Context) *answer) *answer {
	if r.manifest().Policy() != manifest.PolicyBaseline {
		if refusal := e.limits.enter(r.customer, e.o.Timers.Now()); refusal != nil {
			return e.tell(r, refuse(refusal))
		}
		defer func() { e.limits.leave(r.customer, e.o.Timers.Now()) }()
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return e.tell(r, do(ctx))
}

// tell notes the answer in the metrics and the request's record.
func (e *Entry) tell(r *request, a *answer) *answer {
	took := e.o.Timers.Since(r.began)
	e.o.Metrics.Observe("request_seconds", r.customer.Name(), r.class.Name(), took)
	e.o.Metrics.CountReason("outcomes", a.outcome)
	if a.reason != "" {
		e.o.Metrics.CountReason("reasons", a.reason)
	}
	r.timeline.told(a)
	return a
}

// refused turns an error into the answer that is true for it: not_run only when
// no attempt can have started anywhere.
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
			Stage: s.stage, Target: s.reply.target, Attempts: s.reply.attempts,
			Millis: float64(s.reply.took) / float64(time.Millisecond),
		})
	}
	return out
}
