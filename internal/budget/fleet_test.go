package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	fleetRatio  = 0.2
	fleetWindow = 10 * time.Second
	fleetStep   = 50 * time.Millisecond
	// windowSteps is the length of the window in steps.
	windowSteps = int(fleetWindow / fleetStep)
)

// newFleetGateway returns the part of a gateway that has just started, one of n.
func newFleetGateway(n int, slack float64, seed uint64, now time.Time) *SharedRetries {
	r := NewSharedRetries(SharedOptions{Ratio: fleetRatio, Slack: slack, Window: fleetWindow, Seed: seed})
	r.SetMembers(n, now)
	return r
}

// fleetPattern is how traffic comes to the gateways.
type fleetPattern string

const (
	evenTraffic   fleetPattern = "even"
	skewedTraffic fleetPattern = "skewed" // nearly all of it at a tenth of the gateways
	movingTraffic fleetPattern = "moving" // at another tenth in each half of a window
	burstTraffic  fleetPattern = "burst"  // eight times as much for a second in each window
)

// fleetRun is a run of gateways in front of one service.
type fleetRun struct {
	gateways int
	slack    float64
	perS     float64 // requests a second at all gateways
	failing  float64 // share of failed arrivals while the service fails
	pattern  fleetPattern
	// restartPerS is the share of the gateways that restart in a second, and restartAll the
	// step in which all of them do.
	restartPerS float64
	restartAll  int
	seed        uint64
}

// fleetResult counts by step.
type fleetResult struct {
	requests, repeats []int
	saved, failed     int // requests that a repeat saved, and that ended without success
}

const (
	fleetSteps    = 3 * windowSteps
	failFrom      = windowSteps + windowSteps/2
	failUntil     = fleetSteps
	fleetAttempts = 3 // of one request
)

func (f fleetRun) run() fleetResult {
	rng := rand.New(rand.NewPCG(f.seed, 1))
	parts := make([]*SharedRetries, f.gateways)
	start := time.Unix(1_000_000, 0)
	for i := range parts {
		parts[i] = newFleetGateway(f.gateways, f.slack, rng.Uint64(), start)
	}
	res := fleetResult{requests: make([]int, fleetSteps), repeats: make([]int, fleetSteps)}
	due := 0.0
	for step := range fleetSteps {
		now := start.Add(time.Duration(step) * fleetStep)
		for i := range parts {
			if step == f.restartAll || rng.Float64() < f.restartPerS*fleetStep.Seconds() {
				parts[i] = newFleetGateway(f.gateways, f.slack, rng.Uint64(), now)
			}
		}
		due += f.perS * fleetStep.Seconds()
		if f.pattern == burstTraffic && step%windowSteps < windowSteps/10 {
			due += 7 * f.perS * fleetStep.Seconds()
		}
		for ; due >= 1; due-- {
			res.requests[step]++
			g := parts[f.gateway(rng, step)]
			g.Request("engines", now)
			attempt := 1
			for f.fails(rng, step) {
				if attempt == fleetAttempts || !g.Repeat("engines", true, now).Allowed {
					attempt = -1
					break
				}
				attempt++
				res.repeats[step]++
			}
			switch {
			case attempt < 0:
				res.failed++
			case attempt > 1:
				res.saved++
			}
		}
	}
	return res
}

func (f fleetRun) fails(rng *rand.Rand, step int) bool {
	return step >= failFrom && step < failUntil && rng.Float64() < f.failing
}

// gateway returns the gateway at which the next request arrives.
func (f fleetRun) gateway(rng *rand.Rand, step int) int {
	few := (f.gateways + 9) / 10
	switch {
	case f.pattern == skewedTraffic && rng.Float64() < 0.95:
		return rng.IntN(few)
	case f.pattern == movingTraffic && rng.Float64() < 0.95:
		return (step/(windowSteps/2)*few + rng.IntN(few)) % f.gateways
	}
	return rng.IntN(f.gateways)
}

// worst returns the window with the most repeats over what is allowed: the ratio of the
// requests in the window, in the one before it or half a window before it, and the slack.
func (r fleetResult) worst(slack float64) (repeats int, allowed float64) {
	sum := func(counts []int, from int) int {
		n := 0
		for _, c := range counts[max(from, 0):max(from+windowSteps, 0)] {
			n += c
		}
		return n
	}
	excess := 0.0
	for from := 0; from+windowSteps <= fleetSteps; from += 5 {
		most := max(sum(r.requests, from), sum(r.requests, from-windowSteps/2), sum(r.requests, from-windowSteps))
		a, n := fleetRatio*float64(most)+slack, sum(r.repeats, from)
		if e := float64(n) - a; from == 0 || e > excess {
			excess, repeats, allowed = e, n, a
		}
	}
	return repeats, allowed
}

// Guards against repeats of all gateways together that exceed the budget of a service when it
// fails broadly: the parts of many gateways add up, and restarts must not fill them again.
func TestRepeatsOfAllGatewaysStayInBudget(t *testing.T) {
	for _, n := range []int{1, 8, 21, 31, 103, 370} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				f := fleetRun{
					gateways: n,
					slack:    rapid.SampledFrom([]float64{52, 82, 102, 246}).Draw(rt, "slack"),
					perS:     rapid.SampledFrom([]float64{5, 60, 250, 900}).Draw(rt, "per_s"),
					failing:  rapid.SampledFrom([]float64{0.1, 0.6, 1}).Draw(rt, "failing"),
					pattern:  rapid.SampledFrom([]fleetPattern{evenTraffic, skewedTraffic, movingTraffic, burstTraffic}).Draw(rt, "pattern"),

					restartPerS: rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "restart_per_s"),
					restartAll:  rapid.SampledFrom([]int{-1, failFrom, failFrom + windowSteps/5}).Draw(rt, "restart_all"),
					seed:        rapid.Uint64().Draw(rt, "seed"),
				}
				repeats, allowed := f.run().worst(f.slack)
				require.LessOrEqual(rt, float64(repeats), allowed, "%+v", f)
			})
		})
	}
}

// Guards against repeats that exceed the budget, or of which hardly any are left, when most
// requests fail at the size that the system is designed for.
func TestBroadFailureOfTheLargestFleet(t *testing.T) {
	f := fleetRun{gateways: 370, slack: 246, perS: 2400, failing: 0.6, pattern: evenTraffic, restartAll: -1, seed: 1}
	repeats, allowed := f.run().worst(f.slack)
	require.LessOrEqual(t, float64(repeats), allowed)
	require.GreaterOrEqual(t, float64(repeats), 0.75*allowed)
}

// Guards against gateways with so small a part of the budget that failures of single requests
// aren't repeated.
func TestRareFailuresAreRepeated(t *testing.T) {
	for _, n := range []int{1, 8, 21, 31, 103, 370} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := fleetRun{gateways: n, slack: 102, perS: 6.5 * float64(n), failing: 0.02, pattern: evenTraffic, restartAll: -1, seed: 1}
			r := f.run()
			require.GreaterOrEqual(t, float64(r.saved), 0.85*float64(r.saved+r.failed), "%+v", r)
		})
	}
}

// Guards against repeats that a gateway has after each start, and against a part of the slack
// that it takes before it knows how many share it.
func TestGatewayStartsWithoutRepeats(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sent := 0
	for seed := range uint64(1000) {
		r := NewSharedRetries(SharedOptions{Ratio: fleetRatio, Slack: 100, Window: fleetWindow, Seed: seed})
		if r.Repeat("engines", true, now).Allowed {
			sent++
		}
		require.False(t, r.SetMembers(0, now))
		if r.Repeat("engines", true, now.Add(time.Hour)).Allowed {
			sent++
		}
		r.SetMembers(8, now.Add(time.Hour))
		if r.Repeat("engines", true, now.Add(time.Hour)).Allowed {
			sent++
		}
	}
	require.Zero(t, sent)
}

// Guards against gateways that take a larger part of the slack because others are not counted
// for a while: a control VM has restarted, or the gateways are cut off from it.
func TestGatewaysThatAreNotCountedKeepTheirPart(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := NewSharedRetries(SharedOptions{Ratio: fleetRatio, Slack: 100, Window: fleetWindow, Seed: 1})
	require.True(t, r.SetMembers(31, now))
	require.False(t, r.SetMembers(3, now.Add(memberRetention/2)))
	require.Equal(t, 31, r.Members())
	require.True(t, r.SetMembers(32, now.Add(memberRetention/2)))
	require.False(t, r.SetMembers(3, now.Add(memberRetention)))
	require.True(t, r.SetMembers(3, now.Add(memberRetention/2+memberRetention)))
}

// Guards against repeats of requests that could come back later, which leave none for those
// that would fail.
func TestUrgentRepeatsKeepAPartOfTheReserve(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := NewSharedRetries(SharedOptions{Ratio: fleetRatio, Slack: 100, Window: fleetWindow, Seed: 1})
	r.SetMembers(1, now)
	r.Request("engines", now)
	now = now.Add(fleetWindow)
	require.InDelta(t, 25, spendAll(r, false, now), 2)
	require.InDelta(t, 25, spendAll(r, true, now), 2)
}

// spendAll returns how many repeats a gateway may send at once.
func spendAll(r *SharedRetries, urgent bool, now time.Time) int {
	n := 0
	for r.Repeat("engines", urgent, now).Allowed {
		n++
	}
	return n
}
