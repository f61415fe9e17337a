package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	pipelines "github.com/cardamomline/cardamomline/api/gen/pipelines"
	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	fetchTimeout  = 2 * time.Second
	submitTimeout = 2 * time.Second

	// waitingLease is how long an entry may be unresponsive before another entry takes
	// over its waiting requests. It spans three renewal periods.
	waitingLease     = 6 * time.Second
	leaseRenewPeriod = 2 * time.Second

	// waitingPollInterval is how often an entry with free slots checks for waiting
	// requests.
	waitingPollInterval  = 500 * time.Millisecond
	maxConcurrentWaiting = 64
	leaseBatchSize       = 16

	// waitingRetryDelay is the delay after the first failed run; it doubles up to
	// maxWaitingRetryDelay.
	waitingRetryDelay    = 200 * time.Millisecond
	maxWaitingRetryDelay = 5 * time.Second
)

// submit records a waiting request and returns its id.
func (e *Entry) submit(ctx context.Context, r *request, p *pipelineRun, submissionID string) *pipelines.Answer {
	e.assignID(r, attempt.NewID(), "waiting request for pipeline "+p.pipeline.Name())
	a := e.runWithLimits(ctx, r, refused, func(ctx context.Context) *answer {
		return e.recordWaiting(ctx, r, p, submissionID)
	})
	return r.result(a)
}

func (e *Entry) recordWaiting(ctx context.Context, r *request, p *pipelineRun, submissionID string) *answer {
	body, err := proto.Marshal(&wire.AttemptRequest{Input: []byte(p.input), MaxTokens: int32(p.maxTokens), Prefix: p.prefix})
	if err != nil {
		return refused(&callError{reason: attempt.ReasonBadRequest, detail: err.Error()})
	}
	if submissionID == "" {
		submissionID = r.id
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	deadline := min(r.deadline.Sub(r.startedAt), r.class.Deadline())
	result, err := e.o.Control.Execute(ctx, &wire.Command{Kind: &wire.Command_SubmitWaiting{SubmitWaiting: &wire.SubmitWaiting{
		Id: r.id, Customer: r.customer.Name(), Pipeline: p.pipeline.Name(), Class: r.class.Name(), Body: body,
		DeadlineMs: time.Now().Add(deadline).UnixMilli(), SubmissionId: submissionID,
	}}})
	if err != nil {
		return &answer{outcome: outcomeUnknown, reason: reasonNoQuorum, detail: "the submission could not be confirmed as recorded; submit it again with the same submission id"}
	}
	if result.GetRefusal() != "" {
		return refused(&callError{reason: result.GetRefusal(), detail: result.GetDetail()})
	}
	e.waitingHint.Store(true)
	if len(result.GetWaiting()) > 0 {
		r.id = result.GetWaiting()[0].GetId()
	}
	return &answer{outcome: outcomeAccepted, reason: "may_wait", detail: "recorded; fetch the answer later by its request id"}
}

// fetch returns the state of a waiting request to the customer that owns it.
func (e *Entry) fetch(ctx context.Context, r *request, id string) (*pipelines.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := e.o.Control.Query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Waiting{Waiting: &wire.WaitingQuery{Customer: r.customer.Name(), Id: id}}})
	if err != nil {
		return nil, toAPIError(&callError{reason: reasonNoQuorum, detail: "the request can't be read from the control VMs: " + err.Error()})
	}
	if !resp.GetFound() {
		return nil, pipelines.MakeNotFound(errors.Errorf("customer %s has no waiting request %s", r.customer.Name(), id))
	}
	r.id = id
	w := resp.GetWaiting()
	a := &answer{outcome: outcomeAccepted, reason: "may_wait", detail: "still waiting or running"}
	switch w.GetState() {
	case wire.WaitingState_WAITING_STATE_DONE:
		out := string(w.GetResult())
		a = &answer{outcome: outcomeDone, output: &out}
	case wire.WaitingState_WAITING_STATE_FAILED:
		a = &answer{outcome: outcomeFailed, reason: w.GetReason(), detail: "the request could not be answered before its deadline"}
	}
	return r.result(a), nil
}

// serveWaiting leases waiting requests and runs them.
func (e *Entry) serveWaiting(ctx context.Context) {
	ticker := e.o.Timers.Subscribe(waitingPollInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxConcurrentWaiting)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return
		}
		cfg := e.o.Config.Current()
		free := min(cap(slots)-len(slots), leaseBatchSize)
		if cfg == nil || e.leaving.Load() || free == 0 || !e.waitingHint.Load() {
			continue
		}
		for _, w := range e.leaseWaiting(ctx, free) {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				e.runWaiting(ctx, cfg, w)
			})
		}
	}
}

func (e *Entry) leaseWaiting(ctx context.Context, n int) []*wire.WaitingRecord {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	result, err := e.o.Control.Execute(ctx, &wire.Command{Kind: &wire.Command_LeaseWaiting{LeaseWaiting: &wire.LeaseWaiting{
		Entry: e.o.Name, Max: int32(n), LeaseMs: waitingLease.Milliseconds(),
	}}})
	if err != nil {
		return nil
	}
	return result.GetWaiting()
}

// waitingRun is one leased waiting request.
type waitingRun struct {
	e        *Entry
	record   *wire.WaitingRecord
	timeline *timeline
	deadline time.Time
	// lastStage is the name of the pipeline's last stage.
	lastStage string
}

// runWaiting runs a leased request to completion, as long as the lease is held.
func (e *Entry) runWaiting(ctx context.Context, cfg *configwatch.Config, record *wire.WaitingRecord) {
	if !e.tryStartRequest() {
		return
	}
	defer e.releaseRequest()
	left := time.Until(time.UnixMilli(record.GetDeadlineMs()))
	w := &waitingRun{e: e, record: record, timeline: e.newTimeline(record.GetId()), deadline: e.o.Timers.Now().Add(left)}
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	go w.renew(ctx, cancel)

	outputs := make(map[string][]byte)
	for _, s := range record.GetStages() {
		outputs[s.GetStage()] = s.GetResult()
	}
	pause := waitingRetryDelay
	for {
		out, err := w.run(ctx, cfg, outputs)
		switch {
		case err == nil:
			w.complete(wire.WaitingState_WAITING_STATE_DONE, out, "")
			return
		case !e.o.Timers.Now().Before(w.deadline):
			w.complete(wire.WaitingState_WAITING_STATE_FAILED, nil, reasonDeadline)
			return
		case e.leaving.Load():
			// Another entry resumes from the recorded stages when the lease has expired.
			return
		case e.o.Timers.Sleep(ctx, pause) != nil && e.o.Timers.Now().Before(w.deadline):
			return
		}
		pause = min(2*pause, maxWaitingRetryDelay)
		if next := e.o.Config.Current(); next != nil {
			cfg = next
		}
	}
}

func (w *waitingRun) run(ctx context.Context, cfg *configwatch.Config, outputs map[string][]byte) ([]byte, error) {
	m := cfg.Manifest()
	pl, ok := m.Pipeline(w.record.GetPipeline())
	customer, known := m.CustomerNamed(w.record.GetCustomer())
	class, named := m.Class(w.record.GetClass())
	if !ok || !known || !named {
		return nil, errors.New("the active configuration no longer contains the pipeline, customer or class")
	}
	body := &wire.AttemptRequest{}
	if err := proto.Unmarshal(w.record.GetBody(), body); err != nil {
		return nil, errors.Wrapf(err, "body of waiting request %s", w.record.GetId())
	}
	stages := pl.Stages()
	w.lastStage = stages[len(stages)-1].Name()
	p := &pipelineRun{
		e: w.e, pipeline: pl, manifest: m, request: w.record.GetId(), customer: customer, class: class,
		prefix: body.GetPrefix(), input: string(body.GetInput()), maxTokens: int(body.GetMaxTokens()),
		deadline: w.deadline, timeline: w.timeline, outputs: outputs, onStageDone: w.recordStage,
	}
	return p.run(ctx)
}

// recordStage stores the result of a stage under the epoch of the lease, which also renews
// the lease. A refusal means that another entry has taken over the request.
func (w *waitingRun) recordStage(ctx context.Context, stage string, output []byte) error {
	err := w.execute(ctx, &wire.Command{Kind: &wire.Command_RecordStage{RecordStage: &wire.RecordStage{
		Id: w.record.GetId(), Epoch: w.record.GetEpoch(), Stage: stage, Result: output, LeaseMs: waitingLease.Milliseconds(),
	}}})
	if err == nil && w.e.leaving.Load() && stage != w.lastStage {
		return errors.New("the entry is shutting down; another one resumes the request")
	}
	return err
}

func (w *waitingRun) execute(ctx context.Context, cmd *wire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, waitingLease)
	defer cancel()
	result, err := w.e.o.Control.Execute(ctx, cmd)
	if err != nil {
		return err
	}
	if result.GetRefusal() != "" {
		return errors.Errorf("waiting request %s: %s", w.record.GetId(), result.GetDetail())
	}
	return nil
}

// renew renews the lease while the request runs and cancels the run when the lease is
// lost.
func (w *waitingRun) renew(ctx context.Context, lost context.CancelFunc) {
	ticker := w.e.o.Timers.Subscribe(leaseRenewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return
		}
		renewal := &wire.RenewWaiting{Id: w.record.GetId(), Epoch: w.record.GetEpoch(), LeaseMs: waitingLease.Milliseconds()}
		if err := w.execute(ctx, &wire.Command{Kind: &wire.Command_RenewWaiting{RenewWaiting: renewal}}); err != nil && ctx.Err() == nil {
			w.e.o.Metrics.Count("entry_waiting_leases_lost", 1)
			klog.InfoS("Waiting request abandoned", "request", w.record.GetId(), "cause", err.Error())
			lost()
			return
		}
	}
}

func (w *waitingRun) complete(state wire.WaitingState, result []byte, reason string) {
	err := w.execute(context.Background(), &wire.Command{Kind: &wire.Command_CompleteWaiting{CompleteWaiting: &wire.CompleteWaiting{
		Id: w.record.GetId(), Epoch: w.record.GetEpoch(), State: state, Result: result, Reason: reason,
	}}})
	if err != nil {
		w.e.o.Metrics.Count("entry_waiting_not_completed", 1)
	}
}
