package batching

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// targetPeriod is how often the targets of each service are looked up again
	// when nothing changes, which finds those that fell silent.
	targetPeriod = time.Second
	// collectingFor is how long after the last stage a collector counts as in use.
	// Gateways hear of it within half a second.
	collectingFor = 2 * time.Second
	// fetchTime is the time from the beginning of a call to when its target has
	// fetched the inputs. Those of a full call, 14 MB, take 12 ms at 10 Gbit/s.
	fetchTime = 50 * time.Millisecond
	// freePeriod is how long results to give up at one target are collected.
	freePeriod = 10 * time.Millisecond
	// freeTimeout bounds a call that gives up results.
	freeTimeout = time.Second
)

// TargetClient runs calls at targets; the adapter speaks their protocol.
type TargetClient interface {
	// Run runs one call; it returns Broken when ctx ends first.
	Run(ctx context.Context, c *Call, now time.Time) CallOutcome
	// Free gives up results at a target.
	ReleaseResults(ctx context.Context, t Target, handles []string) error
}

// Options holds what a Runner needs.
type Options struct {
	Timers       *timer.Service
	Table        *discovery.Table
	TargetClient TargetClient
	Metrics      *metrics.Metrics
	// Catalog returns the newest catalog, or nil.
	Catalog func() *catalog.Catalog
}

// Collector serves RunStage and FreeResults for all stage services.
type Collector struct {
	o        Options
	mu       sync.Mutex
	services map[string]*serviceRunner
	given    map[Target]*givenUp
	asked    time.Duration // boot clock of the last stage that came; 0 before
	collects time.Duration // boot clock of the first one since a break
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	done     chan struct{}
}

// serviceRunner runs the calls of one service.
type serviceRunner struct {
	r     *Collector
	name  string
	mu    sync.Mutex
	s     *Scheduler
	wake  chan struct{}
	short atomic.Pointer[map[string]bool] // targets without much room
}

// NewCollector returns a Runner.
func NewCollector(o Options) *Collector {
	ctx, cancel := context.WithCancel(context.Background())
	return &Collector{o: o, services: map[string]*serviceRunner{}, given: map[Target]*givenUp{}, ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// Uptime returns for how long gateways have sent stages here without a break; 0
// when they have not lately. They stay with the collector that does so longest, as
// another one doesn't know which targets have room. The boot clock counts the time
// for which this VM was suspended.
func (r *Collector) Uptime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := timer.SinceBoot()
	if r.asked == 0 || now-r.asked > collectingFor {
		return 0
	}
	return max(now-r.collects, time.Millisecond)
}

// noteAsked notes that a gateway has sent a stage.
func (r *Collector) noteAsked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := timer.SinceBoot()
	if r.asked == 0 || now-r.asked > collectingFor {
		r.collects = now
		klog.InfoS("Collects the pieces of stages")
	}
	r.asked = now
}

// Start implements kernel.Starter.
func (r *Collector) Start(context.Context) error { return nil }

// Stop implements kernel.Stopper.
func (r *Collector) Stop(context.Context) error {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.wg.Wait()
	close(r.done)
	return nil
}

// Done implements kernel.Stopper.
func (r *Collector) Done() <-chan struct{} { return r.done }

// Handler returns the twirp server for gateways.
func (r *Collector) Handler() http.Handler { return wire.NewBatchingServer(r) }

// service returns the runner of a service, or nil when the catalog has none.
func (r *Collector) service(name string) *serviceRunner {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[name]; s != nil || r.ctx.Err() != nil {
		return s
	}
	c := r.o.Catalog()
	if c == nil {
		return nil
	}
	service, ok := c.Service(name)
	if !ok || service.Batch() == nil {
		return nil
	}
	s := &serviceRunner{r: r, name: name, s: NewScheduler(*service.Batch()), wake: make(chan struct{}, 1)}
	s.refresh()
	s.publish()
	r.services[name] = s
	r.wg.Go(s.run)
	return s
}

// RunStage implements wire.Batching.
func (r *Collector) RunStage(ctx context.Context, req *wire.RunStageRequest) (*wire.RunStageResponse, error) {
	s := r.service(req.GetService())
	if s == nil {
		return &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_REFUSED, Reason: "unknown_service", RetryAfterMs: uint32(minRetryAfter.Milliseconds())}, nil
	}
	r.noteAsked()
	now := r.o.Timers.Now()
	path := r.path(req)
	j := &Job{
		RequestID: req.GetRequestId(), Stage: int(req.GetStage()), Key: req.GetKey(), Inputs: req.GetInputs(),
		Pieces: int(req.GetPieces()), ResultBytes: int64(req.GetResultBytes()), Priority: int(req.GetPriority()), Domain: req.GetFailureDomain(),
		Objective: now.Add(time.Duration(req.GetObjectiveLeftMs()) * time.Millisecond),
		Deadline:  now.Add(time.Duration(req.GetDeadlineLeftMs())*time.Millisecond - path.Least()),
		Path:      path,
	}
	for _, p := range req.GetRelease() {
		j.Release = append(j.Release, Result{Handle: p.GetHandle(), Target: p.GetTarget(), Domain: p.GetFailureDomain()})
	}
	ended := make(chan Outcome, 1)
	s.change(func(sch *Scheduler) { sch.Add(j, func(o Outcome) { ended <- o }, now) })
	select {
	case o := <-ended:
		r.observe(s.name, o)
		if o.Kind != Done {
			klog.InfoS("Stage not run", "request", j.RequestID, "stage", j.Stage, "service", s.name, "reason", o.Reason, "pieces", j.Pieces,
				"waited_ms", r.o.Timers.Since(now).Milliseconds(), "backlog_ms", s.s.Load().Backlog().Milliseconds(),
				"objective_in_ms", j.Objective.Sub(r.o.Timers.Now()).Milliseconds(), "deadline_in_ms", j.Deadline.Sub(r.o.Timers.Now()).Milliseconds(),
				"expected_ms", path.expected(0, j.rank()).Milliseconds(), "least_ms", path.Least().Milliseconds(), "group", j.group, "rank", j.rank(), "retry_after_ms", o.RetryAfter.Milliseconds())
		}
		return answer(o), nil
	case <-ctx.Done():
		s.change(func(sch *Scheduler) { sch.Cancel(j) })
		return nil, ctx.Err()
	case <-r.ctx.Done():
		return &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_FAILED, Reason: "collector_stopping"}, nil
	}
}

// path returns what follows a stage; services that the catalog lacks are left out.
func (r *Collector) path(req *wire.RunStageRequest) Path {
	var stages []PathStage
	for i, name := range req.GetFollowing() {
		if s := r.service(name); s != nil && i < len(req.GetFollowingPieces()) {
			stages = append(stages, PathStage{Load: s.s.Load(), Pieces: int(req.GetFollowingPieces()[i])})
		}
	}
	return NewPath(stages, time.Duration(req.GetAfterMs())*time.Millisecond)
}

func (r *Collector) observe(service string, o Outcome) {
	kind := [...]string{"done", "refused", "input_gone", "failed", "late"}[o.Kind]
	r.o.Metrics.CountReason("stage_outcomes", service+"_"+kind)
	r.o.Metrics.ObserveStage("stage_wait_seconds", service, kind, o.Waited)
}

func answer(o Outcome) *wire.RunStageResponse {
	resp := &wire.RunStageResponse{
		Reason: o.Reason, RetryAfterMs: uint32(o.RetryAfter.Milliseconds()),
		WaitedMs: uint32(o.Waited.Milliseconds()), WorkedMs: uint32(o.Worked.Milliseconds()),
	}
	switch o.Kind {
	case Done:
		resp.Outcome = wire.StageOutcome_STAGE_OUTCOME_DONE
	case Refused:
		resp.Outcome = wire.StageOutcome_STAGE_OUTCOME_REFUSED
	case InputGone:
		resp.Outcome = wire.StageOutcome_STAGE_OUTCOME_INPUT_GONE
	case Failed:
		resp.Outcome = wire.StageOutcome_STAGE_OUTCOME_FAILED
	case Late:
		resp.Outcome = wire.StageOutcome_STAGE_OUTCOME_LATE
	}
	for _, p := range o.Results {
		resp.Results = append(resp.Results, &wire.PieceResult{Handle: p.Handle, Target: p.Target, FailureDomain: p.Domain})
	}
	return resp
}

// FreeResults implements wire.Batching. Results that another collector made are
// given up at the target that the caller names.
func (r *Collector) FreeResults(_ context.Context, req *wire.FreeResultsRequest) (*wire.FreeResultsResponse, error) {
	results := make([]Result, 0, len(req.GetResults()))
	for _, p := range req.GetResults() {
		results = append(results, Result{Handle: p.GetHandle(), Target: p.GetTarget()})
	}
	r.release(results)
	return &wire.FreeResultsResponse{}, nil
}

// release gives up results at their targets.
func (r *Collector) release(results []Result) {
	byTarget := map[string][]string{}
	for _, p := range results {
		byTarget[p.Target] = append(byTarget[p.Target], p.Handle)
	}
	for id, handles := range byTarget {
		t, ok := r.o.Table.Target(id)
		if !ok {
			continue // its results went with it
		}
		r.free(Target{ID: id, Address: t.GetAddress(), FailureDomain: t.GetFailureDomain()}, handles, r.service(t.GetService()))
	}
}

// givenUp are the results to give up at one target with the next message.
type givenUp struct {
	handles []string
	service *serviceRunner
}

// free gives up results at one target, together with others that follow soon.
func (r *Collector) free(t Target, handles []string, s *serviceRunner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	if g := r.given[t]; g != nil {
		g.handles = append(g.handles, handles...)
		return
	}
	r.given[t] = &givenUp{handles: handles, service: s}
	r.wg.Go(func() { r.sendFree(t) })
}

// sendFree sends what was given up at a target. The room counts as free once the
// target has answered.
func (r *Collector) sendFree(t Target) {
	if err := r.o.Timers.Sleep(r.ctx, freePeriod); err != nil {
		return // the runner stops
	}
	r.mu.Lock()
	g := r.given[t]
	delete(r.given, t)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, freeTimeout)
	defer cancel()
	if err := r.o.TargetClient.ReleaseResults(ctx, t, g.handles); err != nil {
		// The results end by themselves after their lifetime.
		klog.V(1).InfoS("Results not given up", "target", t.ID, "results", len(g.handles), "cause", err.Error())
		return
	}
	if g.service != nil {
		g.service.change(func(sch *Scheduler) { sch.Free(g.handles) })
	}
}

// change runs f on the scheduler and wakes the loop.
func (s *serviceRunner) change(f func(*Scheduler)) {
	s.mu.Lock()
	f(s.s)
	orphans := s.s.Orphans()
	s.publish()
	s.mu.Unlock()
	if len(orphans) > 0 {
		s.r.release(orphans)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// publish tells the other services how this one stands; s.mu is held.
func (s *serviceRunner) publish() {
	s.s.Publish(s.r.o.Timers.Now())
	short := s.s.ShortOfRoom()
	s.short.Store(&short)
}

// refresh brings targets and profile up to date.
func (s *serviceRunner) refresh() {
	now := s.r.o.Timers.Now()
	var ready, silent []Target
	for _, l := range s.r.o.Table.Live(s.name, now) {
		rec := l.Record()
		if rec.GetState() != wire.TargetState_TARGET_STATE_READY {
			continue
		}
		t := Target{ID: rec.GetId(), Address: rec.GetAddress(), FailureDomain: rec.GetFailureDomain(), Started: time.UnixMilli(rec.GetBornMs())}
		if l.Silent() {
			silent = append(silent, t)
		} else {
			ready = append(ready, t)
		}
	}
	if len(ready) == 0 {
		ready = silent
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.s.SetTargets(ready)
	if c := s.r.o.Catalog(); c != nil {
		if service, ok := c.Service(s.name); ok && service.Batch() != nil {
			s.s.SetProfile(*service.Batch())
		}
	}
}

// run begins calls whenever something changed.
func (s *serviceRunner) run() {
	ticker := s.r.o.Timers.Subscribe(targetPeriod)
	defer ticker.Stop()
	for {
		changed := s.r.o.Table.Changed()
		again := s.begin()
		var timeout <-chan time.Time
		if again > 0 {
			timeout = s.r.o.Timers.After(again)
		}
		select {
		case <-s.wake:
		case <-timeout:
		case <-ticker.C():
			s.refresh()
		case <-changed:
			s.refresh()
		case <-s.r.ctx.Done():
			return
		}
	}
}

// begin starts all calls that may begin now.
func (s *serviceRunner) begin() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	for {
		c, again := s.s.Next(s.r.o.Timers.Now())
		if c == nil {
			return again
		}
		s.r.wg.Go(func() { s.call(c) })
		s.r.wg.Go(func() { s.releaseInputs(c) })
	}
}

// shortTargets returns the targets of all services that are short of room.
func (r *Collector) shortTargets() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]bool{}
	for _, s := range r.services {
		if short := s.short.Load(); short != nil {
			maps.Copy(all, *short)
		}
	}
	return all
}

// releaseInputs gives up the inputs of a call once its target has fetched them, where
// room is short. If the call fails afterwards, its jobs end for want of their inputs.
func (s *serviceRunner) releaseInputs(c *Call) {
	if err := s.r.o.Timers.Sleep(s.r.ctx, fetchTime); err != nil {
		return // the runner stops
	}
	short := s.r.shortTargets()
	var results []Result
	s.change(func(sch *Scheduler) { results = sch.Fetched(c, func(target string) bool { return short[target] }) })
	s.r.release(results)
}

// call runs one call and takes its outcome.
func (s *serviceRunner) call(c *Call) {
	ctx, cancel := context.WithTimeout(s.r.ctx, c.Limit())
	defer cancel()
	o := s.r.o.TargetClient.Run(ctx, c, c.Began)
	took := s.r.o.Timers.Since(c.Began)
	outcome := "answered"
	var made, gone, late, noRoom, failed int
	switch o := o.(type) {
	case CallCompleted:
		made, gone, late = o.count(PieceDone), o.count(PieceInputGone), o.count(PieceDeadlineExceeded)
		noRoom, failed = o.count(PieceOutOfMemory), o.count(PieceFailed)
	case CallRejected:
		outcome = "full"
	case CallFailed:
		outcome = "broken: " + o.Reason
	}
	klog.InfoS("Stage call", "service", s.name, "target", c.Target.ID, "pieces", len(c.Pieces), "first_request", c.Pieces[0].Job.RequestID,
		"queued", c.Queued, "room_bytes", c.Room,
		"expected_ms", c.Expected.Milliseconds(), "took_ms", took.Milliseconds(), "outcome", outcome,
		"made", made, "input_gone", gone, "late", late, "no_room", noRoom, "failed", failed)
	s.r.o.Metrics.ObserveStage("stage_call_seconds", s.name, "call", took)
	s.r.o.Metrics.CountReason("stage_calls", s.name)
	s.change(func(sch *Scheduler) { sch.Finish(c, o, s.r.o.Timers.Now()) })
}
