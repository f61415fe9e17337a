package admission

import (
	"slices"
	"time"
)

const (
	// limitWindow and limitSamples must both be reached to end a measurement.
	// The median of 32 samples varies by less than latencyTolerance even when
	// durations are distributed exponentially.
	limitWindow  = 250 * time.Millisecond
	limitSamples = 32
	// maxSamples bounds the memory of a measurement; later samples are left out.
	maxSamples = 512
	// latencyTolerance is how far the median latency may rise above the base
	// before the limit falls.
	latencyTolerance = 1.5
	// maxDecrease bounds one fall of the limit, so that one burst or one slow
	// moment doesn't close the service.
	maxDecrease = 0.8
	// overloadDecrease is the fall after a target refused a call as overloaded.
	overloadDecrease = 0.9
	// baseRise is how fast the base follows a rise of latency. A service that
	// stays slower is accepted as the new base after some 100 measurements.
	baseRise = 0.01
	// baseFall is how fast the base follows a fall of latency.
	baseFall = 0.1
	// leastPerSlot bounds the limit from below by the known slots: less in flight
	// than the targets work on at once can't be what makes them queue.
	leastPerSlot = 0.5
	// mostPerSlot bounds the limit from above.
	mostPerSlot = 2
	// unknownSlots is the first limit of a service whose slots aren't known.
	unknownSlots = 16
	// maximumLimit bounds the limit of a service whose slots aren't known.
	maximumLimit = 4096
)

// limiter adapts a concurrency limit to latency: it adds one for each window in
// which the limit was in use, and falls in proportion when the median latency
// rises above the base. The median ignores a minority of slow targets.
type limiter struct {
	limit   float64
	slots   float64 // known slots of the targets; 0 when unknown
	minimum float64
	maximum float64
	base    float64 // ratio when nothing queues
	exact   bool    // whether targets say how long they work, so that the base is 1
	ratios  []float64
	started time.Time
	refused bool // a target refused a call as overloaded
	peak    int  // calls in flight
}

func newLimiter(slots int) limiter {
	l := limiter{limit: unknownSlots, minimum: 1, maximum: maximumLimit}
	l.setSlots(slots)
	return l
}

// setSlots bounds the limit by what the targets can work on. The limit keeps its
// proportion to the slots when targets come or go.
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
	l.minimum = max(leastPerSlot*known, 1)
	l.maximum = mostPerSlot * known
	l.limit = max(l.minimum, min(l.limit, l.maximum))
}

func (l *limiter) value() int { return int(l.limit) }

// observe takes the ratio of a call's latency to that without queueing.
func (l *limiter) observe(ratio float64, exact bool, inFlight int, now time.Time) {
	l.exact = l.exact || exact
	l.peak = max(l.peak, inFlight)
	if len(l.ratios) < maxSamples {
		l.ratios = append(l.ratios, ratio)
	}
	l.advance(now)
}

func (l *limiter) overloaded(now time.Time) {
	l.refused = true
	l.advance(now)
}

// advance ends the measurement when it is long enough. Refusals end it without
// enough results, because a full service may give none.
func (l *limiter) advance(now time.Time) {
	if l.started.IsZero() {
		l.started = now
	}
	enough := len(l.ratios) >= limitSamples
	if now.Sub(l.started) < limitWindow || !enough && !l.refused {
		return
	}
	gradient := 1.0
	if enough {
		gradient = l.gradient()
	}
	l.adapt(gradient)
	l.ratios = l.ratios[:0]
	l.started = now
	l.refused = false
	l.peak = 0
}

// gradient is the part of the limit that the median latency leaves.
func (l *limiter) gradient() float64 {
	slices.Sort(l.ratios)
	median := l.ratios[len(l.ratios)/2]
	l.follow(median)
	return max(min(latencyTolerance*l.base/max(median, l.base), 1), maxDecrease)
}

func (l *limiter) adapt(gradient float64) {
	increase := 0.0
	switch {
	case l.refused:
		gradient = min(gradient, overloadDecrease)
	case l.peak >= l.value()-1:
		increase = 1
	}
	l.limit = l.limit*gradient + increase
	l.limit = max(l.minimum, min(l.limit, l.maximum))
}

func (l *limiter) follow(median float64) {
	switch {
	case l.exact:
		l.base = 1
	case l.base == 0:
		l.base = median
	case median < l.base:
		l.base += baseFall * (median - l.base)
	case l.peak < l.value()-1:
		// While the limit is in use, a rise may come from queueing.
		l.base += baseRise * (median - l.base)
	}
}
