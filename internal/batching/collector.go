package batching

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/evacuation"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/stagelink"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// targetRefreshInterval is how often the targets of each service are looked up when
	// nothing changes, to find those whose heartbeat has timed out.
	targetRefreshInterval = time.Second
	// minRefreshInterval is the shortest time between two refreshes, which look at all
	// targets.
	minRefreshInterval = 50 * time.Millisecond
	// activeTimeout is how long after the last stage a collector counts as in use.
	// Gateways are notified within half a second.
	activeTimeout = 2 * time.Second
	// inputFetchTime is the time from the start of a call until its target has fetched the
	// inputs. Those of a full call, 14 MB, take 12 ms at 10 Gbit/s.
	inputFetchTime = 50 * time.Millisecond
	// stopPollInterval is how often a collector that stops checks for running calls.
	stopPollInterval = 10 * time.Millisecond
	// releaseDelay is how long released results are batched per target.
	releaseDelay = 10 * time.Millisecond
	// releaseTimeout limits a request that releases results.
	releaseTimeout = time.Second
	// limitPauseFactor is the pause after a call to a target that names a limit, in mean times
	// between the requests that it takes, and maxLimitPause the longest one: without any call
	// nobody would hear that the limit has ended.
	limitPauseFactor = 1.5
	maxLimitPause    = 4 * time.Second
)

// TargetClient runs calls at targets and translates to their protocol.
type TargetClient interface {
	// Run runs one call; it returns CallFailed when ctx ends first.
	Run(ctx context.Context, c *Call, now time.Time) (CallOutcome, discovery.Notice)
	// ReleaseResults releases results at a target.
	ReleaseResults(ctx context.Context, t Target, handles []string) (discovery.Notice, error)
	// Report asks a target for a report of itself.
	Report(ctx context.Context, t Target) (TargetReport, discovery.Notice, error)
}

// Options holds the dependencies of a Collector.
type Options struct {
	Timers       *timer.Service
	Table        *discovery.Table
	TargetClient TargetClient
	Metrics      *metrics.Metrics
	// Catalog returns the newest catalog, or nil.
	Catalog func() *catalog.Catalog
	// Evacuations holds the failure domains to whose targets nothing is sent; none if it is nil.
	Evacuations *evacuation.Set
}

// Collector serves RunStage and FreeResults for all stage services.
type Collector struct {
	o               Options
	mu              sync.Mutex
	services        map[string]*serviceCollector
	pendingReleases map[Target]*pendingRelease
	lastStageAt     time.Duration // boot clock at the last stage received; 0 before the first
	activeSince     time.Duration // boot clock at the first stage since the last idle period
	stopping        atomic.Bool   // no stage is begun any more
	running         atomic.Int64  // calls
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	done            chan struct{}
}

// serviceRunner runs the calls of one service.
type serviceCollector struct {
	collector *Collector
	name      string
	// refreshing is held by refresh, so that an earlier list of targets never replaces a later one.
	refreshing sync.Mutex
	mu         sync.Mutex
	scheduler  *Scheduler
	notify     chan struct{}
	lowMemory  atomic.Pointer[map[string]bool] // targets that are short of memory
	fair       bool                            // whether customers were treated fairly at the last publish
}

// NewCollector returns a Collector.
func NewCollector(o Options) *Collector {
	ctx, cancel := context.WithCancel(context.Background())
	if o.Evacuations == nil {
		o.Evacuations = evacuation.NewSet()
	}
	return &Collector{o: o, services: map[string]*serviceCollector{}, pendingReleases: map[Target]*pendingRelease{}, ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// Uptime returns for how long gateways have sent stages here without interruption, or
// 0 when they have sent none recently. Gateways prefer the collector with the longest
// uptime, because another one doesn't know which targets have free memory. The boot
// clock includes time during which this VM was suspended.
func (r *Collector) Uptime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := timer.SinceBoot()
	if r.lastStageAt == 0 || now-r.lastStageAt > activeTimeout {
		return 0
	}
	return max(now-r.activeSince, time.Millisecond)
}

// recordStage records the time of a gateway's request to run a stage. After a period
// without requests, it restarts the uptime.
func (r *Collector) recordStage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := timer.SinceBoot()
	if r.lastStageAt == 0 || now-r.lastStageAt > activeTimeout {
		r.activeSince = now
		klog.InfoS("Collects the pieces of stages")
		for _, s := range r.services {
			s.beginCollecting()
		}
	}
	r.lastStageAt = now
}

// Start implements kernel.Starter.
func (r *Collector) Start(context.Context) error { return nil }

// Stop implements kernel.Stopper. Running calls end, because their targets would do the work in
// vain and keep the results. Stages with pieces in no call are left to another collector.
func (r *Collector) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	r.mu.Lock()
	services := slices.Collect(maps.Values(r.services))
	r.mu.Unlock()
	for _, s := range services {
		s.update((*Scheduler).Stop)
	}
	for r.running.Load() > 0 {
		if err := r.o.Timers.Sleep(ctx, stopPollInterval); err != nil {
			klog.InfoS("Stage calls end with their collector", "calls", r.running.Load())
			break
		}
	}
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.wg.Wait()
	close(r.done)
	return nil
}

// Done implements kernel.Stopper.
func (r *Collector) Done() <-chan struct{} { return r.done }

// Handler returns the twirp server, which gateways used before package stagelink.
func (r *Collector) Handler() http.Handler { return wire.NewBatchingServer(r) }

// service returns the serviceCollector of a service, or nil when the catalog has no
// such service.
func (r *Collector) service(name string) *serviceCollector {
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
	s := &serviceCollector{collector: r, name: name, scheduler: NewScheduler(*service.Batch()), notify: make(chan struct{}, 1)}
	s.refresh()
	s.beginCollecting()
	s.publish()
	r.services[name] = s
	r.wg.Go(s.run)
	r.wg.Go(s.followTargets)
	return s
}

// RunStage implements wire.Batching.
func (r *Collector) RunStage(ctx context.Context, req *wire.RunStageRequest) (*wire.RunStageResponse, error) {
	if r.stopping.Load() {
		return stoppingResponse(), nil
	}
	s := r.service(req.GetService())
	if s == nil {
		return &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_REFUSED, Reason: "unknown_service", RetryAfterMs: uint32(minRetryAfter.Milliseconds())}, nil
	}
	r.recordStage()
	now := r.o.Timers.Now()
	path := r.path(req)
	j := &Job{
		RequestID: req.GetRequestId(), Stage: int(req.GetStage()), Key: req.GetKey(), Inputs: req.GetInputs(),
		Pieces: int(req.GetPieces()), ResultBytes: int64(req.GetResultBytes()), Priority: int(req.GetPriority()), Begun: req.GetBegun(), FailureDomain: req.GetFailureDomain(),
		Objective: now.Add(time.Duration(req.GetObjectiveLeftMs()) * time.Millisecond),
		Deadline:  now.Add(time.Duration(req.GetDeadlineLeftMs())*time.Millisecond - path.MinDuration()),
		Path:      path,
		Waited:    time.Duration(req.GetWaitedMs()) * time.Millisecond,
		Customer:  req.GetCustomer(),
	}
	for _, p := range req.GetRelease() {
		j.Release = append(j.Release, Result{Handle: p.GetHandle(), Target: p.GetTarget(), FailureDomain: p.GetFailureDomain()})
	}
	finished := make(chan Outcome, 1)
	s.update(func(sch *Scheduler) { sch.Add(j, func(o Outcome) { finished <- o }, now) })
	select {
	case o := <-finished:
		r.observe(s.name, j, o)
		if o.Kind != Done {
			klog.InfoS("Stage not run", "request", j.RequestID, "stage", j.Stage, "service", s.name, "reason", o.Reason, "pieces", j.Pieces,
				"waited_ms", r.o.Timers.Since(now).Milliseconds(), "backlog_ms", s.scheduler.Load().Backlog().Milliseconds(),
				"objective_in_ms", j.Objective.Sub(r.o.Timers.Now()).Milliseconds(), "deadline_in_ms", j.Deadline.Sub(r.o.Timers.Now()).Milliseconds(),
				"expected_ms", path.expectedDuration(0, j.rank()).Milliseconds(), "least_ms", path.MinDuration().Milliseconds(), "group", j.group, "rank", j.rank(), "retry_after_ms", o.RetryAfter.Milliseconds(),
				"customer", j.Customer, "waited_before_ms", j.Waited.Milliseconds())
		}
		return newResponse(o), nil
	case <-ctx.Done():
		s.update(func(sch *Scheduler) { sch.Cancel(j) })
		return nil, ctx.Err()
	case <-r.ctx.Done():
		return stoppingResponse(), nil
	}
}

func stoppingResponse() *wire.RunStageResponse {
	return &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_FAILED, Reason: stagelink.ReasonStopping}
}

// path returns the stages that follow; services missing from the catalog are left out.
func (r *Collector) path(req *wire.RunStageRequest) Path {
	var stages []PathStage
	for i, name := range req.GetFollowing() {
		if s := r.service(name); s != nil && i < len(req.GetFollowingPieces()) {
			stages = append(stages, PathStage{Load: s.scheduler.Load(), Pieces: int(req.GetFollowingPieces()[i])})
		}
	}
	return NewPath(stages, time.Duration(req.GetAfterMs())*time.Millisecond)
}

func (r *Collector) observe(service string, j *Job, o Outcome) {
	kind := [...]string{"done", "refused", "input_gone", "failed", "late"}[o.Kind]
	if j.isRepeated() {
		r.o.Metrics.CountReason("stage_repeat_outcomes", service+"_"+kind)
	}
	r.o.Metrics.CountReason("stage_outcomes", service+"_"+kind)
	r.o.Metrics.ObserveStage("stage_wait_seconds", service, kind, o.Waited)
}

func newResponse(o Outcome) *wire.RunStageResponse {
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
	case DeadlineExceeded:
		resp.Outcome = wire.StageOutcome_STAGE_OUTCOME_LATE
	}
	for _, p := range o.Results {
		resp.Results = append(resp.Results, &wire.PieceResult{Handle: p.Handle, Target: p.Target, FailureDomain: p.FailureDomain})
	}
	return resp
}

// FreeResults implements wire.Batching. Results produced for another collector are
// released at the target that the caller names.
func (r *Collector) FreeResults(_ context.Context, req *wire.FreeResultsRequest) (*wire.FreeResultsResponse, error) {
	var lowMemory map[string]bool
	if req.GetFetched() {
		lowMemory = r.lowMemoryTargets()
	}
	results := make([]Result, 0, len(req.GetResults()))
	for _, p := range req.GetResults() {
		if req.GetFetched() && !lowMemory[p.GetTarget()] {
			continue
		}
		results = append(results, Result{Handle: p.GetHandle(), Target: p.GetTarget()})
	}
	r.release(results)
	return &wire.FreeResultsResponse{}, nil
}

// release releases results at their targets.
func (r *Collector) release(results []Result) {
	byTarget := map[string][]string{}
	for _, p := range results {
		byTarget[p.Target] = append(byTarget[p.Target], p.Handle)
	}
	for id, handles := range byTarget {
		t, ok := r.o.Table.Target(id)
		if !ok {
			continue // the results are lost with the target
		}
		r.queueRelease(Target{ID: id, Address: t.GetAddress(), FailureDomain: t.GetFailureDomain(), Started: time.UnixMilli(t.GetBornMs())}, handles, r.service(t.GetService()))
	}
}

// pendingRelease holds the results to release at one target with the next request.
type pendingRelease struct {
	handles []string
	service *serviceCollector
}

// queueRelease releases results at one target, batched with others that follow soon.
func (r *Collector) queueRelease(t Target, handles []string, s *serviceCollector) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	if g := r.pendingReleases[t]; g != nil {
		g.handles = append(g.handles, handles...)
		return
	}
	r.pendingReleases[t] = &pendingRelease{handles: handles, service: s}
	r.wg.Go(func() { r.sendRelease(t) })
}

// sendRelease sends the batched releases of a target, after a pause for which the target has
// asked. The memory counts as free once the target has responded.
func (r *Collector) sendRelease(t Target) {
	for wait := releaseDelay; wait > 0; wait = r.o.Table.PauseLeft(t.ID, r.o.Timers.Now()) {
		if err := r.o.Timers.Sleep(r.ctx, wait); err != nil {
			return // shutting down
		}
	}
	r.mu.Lock()
	g := r.pendingReleases[t]
	delete(r.pendingReleases, t)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, releaseTimeout)
	defer cancel()
	if r.o.Evacuations.Contains(t.FailureDomain) {
		return // the results expire at the end of their lifetime
	}
	notice, err := r.o.TargetClient.ReleaseResults(ctx, t, g.handles)
	r.recordNotice(t, notice)
	if err != nil {
		// The results expire at the end of their lifetime.
		klog.V(1).InfoS("Releasing results failed", "target", t.ID, "results", len(g.handles), "cause", err.Error())
		return
	}
	if g.service != nil {
		g.service.update(func(sch *Scheduler) { sch.RemoveResults(g.handles) })
	}
}

// recordNotice records what a target said of itself in a response. It reports whether that
// changes how the target may be used.
func (r *Collector) recordNotice(t Target, n discovery.Notice) bool {
	if l, ok := n.Limit().(pacing.RequestRate); ok {
		n = discovery.NewNotice(n.Leaving(), max(n.Pause(), limitPause(l)))
	}
	changed := r.o.Table.RecordNotice(t.ID, t.Started.UnixMilli(), n, r.o.Timers.Now())
	if changed {
		klog.InfoS("Target takes no calls", "target", t.ID, "leaving", n.Leaving(), "pause_ms", n.Pause().Milliseconds())
	}
	return changed
}

// limitPause returns the pause after each call to a target that names a limit. One collector
// calls a target; after a pause both a stage and a release of results may follow.
func limitPause(l pacing.RequestRate) time.Duration {
	if l.PerSecond <= 0 {
		return maxLimitPause
	}
	return min(time.Duration(limitPauseFactor/l.PerSecond*float64(time.Second)), maxLimitPause)
}

// update runs f on the scheduler and notifies the loop.
func (s *serviceCollector) update(f func(*Scheduler)) {
	s.mu.Lock()
	f(s.scheduler)
	orphans := s.scheduler.Orphans()
	s.publish()
	s.mu.Unlock()
	if len(orphans) > 0 {
		s.collector.release(orphans)
	}
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// publish updates the load that other services see; s.mu is held.
func (s *serviceCollector) publish() {
	now := s.collector.o.Timers.Now()
	s.scheduler.Publish(now)
	if fair := s.scheduler.IsFair(now); fair != s.fair {
		s.fair = fair
		klog.InfoS("Order of customers changed", "service", s.name, "fair", fair, "queued", s.scheduler.waiting)
		s.collector.o.Metrics.CountReason("stage_fair_order", fmt.Sprintf("%s_%t", s.name, fair))
	}
	lowMemory := s.scheduler.LowMemoryTargets()
	s.lowMemory.Store(&lowMemory)
}

// refresh updates targets and profile.
func (s *serviceCollector) refresh() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	now := s.collector.o.Timers.Now()
	var ready, silent []Target
	evacuated := false
	for _, l := range s.collector.o.Table.Live(s.name, now) {
		rec := l.Record()
		if s.collector.o.Evacuations.Contains(rec.GetFailureDomain()) {
			evacuated = true
			continue
		}
		if l.Leaving() {
			continue
		}
		t := Target{ID: rec.GetId(), Address: rec.GetAddress(), FailureDomain: rec.GetFailureDomain(), Started: time.UnixMilli(rec.GetBornMs()), PausedUntil: l.PausedUntil()}
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
	s.scheduler.SetTargets(ready)
	if evacuated && len(ready) == 0 {
		s.scheduler.RefuseWaiting("targets_evacuated", now)
	}
	if c := s.collector.o.Catalog(); c != nil {
		if service, ok := c.Service(s.name); ok && service.Batch() != nil {
			s.scheduler.SetProfile(*service.Batch())
		}
	}
}

// run starts calls whenever something changes.
func (s *serviceCollector) run() {
	for {
		again := s.startCalls()
		var timeout <-chan time.Time
		if again > 0 {
			timeout = s.collector.o.Timers.After(again)
		}
		select {
		case <-s.notify:
		case <-timeout:
		case <-s.collector.ctx.Done():
			return
		}
	}
}

// followTargets refreshes the targets when they change and now and then.
func (s *serviceCollector) followTargets() {
	ticker := s.collector.o.Timers.Subscribe(targetRefreshInterval)
	defer ticker.Stop()
	for {
		changed, evacuated := s.collector.o.Table.Changed(), s.collector.o.Evacuations.Changed()
		s.refresh()
		select {
		case s.notify <- struct{}{}:
		default:
		}
		if err := s.collector.o.Timers.Sleep(s.collector.ctx, minRefreshInterval); err != nil {
			return
		}
		select {
		case <-changed:
		case <-evacuated:
		case <-ticker.C():
		case <-s.collector.ctx.Done():
			return
		}
	}
}

// startCalls starts all calls that can start now.
func (s *serviceCollector) startCalls() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	for {
		c, again := s.scheduler.Next(s.collector.o.Timers.Now())
		if c == nil {
			if next := s.requestReports(); next > 0 && (again == 0 || next < again) {
				return next
			}
			return again
		}
		s.collector.running.Add(1)
		s.collector.wg.Go(func() {
			defer s.collector.running.Add(-1)
			s.runCall(c)
		})
		s.collector.wg.Go(func() { s.releaseInputs(c) })
	}
}

// beginCollecting says that this process has begun to collect pieces and doesn't know what the
// targets hold.
func (s *serviceCollector) beginCollecting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.BeginCollecting(s.collector.o.Timers.Now())
}

// requestReports requests the reports of targets that are due, and returns the time after which
// to call it again, or 0; s.mu is held.
func (s *serviceCollector) requestReports() time.Duration {
	due, again := s.scheduler.ReportsDue(s.collector.o.Timers.Now())
	for _, t := range due {
		s.collector.wg.Go(func() { s.requestReport(t) })
	}
	return again
}

// requestReport requests the report of one target and records it.
func (s *serviceCollector) requestReport(t Target) {
	began := s.collector.o.Timers.Now()
	ctx, cancel := context.WithTimeout(s.collector.ctx, reportTimeout)
	defer cancel()
	report, notice, err := s.collector.o.TargetClient.Report(ctx, t)
	if s.collector.recordNotice(t, notice) {
		s.refresh()
	}
	usable, outcome := &report, "answered"
	// A suspended process may have read an answer that is seconds old.
	if err != nil || s.collector.o.Timers.Since(began) > reportTimeout {
		usable, outcome = nil, "failed"
	}
	s.collector.o.Metrics.CountReason("stage_reports", s.name+"_"+outcome)
	s.update(func(sch *Scheduler) {
		if others, changed := sch.RecordReport(t, usable, s.collector.o.Timers.Now()); changed {
			klog.InfoS("Results of other collectors at target", "service", s.name, "target", t.ID, "bytes", others, "free_bytes", report.FreeBytes, "queued", report.Queued, "busy", report.Busy)
		}
	})
}

// lowMemoryTargets returns the targets of all services that are short of memory.
func (r *Collector) lowMemoryTargets() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]bool{}
	for _, s := range r.services {
		if lowMemory := s.lowMemory.Load(); lowMemory != nil {
			maps.Copy(all, *lowMemory)
		}
	}
	return all
}

// releaseInputs releases the inputs of a call once its target has fetched them, where
// memory is short. If the call fails afterwards, its jobs end because their inputs are
// gone.
func (s *serviceCollector) releaseInputs(c *Call) {
	if err := s.collector.o.Timers.Sleep(s.collector.ctx, inputFetchTime); err != nil {
		return // shutting down
	}
	lowMemory := s.collector.lowMemoryTargets()
	var results []Result
	s.update(func(sch *Scheduler) {
		results = sch.ReleasableInputs(c, func(target string) bool { return lowMemory[target] })
	})
	s.collector.release(results)
}

// runCall runs one call and records its outcome.
func (s *serviceCollector) runCall(c *Call) {
	ctx, cancel := context.WithTimeout(s.collector.ctx, c.Timeout())
	defer cancel()
	o, notice := s.collector.o.TargetClient.Run(ctx, c, c.StartedAt)
	if s.collector.recordNotice(c.Target, notice) {
		s.refresh() // before the call ends, so that its target gets no other one
	}
	took := s.collector.o.Timers.Since(c.StartedAt)
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
		"queued", c.Queued, "room_bytes", c.TargetBytes,
		"expected_ms", c.Expected.Milliseconds(), "took_ms", took.Milliseconds(), "outcome", outcome,
		"made", made, "input_gone", gone, "late", late, "no_room", noRoom, "failed", failed)
	s.collector.o.Metrics.ObserveStage("stage_call_seconds", s.name, "call", took)
	s.collector.o.Metrics.CountReason("stage_calls", s.name)
	if noRoom > 0 {
		s.collector.o.Metrics.Count("stage_memory_rejections", int64(noRoom))
	}
	var pause time.Duration
	var failures int
	var share float64
	s.update(func(sch *Scheduler) {
		sch.Finish(c, o, s.collector.o.Timers.Now())
		pause, failures, share = sch.PauseAfterFailure(c.Target)
	})
	if pause > 0 {
		s.collector.o.Metrics.CountReason("stage_pauses", s.name)
		klog.InfoS("Target paused after failed calls", "service", s.name, "target", c.Target.ID, "pause_ms", pause.Milliseconds(), "failures", failures, "answered_share", share)
	}
}
