package admission

import (
	"slices"
	"time"
)

const (
	// limitWindow and limitSamples must both be reached to end a measurement
	// window. The median of 32 samples varies by less than latencyTolerance even
	// when durations are distributed exponentially.
	limitWindow  = 250 * time.Millisecond
	limitSamples = 32
	// maxSamples limits the memory of a window; later samples are discarded.
	maxSamples = 512
	// latencyTolerance is the factor by which the median latency may exceed the
	// baseline before the limit is decreased.
	latencyTolerance = 1.5
	// minDecreaseFactor is the smallest factor of a single decrease, so that one
	// burst or one slow moment does not shut off the service.
	minDecreaseFactor = 0.8
	// overloadFactor is the factor applied after a target rejected a call as
	// overloaded.
	overloadFactor = 0.9
	// baselineRiseWeight is the smoothing factor of the baseline when latency
	// rises. A service that stays slower becomes the new baseline after some 100
	// windows.
	baselineRiseWeight = 0.01
	// baselineFallWeight is the smoothing factor of the baseline when latency falls.
	baselineFallWeight = 0.1
	// minLimitPerSlot is the lower limit per known slot: fewer calls in flight than
	// the targets process concurrently cannot be the cause of queueing.
	minLimitPerSlot = 0.5
	// maxLimitPerSlot is the upper limit per known slot.
	maxLimitPerSlot = 2
	// initialLimit is the initial limit of a service whose slots are unknown.
	initialLimit = 16
	// maxLimit is the upper limit of a service whose slots are unknown.
	maxLimit = 4096
)

// limiter adapts a concurrency limit to latency: it is incremented by one for
// each window in which the limit was in use, and decreased in proportion when
// the median latency rises above the baseline. The median ignores a minority of
// slow targets.
type limiter struct {
	limit       float64
	slots       float64 // known slots of the targets; 0 if unknown
	minimum     float64
	maximum     float64
	baseline    float64 // latency ratio without queueing
	exact       bool    // targets report their processing time, so the baseline is 1
	samples     []float64
	windowStart time.Time
	rejected    bool // a target rejected a call as overloaded
	peak        int  // calls in flight
}

func newLimiter(slots int) limiter {
	l := limiter{limit: initialLimit, minimum: 1, maximum: maxLimit}
	l.setSlots(slots)
	return l
}

// setSlots sets the range of the limit from the slots of the targets. The limit
// is scaled with the slots when targets are added or removed.
func (l *limiter) setSlots(slots int) {
	if slots <= 0 {
		return
	}
	known := float64(slots)
	if l.slots > 0 {
		l.limit *= known / l.slots
	} else {
		l.limit = known
	}
	l.slots = known
	l.minimum = max(minLimitPerSlot*known, 1)
	l.maximum = maxLimitPerSlot * known
	l.limit = max(l.minimum, min(l.limit, l.maximum))
}

func (l *limiter) value() int { return int(l.limit) }

// observe records the ratio of a call's latency to the latency without queueing.
func (l *limiter) observe(ratio float64, exact bool, inFlight int, now time.Time) {
	l.exact = l.exact || exact
	l.peak = max(l.peak, inFlight)
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, ratio)
	}
	l.advance(now)
}

func (l *limiter) overloaded(now time.Time) {
	l.rejected = true
	l.advance(now)
}

// advance ends the measurement window when it is long enough. After a rejection
// by a target it ends without enough samples, because an overloaded service may
// complete no calls.
func (l *limiter) advance(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	enough := len(l.samples) >= limitSamples
	if now.Sub(l.windowStart) < limitWindow || !enough && !l.rejected {
		return
	}
	gradient := 1.0
	if enough {
		gradient = l.gradient()
	}
	l.adapt(gradient)
	l.samples = l.samples[:0]
	l.windowStart = now
	l.rejected = false
	l.peak = 0
}

// gradient returns the factor for the limit that follows from the median latency.
func (l *limiter) gradient() float64 {
	slices.Sort(l.samples)
	median := l.samples[len(l.samples)/2]
	l.updateBaseline(median)
	return max(min(latencyTolerance*l.baseline/max(median, l.baseline), 1), minDecreaseFactor)
}

func (l *limiter) adapt(gradient float64) {
	increase := 0.0
	switch {
	case l.rejected:
		gradient = min(gradient, overloadFactor)
	case l.peak >= l.value()-1:
		increase = 1
	}
	l.limit = l.limit*gradient + increase
	l.limit = max(l.minimum, min(l.limit, l.maximum))
}

func (l *limiter) updateBaseline(median float64) {
	switch {
	case l.exact:
		l.baseline = 1
	case l.baseline == 0:
		l.baseline = median
	case median < l.baseline:
		l.baseline += baselineFallWeight * (median - l.baseline)
	case l.peak < l.value()-1:
		// While the limit is in use, a rise may be caused by queueing.
		l.baseline += baselineRiseWeight * (median - l.baseline)
	}
}
