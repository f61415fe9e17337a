package gateway

import (
	"sync"
	"time"
)

const (
	// minMisses is the number of missed results from which on their share is judged.
	minMisses = 3
	// maxMissShare is the share of early releases that engines may miss: the stages of their
	// requests run again.
	maxMissShare = 0.1
	// holdTime is how long results are held to the end after more were missed.
	holdTime = 5 * time.Second
	// releaseWindow is the number of early releases after which older ones count half.
	releaseWindow = 100
)

// earlyRelease decides whether results are released before the answer of an engine begins.
// Engines without free slots fetch them late. It is safe for concurrent use.
type earlyRelease struct {
	mu               sync.Mutex
	released, missed float64
	heldUntil        time.Time
}

// allowed reports whether results may be released now.
func (e *earlyRelease) allowed(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.Before(e.heldUntil)
}

// recordRelease records an early release.
func (e *earlyRelease) recordRelease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released++
	if e.released >= releaseWindow {
		e.released /= 2
		e.missed /= 2
	}
}

// recordMiss records that an engine missed results that were released early. It reports
// whether results are held from now on.
func (e *earlyRelease) recordMiss(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.missed++
	if e.missed < minMisses || e.missed <= maxMissShare*e.released {
		return false
	}
	e.released, e.missed, e.heldUntil = 0, 0, now.Add(holdTime)
	return true
}
