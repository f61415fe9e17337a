package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// HealthOptions bounds passive ejection. Zero fields take the defaults.
type HealthOptions struct {
	// Failures in a row that eject a target; 5.
	ConsecutiveFailures int
	// Outlier is the multiple of the pool's median latency above which a target
	// is ejected as slow; 3.
	LatencyOutlierFactor float64
	// MinSamples is the number of results before a target's average is judged,
	// and the number of outliers in a row that eject it; 5.
	MinSamples int
	// MaxShare bounds the ejected share of the available targets; 0.5. The
	// number is rounded down, so that a pool never loses its only target.
	MaxEjectedShare float64
	// Ejection is the first ejection time; it doubles with each further one; 2 s.
	BaseEjectionTime time.Duration
	// MaxEjection bounds the ejection time; 60 s.
	MaxEjectionTime time.Duration
	// Probes that must succeed before an ejected target returns; 2.
	RequiredProbes int
}

func (o HealthOptions) withDefaults() HealthOptions {
	if o.ConsecutiveFailures <= 0 {
		o.ConsecutiveFailures = 5
	}
	if o.LatencyOutlierFactor <= 1 {
		o.LatencyOutlierFactor = 3
	}
	if o.MinSamples <= 0 {
		o.MinSamples = 5
	}
	if o.MaxEjectedShare <= 0 || o.MaxEjectedShare > 1 {
		o.MaxEjectedShare = 0.5
	}
	if o.BaseEjectionTime <= 0 {
		o.BaseEjectionTime = 2 * time.Second
	}
	if o.MaxEjectionTime < o.BaseEjectionTime {
		o.MaxEjectionTime = max(time.Minute, o.BaseEjectionTime)
	}
	if o.RequiredProbes <= 0 {
		o.RequiredProbes = 2
	}
	return o
}

// chanceBound is the probability below which failures in a row are not taken
// for chance.
const chanceBound = 1e-4

// EjectionCause says in snake case why a target is ejected.
type EjectionCause string

// Causes of an ejection.
const (
	CauseFailures EjectionCause = "consecutive_failures"
	CauseSlow     EjectionCause = "latency_outlier"
)

type health struct {
	consecutive int // failures in a row
	slow        int // outliers in a row
	ejected     bool
	cause       EjectionCause
	ejections   int // raises the ejection time
	until       time.Time
	probing     bool // a probe is in flight
	passed      int  // successful probes
	restoredAt  time.Time
}

// duration returns the time of the next ejection.
func (h *health) duration(o HealthOptions) time.Duration {
	d := o.BaseEjectionTime
	for range h.ejections {
		d = min(2*d, o.MaxEjectionTime)
	}
	return d
}

// ejectable reports whether one more ejection keeps the pool within the cap.
func (p *Pool) ejectable() bool {
	return p.ejected+1 <= p.cap()
}

// cap returns how many targets may be ejected.
func (p *Pool) cap() int {
	return int(p.health.MaxEjectedShare * float64(p.available))
}

func (p *Pool) eject(t *target, cause EjectionCause, now time.Time) {
	h := &t.health
	if h.ejected || !t.available() || !p.ejectable() {
		return
	}
	if now.Sub(h.restoredAt) > p.health.MaxEjectionTime {
		h.ejections = 0
	}
	h.ejected = true
	h.cause = cause
	p.extend(t, now)
	p.rebuild()
}

// extend starts a further ejection time.
func (p *Pool) extend(t *target, now time.Time) {
	h := &t.health
	h.until = now.Add(h.duration(p.health))
	h.ejections++
	h.passed = 0
	if h.until.Before(p.nextProbe) {
		p.nextProbe = h.until
	}
}

// judgeFailures ejects a target after failures in a row. When much of the pool
// fails, such a row may be chance, and ejecting targets would only take capacity
// away; then as many are needed as make chance unlikely.
func (p *Pool) judgeFailures(t *target, now time.Time) {
	if _, ok := p.policy.(Adaptive); !ok || t.health.ejected {
		return
	}
	n := t.health.consecutive
	if n >= p.health.ConsecutiveFailures && math.Pow(p.failures, float64(n)) < chanceBound {
		p.eject(t, CauseFailures, now)
	}
}

// judgeResult ejects a target after outliers in a row. They count beside the
// average because a target that is avoided gets too few calls to move it.
func (p *Pool) judgeResult(t *target, outlier bool, now time.Time) {
	if !outlier {
		t.health.slow = 0
		return
	}
	t.health.slow++
	if _, ok := p.policy.(Adaptive); ok && t.health.slow >= p.health.MinSamples {
		p.eject(t, CauseSlow, now)
	}
}

// probeOpen ends a probe that told nothing about the target. The next one
// follows after the shortest ejection time.
func (p *Pool) probeOpen(t *target, probe bool, now time.Time) {
	if probe {
		t.health.probing = false
		t.health.until = now.Add(p.health.BaseEjectionTime)
	}
}

// restore ends an ejection. The averages restart at the pool's median, so that
// the samples that led to the ejection don't repeat it.
func (p *Pool) restore(t *target, now time.Time) {
	h := &t.health
	h.ejected = false
	h.consecutive = 0
	h.slow = 0
	h.passed = 0
	h.restoredAt = now
	t.failures = 0
	t.samples = 0
	t.slowness = p.median
	if t.Ramp != nil {
		t.Ramp.Returned(now)
		p.sharesAt = time.Time{}
	}
}

// probeDone judges a finished probe and reports whether the target returned.
func (p *Pool) probeDone(t *target, ok bool, now time.Time) {
	h := &t.health
	h.probing = false
	if !h.ejected {
		return
	}
	if !ok {
		p.extend(t, now)
		return
	}
	h.passed++
	if h.passed < p.health.RequiredProbes {
		h.until = now
		p.nextProbe = time.Time{}
		return
	}
	p.restore(t, now)
	p.rebuild()
}

// enforceCap returns targets early when the pool has shrunk, the one that would
// be probed next first.
func (p *Pool) enforceCap(now time.Time) {
	for p.ejected > p.cap() {
		var first *target
		for _, t := range p.order {
			if t.health.ejected && t.available() && (first == nil || t.health.until.Before(first.health.until)) {
				first = t
			}
		}
		p.restore(first, now)
		p.ejected--
	}
}

// judge recomputes the median latency and ejects outliers, slowest first.
func (p *Pool) judge(now time.Time) {
	p.scratch = p.scratch[:0]
	for _, t := range p.order {
		if t.available() && !t.health.ejected && t.samples >= p.health.MinSamples {
			p.scratch = append(p.scratch, t)
		}
	}
	if len(p.scratch) == 0 {
		return
	}
	slices.SortFunc(p.scratch, func(a, b *target) int { return cmp.Compare(b.slowness, a.slowness) })
	// The lower median, so that one of two targets can be an outlier.
	p.median = max(p.scratch[len(p.scratch)/2].slowness, minSlowness)
	for _, t := range p.scratch {
		if t.slowness <= p.health.LatencyOutlierFactor*p.median {
			break
		}
		p.eject(t, CauseSlow, now)
	}
}
