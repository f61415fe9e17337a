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

// TestSplitStaysWithinTimeLeft guards against stages that in total get more than
// the time left, and against negative parts.
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

// TestRetriesStayWithinShare guards against retry storms: for any failures and any
// number of requests for a retry, retries and hedges stay within the burst and the
// ratio to first attempts, for each service and, without idle capacity, for the
// entry.
func TestRetriesStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := RetryOptions{RetryRatio: rapid.Float64Range(0.01, 0.5).Draw(t, "share"), IdleRetryRatio: 0.3, HedgeRatio: 0.01, Burst: 5}
		o.EntryRetryRatio = o.RetryRatio * rapid.SampledFrom([]float64{0.5, 10}).Draw(t, "entry share")
		r := NewRetries(o)
		requests, repeated, spare, hedged := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
		within := func(count int, share float64, requests int) {
			require.LessOrEqual(t, float64(count), o.Burst+share*float64(requests)+1e-6)
		}
		services := rapid.SampledFrom([]string{"encoders", "retrievers", "generators"})
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			service := services.Draw(t, "service")
			a := Attempt{Service: service, Attempts: 1, Cause: FailedCall{}}
			a.Idempotent = rapid.IntRange(0, 4).Draw(t, "idempotent") > 0
			a.IdleCapacity = rapid.Bool().Draw(t, "spare")
			var d Decision
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r.Request(service)
				requests[service]++
				continue
			case 1:
				d = r.Hedge(a)
				require.False(t, d.Allowed && !a.Idempotent, "hedged a call that isn't idempotent")
				if d.Allowed {
					hedged[service]++
				}
				within(hedged[service], o.HedgeRatio, requests[service])
				continue
			default:
				d = r.Retry(a)
			}
			require.False(t, d.Allowed && !a.Idempotent, "repeated a call that isn't idempotent")
			require.Equal(t, d.Allowed, d.Reason == "")
			switch {
			case d.Allowed && a.IdleCapacity:
				spare[service]++
			case d.Allowed:
				repeated[service]++
			}
			within(repeated[service], o.RetryRatio, requests[service])
			within(repeated[service]+spare[service]-int(o.Burst), o.RetryRatio+o.IdleRetryRatio, requests[service])
			within(repeated["encoders"]+repeated["retrievers"]+repeated["generators"], o.EntryRetryRatio,
				requests["encoders"]+requests["retrievers"]+requests["generators"])
		}
	})
}

// TestRetryRules guards against useless retries: after a rejection that is not
// retryable, after the last attempt, or without enough time left; and against a
// baseline that does not retry twice.
func TestRetryRules(t *testing.T) {
	good := Attempt{Service: "s", Idempotent: true, Attempts: 1, Cause: FailedCall{}, TimeLeft: time.Second, Typical: time.Second}
	with := func(change func(*Attempt)) Attempt {
		a := good
		change(&a)
		return a
	}
	tests := []struct {
		attempt                Attempt
		retry, hedge, baseline Reason
	}{
		{good, "", "", ""},
		{with(func(a *Attempt) { a.Cause = RefusedCall{Retryable: true} }), "", "", ""},
		{with(func(a *Attempt) { a.Cause = RefusedCall{} }), ReasonNotRetryable, "", ReasonNotRetryable},
		{with(func(a *Attempt) { a.Idempotent = false }), ReasonNotIdempotent, ReasonNotIdempotent, ReasonNotIdempotent},
		{with(func(a *Attempt) { a.TimeLeft-- }), ReasonNotEnoughTime, ReasonNotEnoughTime, ReasonNotEnoughTime},
		{with(func(a *Attempt) { a.Attempts = 3 }), "", "", ReasonAttemptsSpent},
		{with(func(a *Attempt) { a.Attempts = 6 }), ReasonAttemptsSpent, ReasonAttemptsSpent, ReasonAttemptsSpent},
	}
	for _, test := range tests {
		require.Equal(t, test.retry, NewRetries(RetryOptions{}).Retry(test.attempt).Reason)
		require.Equal(t, test.hedge, NewRetries(RetryOptions{}).Hedge(test.attempt).Reason)
		baseline := NewRetries(RetryOptions{Policy: Baseline{}})
		require.Equal(t, test.baseline, baseline.Retry(test.attempt).Reason)
		require.Equal(t, ReasonPolicy, baseline.Hedge(test.attempt).Reason)
	}
	r := NewRetries(RetryOptions{Burst: 1})
	require.True(t, r.Retry(good).Allowed)
	require.Equal(t, ReasonServiceBudget, r.Retry(good).Reason)
	require.True(t, r.Retry(with(func(a *Attempt) { a.Cause = DrainingCall{} })).Allowed, "a drain must not use up the budget")
}

// TestPlanKeepsTimeForLaterStages guards against a stage that gets the time that
// the longest path after it needs, and against accepting requests that cannot meet
// their deadline.
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
	require.InDelta(t, 330*time.Millisecond, a.Typical, float64(15*time.Millisecond), "observations outweigh the manifest")
	require.Equal(t, time.Second, a.Limit+a.Later)
	require.Greater(t, a.Later, 300*time.Millisecond)
	require.True(t, p.CanFinish(e, nil, 400*time.Millisecond, 0, testStart).Fits)
	require.Equal(t, ReasonNotEnoughTime, p.CanFinish(e, nil, 400*time.Millisecond, 100*time.Millisecond, testStart).Reason)
	require.True(t, p.CanFinish(e, []string{"generate"}, 45*time.Millisecond, 0, testStart).Fits)

	old := testStart.Add(time.Minute)
	require.Equal(t, 600*time.Millisecond, e.Estimate(p.Key("generate"), 600*time.Millisecond, old).Mean, "old observations must expire")

	_, err = NewPlan("x", []Stage{{Name: "a", Needs: []string{"b"}}, {Name: "b", Needs: []string{"a"}}})
	var plan *PlanError
	require.ErrorAs(t, err, &plan)
}
