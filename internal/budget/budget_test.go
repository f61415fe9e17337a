package budget

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

// A fixed seed makes the property tests repeatable; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestSplitStaysWithinTimeLeft guards against stages that together get more
// time than is left, and against negative parts.
func TestSplitStaysWithinTimeLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Second), int64(24*time.Hour)).Draw(t, "d"))
		})
		left := duration.Draw(t, "left")
		needs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Need {
			return Need{Mean: duration.Draw(t, "mean"), Guard: duration.Draw(t, "guard")}
		}), 0, 6).Draw(t, "needs")
		var sum time.Duration
		for _, part := range Split(left, needs) {
			require.GreaterOrEqual(t, part, time.Duration(0))
			sum += part
		}
		require.LessOrEqual(t, sum, max(left, 0))
	})
}

// TestRetriesStayWithinShare guards against retry storms: whatever fails and
// however often callers ask, retries and hedges stay within the burst and the
// share of first attempts, for each service and for the entry.
func TestRetriesStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		o := RetryOptions{Share: share, EntryShare: share / 2, Burst: 5}
		r := NewRetries(o)
		requests, repeated := map[string]int{}, map[string]int{}
		var allRequests, allRepeated int
		services := rapid.SampledFrom([]string{"encoders", "retrievers", "generators"})
		steps := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 300).Draw(t, "steps")
		for _, step := range steps {
			service := services.Draw(t, "service")
			if step == 0 {
				r.Request(service)
				requests[service]++
				allRequests++
				continue
			}
			a := Attempt{Service: service, Idempotent: step != 4, Tried: 1, Cause: FailedCall{}}
			ask := r.Retry
			if step == 3 {
				ask = r.Hedge
			}
			d := ask(a)
			require.False(t, d.Allowed && !a.Idempotent, "repeated a call that isn't idempotent")
			require.Equal(t, d.Allowed, d.Reason == "")
			if d.Allowed {
				repeated[service]++
				allRepeated++
			}
			require.LessOrEqual(t, float64(repeated[service]), o.Burst+share*float64(requests[service])+1e-6)
			require.LessOrEqual(t, float64(allRepeated), o.Burst+o.EntryShare*float64(allRequests)+1e-6)
		}
	})
}

// TestPlanKeepsTimeForLaterStages guards against a stage that uses up what the
// longest path after it needs, and against accepting what can't finish.
func TestPlanKeepsTimeForLaterStages(t *testing.T) {
	p, err := NewPlan("quote-answer", []Stage{
		{Name: "generate", Needs: []string{"rerank", "stock"}, Expected: 600 * time.Millisecond},
		{Name: "encode", Expected: 10 * time.Millisecond},
		{Name: "stock", Expected: 5 * time.Millisecond},
		{Name: "rerank", Needs: []string{"encode"}, Expected: 20 * time.Millisecond},
	})
	require.NoError(t, err)
	e := NewEstimator()
	for range 1000 {
		e.Observe(p.Key("generate"), 300*time.Millisecond, testStart)
	}
	a := p.Allot(e, "encode", time.Second, testStart)
	require.InDelta(t, 330*time.Millisecond, a.Needs, float64(15*time.Millisecond), "observations outweigh the manifest")
	require.Equal(t, time.Second, a.Limit+a.Later)
	require.Greater(t, a.Later, 300*time.Millisecond)
	require.True(t, p.CanFinish(e, nil, 400*time.Millisecond, 0, testStart).Fits)
	require.Equal(t, ReasonNotEnoughTime, p.CanFinish(e, nil, 400*time.Millisecond, 100*time.Millisecond, testStart).Reason)
	require.True(t, p.CanFinish(e, []string{"generate"}, 40*time.Millisecond, 0, testStart).Fits)

	old := testStart.Add(time.Minute)
	require.Equal(t, 600*time.Millisecond, e.Estimate(p.Key("generate"), 600*time.Millisecond, old).Mean, "old observations must expire")

	_, err = NewPlan("x", []Stage{{Name: "a", Needs: []string{"b"}}, {Name: "b", Needs: []string{"a"}}})
	var plan *PlanError
	require.ErrorAs(t, err, &plan)
}
