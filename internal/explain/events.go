package explain

import (
	"fmt"
	"time"
)

// Event is one thing that happened to a request. The types of this package are
// its only implementations.
type Event interface {
	// sentence describes the event; total is the time since the first event.
	sentence(total time.Duration) string
}

// Accepted says that the entry took the request in.
type Accepted struct {
	customer, pipeline, class string
	deadline                  time.Duration
}

// NewAccepted returns an Accepted. The deadline counts from now.
func NewAccepted(customer, pipeline, class string, deadline time.Duration) Accepted {
	return Accepted{customer: customer, pipeline: pipeline, class: class, deadline: deadline}
}

func (e Accepted) sentence(time.Duration) string {
	return fmt.Sprintf("%s asked for %s in class %s; the answer is due within %s.", e.customer, e.pipeline, e.class, span(e.deadline))
}

// Admitted says that the request left the queue of the entry.
type Admitted struct{ waited time.Duration }

// NewAdmitted returns an Admitted with the time spent in the queue.
func NewAdmitted(waited time.Duration) Admitted { return Admitted{waited: waited} }

func (e Admitted) sentence(time.Duration) string {
	if e.waited <= 0 {
		return "It was admitted at once."
	}
	return fmt.Sprintf("It was admitted after waiting %s for its turn.", span(e.waited))
}

// Dispatched says that a stage was sent to a target.
type Dispatched struct{ stage, target, failureDomain, attempt string }

// NewDispatched returns a Dispatched.
func NewDispatched(stage, target, failureDomain, attempt string) Dispatched {
	return Dispatched{stage: stage, target: target, failureDomain: failureDomain, attempt: attempt}
}

func (e Dispatched) sentence(time.Duration) string {
	return fmt.Sprintf("Stage %s was sent to %s in %s (attempt %s).", e.stage, e.target, e.failureDomain, e.attempt)
}

// Finished says that a stage has its result.
type Finished struct {
	stage, target string
	took          time.Duration
}

// NewFinished returns a Finished with the time since the stage was sent.
func NewFinished(stage, target string, took time.Duration) Finished {
	return Finished{stage: stage, target: target, took: took}
}

func (e Finished) sentence(time.Duration) string {
	return fmt.Sprintf("Stage %s was finished by %s after %s.", e.stage, e.target, span(e.took))
}

// Retried says that a stage is tried again at another target.
type Retried struct{ stage, target, reason string }

// NewRetried returns a Retried with the target that failed.
func NewRetried(stage, target, reason string) Retried {
	return Retried{stage: stage, target: target, reason: reason}
}

func (e Retried) sentence(time.Duration) string {
	return fmt.Sprintf("Stage %s is tried again because %s gave no result: %s.", e.stage, e.target, words(e.reason))
}

// Hedged says that a stage is also sent to a second target because the first takes long.
type Hedged struct {
	stage, target string
	after         time.Duration
}

// NewHedged returns a Hedged with the second target and the time that the first had.
func NewHedged(stage, target string, after time.Duration) Hedged {
	return Hedged{stage: stage, target: target, after: after}
}

func (e Hedged) sentence(time.Duration) string {
	return fmt.Sprintf("Stage %s had no answer after %s, so it is also sent to %s; the first answer counts.", e.stage, span(e.after), e.target)
}

// Refused says that the request wasn't taken on or was given up before it ran.
type Refused struct{ reason, detail string }

// NewRefused returns a Refused. The detail is a sentence and may be empty.
func NewRefused(reason, detail string) Refused { return Refused{reason: reason, detail: detail} }

func (e Refused) sentence(time.Duration) string {
	if e.detail == "" {
		return fmt.Sprintf("It was refused: %s.", words(e.reason))
	}
	return fmt.Sprintf("It was refused: %s. %s", words(e.reason), e.detail)
}

// Moved says that a stage left a connection that had gone silent.
type Moved struct {
	stage, from, to string
	silent          time.Duration
}

// NewMoved returns a Moved with the time that the connection was silent.
func NewMoved(stage, from, to string, silent time.Duration) Moved {
	return Moved{stage: stage, from: from, to: to, silent: silent}
}

func (e Moved) sentence(time.Duration) string {
	return fmt.Sprintf("The connection to %s was silent for %s, so stage %s was moved to %s.", e.from, span(e.silent), e.stage, e.to)
}

// Claimed says that an order was claimed before it was sent.
type Claimed struct{ order, target, attempt string }

// NewClaimed returns a Claimed.
func NewClaimed(order, target, attempt string) Claimed {
	return Claimed{order: order, target: target, attempt: attempt}
}

func (e Claimed) sentence(time.Duration) string {
	return fmt.Sprintf("Order %s was claimed for %s (attempt %s), so that it runs at most once.", e.order, e.target, e.attempt)
}

// Settled says what became of an order.
type Settled struct{ order, outcome, reason string }

// NewSettled returns a Settled. The outcome is done, failed, not_run or unknown.
func NewSettled(order, outcome, reason string) Settled {
	return Settled{order: order, outcome: outcome, reason: reason}
}

func (e Settled) sentence(time.Duration) string {
	return fmt.Sprintf("Order %s was recorded as %s%s.", e.order, words(e.outcome), because(e.reason))
}

// Told says what the caller was told.
type Told struct{ outcome, reason string }

// NewTold returns a Told. The outcome is done, failed, not_run, unknown or accepted.
func NewTold(outcome, reason string) Told { return Told{outcome: outcome, reason: reason} }

func (e Told) sentence(total time.Duration) string {
	return fmt.Sprintf("The caller was told %q%s, %s after it asked.", words(e.outcome), because(e.reason), span(total))
}
