package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// scriptedRamp has a share, and counts what it is told.
type scriptedRamp struct {
	share     float64
	returned  int
	good, bad int
}

func (r *scriptedRamp) Share(time.Time) (share float64, rising bool) { return r.share, r.share < 1 }
func (r *scriptedRamp) Sent(time.Time) uint64                        { return 1 }
func (r *scriptedRamp) Returned(time.Time)                           { r.returned++ }

func (r *scriptedRamp) Observe(_ uint64, good bool, _ time.Time) {
	if good {
		r.good++
	} else {
		r.bad++
	}
}

// rampPool returns a pool with shares; without ramps if there are none.
func rampPool(n int, shares []float64) (*Pool, []*scriptedRamp) {
	p := NewPool(Options{Service: "generators", FailureDomain: "d0", Seed: 7})
	var ramps []*scriptedRamp
	var list []Target
	for i := range n {
		t := Target{Name: fmt.Sprint("t", i), Address: "x", Incarnation: "1", FailureDomain: fmt.Sprint("d", i%3), Slots: 8}
		if len(shares) > 0 {
			ramps = append(ramps, &scriptedRamp{share: shares[i]})
			t.Ramp = ramps[i]
		}
		list = append(list, t)
	}
	p.Sync(list, time.Unix(1000, 0))
	return p, ramps
}

// Guards against deployments that are served differently although no target warms up, or all of
// them do alike: every choice has to be the one without ramps. Also guards against requests that
// are refused because of shares.
func TestEqualSharesChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(rt, "targets")
		equal, mixed := make([]float64, n), make([]float64, n)
		share := rapid.SampledFrom([]float64{1, 0.5, 1.0 / 16}).Draw(rt, "share")
		for i := range n {
			equal[i] = share
			mixed[i] = rapid.SampledFrom([]float64{1, 0.7, 1.0 / 32}).Draw(rt, "mixed")
		}
		plain, _ := rampPool(n, nil)
		ramped, _ := rampPool(n, equal)
		uneven, _ := rampPool(n, mixed)
		now := time.Unix(1000, 0)
		var running [][2]Choice
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond)
			if len(running) > 0 && rapid.IntRange(0, 2).Draw(rt, "finish") == 0 {
				latency := 100
				if share == 1 { // below, averages of latencies don't count
					latency = rapid.IntRange(50, 400).Draw(rt, "latency")
				}
				o := Outcome(Success{Latency: time.Duration(latency) * time.Millisecond, Expected: 100 * time.Millisecond})
				plain.Finish(running[0][0], o, now)
				ramped.Finish(running[0][1], o, now)
				running = running[1:]
				continue
			}
			r := Request{Prefix: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(rt, "prefix"), Rendezvous: true}
			a, err := plain.Pick(r, now)
			require.NoError(rt, err)
			b, err := ramped.Pick(r, now)
			require.NoError(rt, err)
			require.Equal(rt, a.Target, b.Target)
			require.Equal(rt, a.RunnerUp, b.RunnerUp)
			running = append(running, [2]Choice{a, b})
			_, err = uneven.Pick(r, now)
			require.NoError(rt, err)
		}
	})
}

// Load pattern: few calls at a time at each of many gateways, with and without prefixes. Guards
// against a target that gets nothing, or its usual load, while its share is low.
func TestShareIsAPartOfTheCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	shares := []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 0.25}
	for _, prefixed := range []bool{false, true} {
		p, _ := rampPool(10, shares)
		p.domain = "elsewhere"
		p.rebuild()
		got := 0
		for i := range 20000 {
			r := Request{Rendezvous: true}
			if prefixed {
				r.Prefix = fmt.Sprint(i)
			}
			c, err := p.Pick(r, now)
			require.NoError(t, err)
			if c.Target == "t9" {
				got++
			}
			p.Finish(c, Canceled{}, now)
		}
		require.InDelta(t, 20000*0.25/9.25, got, 120)
	}
}

// Guards against a target that returns from an ejection or a pause and isn't warmed up, and against
// evidence that is counted twice or not at all.
func TestRampIsToldOfReturnsAndAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	p, ramps := rampPool(2, []float64{1, 1})
	pause := func(paused bool) {
		p.Upsert(Target{Name: "t0", Address: "x", Incarnation: "1", Slots: 8, Paused: paused, Ramp: ramps[0]}, now)
	}
	pause(true)
	now = now.Add(returnTime / 2)
	pause(false)
	require.Zero(t, ramps[0].returned, "after a short pause")
	pause(true)
	now = now.Add(returnTime)
	pause(false)
	require.Equal(t, 1, ramps[0].returned)

	call := func(o Outcome, begun bool) {
		c, err := p.Pick(Request{Exclude: []string{"t1"}, MayProbe: true}, now)
		require.NoError(t, err)
		if begun {
			c = p.Begun(c, Success{Latency: 100 * time.Millisecond, Expected: 100 * time.Millisecond}, now)
		}
		p.Finish(c, o, now)
	}
	good := Success{Latency: 100 * time.Millisecond, Expected: 100 * time.Millisecond}
	call(good, false)
	call(good, true)
	require.Equal(t, [2]int{2, 0}, [2]int{ramps[0].good, ramps[0].bad})
	call(Success{Latency: time.Second, Expected: 100 * time.Millisecond}, false)
	call(Overloaded{}, false)
	call(Failure{}, true) // a stream that breaks
	call(Canceled{}, false)
	call(Draining{}, false)
	require.Equal(t, [2]int{3, 3}, [2]int{ramps[0].good, ramps[0].bad})
}

// Guards against a target that returns from an ejection at its whole share.
func TestProbedTargetWarmsUp(t *testing.T) {
	now := time.Unix(1000, 0)
	p, ramps := rampPool(3, []float64{1, 1, 1})
	for range 10 {
		c, err := p.Pick(Request{Exclude: []string{"t1", "t2"}}, now)
		if err != nil {
			break
		}
		p.Finish(c, Failure{}, now)
	}
	require.Equal(t, StateEjected, p.Status(now)[0].State)
	now = now.Add(3 * time.Second)
	for range 2 {
		c, err := p.Pick(Request{MayProbe: true}, now)
		require.NoError(t, err)
		require.Equal(t, ReasonProbe, c.Reason)
		require.Zero(t, ramps[0].returned)
		p.Finish(c, Success{Latency: time.Second}, now)
	}
	require.Equal(t, StateUsable, p.Status(now)[0].State)
	require.Equal(t, 1, ramps[0].returned)
}

// scriptedSpeed is a known speed.
type scriptedSpeed float64

func (s scriptedSpeed) Speed() float64             { return float64(s) }
func (s scriptedSpeed) Observe(float64, time.Time) {}

// Guards against a slow target that gets as much as the others, and against one whose slowness counts
// twice, by its known speed and by its average latency.
func TestSlowTargetGetsLessBySpeed(t *testing.T) {
	now := time.Unix(1000, 0)
	p, _ := rampPool(10, nil)
	p.Upsert(Target{Name: "t9", Address: "x", Incarnation: "1", FailureDomain: "d0", Slots: 8, Speed: scriptedSpeed(0.5)}, now)
	got := 0
	for i := range 20000 {
		c, err := p.Pick(Request{Rendezvous: true, Prefix: fmt.Sprint(i)}, now)
		require.NoError(t, err)
		latency := 100 * time.Millisecond
		if c.Target == "t9" {
			got++
			latency *= 2
		}
		p.Finish(c, Success{Latency: latency, Expected: 100 * time.Millisecond}, now)
		now = now.Add(10 * time.Millisecond)
	}
	require.InDelta(t, 20000*0.5/9.5, got, 150)
}
