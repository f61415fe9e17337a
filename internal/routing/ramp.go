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

// refreshShares computes the share of each usable target relative to the highest one. Without
// ramps all of them are 1.
func (p *Pool) refreshShares(now time.Time) {
	if p.ramps == 0 || !p.sharesAt.IsZero() && now.Sub(p.sharesAt) < sharesPeriod {
		return
	}
	p.sharesAt = now
	sum, n, highest := 0.0, 0, 0.0
	for _, t := range p.order {
		t.share, t.warming = 1, false
		if !t.available() || t.health.ejected {
			continue
		}
		if t.Ramp != nil {
			share, rising := t.Ramp.Share(now)
			t.share, t.warming = min(max(share, minShares), 1), rising
		}
		sum += t.share
		highest = max(highest, t.share)
		n++
	}
	if n == 0 || sum == float64(n) {
		return
	}
	raise := 0.0
	if mean := sum / float64(n); mean < minMeanShare {
		raise = (minMeanShare - mean) / (1 - mean)
	}
	highest += raise * (1 - highest)
	for _, t := range p.order {
		if t.available() && !t.health.ejected {
			t.share = (t.share + raise*(1-t.share)) / highest
		}
	}
}

// shared returns the load of a target as if it were at its whole share.
func (t *target) shared(meanOthers float64, now time.Time) float64 {
	return t.load(meanOthers, now) / t.share
}

// noteReturns tells the ramps of targets that take calls again, and counts the ramps.
func (p *Pool) noteReturns(now time.Time) {
	p.ramps = 0
	p.sharesAt = time.Time{}
	for _, t := range p.order {
		if t.Ramp != nil {
			p.ramps++
		} else {
			t.share, t.warming = 1, false
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
	if t := c.ref; t != nil && t.epoch == c.epoch && t.Ramp != nil {
		p.observe(t, c, s, now)
	}
	c.begun = true
	return c
}

// observe tells the ramp of a target of an answer, or of a call that has gone on for long.
func (p *Pool) observe(t *target, c Choice, o Outcome, now time.Time) {
	late := lateFactor * p.usual
	switch o := o.(type) {
	case Success:
		if !c.begun {
			t.Ramp.Observe(c.sent, !p.isLate(t, ratio(o.Latency, o.Expected)), now)
		}
	case Failure, Overloaded:
		t.Ramp.Observe(c.sent, false, now)
	case Canceled:
		if !c.begun && o.Expected > 0 && p.usual > 0 && ratio(o.Ran, o.Expected) > late {
			t.Ramp.Observe(c.sent, false, now)
		}
	case Draining, UnresponsiveConnection:
	}
}

// isLate judges the latency of an answer over the expected one by what is usual at targets with
// their whole share, and learns from it.
func (p *Pool) isLate(t *target, r float64) bool {
	limit := lateFactor * p.usual
	late := p.usual > 0 && r > limit
	switch {
	case t.share < 1:
	case p.usual == 0:
		p.usual = r
	default:
		p.usual += usualWeight * (min(r, limit) - p.usual)
	}
	return late
}
