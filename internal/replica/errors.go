package replica

import "fmt"

// NotLeaderError reports that this replica isn't the leader. The proposal or read
// was not accepted and has no effect.
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

// LostLeadershipError reports that this replica lost the leadership while a
// proposal was in flight. The proposal may or may not commit.
type LostLeadershipError struct {
	term uint64
}

// Term returns the term in which the proposal was accepted.
func (e *LostLeadershipError) Term() uint64 { return e.term }

// Error implements error.
func (e *LostLeadershipError) Error() string {
	return fmt.Sprintf("leadership of term %d ended before the proposal committed", e.term)
}

// LeadershipTransferError reports that no other voter became leader within one
// election timeout, or that no other voter responds.
type LeadershipTransferError struct{}

// Error implements error.
func (e *LeadershipTransferError) Error() string {
	return "leadership transfer failed: no other voter became leader"
}

// StoppedError reports that the replica has stopped.
type StoppedError struct {
	cause error
}

// Unwrap returns the error that stopped the replica, or nil after a call of Stop.
func (e *StoppedError) Unwrap() error { return e.cause }

// Error implements error.
func (e *StoppedError) Error() string {
	if e.cause == nil {
		return "replica stopped"
	}
	return "replica stopped: " + e.cause.Error()
}

// InvariantError reports a violated invariant of the replication protocol. The
// replica stops, because continuing could spread the inconsistency.
type InvariantError struct {
	invariant string
	detail    string
}

// Invariant returns the invariant that was violated.
func (e *InvariantError) Invariant() string { return e.invariant }

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant violated: %s: %s", e.invariant, e.detail)
}
