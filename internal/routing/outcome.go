package routing

import "time"

// Outcome is what became of a call. It is sealed.
type Outcome interface{ isOutcome() }

// Success reports a complete answer.
type Success struct {
	// Latency is the time from dispatch to result.
	Latency time.Duration
	// Busy is the time the target worked on the call, if it said so.
	// It is preferred to Latency because it contains no queueing.
	ProcessingTime time.Duration
	// Expected is how long such a call takes on an ordinary target. Dividing by
	// it makes long and short calls comparable; 0 stands for one second.
	Expected time.Duration
}

// Failure reports an error of the target or a lost connection.
type Failure struct{}

// Overloaded reports that the target refused the call because it is full.
type Overloaded struct{}

// Draining reports that the target refused the call because it is stopping.
type Draining struct{}

// UnresponsiveConnection reports a connection without frames. New connections to the
// same target may work, so it doesn't count against the target.
type UnresponsiveConnection struct{}

// Canceled reports a call that was withdrawn or never sent. When a hedge was
// faster or the time ran out, Ran and Expected tell how slow the target was at
// least; otherwise they are 0.
type Canceled struct {
	Ran      time.Duration
	Expected time.Duration
}

func (Success) isOutcome()                {}
func (Failure) isOutcome()                {}
func (Overloaded) isOutcome()             {}
func (Draining) isOutcome()               {}
func (UnresponsiveConnection) isOutcome() {}
func (Canceled) isOutcome()               {}
