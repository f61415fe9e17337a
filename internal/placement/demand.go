package placement

import (
	"math"
	"time"
)

const (
	// targetUtilization is the target utilization of an engine's slots. The rest
	// absorbs bursts until another copy is loaded.
	targetUtilization = 0.7
	// raiseDelay is how long the demand must be higher before copies are added, so
	// that a burst of a few seconds does not cause a load.
	raiseDelay = 5 * time.Second
)

// EngineLoad is the load of an engine in the last report of its agent.
type EngineLoad struct {
	Slots int
	// Requests is the number of running and queued requests.
	Requests int
}

// requiredCopies returns the number of copies of each needed model that follows
// from the reported load. Engines without a report are assumed to have the mean
// utilization of the others. The load of an engine counts for each of its models,
// because reports do not distinguish them: a model on the same engine as a busy one
// gets too many copies rather than too few.
func requiredCopies(needs []Need, engines []Engine, busy map[string]EngineLoad) map[Key]int {
	copies := make(map[Key]int, len(needs))
	for _, n := range needs {
		copies[n.Key] = max(MinCopies, copiesFor(n.Key, engines, busy))
	}
	return copies
}

func copiesFor(k Key, engines []Engine, busy map[string]EngineLoad) int {
	var share float64
	var held, heard int
	for i := range engines {
		e := &engines[i]
		if !e.Usable || e.Service != k.Service || !e.has(k.Model) {
			continue
		}
		held++
		if b := busy[e.Name]; b.Slots > 0 {
			heard++
			share += float64(b.Requests) / float64(b.Slots)
		}
	}
	if heard == 0 {
		return 0
	}
	return int(math.Ceil(share / float64(heard) * float64(held) / targetUtilization))
}

// copyTarget is the wanted number of copies of one model, with hysteresis.
type copyTarget struct {
	copies int
	// aboveSince and lower are the times since which the demand has been above or
	// below copies; zero if it is not.
	aboveSince, belowSince time.Time
	// peak is the highest demand since lower.
	peak int
}

// copyTargets follow the demand: up after raiseDelay, down after the quiet time.
type copyTargets map[Key]*copyTarget

// update applies the demand of one pass. A model that no stage needs has no demand.
func (l copyTargets) update(demand map[Key]int, quiet time.Duration, now time.Time) {
	for k, copies := range demand {
		if l[k] == nil {
			l[k] = &copyTarget{copies: min(copies, MinCopies)}
		}
	}
	for k, v := range l {
		v.update(demand[k], quiet, now)
		if v.copies == 0 {
			delete(l, k)
		}
	}
}

func (l *copyTarget) update(copies int, quiet time.Duration, now time.Time) {
	if copies <= l.copies {
		l.aboveSince = time.Time{}
	} else if l.aboveSince.IsZero() {
		l.aboveSince = now
	}
	if copies >= l.copies {
		l.belowSince, l.peak = time.Time{}, 0
	} else if l.belowSince.IsZero() {
		l.belowSince = now
	}
	switch {
	case copies > l.copies && now.Sub(l.aboveSince) >= raiseDelay:
		l.copies, l.aboveSince = copies, time.Time{}
	case copies < l.copies:
		l.peak = max(l.peak, copies)
		if now.Sub(l.belowSince) >= quiet {
			l.copies, l.belowSince, l.peak = l.peak, time.Time{}, 0
		}
	}
}

// copies returns the wanted copies by service and model.
func (l copyTargets) copies() map[Key]int {
	m := make(map[Key]int, len(l))
	for k, v := range l {
		m[k] = v.copies
	}
	return m
}
