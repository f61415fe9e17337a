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
	fleetStep   = 20 * time.Millisecond
	// windowSteps is the length of the window in steps.
	windowSteps = int(fleetWindow / fleetStep)
)

// fleetGateway is one gateway's part of the budget.
type fleetGateway interface {
	request(now time.Time)
	repeat(now time.Time) bool
}

// newFleetGateway returns the part of a gateway that has just started, one of n.
func newFleetGateway(n int, slack float64, seed uint64) fleetGateway {
	_, _ = n, seed
	return &independentGateway{r: NewRetries(RetryOptions{RetryRatio: 0.7 * fleetRatio, EntryRetryRatio: 0.7 * fleetRatio, Burst: slack / 8})}
}

type independentGateway struct{ r *Retries }

func (g *independentGateway) request(time.Time) { g.r.Request("engines") }

func (g *independentGateway) repeat(time.Time) bool {
	return g.r.Retry(Attempt{Service: "engines", Idempotent: true, Attempts: 1, TimeLeft: time.Second, Cause: FailedCall{}}).Allowed
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
	fleetSteps    = 4 * windowSteps
	failFrom      = windowSteps + windowSteps/2
	failUntil     = 3 * windowSteps
	fleetAttempts = 3 // of one request
)

func (f fleetRun) run() fleetResult {
	rng := rand.New(rand.NewPCG(f.seed, 1))
	parts := make([]fleetGateway, f.gateways)
	for i := range parts {
		parts[i] = newFleetGateway(f.gateways, f.slack, rng.Uint64())
	}
	res := fleetResult{requests: make([]int, fleetSteps), repeats: make([]int, fleetSteps)}
	start := time.Unix(1_000_000, 0)
	due := 0.0
	for step := range fleetSteps {
		now := start.Add(time.Duration(step) * fleetStep)
		for i := range parts {
			if step == f.restartAll || rng.Float64() < f.restartPerS*fleetStep.Seconds() {
				parts[i] = newFleetGateway(f.gateways, f.slack, rng.Uint64())
			}
		}
		due += f.perS * fleetStep.Seconds()
		if f.pattern == burstTraffic && step%windowSteps < windowSteps/10 {
			due += 7 * f.perS * fleetStep.Seconds()
		}
		for ; due >= 1; due-- {
			res.requests[step]++
			g := parts[f.gateway(rng, step)]
			g.request(now)
			attempt := 1
			for f.fails(rng, step) {
				if attempt == fleetAttempts || !g.repeat(now) {
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
					perS:     rapid.SampledFrom([]float64{5, 60, 250, 700, 2400}).Draw(rt, "per_s"),
					failing:  rapid.SampledFrom([]float64{0.1, 0.6, 1}).Draw(rt, "failing"),
					pattern:  rapid.SampledFrom([]fleetPattern{evenTraffic, skewedTraffic, movingTraffic, burstTraffic}).Draw(rt, "pattern"),

					restartPerS: rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "restart_per_s"),
					restartAll:  rapid.SampledFrom([]int{-1, failFrom, failFrom + 100}).Draw(rt, "restart_all"),
					seed:        rapid.Uint64().Draw(rt, "seed"),
				}
				repeats, allowed := f.run().worst(f.slack)
				require.LessOrEqual(rt, float64(repeats), allowed, "%+v", f)
			})
		})
	}
}
