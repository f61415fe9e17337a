package admission

import (
	"sync"
	"time"
)

// CustomerLimits are the limits of one customer at this entry. A zero field means
// no limit.
type CustomerLimits struct {
	MaxConcurrent int
	Rate          float64 // requests per second
}

// burstTime is the burst of the token bucket, expressed as time at the customer's
// rate.
const burstTime = time.Second

// CustomerLimiter limits the rate and the concurrent requests of each customer. It
// stores state only for customers that were active within the last seconds.
type CustomerLimiter struct {
	mu     sync.Mutex
	active map[string]*usage
	idle   idleList
}

type usage struct {
	inFlight     int
	tokens       float64
	refilledAt   time.Time // last refill of tokens
	rate         float64
	idleSequence uint64
}

// NewCustomerLimiter returns a CustomerLimiter without state.
func NewCustomerLimiter() *CustomerLimiter {
	return &CustomerLimiter{active: map[string]*usage{}}
}

// Acquire admits and counts one request of a customer, or rejects it if it exceeds
// the limits.
func (c *CustomerLimiter) Acquire(customer string, l CustomerLimits, now time.Time) (Refused, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictIdle(now)
	u, ok := c.active[customer]
	if !ok {
		u = &usage{tokens: burst(l), refilledAt: now}
		c.active[customer] = u
		c.idle.add(customer, &u.idleSequence, now)
	}
	if l.MaxConcurrent > 0 && u.inFlight >= l.MaxConcurrent {
		return Refused{Reason: ReasonCustomerConcurrency, RetryAfter: burstTime}, false
	}
	if wait, ok := u.take(l, now); !ok {
		return Refused{Reason: ReasonCustomerRate, RetryAfter: wait}, false
	}
	u.inFlight++
	u.idleSequence = 0
	return Refused{}, true
}

// Release ends a request that Acquire has admitted.
func (c *CustomerLimiter) Release(customer string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, ok := c.active[customer]; ok {
		u.inFlight = max(u.inFlight-1, 0)
		if u.inFlight == 0 {
			c.idle.add(customer, &u.idleSequence, now)
		}
	}
	c.evictIdle(now)
}

// Active returns the number of customers with state.
func (c *CustomerLimiter) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

func (c *CustomerLimiter) evictIdle(now time.Time) {
	for range evictionsPerCall {
		name, sequence, ok := c.idle.next(now)
		if !ok {
			return
		}
		u, ok := c.active[name]
		switch {
		case !ok || u.idleSequence != sequence:
		case u.isFull(now):
			delete(c.active, name)
		default:
			c.idle.add(name, &u.idleSequence, now)
		}
	}
}

// isFull reports whether the rate bucket has refilled. Evicting the state earlier
// would give a customer with a low rate a full bucket every idleTime.
func (u *usage) isFull(now time.Time) bool {
	return u.tokens+u.rate*now.Sub(u.refilledAt).Seconds() >= burst(CustomerLimits{Rate: u.rate})
}

func burst(l CustomerLimits) float64 {
	return max(l.Rate*burstTime.Seconds(), 1)
}

func (u *usage) take(l CustomerLimits, now time.Time) (time.Duration, bool) {
	if l.Rate <= 0 {
		return 0, true
	}
	u.rate = l.Rate
	u.tokens = min(u.tokens+l.Rate*max(now.Sub(u.refilledAt), 0).Seconds(), burst(l))
	u.refilledAt = now
	if u.tokens < 1 {
		return time.Duration((1 - u.tokens) / l.Rate * float64(time.Second)), false
	}
	u.tokens--
	return 0, true
}
