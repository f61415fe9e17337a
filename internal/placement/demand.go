package placement

import (
	"math"
	"time"
)

const (
	// targetBusy is the share of its slots that an engine should use on average.
	// The rest absorbs bursts until another copy is loaded.
	targetBusy = 0.7
	// riseTime is how long the demand must be higher before copies are added, so
	// that a burst of a few seconds doesn't cost a load.
	riseTime = 5 * time.Second
)

// Busy is how much of an engine's capacity is in use, as its agent last reported.
type Busy struct {
	Slots int
	// Work is the number of requests that run or wait there.
	Work int
}

// demanded returns the copies of each needed model that the reported work asks
// for. Engines without a report count as busy as the others. The work of an
// engine counts for each of its models, because reports don't tell them apart:
// a model beside a busy one gets too many copies rather than too few.
func demanded(needs []Need, engines []Engine, busy map[string]Busy) map[Key]int {
	copies := make(map[Key]int, len(needs))
	for _, n := range needs {
		copies[n.Key] = max(MinCopies, copiesFor(n.Key, engines, busy))
	}
	return copies
}

func copiesFor(k Key, engines []Engine, busy map[string]Busy) int {
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
			share += float64(b.Work) / float64(b.Slots)
		}
	}
	if heard == 0 {
		return 0
	}
	return int(math.Ceil(share / float64(heard) * float64(held) / targetBusy))
}

// level is the number of copies wanted of one model, with hysteresis.
type level struct {
	copies int
	// higher and lower are since when the demand differs; zero when it doesn't.
	higher, lower time.Time
	// peak is the highest demand since lower.
	peak int
}

// levels follow the demand: up after riseTime, down after the quiet time.
type levels map[Key]*level

// update takes the demand of one pass. A model that no stage needs has none.
func (l levels) update(demand map[Key]int, quiet time.Duration, now time.Time) {
	for k, copies := range demand {
		if l[k] == nil {
			l[k] = &level{copies: min(copies, MinCopies)}
		}
	}
	for k, v := range l {
		v.update(demand[k], quiet, now)
		if v.copies == 0 {
			delete(l, k)
		}
	}
}

func (l *level) update(copies int, quiet time.Duration, now time.Time) {
	if copies <= l.copies {
		l.higher = time.Time{}
	} else if l.higher.IsZero() {
		l.higher = now
	}
	if copies >= l.copies {
		l.lower, l.peak = time.Time{}, 0
	} else if l.lower.IsZero() {
		l.lower = now
	}
	switch {
	case copies > l.copies && now.Sub(l.higher) >= riseTime:
		l.copies, l.higher = copies, time.Time{}
	case copies < l.copies:
		l.peak = max(l.peak, copies)
		if now.Sub(l.lower) >= quiet {
			l.copies, l.lower, l.peak = l.peak, time.Time{}, 0
		}
	}
}

// copies returns the wanted copies by service and model.
func (l levels) copies() map[Key]int {
	m := make(map[Key]int, len(l))
	for k, v := range l {
		m[k] = v.copies
	}
	return m
}
