package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const usual = 100 * time.Millisecond

// newTestPool has targets t00, t01 and so on of 4 slots each, alternating
// between milford, where the entry is, and swansea.
func newTestPool(targets int) *Pool {
	p := NewPool(Options{Service: "generators", FailureDomain: "milford", Seed: 1})
	var all []Target
	for i := range targets {
		domain := []string{"milford", "swansea"}[i%2]
		all = append(all, Target{Name: fmt.Sprintf("t%02d", i), FailureDomain: domain, Slots: 4, Models: []string{"m"}})
	}
	p.Sync(all, testStart)
	return p
}

// drive makes calls one after the other and returns how many each target got.
func drive(t *testing.T, p *Pool, calls int, r Request, start time.Time, outcome func(target string) Outcome) map[string]int {
	t.Helper()
	got := map[string]int{}
	for i := range calls {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		c, err := p.Pick(r, now)
		require.NoError(t, err)
		got[c.Target]++
		p.Finish(c, outcome(c.Target), now)
		if i%25 == 0 {
			p.Tick(now)
		}
	}
	return got
}

// TestEjectionAndReturn guards against targets that fail or are slow and still
// get calls, against a target that never returns after it has recovered, and
// against silent connections that count as failures of a target.
func TestEjectionAndReturn(t *testing.T) {
	good := Success{Latency: usual, Expected: usual}
	faults := map[string]Outcome{
		"failing": Failure{},
		"slow":    Success{Latency: 10 * usual, Expected: usual},
		"hedged":  Canceled{Ran: 5 * usual, Expected: usual},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(8)
			outcome := func(target string) Outcome {
				if target == "t02" {
					return fault
				}
				return good
			}
			drive(t, p, 30000, Request{MayProbe: true}, testStart, outcome)
			now := testStart.Add(300 * time.Second)
			got := drive(t, p, 12000, Request{MayProbe: true}, now, outcome)
			require.LessOrEqual(t, got["t02"], 5, "only probes may reach the target")
			require.NotZero(t, got["t02"], "the target must be probed")
			require.Equal(t, StateEjected, p.Status(now)[2].State)

			now = now.Add(3 * time.Minute)
			drive(t, p, 1000, Request{MayProbe: true}, now, func(string) Outcome { return good })
			now = now.Add(10 * time.Second)
			got = drive(t, p, 1000, Request{}, now, func(string) Outcome { return good })
			require.Greater(t, got["t02"], 50, "a recovered target must return")
		})
	}

	p := newTestPool(8)
	first, err := p.Pick(Request{}, testStart)
	require.NoError(t, err)
	p.ReportOverdue(first, 5*usual, usual)
	p.Finish(first, Canceled{}, testStart)
	got := drive(t, p, 200, Request{}, testStart, func(string) Outcome { return good })
	require.Zero(t, got[first.Target], "a target with an overdue call must be avoided")

	p = newTestPool(8)
	drive(t, p, 1000, Request{}, testStart, func(string) Outcome { return UnresponsiveConnection{} })
	require.Zero(t, p.ejected)
	for _, s := range p.Status(testStart) {
		require.Zero(t, s.FailureRate)
		require.Zero(t, s.InFlight)
	}
}

// TestFailingServiceKeepsTargets guards against ejections that take capacity
// away when all targets fail alike.
func TestFailingServiceKeepsTargets(t *testing.T) {
	p := newTestPool(8)
	calls := 0
	drive(t, p, 4000, Request{}, testStart, func(string) Outcome {
		if calls++; mix(uint64(calls))%2 == 0 {
			return Failure{}
		}
		return Success{Latency: usual, Expected: usual}
	})
	require.LessOrEqual(t, p.ejected, 1)
}

// TestPreferences guards against calls that leave the failure domain or a cached
// prefix without need, and against a preference that overloads its targets.
func TestPreferences(t *testing.T) {
	good := func(string) Outcome { return Success{Latency: usual, Expected: usual} }
	p := newTestPool(8)
	for name, n := range drive(t, p, 1000, Request{}, testStart, good) {
		require.Contains(t, []string{"t00", "t02", "t04", "t06"}, name)
		require.Greater(t, n, 150, "the load must spread within the domain")
	}

	r := Request{Prefix: "tariff-2026"}
	first, err := p.Pick(r, testStart)
	require.NoError(t, err)
	p.Finish(first, Success{Latency: usual, Expected: usual}, testStart)
	require.Len(t, drive(t, p, 100, r, testStart, good), 1, "calls with a prefix must stay together")

	var open []Choice
	counts := map[string]int{}
	for range 32 {
		c, err := p.Pick(r, testStart)
		require.NoError(t, err)
		open = append(open, c)
		counts[c.Target]++
	}
	for name, n := range counts {
		require.LessOrEqual(t, n, 6, "target %s of 4 slots is overloaded", name)
	}
	for _, c := range open {
		p.Finish(c, Canceled{}, testStart)
	}

	second := p.order[1].Name
	p.CacheEvents(second, 7, []CacheEvent{{Prefix: "other"}}, testStart)
	require.Equal(t, map[string]int{second: 50}, drive(t, p, 50, Request{Prefix: "other"}, testStart, good))
	p.CacheEvents(second, 8, []CacheEvent{{Prefix: "other", Evicted: true, Age: time.Minute}}, testStart)
	c, err := p.Pick(Request{Prefix: "other"}, testStart)
	require.NoError(t, err)
	require.Equal(t, ReasonPrefixCached, c.Reason, "a late eviction is older than the last dispatch")
	p.Finish(c, Canceled{}, testStart)
	p.CacheEvents(second, 9, []CacheEvent{{Prefix: "other", Evicted: true}}, testStart.Add(time.Minute))
	c, err = p.Pick(Request{Prefix: "other"}, testStart.Add(time.Minute))
	require.NoError(t, err)
	require.NotEqual(t, ReasonPrefixCached, c.Reason)
}

// TestLoadReportsCountOwnCallsOnce guards against own calls that are counted
// again from a load report, and against trust in old reports.
func TestLoadReportsCountOwnCallsOnce(t *testing.T) {
	p := newTestPool(1)
	var open []Choice
	for range 3 {
		c, err := p.Pick(Request{}, testStart)
		require.NoError(t, err)
		open = append(open, c)
	}
	now := testStart.Add(time.Second)
	for _, c := range open {
		p.Finish(c, Success{Latency: usual}, now)
	}
	// The report was taken while the three calls ran, beside two of others.
	now = now.Add(200 * time.Millisecond)
	p.ReportLoad("t00", LoadReport{Running: 4, Queued: 1, Age: 500 * time.Millisecond}, now)
	require.InDelta(t, 2, p.targets["t00"].others, 0.01)
	fresh := p.targets["t00"].load(0, now)
	require.Less(t, p.targets["t00"].load(0, now.Add(5*time.Second)), fresh/3)
}

// newLargePool has the number of targets of the target scale.
func newLargePool() *Pool {
	p := NewPool(Options{FailureDomain: "d1", Seed: 1})
	var all []Target
	for i := range 850 {
		all = append(all, Target{
			Name: fmt.Sprintf("t%03d", i), FailureDomain: fmt.Sprintf("d%d", i%4),
			Slots: 8, Models: []string{"m1", "m2"},
		})
	}
	p.Sync(all, testStart)
	for i := range 100 {
		p.eject(p.order[i*8], CauseSlow, testStart)
	}
	return p
}

var largeRequest = Request{Model: "m1", Prefix: "tariff", Exclude: []string{"t001", "t002"}}

func pickOnce(p *Pool, i int) {
	now := testStart.Add(time.Duration(i) * time.Millisecond)
	c, err := p.Pick(largeRequest, now)
	if err != nil {
		panic(err)
	}
	p.Finish(c, Canceled{}, now)
}

// TestPickAllocatesNothing guards the promise of choosing without allocation.
func TestPickAllocatesNothing(t *testing.T) {
	p := newLargePool()
	pickOnce(p, 0)
	i := 0
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		i++
		pickOnce(p, i)
	}))
}

// BenchmarkPick measures one choice among 850 targets, of which 100 are ejected
// and partly due for a probe. The bound is 5 µs.
func BenchmarkPick(b *testing.B) {
	p := newLargePool()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		pickOnce(p, i%4000)
	}
}

// BenchmarkTick measures the periodic judgement of 850 targets.
func BenchmarkTick(b *testing.B) {
	p := newLargePool()
	for _, t := range p.order {
		t.samples = 10
	}
	for b.Loop() {
		p.Tick(testStart)
	}
}
