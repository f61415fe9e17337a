package batching

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

func (c *recordingClient) Report(context.Context, Target) (TargetReport, discovery.Notice, error) {
	return TargetReport{FreeBytes: 1 << 40}, discovery.Notice{}, nil
}

// memoryTarget is a simulated target that knows its own memory, unlike the Scheduler.
type memoryTarget struct {
	used    int64
	history []memoryUse // of used
	handles map[string]int64
	busy    bool
	at      time.Time // last request for a report
	lost    float64   // share of the answers that are lost
	crashed bool      // every call fails at once
}

// memorySimulation runs a Scheduler against targets that reject pieces without memory and
// report their state with a delay.
type memorySimulation struct {
	*clock
	t         *testing.T
	s         *Scheduler
	profile   catalog.BatchProfile
	random    *rand.Rand
	targets   map[string]*memoryTarget
	nextCheck time.Time
	hold      time.Duration // how long results are needed
	// factor is the duration of a piece relative to the profile, by its size.
	factor     map[int64]float64
	reports    int
	reportedAt time.Time // first report
	rejected   []time.Time
	ran        int // pieces
	outcomes   map[OutcomeKind]int
	waited     map[int64][]time.Duration // by size of the result
	// busy and idle count, while a full call waits, the samples of targets that run a call or
	// don't.
	busy, idle int
	onCall     func(c *Call, took time.Duration)
}

func newMemorySimulation(t *testing.T, p catalog.BatchProfile, targets int) *memorySimulation {
	m := &memorySimulation{
		clock: &clock{now: time.Unix(1000, 0)}, t: t, s: NewScheduler(p), profile: p, random: rand.New(rand.NewPCG(5, 6)),
		targets: map[string]*memoryTarget{}, factor: map[int64]float64{}, outcomes: map[OutcomeKind]int{}, waited: map[int64][]time.Duration{},
		onCall: func(*Call, time.Duration) {},
	}
	var list []Target
	for i := range targets {
		id := fmt.Sprint("t", i)
		list = append(list, Target{ID: id, FailureDomain: fmt.Sprint("d", i%3)})
		m.targets[id] = &memoryTarget{handles: map[string]int64{}}
	}
	m.s.SetTargets(list)
	return m
}

// do runs f after a time and lets the Scheduler start calls afterwards.
func (m *memorySimulation) do(d time.Duration, f func()) {
	m.at(d, func() {
		f()
		m.step()
	})
}

// sample counts busy targets for a duration, while a full call waits.
func (m *memorySimulation) sample(from, to time.Duration) {
	for d := from; d < to; d += 10 * time.Millisecond {
		m.at(d, func() {
			if m.s.waiting < m.profile.MaxBatchSize {
				return
			}
			for _, target := range m.targets {
				if target.busy {
					m.busy++
				} else {
					m.idle++
				}
			}
		})
	}
}

func (m *memorySimulation) busyShare() float64 {
	return float64(m.busy) / float64(max(m.busy+m.idle, 1))
}

func (m *memorySimulation) step() {
	for {
		c, again := m.s.Next(m.now)
		if c != nil {
			m.start(c)
			continue
		}
		due, next := m.s.ReportsDue(m.now)
		for _, t := range due {
			m.report(t)
		}
		if next > 0 && (again == 0 || next < again) {
			again = next
		}
		if at := m.now.Add(again); again > 0 && (!m.nextCheck.After(m.now) || at.Before(m.nextCheck)) {
			m.nextCheck = at
			m.do(again, func() {})
		}
		m.s.Publish(m.now)
		return
	}
}

// report answers after 5 ms with the memory that was free 300 ms before.
func (m *memorySimulation) report(t Target) {
	target := m.targets[t.ID]
	require.GreaterOrEqual(m.t, m.now.Sub(target.at), 200*time.Millisecond, "five reports a second")
	target.at = m.now
	m.reports++
	used := int64(0)
	for _, u := range target.history {
		if !u.at.After(m.now.Add(-300 * time.Millisecond)) {
			used = u.bytes
		}
	}
	r := TargetReport{FreeBytes: m.profile.ResultBytes - used}
	if target.busy {
		r.Busy = 1
	}
	m.do(5*time.Millisecond, func() {
		if m.reportedAt.IsZero() {
			m.reportedAt = m.now
		}
		m.s.RecordReport(t, &r, m.now)
	})
}

func (target *memoryTarget) use(n int64, now time.Time) {
	target.used += n
	target.history = append(target.history, memoryUse{at: now, bytes: target.used})
}

// occupy fills memory with the results of another collector until their lifetime is over.
func (m *memorySimulation) occupy(id string, bytes int64, left time.Duration) {
	target := m.targets[id]
	target.use(bytes, m.now.Add(-time.Second))
	m.at(left, func() { target.use(-bytes, m.now) })
}

func (m *memorySimulation) release(id, handle string) {
	target := m.targets[id]
	if n, ok := target.handles[handle]; ok {
		delete(target.handles, handle)
		target.use(-n, m.now)
	}
}

func (m *memorySimulation) start(c *Call) {
	target := m.targets[c.Target.ID]
	require.False(m.t, target.busy, "one call at a time")
	if target.crashed {
		m.onCall(c, 0)
		m.do(5*time.Millisecond, func() { m.s.Finish(c, CallFailed{Reason: "refused"}, m.now) })
		return
	}
	target.busy = true
	took := m.profile.CallOverhead
	o := CallCompleted{}
	for _, p := range c.Pieces {
		if target.used+p.Job.ResultBytes > m.profile.ResultBytes {
			m.rejected = append(m.rejected, m.now)
			o.Outcomes, o.Handles = append(o.Outcomes, PieceOutOfMemory), append(o.Handles, "")
			continue
		}
		m.n++
		handle := fmt.Sprint(c.Target.ID, "/", m.n)
		target.use(p.Job.ResultBytes, m.now)
		target.handles[handle] = p.Job.ResultBytes
		factor := m.factor[p.Job.ResultBytes]
		if factor == 0 {
			factor = 1
		}
		took += time.Duration(factor * float64(m.profile.PieceTime))
		o.Outcomes, o.Handles = append(o.Outcomes, PieceDone), append(o.Handles, handle)
	}
	m.onCall(c, took)
	lost := m.random.Float64() < target.lost
	m.do(took, func() {
		target.busy = false
		for _, h := range o.Handles {
			m.at(m.profile.ResultTTL, func() { m.release(c.Target.ID, h) })
		}
		if lost {
			m.s.Finish(c, CallFailed{Reason: "lost"}, m.now)
			return
		}
		m.ran += o.count(PieceDone)
		m.s.Finish(c, o, m.now)
		m.free(m.s.Orphans())
	})
}

func (m *memorySimulation) free(results []Result) {
	for _, r := range results {
		m.release(r.Target, r.Handle)
		m.s.RemoveResults([]string{r.Handle})
	}
}

// add queues a job after a time.
func (m *memorySimulation) add(d time.Duration, pieces int, bytes int64, objective, deadline time.Duration) {
	m.do(d, func() {
		m.n++
		j := &Job{
			RequestID: fmt.Sprint("r", m.n), Pieces: pieces, ResultBytes: bytes, Objective: m.now.Add(objective), Deadline: m.now.Add(deadline),
			FailureDomain: fmt.Sprint("d", m.random.IntN(3)),
		}
		m.s.Add(j, func(o Outcome) {
			m.outcomes[o.Kind]++
			m.waited[bytes] = append(m.waited[bytes], o.Waited)
			m.do(m.hold, func() { m.free(o.Results) })
		}, m.now)
	})
}

// Load pattern: a collector takes over in the middle of a burst, while results of its
// predecessor take a quarter to all of the memory of each target until their lifetime ends.
// Guards against pieces that are sent where there is no memory for them, and against targets
// with enough memory that are left idle.
func TestTakeoverPlansWithReportedMemory(t *testing.T) {
	m := newMemorySimulation(t, secondStage, 15)
	m.hold = 150 * time.Millisecond
	for i := range 15 {
		left := time.Duration(i+1) * 250 * time.Millisecond
		bytes := secondStage.ResultBytes / 4
		if i%3 == 0 {
			bytes = secondStage.ResultBytes
		}
		m.occupy(fmt.Sprint("t", i), bytes, left)
	}
	m.s.BeginCollecting(m.now)
	for i := range 700 {
		m.add(time.Duration(i)*5*time.Millisecond, 6, 60_000, 900*time.Millisecond, 4*time.Second)
	}
	started := time.Duration(0)
	m.onCall = func(*Call, time.Duration) {
		if started == 0 {
			started = m.now.Sub(time.Unix(1000, 0))
		}
	}
	m.sample(500*time.Millisecond, 3500*time.Millisecond)
	m.run(12 * time.Second)
	for _, at := range m.rejected {
		require.False(t, at.After(m.reportedAt), "rejected %v after the first report", at.Sub(m.reportedAt))
	}
	require.LessOrEqual(t, started, 100*time.Millisecond)
	// Five targets are full until their share of the results has expired: for 1.75 s on average.
	require.Greater(t, m.busyShare(), 0.9*(1-5.0/15*1.75/3.5))
	reports := m.reports
	for i := range 200 {
		m.add(time.Duration(i)*5*time.Millisecond, 6, 60_000, 900*time.Millisecond, 4*time.Second)
	}
	m.run(4 * time.Second)
	require.Equal(t, reports, m.reports, "no reports in steady state")
}

// Load pattern: all power was lost; the collector and the targets start empty, and reports are
// lost. Guards against pieces that wait for reports, and against idle targets.
func TestPowerLossStartsWithoutReports(t *testing.T) {
	for _, lost := range []bool{false, true} {
		m := newMemorySimulation(t, secondStage, 15)
		m.hold = 150 * time.Millisecond
		m.s.BeginCollecting(m.now)
		if lost {
			for _, w := range m.s.workers {
				w.report.inFlight = true // no answer ever arrives
			}
		}
		for range 200 {
			m.add(0, 6, 60_000, 900*time.Millisecond, 4*time.Second)
		}
		m.sample(110*time.Millisecond, 700*time.Millisecond)
		m.run(5 * time.Second)
		require.Empty(t, m.rejected)
		require.Greater(t, m.busyShare(), 0.9)
		require.LessOrEqual(t, m.reports, 15*4, "a target without foreign results is asked a few times only")
	}
}

// Guards against an old report that frees memory which was taken meanwhile, and against results
// that were released meanwhile and are taken for those of others.
func TestReportIsComparedWithItsTime(t *testing.T) {
	s, c, now := newCall(t, secondStage, 24, 60_000)
	s.BeginCollecting(now)
	w := s.workers["a"]
	s.RecordReport(c.Target, &TargetReport{FreeBytes: secondStage.ResultBytes}, now.Add(100*time.Millisecond))
	require.Equal(t, secondStage.ResultBytes-24*60_000, s.freeMemory(w, now.Add(100*time.Millisecond)))
	now = now.Add(400 * time.Millisecond)
	o := CallCompleted{Outcomes: make([]PieceOutcome, 24)}
	for i := range 24 {
		o.Handles = append(o.Handles, fmt.Sprint("a/", i))
	}
	s.Finish(c, o, now)
	s.RemoveResults(o.Handles)
	now = now.Add(50 * time.Millisecond)
	s.RecordReport(c.Target, &TargetReport{FreeBytes: secondStage.ResultBytes - 24*60_000 - 500_000}, now)
	require.Equal(t, secondStage.ResultBytes-500_000, s.freeMemory(w, now))
}

// Load pattern: a collector takes over at targets with 0.85 MB that report whole megabytes. Guards
// against targets that look full until the last result of the earlier collector has ended.
func TestCoarseReportsDecideNothing(t *testing.T) {
	small := thirdStage
	small.ResultBytes = 850_000
	s, c, now := newCall(t, small, 34, 6_000)
	s.BeginCollecting(now)
	s.RecordReport(c.Target, &TargetReport{FreeBytes: 0, Resolution: 1_000_000}, now)
	require.Equal(t, small.ResultBytes-34*6_000, s.freeMemory(s.workers["a"], now))
	due, again := s.ReportsDue(now.Add(time.Second))
	require.Empty(t, due)
	require.Zero(t, again)
}

// reportingClient is a TargetClient whose reports and calls take a time.
type reportingClient struct {
	slowClient
	began    time.Time
	reported []time.Duration // since began
	inFlight int
	t        *testing.T
}

func (c *reportingClient) Report(ctx context.Context, _ Target) (TargetReport, discovery.Notice, error) {
	c.mu.Lock()
	c.reported = append(c.reported, time.Since(c.began))
	c.inFlight++
	require.Equal(c.t, 1, c.inFlight)
	c.mu.Unlock()
	<-time.After(350 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	return TargetReport{FreeBytes: invoicing.ResultBytes / 2}, discovery.Notice{}, ctx.Err()
}

// Guards against reports that are requested in steady state or several at once, and against
// stages that wait for a slow report.
func TestCollectorRequestsReportsWhenItBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cat, err := catalog.New(catalog.Input{Version: 1, Services: []catalog.ServiceInput{{Name: "s", Batch: &invoicing}}})
		require.NoError(t, err)
		table := discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute})
		table.Announce(&wire.RegisteredTarget{Id: "a", Service: "s", Address: "a:1", State: wire.TargetState_TARGET_STATE_READY, BornMs: 1, Sequence: 1}, time.Now())
		client := &reportingClient{slowClient: slowClient{takes: 230 * time.Millisecond}, began: time.Now(), t: t}
		m := metrics.New("test")
		r := NewCollector(Options{Timers: timer.NewService(), Table: table, TargetClient: client, Metrics: m, Catalog: func() *catalog.Catalog { return cat }})
		run := func() {
			resp, err := r.RunStage(t.Context(), &wire.RunStageRequest{RequestId: "r", Service: "s", Pieces: 1, ResultBytes: 1, ObjectiveLeftMs: 2000, DeadlineLeftMs: 3000})
			require.NoError(t, err)
			require.Equal(t, wire.StageOutcome_STAGE_OUTCOME_DONE, resp.GetOutcome())
		}
		run()
		require.LessOrEqual(t, time.Since(client.began), firstReportWait+maxBatchDelay+client.takes)
		for time.Since(client.began) < 10*time.Second {
			run()
		}
		limit := invoicing.ResultTTL + reportMargin
		require.GreaterOrEqual(t, len(client.reported), 10, "memory of others is there all the while")
		require.LessOrEqual(t, client.reported[len(client.reported)-1], limit)
		r.mu.Lock()
		r.lastStageAt -= 2 * activeTimeout // the boot clock doesn't follow virtual time
		r.mu.Unlock()
		reports := len(client.reported)
		run()
		require.Greater(t, len(client.reported), reports)
		require.NoError(t, r.Stop(t.Context()))
		require.NoError(t, m.Close())
	})
}

// Load pattern: jobs with results of 1.5 MB, which are needed for a second and a half, arrive
// before and among ones with results of 8 kB. Guards against light jobs that wait behind a heavy
// one although targets idle, and against heavy ones that are served less because of light ones.
func TestLightJobsPassOneWithoutMemory(t *testing.T) {
	const targets = 5
	run := func(light bool) *memorySimulation {
		m := newMemorySimulation(t, largeInvoicing, targets)
		m.hold = 1500 * time.Millisecond
		for i := range 80 {
			m.add(time.Duration(i)*50*time.Millisecond, 2, 1_500_000, 800*time.Millisecond, 5*time.Second)
		}
		for i := range 400 {
			if light {
				m.add(200*time.Millisecond+time.Duration(i)*10*time.Millisecond, 1, 8_000, 1200*time.Millisecond, 5*time.Second)
			}
		}
		m.sample(500*time.Millisecond, 4*time.Second)
		m.run(10 * time.Second)
		require.Empty(t, m.rejected)
		return m
	}
	mean := func(list []time.Duration) time.Duration {
		sum := time.Duration(0)
		for _, d := range list {
			sum += d
		}
		return sum / time.Duration(max(len(list), 1))
	}
	m, alone := run(true), run(false)
	require.Greater(t, m.busyShare(), 0.9)
	require.Less(t, mean(m.waited[8_000]), 400*time.Millisecond)
	require.Greater(t, m.outcomes[Done]-400, 9*alone.outcomes[Done]/10, "heavy jobs: %v, alone %v", m.outcomes, alone.outcomes)
}

// Load pattern: one job with large results among a stream of jobs with results half the size
// that takes all memory. Guards against a job that starves because others take each bit of
// memory that becomes free.
func TestMemoryGoesToTheJobThatWaitedForIt(t *testing.T) {
	m := newMemorySimulation(t, largeInvoicing, 5)
	m.hold = 1200 * time.Millisecond
	for i := range 900 {
		m.add(time.Duration(i)*7*time.Millisecond, 1, 750_000, 3*time.Second, 6*time.Second)
	}
	m.add(2*time.Second, 7, 1_500_000, 1200*time.Millisecond, 6*time.Second)
	m.run(12 * time.Second)
	require.Empty(t, m.rejected)
	require.Len(t, m.waited[1_500_000], 1)
	// The memory is reserved after 400 ms, and free once its results aren't needed any more.
	require.Less(t, m.waited[1_500_000][0], memoryPatience+m.hold+m.s.callTime(largeInvoicing.MaxBatchSize))
}

// Load pattern: 1,700 pieces wait at 19 targets, and one in four answers is lost at each. Guards
// against targets that are left idle because of lost answers, and against requests that fail
// because their pieces run at one failing target again and again.
func TestLostAnswersLeaveNoTargetIdle(t *testing.T) {
	m := newMemorySimulation(t, firstStage, 19)
	m.hold = 100 * time.Millisecond
	for _, target := range m.targets {
		target.lost = 0.25
	}
	for i := range 3000 {
		m.add(time.Duration(i/1700)*time.Duration(i-1700)*2*time.Millisecond, 1, 8_000, 6*time.Second, 20*time.Second)
	}
	m.sample(500*time.Millisecond, 3500*time.Millisecond)
	m.run(20 * time.Second)
	require.Greater(t, m.busyShare(), 0.9)
	require.Less(t, m.outcomes[Failed], 3000*3/100, "0.25^3 of all is 1.6 in 100")
}

// Load pattern: two of six targets crash and refuse all calls while many pieces wait. Guards
// against a crashed target that gets call after call, and against pieces that fail there three
// times within milliseconds.
func TestCrashedTargetBacksOff(t *testing.T) {
	m := newMemorySimulation(t, firstStage, 6)
	m.hold = 100 * time.Millisecond
	for i := range 3000 {
		m.add(time.Duration(i)*5*time.Millisecond, 1, 8_000, 2*time.Second, 15*time.Second)
	}
	calls := map[string][]time.Time{}
	m.onCall = func(c *Call, _ time.Duration) { calls[c.Target.ID] = append(calls[c.Target.ID], m.now) }
	m.run(2 * time.Second)
	m.targets["t1"].crashed, m.targets["t2"].crashed = true, true
	clear(calls)
	m.run(20 * time.Second)
	for _, id := range []string{"t1", "t2"} {
		// Eight pauses up to 4 s take 10 s together, three of which may be cut short.
		require.LessOrEqual(t, len(calls[id]), 13, id)
		require.GreaterOrEqual(t, m.s.workers[id].failurePause(), maxBackoff, id)
	}
	require.Less(t, m.outcomes[Failed], 30)
}

// Guards against a target that is left alone for long because of one lost answer, and against a
// pause that the target asked for and that ends early because many pieces wait.
func TestPauseFollowsTheRecordOfAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &worker{successShare: unknownSuccessShare}
	for range 40 {
		w.recordAnswer(true, false, now)
	}
	for i, want := range []time.Duration{50, 100, 200, 400, 800, 1600, 3200, 4000, 4000} {
		w.recordAnswer(false, true, now)
		require.Equal(t, want*time.Millisecond, w.failurePause())
		if i < 3 {
			require.Equal(t, now.Add(initialBackoff), w.availableAt(true))
		}
	}
	require.Equal(t, now.Add(maxBackoff), w.availableAt(true), "it fails every call")
	w = &worker{successShare: 1}
	w.recordAnswer(false, false, now)
	require.False(t, w.availableAt(true).After(now), "the answer was lost")
	w = &worker{successShare: 1}
	w.backOff(now.Add(2 * time.Second))
	require.Equal(t, now.Add(2*time.Second), w.availableAt(true))
}

// Load pattern: two stages run at one service, and pieces of one take 0.3 of the time of the
// other's. Guards against calls and waits that are expected by the average of both, so that
// calls are abandoned too early or too late, and requests are rejected that could be served.
func TestTimeIsLearnedForEachKindOfPiece(t *testing.T) {
	m := newMemorySimulation(t, secondStage, 4)
	m.factor[6_000] = 0.3
	m.hold = 50 * time.Millisecond
	for i := range 400 {
		m.add(time.Duration(i)*40*time.Millisecond, 4, []int64{60_000, 6_000}[m.random.IntN(2)], 2*time.Second, 9*time.Second)
	}
	off, calls := 0.0, 0
	m.onCall = func(c *Call, took time.Duration) {
		if m.now.Sub(time.Unix(1000, 0)) > 8*time.Second {
			calls++
			off = max(off, c.Expected.Seconds()/took.Seconds()-1, 1-c.Expected.Seconds()/took.Seconds())
		}
	}
	m.run(20 * time.Second)
	require.Greater(t, calls, 50)
	require.Less(t, off, 0.05, "expected duration of a call")
	for bytes, factor := range map[int64]float64{60_000: 1, 6_000: 0.3} {
		m.at(0, func() {
			for range 60 {
				m.add(0, 8, bytes, 9*time.Second, 20*time.Second)
			}
		})
		m.run(time.Millisecond)
		calls := float64(m.s.waiting) / 24 / 4
		want := calls * (0.2 + 24*0.0071*factor)
		require.InEpsilon(t, want, m.s.Backlog(m.now).Seconds(), 0.05, "time for the queue")
		m.run(20 * time.Second)
	}
}

// Guards against a target that is called although it says that it is slow at the moment, and
// against one that is avoided for longer than that.
func TestStatedLatencyIsShortLived(t *testing.T) {
	s, c, now := newCall(t, firstStage, 8, 8_000)
	now = now.Add(c.Expected)
	s.Finish(c, CallCompleted{Handles: make([]string, 8), Outcomes: make([]PieceOutcome, 8), Latency: 3}, now)
	w := s.workers["a"]
	require.Greater(t, w.ratio(now), slowRatio)
	require.InDelta(t, 1, w.measuredRatio(now), 0.01, "the call itself took the usual time")
	s.SetTargets([]Target{{ID: "a"}, {ID: "b"}})
	s.Add(&Job{RequestID: "r2", Pieces: 8, ResultBytes: 8_000, Objective: now.Add(time.Second), Deadline: now.Add(9 * time.Second)}, func(Outcome) {}, now)
	next, _ := s.Next(now)
	require.NotNil(t, next)
	require.Equal(t, "b", next.Target.ID)
	require.InDelta(t, 1, w.ratio(now.Add(4*sampleMemory)), 0.05)
	s.RecordReport(c.Target, &TargetReport{Latency: 3}, now)
	require.Greater(t, w.ratio(now), 2.0, "two samples weigh more")
}

// Guards against reports for longer than a second after a rejection, against an old report that
// hides the memory that was missing, and against a full target that is only checked again when
// the long pause of another one ends.
func TestRejectedPiecesRequestReports(t *testing.T) {
	s, c, now := newCall(t, secondStage, 24, 60_000)
	due, _ := s.ReportsDue(now)
	require.Empty(t, due)
	s.SetTargets([]Target{{ID: "a"}, {ID: "b"}})
	for range 8 {
		s.workers["b"].recordAnswer(false, true, now)
	}
	o := CallCompleted{Handles: make([]string, 24)}
	for range 24 {
		o.Outcomes = append(o.Outcomes, PieceOutOfMemory)
	}
	now = now.Add(100 * time.Millisecond)
	s.Finish(c, o, now)
	_, again := s.Next(now)
	require.Positive(t, again)
	require.LessOrEqual(t, again, memoryRetryInterval)
	rejectedAt, reports := now, 0
	for ; now.Sub(rejectedAt) < 3*time.Second; now = now.Add(20 * time.Millisecond) {
		due, _ = s.ReportsDue(now)
		for _, target := range due {
			require.Equal(t, "a", target.ID)
			reports++
			require.Less(t, now.Sub(rejectedAt), reportsAfterRejection)
			s.RecordReport(target, &TargetReport{FreeBytes: 2_000_000}, now)
			if reports == 1 {
				require.Less(t, s.freeMemory(s.workers["a"], now), int64(100_000), "the report is of before the call")
			} else if now.Sub(rejectedAt) > reportAge {
				require.Equal(t, int64(2_000_000), s.freeMemory(s.workers["a"], now))
			}
		}
	}
	require.Equal(t, 5, reports)
}
