package admission

import "time"

// Policy selects how a Queue decides. It is sealed: Adaptive or Baseline.
type Policy interface{ isPolicy() }

// Adaptive limits concurrency, queues fairly and refuses early.
type Adaptive struct{}

// Baseline admits every call at once, in the order of arrival.
type Baseline struct{}

func (Adaptive) isPolicy() {}
func (Baseline) isPolicy() {}

// Reason says in snake case why a call was refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonNotEnoughTime       Reason = "not_enough_time"
	ReasonQueueFull           Reason = "queue_full"
	ReasonCustomerConcurrency Reason = "customer_concurrency"
	ReasonCustomerRate        Reason = "customer_rate"
)

// Decision is what a Queue decided on a call. It is sealed.
type Decision interface {
	// For returns the call's ticket; nil when it was refused on arrival.
	For() *Ticket
	isDecision()
}

// Admitted tells that the call may start now.
type Admitted struct {
	Ticket *Ticket
	Waited time.Duration
}

// Queued tells that the call waits.
type Queued struct {
	Ticket       *Ticket
	ExpectedWait time.Duration
}

// Refused tells that the call must not run.
type Refused struct {
	Ticket *Ticket
	Reason Reason
	// ExpectedWait is the wait for a slot that the decision was based on.
	ExpectedWait time.Duration
	// RetryAfter is the earliest time after which a retry makes sense; 0 means
	// that the call should not be repeated with the same deadline.
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

// Outcome is what became of an admitted call. It is sealed.
type Outcome interface{ isOutcome() }

// Completed reports an answer.
type Completed struct {
	// Latency is the time the call held its slot, all attempts included.
	Latency time.Duration
	// Attempt is the time of the attempt that gave the answer and Busy the part
	// of it in which the target worked. Their ratio shows queueing at the targets.
	// Without them, a rise of Latency over the expected time has to show it, which
	// can't be told from a service that became slower.
	AttemptTime    time.Duration
	ProcessingTime time.Duration
}

// ratio returns the latency over that without queueing, and whether the target
// said how long it worked.
func (c Completed) ratio(expected float64) (float64, bool) {
	if c.ProcessingTime > 0 && c.AttemptTime > 0 {
		return max(c.AttemptTime.Seconds()/c.ProcessingTime.Seconds(), 1), true
	}
	return c.Latency.Seconds() / expected, false
}

// Overloaded reports that a target refused the call because it is full.
type Overloaded struct{}

// Dropped reports an end that says nothing about the load: an error, a
// cancellation or a silent connection.
type Dropped struct{}

func (Completed) isOutcome()  {}
func (Overloaded) isOutcome() {}
func (Dropped) isOutcome()    {}
