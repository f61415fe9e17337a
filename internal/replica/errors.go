package replica

import "fmt"

// NotLeaderError reports that this replica doesn't lead. The proposal or read
// wasn't accepted and has no effect.
type NotLeaderError struct {
	leader string
}

// Leader returns the leader's address, or "" when none is known.
func (e *NotLeaderError) Leader() string { return e.leader }

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.leader == "" {
		return "not the leader, and no leader is known"
	}
	return "not the leader; the leader is " + e.leader
}

// LostLeadershipError reports that leadership ended while a proposal was under
// way. The proposal may or may not commit.
type LostLeadershipError struct {
	term uint64
}

// Term returns the term in which the proposal was accepted.
func (e *LostLeadershipError) Term() uint64 { return e.term }

// Error implements error.
func (e *LostLeadershipError) Error() string {
	return fmt.Sprintf("leadership of term %d ended before the proposal committed", e.term)
}

// LeadershipTransferError reports that no voter took the leadership over within one
// election timeout, or that no other voter answers.
type LeadershipTransferError struct{}

// Error implements error.
func (e *LeadershipTransferError) Error() string {
	return "no voter took the leadership over"
}

// StoppedError reports that the replica has stopped.
type StoppedError struct {
	cause error
}

// Unwrap returns why the replica stopped, or nil after an ordinary Stop.
func (e *StoppedError) Unwrap() error { return e.cause }

// Error implements error.
func (e *StoppedError) Error() string {
	if e.cause == nil {
		return "replica stopped"
	}
	return "replica stopped: " + e.cause.Error()
}

// InvariantError reports that a property on which agreement rests doesn't hold.
// The replica stops, because going on could spread the damage.
type InvariantError struct {
	rule   string
	detail string
}

// Invariant returns the invariant that was violated.
func (e *InvariantError) Invariant() string { return e.rule }

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant violated: %s: %s", e.rule, e.detail)
}
