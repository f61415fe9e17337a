package admission

import (
	"slices"
	"time"
)

const (
	// limitWindow and limitSamples end a measurement of the limit.
	limitWindow  = 250 * time.Millisecond
	limitSamples = 64
	// minLimitSamples keeps single calls from moving the limit.
	minLimitSamples = 5
	// latencyTolerance is how far the median latency may rise above the base
	// before the limit falls.
	latencyTolerance = 1.25
	// maxDecrease bounds one fall of the limit.
	maxDecrease = 0.7
	// baseRise is how fast the base follows a rise of latency. A service that
	// stays slower is accepted as the new base after some 100 windows.
	baseRise = 0.01
	// baseFall is how fast the base follows a fall of latency.
	baseFall = 0.5
	// minimumLimit keeps latency samples coming.
	minimumLimit = 1
	// limitPerSlot bounds the limit by the known slots.
	limitPerSlot = 2
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
	maximum float64
	base    float64 // latency over expected latency when nothing queues
	ratios  []float64
	started time.Time
	refused bool // a target refused a call as overloaded
	peak    int  // calls in flight
}

func newLimiter(slots int) limiter {
	l := limiter{limit: unknownSlots, maximum: maximumLimit, ratios: make([]float64, 0, limitSamples)}
	l.setSlots(slots)
	return l
}

// setSlots bounds the limit by what the targets can work on.
func (l *limiter) setSlots(slots int) {
	if slots <= 0 {
		return
	}
	if l.base == 0 {
		l.limit = float64(slots)
	}
	l.maximum = float64(slots * limitPerSlot)
	l.limit = min(l.limit, l.maximum)
}

func (l *limiter) value() int { return int(l.limit) }

func (l *limiter) observe(ratio float64, inFlight int, now time.Time) {
	l.peak = max(l.peak, inFlight)
	l.ratios = append(l.ratios, ratio)
	l.advance(now)
}

func (l *limiter) overloaded(now time.Time) {
	l.refused = true
	l.advance(now)
}

func (l *limiter) advance(now time.Time) {
	if l.started.IsZero() {
		l.started = now
	}
	full := len(l.ratios) >= limitSamples
	if !full && (now.Sub(l.started) < limitWindow || len(l.ratios) < minLimitSamples) {
		return
	}
	l.adapt()
	l.ratios = l.ratios[:0]
	l.started = now
	l.refused = false
	l.peak = 0
}

func (l *limiter) adapt() {
	slices.Sort(l.ratios)
	median := l.ratios[len(l.ratios)/2]
	l.follow(median)
	gradient := min(latencyTolerance*l.base/max(median, l.base), 1)
	if l.refused {
		gradient = min(gradient, 0.9)
	}
	increase := 0.0
	if l.peak >= l.value()-1 && !l.refused {
		increase = 1
	}
	l.limit = l.limit*max(gradient, maxDecrease) + increase
	l.limit = max(minimumLimit, min(l.limit, l.maximum))
}

func (l *limiter) follow(median float64) {
	switch {
	case l.base == 0:
		l.base = median
	case median < l.base:
		l.base += baseFall * (median - l.base)
	default:
		l.base += baseRise * (median - l.base)
	}
}
