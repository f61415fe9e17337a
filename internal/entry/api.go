package entry

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	goahttp "goa.design/goa/v3/http"

	"github.com/cardamomline/cardamomline/api/gen/http/pipelines/server"
	pipelines "github.com/cardamomline/cardamomline/api/gen/pipelines"
	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// maxBodyBytes limits the body of a caller's request. JSON may escape each byte of the
// longest input into six.
const maxBodyBytes = 2 << 20

// Handler returns the HTTP handler of the caller API.
func (e *Entry) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := pipelines.NewEndpoints(&api{e: e})
	srv := server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	server.Mount(mux, srv)
	root := http.NewServeMux()
	root.Handle("/v1/", http.MaxBytesHandler(mux, maxBodyBytes))
	return root
}

// api implements the generated service interface.
type api struct {
	e *Entry
}

// toAPIError maps an invalid field to a 4xx response that names the field, and a rejection
// by this entry to a 503 response, so that the caller tries another entry.
func toAPIError(err error) error {
	var field *fieldError
	var refusal *callError
	switch {
	case errors.As(err, &field):
		return pipelines.MakeBadRequest(field)
	case errors.As(err, &refusal):
		return pipelines.MakeUnavailable(refusal)
	}
	return err
}

// startRequest counts the request as running, so that Stop waits for it.
func (a *api) startRequest() error {
	if !a.e.tryStartRequest() {
		return toAPIError(&callError{reason: reasonTooManyRequests, detail: "this entry runs the maximum number of concurrent requests"})
	}
	return nil
}

func stringValue(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func intValue(n *int) int {
	if n == nil {
		return 0
	}
	return *n
}

// Run implements pipelines.Service.
func (a *api) Run(ctx context.Context, p *pipelines.RunPayload) (*pipelines.Answer, error) {
	if err := a.startRequest(); err != nil {
		return nil, err
	}
	defer a.e.releaseRequest()
	r, pl, err := a.e.newPipelineRequest(p.CustomerKey, stringValue(p.Class), p.Pipeline, p.DeadlineMs)
	if err != nil {
		return nil, toAPIError(err)
	}
	run := a.e.newPipelineRun(r, pl, p.Input, stringValue(p.Prefix), intValue(p.MaxTokens))
	if r.class.MayWait() {
		return a.e.submit(ctx, r, run, stringValue(p.SubmissionID)), nil
	}
	a.e.assignID(r, attempt.NewID(), "pipeline "+pl.Name())
	return r.result(a.e.runWithLimits(ctx, r, refused, func(ctx context.Context) *answer { return a.e.runPipeline(ctx, r, run) })), nil
}

// Stream implements pipelines.Service.
func (a *api) Stream(ctx context.Context, p *pipelines.StreamPayload, stream pipelines.StreamServerStream) error {
	if err := a.startRequest(); err != nil {
		return err
	}
	defer a.e.releaseRequest()
	r, pl, err := a.e.newPipelineRequest(p.CustomerKey, stringValue(p.Class), p.Pipeline, p.DeadlineMs)
	if err != nil {
		return toAPIError(err)
	}
	defer func() { _ = stream.Close() }()
	a.e.assignID(r, attempt.NewID(), "stream of pipeline "+pl.Name())
	run := a.e.newPipelineRun(r, pl, p.Input, stringValue(p.Prefix), intValue(p.MaxTokens))
	run.onToken = func(t *wire.Token) error {
		offset, txt := int(t.GetOffset()), t.GetText()
		return stream.SendWithContext(ctx, &pipelines.StreamEvent{Event: "token", Offset: &offset, Text: &txt})
	}
	result := a.e.runWithLimits(ctx, r, refused, func(ctx context.Context) *answer { return a.e.runPipeline(ctx, r, run) })
	return stream.SendWithContext(ctx, &pipelines.StreamEvent{Event: "answer", Answer: r.result(result)})
}

// Call implements pipelines.Service.
func (a *api) Call(ctx context.Context, p *pipelines.CallPayload) (*pipelines.Answer, error) {
	if err := a.startRequest(); err != nil {
		return nil, err
	}
	defer a.e.releaseRequest()
	r, service, operation, err := a.e.newServiceRequest(p)
	if err != nil {
		return nil, toAPIError(err)
	}
	what := "operation " + operation.Name() + " of service " + service.Name()
	a.e.assignID(r, attempt.NewID(), what)
	c := &call{
		request: r.id, customer: r.customer, class: r.class, service: service, operation: operation,
		stage: service.Name() + "/" + operation.Name(), input: []byte(p.Input), deadline: r.deadline,
		policy: r.manifest().Policy(), timeline: r.timeline,
	}
	if operation.Idempotent() {
		return r.result(a.e.runWithLimits(ctx, r, refused, func(ctx context.Context) *answer { return a.e.runCall(ctx, c) })), nil
	}
	o := a.e.newOrder(c, stringValue(p.OrderID), p.FirstAttempt)
	reject := func(err error) *answer { return o.reject(ctx, err) }
	result := a.e.runWithLimits(ctx, r, reject, o.run)
	if result.reason == ledger.RefusedBodyMismatch {
		return nil, toAPIError(&fieldError{field: "order_id", detail: result.detail})
	}
	return r.result(result), nil
}

// Fetch implements pipelines.Service.
func (a *api) Fetch(ctx context.Context, p *pipelines.FetchPayload) (*pipelines.Answer, error) {
	if err := a.startRequest(); err != nil {
		return nil, err
	}
	defer a.e.releaseRequest()
	r, err := a.e.newRequest(p.CustomerKey, "", "", int64(fetchTimeout.Milliseconds()))
	if err != nil {
		return nil, toAPIError(err)
	}
	return a.e.fetch(ctx, r, p.ID)
}

func (e *Entry) newPipelineRequest(key, class, name string, deadlineMs int64) (*request, *manifest.Pipeline, error) {
	cfg := e.o.Config.Current()
	if cfg == nil {
		return nil, nil, &callError{reason: attempt.ReasonNotReady, detail: "this entry has no configuration yet"}
	}
	pl, ok := cfg.Manifest().Pipeline(name)
	if !ok {
		return nil, nil, &fieldError{field: "pipeline", detail: "no pipeline is named " + name}
	}
	r, err := e.newRequest(key, class, pl.DefaultClass(), deadlineMs)
	if err != nil {
		return nil, nil, err
	}
	if r.class.MayWait() {
		return r, pl, nil
	}
	if limit := r.startedAt.Add(pl.Deadline()); limit.Before(r.deadline) {
		r.deadline = limit
	}
	return r, pl, nil
}

func (e *Entry) newServiceRequest(p *pipelines.CallPayload) (*request, *manifest.Service, *manifest.Operation, error) {
	r, err := e.newRequest(p.CustomerKey, stringValue(p.Class), "", p.DeadlineMs)
	if err != nil {
		return nil, nil, nil, err
	}
	service, ok := r.manifest().Service(p.Service)
	if !ok {
		return nil, nil, nil, &fieldError{field: "service", detail: "no service is named " + p.Service}
	}
	operation, ok := service.Operation(p.Operation)
	if !ok {
		return nil, nil, nil, &fieldError{field: "operation", detail: "service " + p.Service + " has no operation " + p.Operation}
	}
	if !operation.Idempotent() && stringValue(p.OrderID) == "" {
		return nil, nil, nil, &fieldError{field: "order_id", detail: "required, because operation " + p.Operation + " is not idempotent"}
	}
	return r, service, operation, nil
}

func (e *Entry) newPipelineRun(r *request, pl *manifest.Pipeline, input, prefix string, maxTokens int) *pipelineRun {
	return &pipelineRun{
		e: e, pipeline: pl, manifest: r.manifest(), customer: r.customer, class: r.class,
		prefix: prefix, input: input, maxTokens: maxTokens,
	}
}

// runPipeline runs a pipeline for a caller that waits for the result.
func (e *Entry) runPipeline(ctx context.Context, r *request, p *pipelineRun) *answer {
	p.request, p.deadline, p.timeline = r.id, r.deadline, r.timeline
	p.outputs = make(map[string][]byte)
	out, err := p.run(ctx)
	if err != nil {
		a := refused(err)
		if p.ran {
			a.outcome = outcomeFailed
		}
		a.stages = p.results
		return a
	}
	output := string(out)
	last := p.results[len(p.results)-1].result
	return &answer{outcome: outcomeDone, output: &output, tokens: last.tokens, stages: p.results}
}

// runCall runs an idempotent call of a plain service.
func (e *Entry) runCall(ctx context.Context, c *call) *answer {
	e.setEstimates(c)
	r, err := e.execute(ctx, c)
	if err != nil {
		return refused(err)
	}
	out := string(r.output)
	c.timeline.finished(c.stage, r)
	return &answer{outcome: outcomeDone, output: &out, stages: []stageResult{{stage: c.stage, result: r}}}
}

// setEstimates sets the expected duration of a call of a plain service.
func (e *Entry) setEstimates(c *call) {
	c.key = c.stage
	c.expected = e.estimator.Estimate(c.key, 0, e.o.Timers.Now()).Mean
	c.typical, c.needs = c.expected, c.expected
}
