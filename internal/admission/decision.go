package admission

import "time"

// Policy selects the admission policy of a Queue. It is sealed: Adaptive or
// Baseline.
type Policy interface{ isPolicy() }

// Adaptive limits concurrency, queues fairly and rejects early.
type Adaptive struct{}

// Baseline admits every call as it arrives, without queueing.
type Baseline struct{}

func (Adaptive) isPolicy() {}
func (Baseline) isPolicy() {}

// Reason is the cause of a rejection, in snake case.
type Reason string

// Reasons for rejecting a call.
const (
	ReasonNotEnoughTime       Reason = "not_enough_time"
	ReasonQueueFull           Reason = "queue_full"
	ReasonCustomerConcurrency Reason = "customer_concurrency"
	ReasonCustomerRate        Reason = "customer_rate"
)

// Decision is the decision of a Queue on a call. It is sealed.
type Decision interface {
	// For returns the call's ticket; nil if the call was rejected on arrival.
	For() *Ticket
	isDecision()
}

// Admitted means that the call may start now.
type Admitted struct {
	Ticket *Ticket
	Waited time.Duration
}

// Queued means that the call waits for a slot.
type Queued struct {
	Ticket       *Ticket
	ExpectedWait time.Duration
}

// Refused means that the call must not run.
type Refused struct {
	Ticket *Ticket
	Reason Reason
	// ExpectedWait is the expected wait for a slot at the time of the decision.
	ExpectedWait time.Duration
	// RetryAfter is the minimum delay before a retry; 0 means that the call should
	// not be retried with the same deadline.
	RetryAfter time.Duration
}

// For implements Decision.
func (d Admitted) For() *Ticket { return d.Ticket }

// For implements Decision.
func (d Queued) For() *Ticket { return d.Ticket }

// For implements Decision.
func (d Refused) For() *Ticket { return d.Ticket }

func (Admitted) isDecision() {}
func (Queued) isDecision()   {}
func (Refused) isDecision()  {}

// Outcome is the result of an admitted call. It is sealed.
type Outcome interface{ isOutcome() }

// Completed reports a response.
type Completed struct {
	// Latency is the time the call occupied its slot, including all attempts.
	Latency time.Duration
	// AttemptTime is the duration of the attempt that returned the response, and
	// ProcessingTime the part of it in which the target was processing. Their ratio measures
	// queueing at the targets. Without them, the ratio of Latency to the expected
	// time is used, which cannot distinguish queueing from a service that has
	// become slower.
	AttemptTime    time.Duration
	ProcessingTime time.Duration
}

// ratio returns the ratio of the latency to the latency without queueing, and
// whether it is exact because the target reported its processing time.
func (c Completed) ratio(expected float64) (float64, bool) {
	if c.ProcessingTime > 0 && c.AttemptTime > 0 {
		return max(c.AttemptTime.Seconds()/c.ProcessingTime.Seconds(), 1), true
	}
	return c.Latency.Seconds() / expected, false
}

// Overloaded reports that a target rejected the call because it is at capacity.
type Overloaded struct{}

// Dropped reports an outcome that carries no information about the load: an
// error, a cancellation or an unresponsive connection.
type Dropped struct{}

func (Completed) isOutcome()  {}
func (Overloaded) isOutcome() {}
func (Dropped) isOutcome()    {}
