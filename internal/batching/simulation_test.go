package batching

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

// Stage services from the users' data sheets.
var (
	invoicing      = catalog.BatchProfile{MaxConcurrency: 1, QueueLimit: 2, MaxBatchSize: 8, CallOverhead: 200 * time.Millisecond, PieceTime: 21 * time.Millisecond, ResultBytes: 18e6, ResultTTL: 4 * time.Second}
	largeInvoicing = catalog.BatchProfile{MaxConcurrency: 1, QueueLimit: 2, MaxBatchSize: 10, CallOverhead: 200 * time.Millisecond, PieceTime: 17 * time.Millisecond, ResultBytes: 22e6, ResultTTL: 4 * time.Second}
	bargeRoster    = catalog.BatchProfile{MaxConcurrency: 1, QueueLimit: 2, MaxBatchSize: 22, CallOverhead: 200 * time.Millisecond, PieceTime: 7800 * time.Microsecond, ResultBytes: 3e6, ResultTTL: 4 * time.Second}
)

// event is a function that runs at a simulated time.
type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// clock runs events in order and lets all services start calls after each.
type clock struct {
	now         time.Time
	events      events
	n           int
	simulations []*simulation
}

func (c *clock) at(d time.Duration, do func()) {
	c.n++
	heap.Push(&c.events, event{at: c.now.Add(d), n: c.n, do: do})
}

// run runs all events up to a time from now.
func (c *clock) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
		for _, w := range c.simulations {
			w.begin()
		}
	}
	c.now = end
}

// simulation runs a Scheduler against simulated targets that follow the data sheets.
type simulation struct {
	*clock
	t         *testing.T
	s         *Scheduler
	profile   catalog.BatchProfile
	random    *rand.Rand
	nextCheck time.Time // time of the next check if nothing else happens
	// slow is the factor by which calls take longer at a target.
	slow map[string]float64
	// pieceTime returns the time that a job's piece adds to a call; nil means the profile's.
	pieceTime func(*Job) time.Duration
	// hold is how long results are needed after their job is done.
	hold time.Duration
	// fetch is the time after which they have been fetched, and are released where memory is
	// short; 0 means that they are held.
	fetch       time.Duration
	resultBytes map[string]int64
	stored      map[string]int64 // bytes of the results that targets hold, by handle
	calls       map[string]int
	// pieces counts the pieces of calls, and outcomes counts jobs by outcome.
	pieces   int
	outcomes map[OutcomeKind]int
	inTime   int
	refusals []time.Duration // time from arrival to rejection
}

func newSimulation(t *testing.T, p catalog.BatchProfile, targets int) *simulation {
	return newSimulationAt(t, &clock{now: time.Unix(1000, 0)}, p, targets)
}

func newSimulationAt(t *testing.T, c *clock, p catalog.BatchProfile, targets int) *simulation {
	w := &simulation{
		clock: c, t: t, s: NewScheduler(p), profile: p, random: rand.New(rand.NewPCG(1, 2)), slow: map[string]float64{},
		resultBytes: map[string]int64{}, stored: map[string]int64{}, calls: map[string]int{}, outcomes: map[OutcomeKind]int{},
	}
	c.simulations = append(c.simulations, w)
	var list []Target
	for i := range targets {
		list = append(list, Target{ID: fmt.Sprint("t", i), FailureDomain: fmt.Sprint("d", i%3)})
	}
	w.s.SetTargets(list)
	return w
}

func (w *simulation) begin() {
	defer func() { w.s.Publish(w.now) }()
	for {
		c, again := w.s.Next(w.now)
		if c == nil {
			if due := w.now.Add(again); again > 0 && (w.nextCheck.IsZero() || !w.nextCheck.After(w.now) || due.Before(w.nextCheck)) {
				w.nextCheck = due
				w.at(again, func() {})
			}
			return
		}
		w.start(c)
	}
}

// start runs a call and checks that the target has memory for its results.
func (w *simulation) start(c *Call) {
	w.calls[c.Target.ID]++
	w.pieces += len(c.Pieces)
	o := CallCompleted{}
	for _, p := range c.Pieces {
		w.resultBytes[c.Target.ID] += p.Job.ResultBytes
		require.LessOrEqual(w.t, w.resultBytes[c.Target.ID], w.profile.ResultBytes, "a call starts only where there is memory for its results")
		w.n++
		handle := fmt.Sprint(c.Target.ID, "/", w.n)
		w.stored[handle] = p.Job.ResultBytes
		o.Outcomes = append(o.Outcomes, PieceDone)
		o.Handles = append(o.Handles, handle)
	}
	took := w.profile.CallOverhead
	for _, p := range c.Pieces {
		if w.pieceTime != nil {
			took += w.pieceTime(p.Job)
		} else {
			took += w.profile.PieceTime
		}
	}
	if x := w.slow[c.Target.ID]; x > 0 {
		took = time.Duration(float64(took) * x)
	}
	w.at(took, func() {
		w.s.Finish(c, o, w.now)
		w.free(w.s.Orphans())
	})
	// The target is as fast as the scheduler to forget a result.
	w.at(took+w.profile.ResultTTL-time.Nanosecond, func() {
		for _, handle := range o.Handles {
			w.forget(c.Target.ID, handle)
		}
	})
}

// forget ends a result at its target.
func (w *simulation) forget(target, handle string) {
	w.resultBytes[target] -= w.stored[handle]
	delete(w.stored, handle)
}

func (w *simulation) free(results []Result) {
	for _, r := range results {
		w.forget(r.Target, r.Handle)
		w.s.RemoveResults([]string{r.Handle})
	}
}

// add queues a job whose results are needed for the hold time.
func (w *simulation) add(j *Job) {
	j.RequestID = fmt.Sprint("r", w.n)
	startedAt := w.now
	w.s.Add(j, func(o Outcome) {
		w.outcomes[o.Kind]++
		switch {
		case o.Kind == Done && !w.now.After(j.Objective):
			w.inTime++
		case o.Kind != Done:
			w.refusals = append(w.refusals, w.now.Sub(startedAt))
		}
		if w.fetch > 0 {
			w.at(w.fetch, func() {
				low := w.s.LowMemoryTargets()
				w.free(slices.DeleteFunc(slices.Clone(o.Results), func(r Result) bool { return !low[r.Target] }))
			})
		}
		w.at(w.hold, func() { w.free(o.Results) })
	}, w.now)
}

// arrive adds jobs at random times with a mean rate for a duration.
func (w *simulation) arrive(perSecond float64, d time.Duration, next func() *Job) {
	for at := time.Duration(0); at < d; at += time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second)) {
		w.at(at, func() { w.add(next()) })
	}
}

func (w *simulation) job(pieces int, bytes int64, objective, deadline time.Duration) *Job {
	return &Job{
		Pieces: pieces, ResultBytes: bytes, Objective: w.now.Add(objective), Deadline: w.now.Add(deadline),
		FailureDomain: fmt.Sprint("d", w.random.IntN(3)),
	}
}

// Load pattern: a burst of drafts of six pieces each, whose results fill the targets'
// memory. Guards against a collapse in which partly finished jobs of many requests
// take up all memory and calls start with two pieces.
func TestDraftBurstKeepsCallsLarge(t *testing.T) {
	w := newSimulation(t, bargeRoster, 5)
	w.hold = 300 * time.Millisecond
	w.arrive(42, 10*time.Second, func() *Job { return w.job(6, 60_000, 900*time.Millisecond, 4*time.Second) })
	w.run(14 * time.Second)
	total := 0
	for _, n := range w.calls {
		total += n
	}
	require.Greater(t, float64(w.pieces)/float64(total), 12.0, "pieces in a call")
	served := w.outcomes[Done]
	require.Greater(t, served, 95*len(w.refusals)/5, "served, of those that arrived: %v", w.outcomes)
}

// Load pattern: a burst of summaries beyond the targets' capacity. Guards against
// requests that wait until their deadline although they can't be served: they are
// rejected early.
func TestSummaryBurstRefusesEarly(t *testing.T) {
	w := newSimulation(t, invoicing, 4)
	w.hold = 250 * time.Millisecond
	w.arrive(80, 6*time.Second, func() *Job { return w.job(2, 1_500_000, 800*time.Millisecond, 4*time.Second) })
	w.run(12 * time.Second)
	require.NotEmpty(t, w.refusals, "twice the capacity can't be served")
	for _, after := range w.refusals {
		require.Less(t, after, 3*time.Second, "refused long before the deadline")
	}
	// Four targets run 87 pieces per second in full calls.
	require.Greater(t, w.pieces, 6*70, "the targets were kept busy")
}

// Load pattern: a burst of summaries while engines read prompts for half a second, so that the
// results are needed for longer than a call takes. Guards against targets that idle because
// results that were fetched fill their memory, and against results that are released where
// there is room for them.
func TestFetchedResultsMakeRoom(t *testing.T) {
	const targets, seconds = 5, 6
	w := newSimulation(t, largeInvoicing, targets)
	w.hold, w.fetch = 500*time.Millisecond, 120*time.Millisecond
	w.arrive(80, seconds*time.Second, func() *Job { return w.job(2, 1_500_000, 800*time.Millisecond, 4*time.Second) })
	w.run(seconds * time.Second)
	// The memory holds 14 results: those of a call wait while the next call makes seven.
	capacity := seconds * targets * 14 / (2*200*time.Millisecond + 14*17*time.Millisecond).Seconds()
	require.Greater(t, float64(w.pieces), 0.9*capacity)

	calm := newSimulation(t, largeInvoicing, targets)
	calm.hold, calm.fetch = w.hold, w.fetch
	calm.at(0, func() { calm.add(calm.job(2, 1_500_000, 800*time.Millisecond, 4*time.Second)) })
	calm.run(600 * time.Millisecond)
	require.NotEmpty(t, calm.s.results, "another attempt finds the results")
	calm.run(time.Second)
	require.Empty(t, calm.s.results)
}

// Load pattern: the same burst without a release before the end. Guards against calls whose
// results fill the memory, so that the target idles until they are released.
func TestCallsLeaveRoomForTheNextOne(t *testing.T) {
	const targets, seconds = 5, 6
	w := newSimulation(t, largeInvoicing, targets)
	w.hold = 400 * time.Millisecond
	w.arrive(80, seconds*time.Second, func() *Job { return w.job(2, 1_500_000, 800*time.Millisecond, 4*time.Second) })
	w.run(seconds * time.Second)
	// Two calls of seven pieces run until the results of the first are released.
	capacity := seconds * targets * 14 / (200*time.Millisecond + 7*17*time.Millisecond + w.hold).Seconds()
	require.Greater(t, float64(w.pieces), 0.9*capacity)
}

// Load pattern: summaries and the first stages of drafts at 45 targets in five failure domains,
// on a calm day. Guards against large results that are made in another domain than that of
// their engine although a target there is free soon, and against small ones that wait for it.
func TestLargeResultsStayInTheirDomain(t *testing.T) {
	const domains, seconds = 5, 20
	w := newSimulation(t, largeInvoicing, 0)
	var targets []Target
	for i := range 9 * domains {
		targets = append(targets, Target{ID: fmt.Sprint("t", i), FailureDomain: fmt.Sprint("d", i%domains)})
	}
	w.s.SetTargets(targets)
	w.hold = 300 * time.Millisecond
	remote, all, waited, drafts := 0, 0, time.Duration(0), 0
	arrive := func(perSecond float64, pieces int, bytes int64, done func(*Job, Outcome)) {
		w.arrive(perSecond, seconds*time.Second, func() *Job {
			j := w.job(pieces, bytes, 900*time.Millisecond, 4*time.Second)
			j.FailureDomain = fmt.Sprint("d", w.random.IntN(domains))
			w.at(0, func() {
				onFinish := j.onFinish
				j.onFinish = func(o Outcome) { done(j, o); onFinish(o) }
			})
			return j
		})
	}
	arrive(300, 2, 1_500_000, func(j *Job, o Outcome) {
		for _, r := range o.Results {
			all++
			if r.FailureDomain != j.FailureDomain {
				remote++
			}
		}
	})
	arrive(400, 1, 8_000, func(_ *Job, o Outcome) {
		drafts++
		waited += o.Waited
	})
	w.run((seconds + 4) * time.Second)
	require.Equal(t, w.n > 0, all > 0)
	require.Less(t, float64(remote), 0.2*float64(all), "results in another domain")
	require.Less(t, waited/time.Duration(drafts), localDomainWait/3)
	require.Greater(t, float64(w.inTime), 0.99*float64(w.outcomes[Done]))
}

// Load pattern: the collector was suspended while calls ran. Guards against targets
// that count as slow for good because one call appeared to take seconds.
func TestSlownessIsForgotten(t *testing.T) {
	w := newSimulation(t, invoicing, 4)
	for _, id := range []string{"t0", "t1", "t2"} {
		w.s.workers[id].relativeLatency, w.s.workers[id].latencyUpdatedAt = maxRatio, w.now
	}
	w.arrive(25, 20*time.Second, func() *Job { return w.job(2, 8_000, time.Second, 5*time.Second) })
	w.run(8 * time.Second)
	before := map[string]int{"t0": w.calls["t0"], "t1": w.calls["t1"], "t2": w.calls["t2"]}
	w.run(8 * time.Second)
	for id, n := range before {
		require.Greater(t, w.calls[id], n, "target %s is used again", id)
	}
}

// Load pattern: calls at one target take five times as long. Guards against requests
// that miss their objective because their call went there although others were free
// soon.
func TestSlowTargetIsAvoided(t *testing.T) {
	w := newSimulation(t, invoicing, 4)
	w.slow["t1"] = 5
	w.arrive(12, 20*time.Second, func() *Job { return w.job(2, 8_000, time.Second, 5*time.Second) })
	w.run(25 * time.Second)
	require.Less(t, w.calls["t1"], w.calls["t0"]/4)
	require.Greater(t, w.inTime, w.outcomes[Done]*8/10)
}

// Guards against results that stay in memory after their caller has left.
func TestCancelledJobReleasesItsResults(t *testing.T) {
	w := newSimulation(t, bargeRoster, 1)
	j := w.job(6, 60_000, time.Second, 4*time.Second)
	w.add(j)
	w.at(100*time.Millisecond, func() { w.s.Cancel(j) })
	w.run(2 * time.Second)
	require.Zero(t, w.resultBytes["t0"])
	require.Zero(t, w.s.workers["t0"].resultBytes)
}

// Guards against a job that loses pieces when its call fails.
func TestFailedCallIsRetriedElsewhere(t *testing.T) {
	s := NewScheduler(invoicing)
	now := time.Unix(1000, 0)
	s.SetTargets([]Target{{ID: "a"}, {ID: "b"}})
	var got []Outcome
	s.Add(&Job{RequestID: "r", Pieces: 2, ResultBytes: 8_000, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}, func(o Outcome) { got = append(got, o) }, now)
	now = now.Add(maxBatchDelay)
	c, _ := s.Next(now)
	require.NotNil(t, c)
	s.Finish(c, CallFailed{Reason: "reset"}, now)
	again, _ := s.Next(now.Add(time.Millisecond))
	require.NotNil(t, again)
	require.NotEqual(t, c.Target.ID, again.Target.ID)
	s.Finish(again, CallCompleted{Outcomes: []PieceOutcome{PieceDone, PieceDone}, Handles: []string{"x", "y"}}, now.Add(250*time.Millisecond))
	require.Len(t, got, 1)
	require.Equal(t, Done, got[0].Kind)
	require.Equal(t, "x", got[0].Results[0].Handle)
}

// Guards against inputs that are released while a call fetches them: a job was split
// over two calls, and the first one's fetch time ended just after the second started.
func TestInputsOfASplitJobOutliveItsLastCall(t *testing.T) {
	s := NewScheduler(invoicing)
	now := time.Unix(1000, 0)
	s.SetTargets([]Target{{ID: "a"}, {ID: "b"}})
	j := &Job{RequestID: "r", Pieces: 10, Inputs: []string{"x"}, Release: []Result{{Handle: "x", Target: "z"}}, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}
	s.Add(j, func(Outcome) {}, now)
	first, _ := s.Next(now)
	require.NotNil(t, first)
	now = now.Add(maxBatchDelay)
	second, _ := s.Next(now)
	require.NotNil(t, second)
	require.Len(t, append(first.Pieces, second.Pieces...), 10)
	lowMemory := func(string) bool { return true }
	require.Empty(t, s.ReleasableInputs(first, lowMemory), "the second call has just started")
	require.Len(t, s.ReleasableInputs(second, lowMemory), 1)
	require.Empty(t, s.ReleasableInputs(second, lowMemory), "once")
}

// Guards against a request that has to start over because one of its pieces failed
// after its inputs had been released early. Inputs are kept while there is free memory
// and released when the job is done.
func TestInputsAreKeptWhileThereIsRoom(t *testing.T) {
	s := NewScheduler(invoicing)
	now := time.Unix(1000, 0)
	s.SetTargets([]Target{{ID: "a"}})
	input := Result{Handle: "x", Target: "z"}
	j := &Job{RequestID: "r", Pieces: 1, Inputs: []string{"x"}, Release: []Result{input}, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}
	s.Add(j, func(Outcome) {}, now)
	now = now.Add(maxBatchDelay)
	c, _ := s.Next(now)
	require.NotNil(t, c)
	require.Empty(t, s.ReleasableInputs(c, func(string) bool { return false }))
	s.Finish(c, CallCompleted{Outcomes: []PieceOutcome{PieceDone}, Handles: []string{"y"}}, now.Add(300*time.Millisecond))
	require.Equal(t, []Result{input}, s.Orphans())
}
