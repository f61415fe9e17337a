package budget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// earnedRatio is the part of the ratio that requests earn. The rest covers what gateways
	// hold at the start of a window, and requests that are counted later here than elsewhere.
	earnedRatio = 0.8
	// earnedLifetime is the time constant with which unused earnings end, so that a service that
	// has worked for long can't be met with more than a few seconds' worth of repeats at once.
	earnedLifetime = 2 * time.Second
	// reservePart is the part of the slack that the reserves of all gateways may hold; the other
	// part refills them within a window.
	reservePart = 0.5
	// urgentPart is the part of a reserve that is kept for urgent repeats.
	urgentPart = 0.5
	// memberRetention is how long gateways that are no longer counted still take their part.
	// It is longer than a window, and than control VMs need to count anew after a restart.
	memberRetention = 15 * time.Second
)

// SharedOptions configures SharedRetries. All fields are required.
type SharedOptions struct {
	// Ratio and Slack limit the repeats of all gateways together in any Window: the ratio times
	// the requests, and the slack.
	Ratio  float64
	Slack  float64 // repeats
	Window time.Duration
	// Seed of the random thresholds; a different one for each gateway and start.
	Seed uint64
}

// SharedRetries manages one gateway's part of retry budgets that all gateways share.
//
// A gateway earns repeats by its own requests, and unused ones end within seconds: over all
// gateways they depend on the traffic alone, wherever it comes in. Beside that it has an equal
// part of the slack as a reserve. Nothing is held after a start, so that restarts add nothing.
//
// With many gateways these parts are fractions of a repeat. A gateway repeats when what it
// holds reaches a random threshold between 0 and 1, and owes the rest. On average, and closely
// over many gateways, the repeats are what all of them hold. SharedRetries is safe for
// concurrent use.
type SharedRetries struct {
	o        SharedOptions
	mu       sync.Mutex
	rng      *rand.Rand
	members  int // gateways that share the slack; 0 if unknown
	countAt  time.Time
	services map[string]*sharedPart
}

// sharedPart is this gateway's part of the budget of one service, in repeats.
type sharedPart struct {
	earned    float64
	reserve   float64
	owed      float64
	threshold float64
	updatedAt time.Time
}

// NewSharedRetries returns a SharedRetries that holds nothing.
func NewSharedRetries(o SharedOptions) *SharedRetries {
	return &SharedRetries{o: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), services: map[string]*sharedPart{}}
}

// SetMembers records the number of gateways, this one included, that a control VM counts. The
// highest count of the last memberRetention holds. It reports whether that has changed.
func (r *SharedRetries) SetMembers(n int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n <= 0 {
		return false
	}
	if n < r.members && now.Sub(r.countAt) < memberRetention {
		return false
	}
	changed := n != r.members
	if changed {
		for _, s := range r.services {
			r.update(s, now)
		}
	}
	r.members, r.countAt = n, now
	return changed
}

// Members returns the number of gateways that share the slack; 0 if it isn't known yet.
func (r *SharedRetries) Members() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members
}

// Request records a request to a service, which earns a part of a repeat.
func (r *SharedRetries) Request(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service, now)
	s.earn(r.o.Ratio * earnedRatio)
}

// Repeat decides whether a request may be sent to a service once more, and if so spends what
// that costs. An urgent repeat is one without which the request fails; others may come back.
func (r *SharedRetries) Repeat(service string, urgent bool, now time.Time) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service, now)
	usable := s.earned + s.reserve
	if !urgent {
		usable -= min(s.reserve, urgentPart*r.reserveLimit())
	}
	if s.owed > 0 || usable < s.threshold {
		return newDecision(ReasonServiceBudget)
	}
	s.spend()
	s.threshold = r.newThreshold()
	return newDecision("")
}

// Held returns what this gateway holds for a service, less what it owes, in repeats.
func (r *SharedRetries) Held(service string, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service, now)
	return s.earned + s.reserve - s.owed
}

func (r *SharedRetries) service(name string, now time.Time) *sharedPart {
	s, ok := r.services[name]
	if !ok {
		s = &sharedPart{threshold: r.newThreshold(), updatedAt: now}
		r.services[name] = s
	}
	r.update(s, now)
	return s
}

// update lets earnings end and refills the reserve.
func (r *SharedRetries) update(s *sharedPart, now time.Time) {
	passed := max(now.Sub(s.updatedAt), 0)
	s.updatedAt = now
	s.earned *= math.Exp(-passed.Seconds() / earnedLifetime.Seconds())
	limit := r.reserveLimit()
	if limit <= 0 {
		return
	}
	refill := (1 - reservePart) / reservePart * limit * passed.Seconds() / r.o.Window.Seconds()
	repaid := min(refill, s.owed)
	s.owed -= repaid
	s.reserve = min(s.reserve+refill-repaid, limit)
}

// reserveLimit returns what the reserve of one gateway holds at most.
func (r *SharedRetries) reserveLimit() float64 {
	if r.members == 0 {
		return 0
	}
	return reservePart * r.o.Slack / float64(r.members)
}

// newThreshold returns a threshold in (0, 1].
func (r *SharedRetries) newThreshold() float64 { return 1 - r.rng.Float64() }

// earn adds earnings, which first pay what is owed.
func (s *sharedPart) earn(amount float64) {
	repaid := min(amount, s.owed)
	s.owed -= repaid
	s.earned += amount - repaid
}

// spend pays one repeat, by earnings first, because they end.
func (s *sharedPart) spend() {
	cost := 1.0
	paid := min(cost, s.earned)
	s.earned -= paid
	cost -= paid
	paid = min(cost, s.reserve)
	s.reserve -= paid
	s.owed = cost - paid
}
