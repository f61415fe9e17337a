package admission

import (
	"sync"
	"time"
)

// CustomerLimits bounds one customer at this entry. Zero fields don't bound.
type CustomerLimits struct {
	MaxConcurrent int
	Rate          float64 // requests per second
}

// burstTime is how many seconds of its rate a customer may use at once.
const burstTime = time.Second

// CustomerLimiter bounds rate and concurrent requests of each customer. It holds
// state only for customers that were active within the last seconds.
type CustomerLimiter struct {
	mu     sync.Mutex
	active map[string]*usage
	idle   idleList
}

type usage struct {
	inFlight int
	tokens   float64
	filled   time.Time
	rate     float64
	idleMark uint64
}

// NewCustomerLimiter returns a gate without state.
func NewCustomerLimiter() *CustomerLimiter {
	return &CustomerLimiter{active: map[string]*usage{}}
}

// Acquire counts one request of a customer, unless it exceeds the limits.
func (c *CustomerLimiter) Acquire(customer string, l CustomerLimits, now time.Time) (Refused, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	u, ok := c.active[customer]
	if !ok {
		u = &usage{tokens: burst(l), filled: now}
		c.active[customer] = u
		c.idle.add(customer, &u.idleMark, now)
	}
	if l.MaxConcurrent > 0 && u.inFlight >= l.MaxConcurrent {
		return Refused{Reason: ReasonCustomerConcurrency, RetryAfter: burstTime}, false
	}
	if wait, ok := u.take(l, now); !ok {
		return Refused{Reason: ReasonCustomerRate, RetryAfter: wait}, false
	}
	u.inFlight++
	u.idleMark = 0
	return Refused{}, true
}

// Release ends a request that Enter has let in.
func (c *CustomerLimiter) Release(customer string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, ok := c.active[customer]; ok {
		u.inFlight = max(u.inFlight-1, 0)
		if u.inFlight == 0 {
			c.idle.add(customer, &u.idleMark, now)
		}
	}
	c.sweep(now)
}

// Active returns the number of customers that the gate holds state of.
func (c *CustomerLimiter) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

func (c *CustomerLimiter) sweep(now time.Time) {
	for range sweepsPerCall {
		name, mark, ok := c.idle.next(now)
		if !ok {
			return
		}
		u, ok := c.active[name]
		switch {
		case !ok || u.idleMark != mark:
		case u.isFull(now):
			delete(c.active, name)
		default:
			c.idle.add(name, &u.idleMark, now)
		}
	}
}

// isFull reports whether the rate bucket has refilled. State that is dropped
// before would give a customer with a low rate a full bucket every idleTime.
func (u *usage) isFull(now time.Time) bool {
	return u.tokens+u.rate*now.Sub(u.filled).Seconds() >= burst(CustomerLimits{Rate: u.rate})
}

func burst(l CustomerLimits) float64 {
	return max(l.Rate*burstTime.Seconds(), 1)
}

func (u *usage) take(l CustomerLimits, now time.Time) (time.Duration, bool) {
	if l.Rate <= 0 {
		return 0, true
	}
	u.rate = l.Rate
	u.tokens = min(u.tokens+l.Rate*max(now.Sub(u.filled), 0).Seconds(), burst(l))
	u.filled = now
	if u.tokens < 1 {
		return time.Duration((1 - u.tokens) / l.Rate * float64(time.Second)), false
	}
	u.tokens--
	return 0, true
}
