package budget

import (
	"sync"
	"time"
)

// Policy selects how Retries decides. It is sealed: Adaptive or Baseline.
type Policy interface{ isPolicy() }

// Adaptive bounds retries and hedges to a share of the traffic.
type Adaptive struct{}

// Baseline retries every idempotent call twice and never hedges. Calls that
// aren't idempotent are not repeated under any policy, because an order runs at
// most once; a refused order gets a new claim instead.
type Baseline struct{}

func (Adaptive) isPolicy() {}
func (Baseline) isPolicy() {}

// Cause is why an attempt ended. It is sealed.
type Cause interface{ isCause() }

// FailedCall is an error of the target or a lost connection.
type FailedCall struct{}

// SilentCall is a connection without frames.
type SilentCall struct{}

// RefusedCall is a refusal by the target or its agent.
type RefusedCall struct{ Retryable bool }

// LeavingCall is a refusal of a target that is stopping. The call did not run
// and the target is not tried again, so that moving it costs no budget.
type LeavingCall struct{}

func (FailedCall) isCause()  {}
func (SilentCall) isCause()  {}
func (RefusedCall) isCause() {}
func (LeavingCall) isCause() {}

// maxAttempts bounds the attempts of one call, the first included.
const maxAttempts = 3

// RetryOptions configures Retries. Zero fields take the defaults.
type RetryOptions struct {
	Policy Policy  // Adaptive when nil
	Share  float64 // of a service's calls that may be repeated; 0.1
	// EntryShare is the same for all calls of the entry; 0.1.
	EntryShare float64
	// Burst is the number of retries that may be saved up; 10.
	Burst float64
}

// Retries holds the retry budgets of all services and of the whole entry. Its
// memory grows with the number of services, which the manifest bounds.
type Retries struct {
	mu       sync.Mutex
	policy   Policy
	share    float64
	burst    float64
	services map[string]*bucket
	entry    bucket
}

type bucket struct {
	tokens float64
	burst  float64
	share  float64
}

func (b *bucket) fill() {
	b.tokens = min(b.tokens+b.share, b.burst)
}

// NewRetries returns full budgets.
func NewRetries(o RetryOptions) *Retries {
	if o.Policy == nil {
		o.Policy = Adaptive{}
	}
	if o.Share <= 0 {
		o.Share = 0.1
	}
	if o.EntryShare <= 0 {
		o.EntryShare = 0.1
	}
	if o.Burst <= 0 {
		o.Burst = 10
	}
	return &Retries{
		policy:   o.Policy,
		share:    o.Share,
		burst:    o.Burst,
		services: map[string]*bucket{},
		entry:    bucket{tokens: o.Burst, burst: o.Burst, share: o.EntryShare},
	}
}

// Request records the first attempt of a call, which earns budget.
func (r *Retries) Request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).fill()
	r.entry.fill()
}

func (r *Retries) service(name string) *bucket {
	b, ok := r.services[name]
	if !ok {
		b = &bucket{tokens: r.burst, burst: r.burst, share: r.share}
		r.services[name] = b
	}
	return b
}

// Attempt describes a call that might be repeated.
type Attempt struct {
	Service    string
	Idempotent bool
	Tried      int           // attempts so far, the first included
	Left       time.Duration // until the deadline of the request
	Needs      time.Duration // expected from a new attempt to the end of the request
	Cause      Cause         // of the last attempt's end; nil for a hedge
}

// Decision tells whether a call may be repeated.
type Decision struct {
	Allowed bool
	Reason  Reason // empty when allowed
}

// Retry decides whether a call may be sent again, and takes budget if so.
func (r *Retries) Retry(a Attempt) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason, refused := refuse(a); refused {
		return Decision{Reason: reason}
	}
	if _, ok := r.policy.(Baseline); ok {
		return Decision{Allowed: true}
	}
	if a.Left < a.Needs {
		return Decision{Reason: ReasonNotEnoughTime}
	}
	if _, ok := a.Cause.(LeavingCall); ok {
		return Decision{Allowed: true}
	}
	return r.take(a.Service)
}

func refuse(a Attempt) (Reason, bool) {
	if a.Tried >= maxAttempts {
		return ReasonAttemptsSpent, true
	}
	if !a.Idempotent {
		return ReasonNotIdempotent, true
	}
	if c, ok := a.Cause.(RefusedCall); ok && !c.Retryable {
		return ReasonNotRetryable, true
	}
	return "", false
}

// Hedge decides whether a second attempt may run beside the first one, and
// takes budget if so. The caller asks after Allotment.HedgeAfter.
func (r *Retries) Hedge(a Attempt) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.policy.(Baseline); ok {
		return Decision{Reason: ReasonPolicy}
	}
	a.Cause = nil
	if reason, refused := refuse(a); refused {
		return Decision{Reason: reason}
	}
	if a.Left < a.Needs {
		return Decision{Reason: ReasonNotEnoughTime}
	}
	return r.take(a.Service)
}

// take takes one token of the service's and the entry's budget, or none.
func (r *Retries) take(service string) Decision {
	s := r.service(service)
	if s.tokens < 1 {
		return Decision{Reason: ReasonServiceBudget}
	}
	if r.entry.tokens < 1 {
		return Decision{Reason: ReasonEntryBudget}
	}
	s.tokens--
	r.entry.tokens--
	return Decision{Allowed: true}
}
