package budget

import (
	"sync"
	"time"
)

// Policy selects the retry policy of Retries. It is sealed: Adaptive or Baseline.
type Policy interface{ isPolicy() }

// Adaptive limits retries and hedges to a ratio of the traffic.
type Adaptive struct{}

// Baseline retries every idempotent call twice, within its deadline, and never
// hedges. Non-idempotent calls are not retried under any policy, because an order
// runs at most once; a rejected order gets a new claim instead.
type Baseline struct{}

func (Adaptive) isPolicy() {}
func (Baseline) isPolicy() {}

// Cause is the reason for the end of an attempt. It is sealed.
type Cause interface{ isCause() }

// FailedCall is an error returned by the target or a lost connection.
type FailedCall struct{}

// UnresponsiveCall is an unresponsive connection: no frame within the timeout.
type UnresponsiveCall struct{}

// RefusedCall is a rejection by the target or its agent.
type RefusedCall struct{ Retryable bool }

// DrainingCall is a rejection by a target that is shutting down. The call did not
// run and the target is not attempted again, so the retry uses no budget.
type DrainingCall struct{}

func (FailedCall) isCause()       {}
func (UnresponsiveCall) isCause() {}
func (RefusedCall) isCause()      {}
func (DrainingCall) isCause()     {}

const (
	// baselineAttempts is the first attempt and two retries.
	baselineAttempts = 3
	// maxAttempts is the maximum number of attempts of one call, including the
	// first. With half of all calls failing, fewer than 2% of the calls fail after
	// 6 attempts.
	maxAttempts = 6
	// hedgeBurst limits the burst of hedges, which are meant for single slow calls.
	hedgeBurst = 3
)

// RetryOptions configures Retries. Zero fields take the defaults.
type RetryOptions struct {
	Policy Policy // Adaptive when nil
	// RetryRatio is the ratio of retries to calls of a service; default 0.1.
	RetryRatio float64
	// EntryRetryRatio is the ratio of retries to calls of the whole entry; default
	// 0.1.
	EntryRetryRatio float64
	// IdleRetryRatio is the ratio of additional retries while the service has idle
	// capacity, when retries do not displace other calls; default 1.
	IdleRetryRatio float64
	// HedgeRatio is the ratio of hedges to calls of a service; default 0.02.
	// Hedging every call after its 95th percentile would spend some 4% of all slot
	// time on unused responses.
	HedgeRatio float64
	// Burst is the capacity of the token buckets, in retries; default 10.
	Burst float64
}

func (o RetryOptions) withDefaults() RetryOptions {
	if o.Policy == nil {
		o.Policy = Adaptive{}
	}
	if o.RetryRatio <= 0 {
		o.RetryRatio = 0.1
	}
	if o.EntryRetryRatio <= 0 {
		o.EntryRetryRatio = 0.1
	}
	if o.IdleRetryRatio <= 0 {
		o.IdleRetryRatio = 1
	}
	if o.HedgeRatio <= 0 {
		o.HedgeRatio = 0.02
	}
	if o.Burst <= 0 {
		o.Burst = 10
	}
	return o
}

// Retries manages the retry budgets of all services and of the whole entry. Its
// memory grows with the number of services, which is limited by the manifest.
type Retries struct {
	mu       sync.Mutex
	options  RetryOptions
	services map[string]*serviceBudget
	entry    bucket
}

type serviceBudget struct {
	retries     bucket
	idleRetries bucket // usable while the service has idle capacity
	hedges      bucket
}

// bucket is a token bucket of retries that each first attempt refills by share.
type bucket struct {
	tokens float64
	burst  float64
	ratio  float64
}

func newBucket(share, burst float64) bucket {
	return bucket{tokens: burst, burst: burst, ratio: share}
}

func (b *bucket) refill() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// NewRetries returns a Retries with full budgets.
func NewRetries(o RetryOptions) *Retries {
	o = o.withDefaults()
	return &Retries{
		options:  o,
		services: map[string]*serviceBudget{},
		entry:    newBucket(o.EntryRetryRatio, o.Burst),
	}
}

// Request records the first attempt of a call, which refills the budgets.
func (r *Retries) Request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	s.retries.refill()
	s.idleRetries.refill()
	s.hedges.refill()
	r.entry.refill()
}

func (r *Retries) service(name string) *serviceBudget {
	s, ok := r.services[name]
	if !ok {
		s = &serviceBudget{
			retries:     newBucket(r.options.RetryRatio, r.options.Burst),
			idleRetries: newBucket(r.options.IdleRetryRatio, r.options.Burst),
			hedges:      newBucket(r.options.HedgeRatio, min(r.options.Burst, hedgeBurst)),
		}
		r.services[name] = s
	}
	return s
}

// Attempt describes a call that may be retried or hedged.
type Attempt struct {
	Service    string
	Idempotent bool
	Attempts   int           // attempts so far, including the first
	TimeLeft   time.Duration // until the deadline of the request
	Typical    time.Duration // from a new attempt to the end of the request; see Allotment
	Cause      Cause         // of the end of the last attempt; nil for a hedge
	// IdleCapacity is set when the service has idle capacity; see
	// admission.Queue.HasIdleCapacity.
	IdleCapacity bool
}

// Decision is the decision on a retry or a hedge.
type Decision struct {
	Allowed bool
	Reason  Reason // empty when allowed
}

// Retry decides whether a call may be retried, and if so consumes budget.
func (r *Retries) Retry(a Attempt) Decision {
	if _, ok := r.options.Policy.(Baseline); ok {
		return newDecision(ineligibleReason(a, baselineAttempts))
	}
	if _, ok := a.Cause.(DrainingCall); ok {
		return newDecision(ineligibleReason(a, maxAttempts))
	}
	return r.consume(a)
}

// Hedge decides whether a second attempt may run in parallel with the first, and
// if so consumes budget. It is called once per call, after Allotment.HedgeAfter.
func (r *Retries) Hedge(a Attempt) Decision {
	if _, ok := r.options.Policy.(Baseline); ok {
		return newDecision(ReasonPolicy)
	}
	a.Cause = nil
	if reason := ineligibleReason(a, maxAttempts); reason != "" {
		return newDecision(reason)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	hedges := &r.service(a.Service).hedges
	if hedges.tokens < 1 {
		return newDecision(ReasonHedgeBudget)
	}
	hedges.tokens--
	return newDecision("")
}

func newDecision(reason Reason) Decision {
	return Decision{Allowed: reason == "", Reason: reason}
}

// ineligibleReason returns the reason that rules out a retry regardless of the
// budget, or "".
func ineligibleReason(a Attempt, attempts int) Reason {
	refusal, refused := a.Cause.(RefusedCall)
	switch {
	case !a.Idempotent:
		return ReasonNotIdempotent
	case refused && !refusal.Retryable:
		return ReasonNotRetryable
	case a.Attempts >= attempts:
		return ReasonAttemptsSpent
	case a.TimeLeft < a.Typical:
		return ReasonNotEnoughTime
	}
	return ""
}

// consume consumes one token of the budget for idle capacity, or else one token each
// of the service's and the entry's budget.
func (r *Retries) consume(a Attempt) Decision {
	if reason := ineligibleReason(a, maxAttempts); reason != "" {
		return newDecision(reason)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(a.Service)
	switch {
	case a.IdleCapacity && s.idleRetries.tokens >= 1:
		s.idleRetries.tokens--
	case s.retries.tokens < 1:
		return newDecision(ReasonServiceBudget)
	case r.entry.tokens < 1:
		return newDecision(ReasonEntryBudget)
	default:
		s.retries.tokens--
		r.entry.tokens--
	}
	return newDecision("")
}
