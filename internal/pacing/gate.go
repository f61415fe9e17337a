package pacing

import (
	"sync"
	"time"
)

const (
	// gateBurstTime is the time for which places that nobody takes are kept.
	gateBurstTime = 2 * time.Second
	// urgentShare is the part of the kept places that is left to more urgent requests.
	urgentShare = 0.5
)

// Gate admits requests to a service all of whose targets name limits, before work is spent on
// their stages: no more than the targets take from this gateway, urgent ones first. It is safe
// for concurrent use.
type Gate struct {
	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
}

// NewGate returns a Gate that has places for requests of any rank.
func NewGate() *Gate { return &Gate{} }

// Admit reports whether a request is admitted, and if not, after which time it would be.
// perSecond is what the targets take from this gateway, and slack is how far the request is from
// the most urgent rank, 0, up to the least urgent one, 1.
func (g *Gate) Admit(perSecond, slack float64, now time.Time) (ok bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	burst := max(perSecond*gateBurstTime.Seconds(), 1)
	if g.updatedAt.IsZero() {
		g.tokens = 1 + (burst-1)*urgentShare // as if there were requests of all ranks
	} else {
		g.tokens = min(g.tokens+now.Sub(g.updatedAt).Seconds()*perSecond, burst)
	}
	g.updatedAt = now
	need := 1 + (burst-1)*urgentShare*slack
	switch {
	case g.tokens >= need:
		g.tokens--
		return true, 0
	case perSecond <= 0:
		return false, 0
	}
	return false, seconds((need - g.tokens) / perSecond)
}
