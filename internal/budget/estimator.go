package budget

import (
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// priorWeightSamples is the number of observations at which observed and
	// expected durations have equal weight.
	priorWeightSamples = 20
	// guardPriorFactor and hedgePriorFactor are the percentiles assumed without
	// observations, as multiples of the expected duration.
	guardPriorFactor = 1.5
	hedgePriorFactor = 2.0
	// Percentiles for time limits and for the start of a hedge.
	guardPercentile = 90
	hedgePercentile = 95
	// Observations are stored in a sliding window of windowCount * windowDuration,
	// so that the estimate follows a change of duration within half a minute.
	windowCount    = 3
	windowDuration = 10 * time.Second
	// refreshSamples is the maximum number of observations that the cached
	// percentiles may be behind.
	refreshSamples = 32
	// maxDuration is the upper limit of the histogram; longer durations are
	// recorded as this value.
	maxDuration        = time.Hour
	significantFigures = 2
)

// Estimate is the estimated duration of a stage.
type Estimate struct {
	Mean    time.Duration
	Guard   time.Duration // 90th percentile
	Hedge   time.Duration // 95th percentile
	Samples int64
}

// Estimator records and estimates the durations of stages. Its memory grows with
// the number of keys, which is limited by the manifest.
type Estimator struct {
	mu     sync.Mutex
	stages map[string]*observations
}

type observations struct {
	windows   *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	cached    Estimate
	uncached  int // observations since the percentiles were cached
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{stages: map[string]*observations{}}
}

// Observe records how long a stage took from dispatch to result.
func (e *Estimator) Observe(key string, took time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.stages[key]
	if !ok {
		o = &observations{
			windows:   hdrhistogram.NewWindowed(windowCount, 1, maxDuration.Microseconds(), significantFigures),
			rotatedAt: now,
		}
		e.stages[key] = o
	}
	o.rotate(now)
	// The value is within the histogram's range, so RecordValue cannot fail.
	_ = o.windows.Current.RecordValue(min(max(took, 0), maxDuration).Microseconds())
	o.uncached++
	if o.uncached >= refreshSamples || o.cached.Samples < refreshSamples {
		o.refresh()
	}
}

// Estimate returns the estimated durations of a stage: the expected duration
// without observations, and an average that gives the observed durations more
// weight as their number grows.
func (e *Estimator) Estimate(key string, expected time.Duration, now time.Time) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	prior := Estimate{
		Mean:  expected,
		Guard: time.Duration(guardPriorFactor * float64(expected)),
		Hedge: time.Duration(hedgePriorFactor * float64(expected)),
	}
	o, ok := e.stages[key]
	if !ok {
		return prior
	}
	o.rotate(now)
	return blend(prior, o.cached)
}

func blend(prior, seen Estimate) Estimate {
	if prior.Mean <= 0 && seen.Samples > 0 {
		return seen
	}
	weight := float64(seen.Samples) / float64(seen.Samples+priorWeightSamples)
	mix := func(a, b time.Duration) time.Duration {
		return a + time.Duration(weight*float64(b-a))
	}
	return Estimate{
		Mean:    mix(prior.Mean, seen.Mean),
		Guard:   mix(prior.Guard, seen.Guard),
		Hedge:   mix(prior.Hedge, seen.Hedge),
		Samples: seen.Samples,
	}
}

// rotate advances the sliding window to the current time.
func (o *observations) rotate(now time.Time) {
	passed := int(now.Sub(o.rotatedAt) / windowDuration)
	if passed <= 0 {
		return
	}
	for range min(passed, windowCount) {
		o.windows.Rotate()
	}
	o.rotatedAt = o.rotatedAt.Add(time.Duration(passed) * windowDuration)
	o.refresh()
}

func (o *observations) refresh() {
	h := o.windows.Merge()
	micros := func(v float64) time.Duration { return time.Duration(v * float64(time.Microsecond)) }
	o.cached = Estimate{
		Mean:    micros(h.Mean()),
		Guard:   micros(float64(h.ValueAtPercentile(guardPercentile))),
		Hedge:   micros(float64(h.ValueAtPercentile(hedgePercentile))),
		Samples: h.TotalCount(),
	}
	o.uncached = 0
}
