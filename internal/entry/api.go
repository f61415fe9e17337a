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

// maxBodyBytes bounds the body of a caller's request. JSON may escape each byte
// of the longest input into six.
const maxBodyBytes = 2 << 20

// Handler returns the HTTP handler of the caller API and of the records of requests.
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

// asError turns bad input into the 4xx answer that names the field, and a
// refusal of this entry into the 503 answer that sends the caller to another.
func asError(err error) error {
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

// begin counts the request as running, so that a stop waits for it.
func (a *api) begin() error {
	if !a.e.enter() {
		return asError(&callError{reason: reasonTooManyRequests, detail: "this entry holds as many requests as it may"})
	}
	return nil
}

func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func number(n *int) int {
	if n == nil {
		return 0
	}
	return *n
}

// Run implements pipelines.Service.
func (a *api) Run(ctx context.Context, p *pipelines.RunPayload) (*pipelines.Answer, error) {
	if err := a.begin(); err != nil {
		return nil, err
	}
	defer a.e.leave()
	r, pl, err := a.e.openPipeline(p.CustomerKey, text(p.Class), p.Pipeline, p.DeadlineMs)
	if err != nil {
		return nil, asError(err)
	}
	run := a.e.newRun(r, pl, p.Input, text(p.Prefix), number(p.MaxTokens))
	if r.class.MayWait() {
		return a.e.submit(ctx, r, run, text(p.SubmissionID)), nil
	}
	a.e.named(r, attempt.NewID(), "pipeline "+pl.Name())
	return r.result(a.e.bounded(ctx, r, refused, func(ctx context.Context) *answer { return a.e.runPipeline(ctx, r, run) })), nil
}

// Stream implements pipelines.Service.
func (a *api) Stream(ctx context.Context, p *pipelines.StreamPayload, stream pipelines.StreamServerStream) error {
	if err := a.begin(); err != nil {
		return err
	}
	defer a.e.leave()
	r, pl, err := a.e.openPipeline(p.CustomerKey, text(p.Class), p.Pipeline, p.DeadlineMs)
	if err != nil {
		return asError(err)
	}
	defer func() { _ = stream.Close() }()
	a.e.named(r, attempt.NewID(), "stream of pipeline "+pl.Name())
	run := a.e.newRun(r, pl, p.Input, text(p.Prefix), number(p.MaxTokens))
	run.onToken = func(t *wire.Token) error {
		offset, txt := int(t.GetOffset()), t.GetText()
		return stream.SendWithContext(ctx, &pipelines.StreamEvent{Event: "token", Offset: &offset, Text: &txt})
	}
	told := a.e.bounded(ctx, r, refused, func(ctx context.Context) *answer { return a.e.runPipeline(ctx, r, run) })
	return stream.SendWithContext(ctx, &pipelines.StreamEvent{Event: "answer", Answer: r.result(told)})
}

// Call implements pipelines.Service.
func (a *api) Call(ctx context.Context, p *pipelines.CallPayload) (*pipelines.Answer, error) {
	if err := a.begin(); err != nil {
		return nil, err
	}
	defer a.e.leave()
	r, service, operation, err := a.e.openService(p)
	if err != nil {
		return nil, asError(err)
	}
	what := "operation " + operation.Name() + " of service " + service.Name()
	a.e.named(r, attempt.NewID(), what)
	c := &call{
		request: r.id, customer: r.customer, class: r.class, service: service, operation: operation,
		stage: service.Name() + "/" + operation.Name(), input: []byte(p.Input), deadline: r.deadline,
		policy: r.manifest().Policy(), timeline: r.timeline,
	}
	if operation.Idempotent() {
		return r.result(a.e.bounded(ctx, r, refused, func(ctx context.Context) *answer { return a.e.runCall(ctx, c) })), nil
	}
	o := a.e.newOrder(c, text(p.OrderID), p.FirstAttempt)
	refuse := func(err error) *answer { return o.refuse(ctx, err) }
	told := a.e.bounded(ctx, r, refuse, o.run)
	if told.reason == ledger.RefusedBodyMismatch {
		return nil, asError(&fieldError{field: "order_id", detail: told.detail})
	}
	return r.result(told), nil
}

// Fetch implements pipelines.Service.
func (a *api) Fetch(ctx context.Context, p *pipelines.FetchPayload) (*pipelines.Answer, error) {
	if err := a.begin(); err != nil {
		return nil, err
	}
	defer a.e.leave()
	r, err := a.e.open(p.CustomerKey, "", "", int64(fetchTimeout.Milliseconds()))
	if err != nil {
		return nil, asError(err)
	}
	return a.e.fetch(ctx, r, p.ID)
}

func (e *Entry) openPipeline(key, class, name string, deadlineMs int64) (*request, *manifest.Pipeline, error) {
	cfg := e.o.Config.Current()
	if cfg == nil {
		return nil, nil, &callError{reason: attempt.ReasonNotReady, detail: "this entry knows no configuration yet"}
	}
	pl, ok := cfg.Manifest().Pipeline(name)
	if !ok {
		return nil, nil, &fieldError{field: "pipeline", detail: "no pipeline is named " + name}
	}
	r, err := e.open(key, class, pl.DefaultClass(), deadlineMs)
	if err != nil {
		return nil, nil, err
	}
	if r.class.MayWait() {
		return r, pl, nil
	}
	if limit := r.began.Add(pl.Deadline()); limit.Before(r.deadline) {
		r.deadline = limit
	}
	return r, pl, nil
}

func (e *Entry) openService(p *pipelines.CallPayload) (*request, *manifest.Service, *manifest.Operation, error) {
	r, err := e.open(p.CustomerKey, text(p.Class), "", p.DeadlineMs)
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
	if !operation.Idempotent() && text(p.OrderID) == "" {
		return nil, nil, nil, &fieldError{field: "order_id", detail: "required, because operation " + p.Operation + " must not repeat"}
	}
	return r, service, operation, nil
}

func (e *Entry) newRun(r *request, pl *manifest.Pipeline, input, prefix string, maxTokens int) *pipelineRun {
	return &pipelineRun{
		e: e, pipeline: pl, manifest: r.manifest(), customer: r.customer, class: r.class,
		prefix: prefix, input: input, maxTokens: maxTokens,
	}
}

// runPipeline runs a pipeline whose caller waits for the answer.
func (e *Entry) runPipeline(ctx context.Context, r *request, p *pipelineRun) *answer {
	p.request, p.deadline, p.timeline = r.id, r.deadline, r.timeline
	p.outputs = make(map[string][]byte)
	out, err := p.run(ctx)
	if err != nil {
		a := refused(err)
		if p.ran {
			a.outcome = outcomeFailed
		}
		a.stages = p.replies
		return a
	}
	whole := string(out)
	last := p.replies[len(p.replies)-1].reply
	return &answer{outcome: outcomeDone, output: &whole, tokens: last.tokens, stages: p.replies}
}

// runCall runs an idempotent call of a plain service.
func (e *Entry) runCall(ctx context.Context, c *call) *answer {
	e.estimate(c)
	r, err := e.run(ctx, c)
	if err != nil {
		return refused(err)
	}
	out := string(r.output)
	c.timeline.finished(c.stage, r)
	return &answer{outcome: outcomeDone, output: &out, stages: []stageReply{{stage: c.stage, reply: r}}}
}

// estimate fills in how long a call of a plain service takes.
func (e *Entry) estimate(c *call) {
	c.key = c.stage
	c.expected = e.estimator.Estimate(c.key, 0, e.o.Timers.Now()).Mean
	c.typical, c.needs = c.expected, c.expected
}
