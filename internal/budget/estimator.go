package budget

import (
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// blendSamples is the number of observations at which observed and expected
	// durations count the same.
	blendSamples = 20
	// guardPrior and hedgePrior are the percentiles assumed before observations,
	// as multiples of the expected duration.
	guardPrior = 1.5
	hedgePrior = 2.0
	// Percentiles of the guard and of hedging.
	guardPercentile = 90
	hedgePercentile = 95
	// observations are kept in windows, so that a stage that has become slower
	// or faster is believed within half a minute.
	windowCount = 3
	windowTime  = 10 * time.Second
	// refreshSamples bounds how old the cached percentiles may be.
	refreshSamples = 32
	// longestDuration is the largest value that is told apart.
	longestDuration = time.Hour
	significant     = 2
)

// Estimate is what a stage is expected to take.
type Estimate struct {
	Mean    time.Duration
	Guard   time.Duration // 90th percentile
	Hedge   time.Duration // 95th percentile
	Samples int64
}

// Estimator observes the durations of stages. Its memory grows with the number
// of keys, which the manifest bounds.
type Estimator struct {
	mu     sync.Mutex
	stages map[string]*observed
}

type observed struct {
	windows *hdrhistogram.WindowedHistogram
	rotated time.Time
	cached  Estimate
	fresh   int // observations since the percentiles were cached
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{stages: map[string]*observed{}}
}

// Observe records how long a stage took from dispatch to result.
func (e *Estimator) Observe(key string, took time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.stages[key]
	if !ok {
		o = &observed{
			windows: hdrhistogram.NewWindowed(windowCount, 1, longestDuration.Microseconds(), significant),
			rotated: now,
		}
		e.stages[key] = o
	}
	o.rotate(now)
	// The value is within the histogram's range, so that recording can't fail.
	_ = o.windows.Current.RecordValue(min(max(took, 0), longestDuration).Microseconds())
	o.fresh++
	if o.fresh >= refreshSamples || o.cached.Samples < refreshSamples {
		o.refresh()
	}
}

// Estimate returns the durations of a stage: expected until there are
// observations, then more and more the observed ones.
func (e *Estimator) Estimate(key string, expected time.Duration, now time.Time) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	prior := Estimate{
		Mean:  expected,
		Guard: time.Duration(guardPrior * float64(expected)),
		Hedge: time.Duration(hedgePrior * float64(expected)),
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
	weight := float64(seen.Samples) / float64(seen.Samples+blendSamples)
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

// rotate starts new windows for the time that has passed.
func (o *observed) rotate(now time.Time) {
	passed := int(now.Sub(o.rotated) / windowTime)
	if passed <= 0 {
		return
	}
	for range min(passed, windowCount) {
		o.windows.Rotate()
	}
	o.rotated = o.rotated.Add(time.Duration(passed) * windowTime)
	o.refresh()
}

func (o *observed) refresh() {
	h := o.windows.Merge()
	micros := func(v float64) time.Duration { return time.Duration(v * float64(time.Microsecond)) }
	o.cached = Estimate{
		Mean:    micros(h.Mean()),
		Guard:   micros(float64(h.ValueAtPercentile(guardPercentile))),
		Hedge:   micros(float64(h.ValueAtPercentile(hedgePercentile))),
		Samples: h.TotalCount(),
	}
	o.fresh = 0
}
