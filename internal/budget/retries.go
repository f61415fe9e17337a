package budget

import (
	"sync"
	"time"
)

// Policy selects how Retries decides. It is sealed: Adaptive or Baseline.
type Policy interface{ isPolicy() }

// Adaptive bounds retries and hedges to a share of the traffic.
type Adaptive struct{}

// Baseline retries every idempotent call twice, within its deadline, and never hedges. Calls that
// aren't idempotent are not repeated under any policy, because an order runs at
// most once; a refused order gets a new claim instead.
type Baseline struct{}

func (Adaptive) isPolicy() {}
func (Baseline) isPolicy() {}

// Cause is why an attempt ended. It is sealed.
type Cause interface{ isCause() }

// FailedCall is an error of the target or a lost connection.
type FailedCall struct{}

// UnresponsiveCall is a connection without frames.
type UnresponsiveCall struct{}

// RefusedCall is a refusal by the target or its agent.
type RefusedCall struct{ Retryable bool }

// DrainingCall is a refusal of a target that is stopping. The call did not run
// and the target is not tried again, so that moving it costs no budget.
type DrainingCall struct{}

func (FailedCall) isCause()       {}
func (UnresponsiveCall) isCause() {}
func (RefusedCall) isCause()      {}
func (DrainingCall) isCause()     {}

const (
	// baselineAttempts is the first attempt and two retries.
	baselineAttempts = 3
	// maxAttempts bounds the attempts of one call, the first included. With half
	// of all calls failing, 6 attempts leave fewer than 2% without an answer.
	maxAttempts = 6
	// hedgeBurst bounds the hedges that may be saved up, as hedges are meant for
	// single slow calls.
	hedgeBurst = 3
)

// RetryOptions configures Retries. Zero fields take the defaults.
type RetryOptions struct {
	Policy Policy // Adaptive when nil
	// Share is the share of a service's calls that may be repeated; 0.1.
	RetryRatio float64
	// EntryShare is the same for all calls of the entry; 0.1.
	EntryRetryRatio float64
	// SpareShare is the share of calls that may be repeated in addition while
	// the service has spare capacity, where retries take nothing from others; 1.
	IdleRetryRatio float64
	// HedgeShare is the share of a service's calls that may be hedged; 0.02.
	// Hedging each call after its 95th percentile would spend some 4% of all slot
	// time on unused answers.
	HedgeRatio float64
	// Burst is the number of retries that may be saved up; 10.
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

// Retries holds the retry budgets of all services and of the whole entry. Its
// memory grows with the number of services, which the manifest bounds.
type Retries struct {
	mu       sync.Mutex
	options  RetryOptions
	services map[string]*serviceBudget
	entry    bucket
}

type serviceBudget struct {
	always bucket
	spare  bucket // usable while the service has spare capacity
	hedges bucket
}

// bucket holds the retries that may be made. Each first attempt adds its share.
type bucket struct {
	tokens float64
	burst  float64
	share  float64
}

func newBucket(share, burst float64) bucket {
	return bucket{tokens: burst, burst: burst, share: share}
}

func (b *bucket) fill() {
	b.tokens = min(b.tokens+b.share, b.burst)
}

// NewRetries returns full budgets.
func NewRetries(o RetryOptions) *Retries {
	o = o.withDefaults()
	return &Retries{
		options:  o,
		services: map[string]*serviceBudget{},
		entry:    newBucket(o.EntryRetryRatio, o.Burst),
	}
}

// Request records the first attempt of a call, which earns budget.
func (r *Retries) Request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	s.always.fill()
	s.spare.fill()
	s.hedges.fill()
	r.entry.fill()
}

func (r *Retries) service(name string) *serviceBudget {
	s, ok := r.services[name]
	if !ok {
		s = &serviceBudget{
			always: newBucket(r.options.RetryRatio, r.options.Burst),
			spare:  newBucket(r.options.IdleRetryRatio, r.options.Burst),
			hedges: newBucket(r.options.HedgeRatio, min(r.options.Burst, hedgeBurst)),
		}
		r.services[name] = s
	}
	return s
}

// Attempt describes a call that might be repeated.
type Attempt struct {
	Service    string
	Idempotent bool
	Attempts   int           // attempts so far, the first included
	TimeLeft   time.Duration // until the deadline of the request
	Typical    time.Duration // from a new attempt to the end of the request; see Allotment
	Cause      Cause         // of the last attempt's end; nil for a hedge
	// Spare tells that the service has spare capacity; see admission.Queue.Spare.
	IdleCapacity bool
}

// Decision tells whether a call may be repeated.
type Decision struct {
	Allowed bool
	Reason  Reason // empty when allowed
}

// Retry decides whether a call may be sent again, and takes budget if so.
func (r *Retries) Retry(a Attempt) Decision {
	if _, ok := r.options.Policy.(Baseline); ok {
		return decide(refuse(a, baselineAttempts))
	}
	if _, ok := a.Cause.(DrainingCall); ok {
		return decide(refuse(a, maxAttempts))
	}
	return r.take(a)
}

// Hedge decides whether a second attempt may run beside the first one, and
// takes budget if so. The caller asks once, after Allotment.HedgeAfter.
func (r *Retries) Hedge(a Attempt) Decision {
	if _, ok := r.options.Policy.(Baseline); ok {
		return decide(ReasonPolicy)
	}
	a.Cause = nil
	if reason := refuse(a, maxAttempts); reason != "" {
		return decide(reason)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	hedges := &r.service(a.Service).hedges
	if hedges.tokens < 1 {
		return decide(ReasonHedgeBudget)
	}
	hedges.tokens--
	return decide("")
}

func decide(reason Reason) Decision {
	return Decision{Allowed: reason == "", Reason: reason}
}

// refuse returns the reason against repeating a call whatever the budget.
func refuse(a Attempt, attempts int) Reason {
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

// take takes one token of the spare budget, or one of the service's and the
// entry's budget.
func (r *Retries) take(a Attempt) Decision {
	if reason := refuse(a, maxAttempts); reason != "" {
		return decide(reason)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(a.Service)
	switch {
	case a.IdleCapacity && s.spare.tokens >= 1:
		s.spare.tokens--
	case s.always.tokens < 1:
		return decide(ReasonServiceBudget)
	case r.entry.tokens < 1:
		return decide(ReasonEntryBudget)
	default:
		s.always.tokens--
		r.entry.tokens--
	}
	return decide("")
}
