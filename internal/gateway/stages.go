package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/stagelink"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// freeDelay is how long results that are given up are collected, so that one
	// message carries those of several requests.
	freeDelay = 10 * time.Millisecond
	// freeTimeout bounds that message.
	freeTimeout = time.Second
	// queueEstimate is what a stage's pieces usually wait for their call, as part
	// of the time that the rest of a request's path is expected to take.
	queueEstimate = 60 * time.Millisecond
	// maxSideDelay is how much later than the longest path a stage beside it may end.
	maxSideDelay = 50 * time.Millisecond
	// fetchTime is the time after which an engine has fetched the results that a request
	// names: 10 MB take 8 ms at 10 Gbit/s, and engines with free slots fetch at once.
	fetchTime = 100 * time.Millisecond
	// stageRounds is how often the stages of a request are run when results are lost.
	stageRounds = 2
	// reasonInputGone is the collector's reason for a lost result.
	reasonInputGone = "input_gone"
	// collectorResponseTime is the time in which a collector that works answers a watch. A
	// connection to it is known to be silent after a longer time.
	collectorResponseTime = 700 * time.Millisecond
	// maxCollectors bounds the collectors that one stage is sent to, one after the
	// other, as they fail.
	maxCollectors = 3
)

// inputs are the results that a request needs, until they are given up.
type inputs struct {
	mu     sync.Mutex
	client *stageClient
	held   []heldResults
	last   []*wire.PieceResult
}

// heldResults are the results of one stage.
type heldResults struct {
	stage   int
	results []*wire.PieceResult
}

func (in *inputs) handles() []string {
	if in == nil {
		return nil
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return handlesOf(in.last)
}

func handlesOf(results []*wire.PieceResult) []string {
	list := make([]string, len(results))
	for i, r := range results {
		list[i] = r.GetHandle()
	}
	return list
}

// free gives up all results. It may be called more than once.
func (in *inputs) free() {
	if in == nil {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, h := range in.held {
		in.client.give(h.results)
	}
	in.held = nil
}

// fetched tells the collector that the results have been fetched, most likely. They stay
// held, because where memory isn't short they serve another attempt.
func (in *inputs) fetched(ctx context.Context) {
	in.mu.Lock()
	var results []*wire.PieceResult
	for _, h := range in.held {
		results = append(results, h.results...)
	}
	in.mu.Unlock()
	if len(results) > 0 {
		in.client.sendFree(ctx, &wire.FreeResultsRequest{Results: results, Fetched: true})
	}
}

// forgetStage drops the results of a stage that a later one has given up.
func (in *inputs) forgetStage(stage int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.held = slices.DeleteFunc(in.held, func(h heldResults) bool { return h.stage == stage })
}

// add takes the results of one stage.
func (in *inputs) add(stage int, results []*wire.PieceResult) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.held = append(in.held, heldResults{stage: stage, results: results})
}

// replace takes the results of a second run of the stages.
func (in *inputs) replace(again *inputs) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.held = append(in.held, again.held...)
	in.last = again.last
}

// stageState is the state of one stage of one request.
type stageState struct {
	done    chan struct{}
	results []*wire.PieceResult
	// users counts the stages that still need the results.
	users atomic.Int32
}

// StageError reports a stage that did not give its results.
type StageError struct {
	service string
	reason  string
	after   time.Duration
}

// Error implements error.
func (e *StageError) Error() string { return "stage service " + e.service + ": " + e.reason }

// runStages runs the stages of the request and returns their results. It answers
// the caller if there are none. Results that were lost with their target are made
// again, once.
func (x *exchange) runStages(ctx context.Context) (*inputs, bool) {
	if len(x.route.Stages()) == 0 {
		return &inputs{client: x.g.stages}, true
	}
	ctx, release := withStop(ctx, x.g.waiting)
	defer release()
	began := x.g.o.Timers.Now()
	defer func() { x.stagesT += x.g.o.Timers.Since(began) }()
	x.home = x.homeDomain()
	var failed error
	for range stageRounds {
		in, err := x.stageRound(ctx)
		if err == nil {
			return in, true
		}
		failed = err
		x.lastErr = err.Error()
		var stage *StageError
		if !errors.As(err, &stage) || stage.reason != reasonInputGone {
			break
		}
	}
	var stage *StageError
	if errors.As(failed, &stage) {
		x.refuse("stage_"+stage.reason, stage.after)
	} else {
		x.giveUp(ctx)
	}
	return nil, false
}

// stageRound runs all stages once, each as soon as those that it needs are done.
func (x *exchange) stageRound(ctx context.Context) (*inputs, error) {
	in := &inputs{client: x.g.stages}
	states := x.newStates()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	var once sync.Once
	var failed error
	for _, i := range x.route.StageOrder() {
		wg.Go(func() {
			if err := x.runStage(ctx, i, states, in); err != nil {
				once.Do(func() { failed = err })
				cancel()
			}
		})
	}
	wg.Wait()
	if failed != nil {
		in.free()
		return nil, failed
	}
	for _, i := range x.route.TerminalStages() {
		in.last = append(in.last, states[i].results...)
	}
	return in, nil
}

// newStates returns the states of all stages, before any of them has run.
func (x *exchange) newStates() []*stageState {
	stages := x.route.Stages()
	states := make([]*stageState, len(stages))
	for i := range states {
		states[i] = &stageState{done: make(chan struct{})}
	}
	for i, stage := range stages {
		if x.pieces(i) == 0 {
			continue
		}
		for _, need := range stage.DependsOn {
			states[need].users.Add(1)
		}
	}
	return states
}

// pieces returns the number of pieces of a stage; 0 leaves it out.
func (x *exchange) pieces(stage int) int {
	if stage < len(x.r.Pieces) {
		return x.r.Pieces[stage]
	}
	return 0
}

// runStage runs one stage when those that it needs are done.
func (x *exchange) runStage(ctx context.Context, i int, states []*stageState, in *inputs) error {
	n := x.pieces(i)
	stage := x.route.Stages()[i]
	var handles []string
	for _, need := range stage.DependsOn {
		select {
		case <-states[need].done:
			handles = append(handles, handlesOf(states[need].results)...)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if n == 0 {
		close(states[i].done)
		return nil
	}
	before, waits := x.stageBefore(i)
	if waits {
		select {
		case <-states[before].done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	domain := x.home
	if len(stage.DependsOn) > 0 {
		domain = commonDomain(states, stage.DependsOn, domain)
	}
	now := x.g.o.Timers.Now()
	req := &wire.RunStageRequest{
		RequestId: x.r.ID, Service: stage.Service, Stage: uint32(i), Inputs: handles, Pieces: uint32(n), ResultBytes: uint64(stage.ResultBytes),
		Priority: uint32(x.priority), FailureDomain: domain,
		ObjectiveLeftMs: x.began.Add(x.route.Objective() - x.waited).Sub(now).Milliseconds(),
		DeadlineLeftMs:  x.nextEventBy().Sub(now).Milliseconds(),
		AfterMs:         uint32(x.expectedFirst().Milliseconds()),
		Begun:           waits || len(handles) > 0 || x.started || x.isTakeUp(),
		WaitedMs:        uint32(x.waited.Milliseconds()),
		Customer:        x.customer,
	}
	for _, next := range x.following(i) {
		req.Following = append(req.Following, x.route.Stages()[next].Service)
		req.FollowingPieces = append(req.FollowingPieces, uint32(x.pieces(next)))
	}
	if len(stage.DependsOn) == 0 {
		req.Key = x.r.PieceKey
	}
	for _, need := range stage.DependsOn {
		if states[need].users.Load() == 1 {
			req.Release = append(req.Release, states[need].results...)
		}
	}
	resp, err := x.g.stages.run(ctx, req)
	if err != nil {
		return err
	}
	in.add(i, resp.GetResults())
	for _, need := range stage.DependsOn {
		if states[need].users.Add(-1) == 0 {
			in.forgetStage(need)
		}
	}
	klog.V(1).InfoS("Stage done", "request", x.r.ID, "stage", i, "service", stage.Service, "pieces", n, "waited_ms", resp.GetWaitedMs(), "worked_ms", resp.GetWorkedMs())
	states[i].results = resp.GetResults()
	close(states[i].done)
	return nil
}

// commonDomain returns the failure domain that has most of the results of some
// stages, which every piece of the next stage fetches.
func commonDomain(states []*stageState, stages []int, fallback string) string {
	count := map[string]int{}
	best := fallback
	for _, i := range stages {
		for _, r := range states[i].results {
			count[r.GetFailureDomain()]++
			if count[r.GetFailureDomain()] > count[best] {
				best = r.GetFailureDomain()
			}
		}
	}
	return best
}

// nextEventBy returns when the answer has to begin, or to go on if its target has failed after
// some events: callers abandon a stream after a time without one.
func (x *exchange) nextEventBy() time.Time {
	by, since := x.deadline, x.began
	if x.eventAt.After(since) {
		since = x.eventAt
	}
	if p := x.route.ClientEventTimeout(); p > 0 && since.Add(p).Before(by) {
		by = since.Add(p)
	}
	return by
}

// following returns the stages after a stage, on the longest path.
func (x *exchange) following(i int) []int {
	var stages []int
	for {
		next, ok := x.nextOnPath(i)
		if !ok {
			return stages
		}
		stages = append(stages, next)
		i = next
	}
}

// nextOnPath returns the stage that follows a stage on the longest path.
func (x *exchange) nextOnPath(i int) (next int, ok bool) {
	best := time.Duration(0)
	for j, other := range x.route.Stages() {
		if x.pieces(j) == 0 || !slices.Contains(other.DependsOn, i) {
			continue
		}
		if length := x.stageTime(j) + x.pathAfter(j); !ok || length > best {
			next, best, ok = j, length, true
		}
	}
	return next, ok
}

// stageBefore returns the last stage of the longest path after whose end a stage that needs
// no other one is still done in time. The stage begins then: its results take up memory
// until the path ends.
func (x *exchange) stageBefore(i int) (before int, ok bool) {
	if len(x.route.Stages()[i].DependsOn) > 0 {
		return 0, false
	}
	need := x.stageTime(i) - maxSideDelay
	longest := x.pathAfter(i)
	for j, other := range x.route.Stages() {
		if j == i || x.pieces(j) == 0 || len(other.DependsOn) > 0 {
			continue
		}
		if after := x.pathAfter(j); after > longest && after >= need {
			before, longest, ok = j, after, true
		}
	}
	for ok {
		next, more := x.nextOnPath(before)
		if !more || x.pathAfter(next) < need {
			break
		}
		before = next
	}
	return before, ok
}

// pathAfter estimates the time that the stages after a stage take.
func (x *exchange) pathAfter(i int) time.Duration {
	next, ok := x.nextOnPath(i)
	if !ok {
		return 0
	}
	return x.stageTime(next) + x.pathAfter(next)
}

// stageTime estimates how long a stage takes, with its wait.
func (x *exchange) stageTime(i int) time.Duration {
	service, ok := x.g.catalog.Load().Service(x.route.Stages()[i].Service)
	if !ok || service.Batch() == nil {
		return queueEstimate
	}
	b := service.Batch()
	return queueEstimate + b.CallOverhead + b.PieceTime*time.Duration(b.MaxBatchSize)/2
}

// StageRunner sends stages to collectors.
type StageRunner interface {
	RunStage(ctx context.Context, address string, r *wire.RunStageRequest) (*wire.RunStageResponse, error)
	FreeResults(ctx context.Context, address string, r *wire.FreeResultsRequest) error
}

// CollectorList tells which collectors there are, the preferred one first, and how long each
// of them responds.
type CollectorList interface {
	Collectors() []string
	RespondedSince(address string, at time.Time) bool
	AvailabilityContext(address string) context.Context
}

// stageClient sends stages to the collectors on the control VMs. All gateways
// choose the same collector for a service as long as they reach the same ones.
type stageClient struct {
	timers     *timer.Service
	collectors CollectorList
	runner     StageRunner
	ctx        context.Context
	mu         sync.Mutex
	given      []*wire.PieceResult // to give up with the next message
	wg         sync.WaitGroup
}

func newStageClient(ctx context.Context, ts *timer.Service, l CollectorList, r StageRunner) *stageClient {
	return &stageClient{ctx: ctx, timers: ts, collectors: l, runner: r}
}

// collector returns the preferred control VM that isn't among the failed ones. One VM
// collects the pieces of all services, because it gives up the results of one stage as the
// next one fetches them.
func (c *stageClient) collector(failed ...string) (string, bool) {
	for _, address := range c.collectors.Collectors() {
		if !slices.Contains(failed, address) {
			return address, true
		}
	}
	return "", false
}

// run runs a stage at its collector, and at the next one when that fails: a piece
// may be produced twice. The error is a *StageError or that of ctx.
func (c *stageClient) run(ctx context.Context, req *wire.RunStageRequest) (*wire.RunStageResponse, error) {
	last := &StageError{service: req.GetService(), reason: "no_collector", after: unsureRetry}
	began := c.timers.Now()
	objective, deadline := req.GetObjectiveLeftMs(), req.GetDeadlineLeftMs()
	var failed []string
	broken := ""
	for len(failed) < maxCollectors {
		address, ok := c.collector(failed...)
		if !ok {
			return nil, last
		}
		spent := c.timers.Since(began).Milliseconds()
		req.ObjectiveLeftMs, req.DeadlineLeftMs = objective-spent, deadline-spent
		resp, err := c.runAt(ctx, address, req)
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			klog.InfoS("Collector failed", "request", req.GetRequestId(), "service", req.GetService(), "collector", address, "cause", err.Error())
			var link *stagelink.LinkError
			if errors.As(err, &link) && broken != address && c.collectors.RespondedSince(address, c.timers.Now().Add(-collectorResponseTime)) {
				broken = address // the connection was lost, not the collector
				continue
			}
			failed = append(failed, address)
			continue
		case resp.GetOutcome() == wire.StageOutcome_STAGE_OUTCOME_DONE:
			return resp, nil
		}
		last = &StageError{service: req.GetService(), reason: resp.GetReason(), after: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond}
		if !slices.Contains(otherCollector, resp.GetReason()) {
			return nil, last
		}
		failed = append(failed, address)
	}
	return nil, last
}

// otherCollector are the reasons of a collector that can't run any stage, but
// another one may.
var otherCollector = []string{stagelink.ReasonStopping, "unknown_service"}

// runAt runs a stage at one collector, until that no longer answers watches.
func (c *stageClient) runAt(ctx context.Context, address string, req *wire.RunStageRequest) (*wire.RunStageResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(c.collectors.AvailabilityContext(address), cancel)
	defer stop()
	return c.runner.RunStage(ctx, address, req)
}

// give gives up results that nobody needs any more, together with others that
// follow soon.
func (c *stageClient) give(results []*wire.PieceResult) {
	if len(results) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.given = append(c.given, results...)
	if len(c.given) == len(results) && c.ctx.Err() == nil {
		c.wg.Go(c.sendGiven)
	}
}

// sendGiven tells the collector which results are given up.
func (c *stageClient) sendGiven() {
	if err := c.timers.Sleep(c.ctx, freeDelay); err != nil {
		return // the gateway stops; the results end by themselves
	}
	c.mu.Lock()
	given := c.given
	c.given = nil
	c.mu.Unlock()
	c.sendFree(c.ctx, &wire.FreeResultsRequest{Results: given})
}

// sendFree sends results to release to the collector. They end by themselves after their
// lifetime if it doesn't get them.
func (c *stageClient) sendFree(ctx context.Context, r *wire.FreeResultsRequest) {
	address, ok := c.collector()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	if err := c.runner.FreeResults(ctx, address, r); err != nil {
		klog.V(1).InfoS("Results not given up", "results", len(r.GetResults()), "cause", err.Error())
	}
}
