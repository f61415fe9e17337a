package routing

import "time"

const (
	// sharesPeriod is how often the shares of targets that warm up are computed.
	sharesPeriod = 20 * time.Millisecond
	// minMeanShare is the mean share of the usable targets below which all are raised: the work
	// has to go somewhere, and the targets at their whole share would be flooded in the place
	// of the others.
	minMeanShare = 0.5
	// lateFactor is the multiple of the usual latency above which an answer is late for a
	// target that warms up. Latencies that vary by a factor of two are usual.
	lateFactor = 3
	// usualWeight is the weight of one answer in the usual latency.
	usualWeight = 0.02
)

// refreshShares computes the share of each usable target relative to the highest one, from its
// ramp and its speed. Without these all of them are 1.
func (p *Pool) refreshShares(now time.Time) {
	if p.shared == 0 || !p.sharesAt.IsZero() && now.Sub(p.sharesAt) < sharesPeriod {
		return
	}
	p.sharesAt = now
	sum, n, equal, whole := 0.0, 0, true, 0.0
	for _, t := range p.order {
		t.share, t.speed, t.warming, t.reduced = 1, 1, false, false
		if !t.available() || t.health.ejected {
			continue
		}
		if t.Ramp != nil {
			share, rising := t.Ramp.Share(now)
			t.share, t.warming = min(max(share, minShares), 1), rising
		}
		if t.Speed != nil {
			t.speed = t.Speed.Speed()
		}
		equal = equal && t.share == 1 && t.speed == 1
		whole = max(whole, t.share)
		sum += t.share
		n++
	}
	if n == 0 || equal {
		return
	}
	raise := 0.0
	if mean := sum / float64(n); mean < minMeanShare {
		raise = (minMeanShare - mean) / (1 - mean)
	}
	highest := 0.0
	for _, t := range p.order {
		if t.available() && !t.health.ejected {
			t.reduced = t.share < whole
			t.share = (t.share + raise*(1-t.share)) * t.speed
			highest = max(highest, t.share)
		}
	}
	for _, t := range p.order {
		if t.available() && !t.health.ejected {
			t.share /= highest
		}
	}
}

// unexplained returns the average latency without what the known speed explains, which is in the
// share already. The average of a target with few calls is near the median whatever its speed is,
// so that it is moved no further than to the median.
func (p *Pool) unexplained(slowness, speed float64) float64 {
	switch {
	case speed < 1:
		return max(slowness*speed, min(slowness, p.median))
	case speed > 1:
		return min(slowness*speed, max(slowness, p.median))
	}
	return slowness
}

// shared returns the load of a target as if it were at its whole share.
func (t *target) shared(meanOthers float64, now time.Time) float64 {
	return t.load(meanOthers, now) / t.share
}

// noteReturns tells the ramps of targets that take calls again, and counts the targets whose share
// may differ.
func (p *Pool) noteReturns(now time.Time) {
	p.shared = 0
	p.sharesAt = time.Time{}
	for _, t := range p.order {
		if t.Ramp != nil || t.Speed != nil {
			p.shared++
		} else {
			t.share, t.speed, t.warming, t.reduced = 1, 1, false, false
		}
		switch {
		case !t.available():
			if t.awayAt.IsZero() {
				t.awayAt = now
			}
		case !t.awayAt.IsZero():
			if now.Sub(t.awayAt) >= returnTime && t.Ramp != nil {
				t.Ramp.Returned(now)
			}
			t.awayAt = time.Time{}
		}
	}
}

// Begun reports that the answer to a call has begun, which may be long before its end, and when.
// It returns the choice to finish.
func (p *Pool) Begun(c Choice, s Success, now time.Time) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := c.ref; t != nil && t.epoch == c.epoch {
		p.observe(t, c, s, now)
	}
	c.begun = true
	return c
}

// observe tells the ramp and the speed of a target of an answer, or of a call that has gone on for
// long.
func (p *Pool) observe(t *target, c Choice, o Outcome, now time.Time) {
	if t.Ramp == nil && t.Speed == nil {
		return
	}
	good := false
	switch o := o.(type) {
	case Success:
		if c.begun {
			return
		}
		r := ratio(o.Latency, o.Expected)
		if t.Speed != nil && p.usual > 0 && !t.reduced && !t.warming {
			t.Speed.Observe(r/p.usual, now)
		}
		good = !p.isLate(t, r)
	case Failure, Overloaded:
	case Canceled:
		if c.begun || o.Expected <= 0 || p.usual <= 0 || ratio(o.Ran, o.Expected) <= lateFactor*p.usual {
			return
		}
	case Draining, UnresponsiveConnection:
		return
	}
	if t.Ramp != nil {
		t.Ramp.Observe(c.sent, good, now)
	}
}

// isLate judges the latency of an answer over the expected one by what is usual at targets with
// their whole share, and learns from it.
func (p *Pool) isLate(t *target, r float64) bool {
	limit := lateFactor * p.usual
	late := p.usual > 0 && r > limit
	switch {
	case t.reduced:
	case p.usual == 0:
		p.usual = r
	default:
		p.usual += usualWeight * (min(r, limit) - p.usual)
	}
	return late
}
