package replica

import (
	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Event is an input to Core.Step.
type Event interface{ event() }

// Tick reports that one tick has elapsed.
type Tick struct{}

// Receive delivers messages from another member.
type Receive struct{ Envelope *wire.Envelope }

// Propose requests that a command be appended in the given term, or in any term if
// Term is 0. ID is returned in the Output.
type Propose struct {
	ID   uint64
	Data []byte
	Term uint64
}

// Read requests a read index that is confirmed by a quorum.
type Read struct{ ID uint64 }

// Persisted reports that all writes up to a sequence number are durable.
type Persisted struct{ Sequence uint64 }

// SnapshotTaken delivers a snapshot of the state machine after applying an index.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

// Bootstrap forms a new cluster from members whose logs are empty.
type Bootstrap struct {
	Cluster string
	Members []*wire.Member
}

// Join requests that the leader add a VM under a new member id.
type Join struct{ Member *wire.Member }

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (Read) event()               {}
func (Persisted) event()          {}
func (SnapshotTaken) event()      {}
func (Bootstrap) event()          {}
func (Join) event()               {}
func (TransferLeadership) event() {}
func (RemoveMember) event()       {}

// TransferLeadership requests that the leader transfer its leadership to another
// voter. ID is returned in the Output, also if this replica isn't the leader.
type TransferLeadership struct{ ID uint64 }

// RemoveMember requests that the leader remove an unreachable member. ID is returned
// in the Output.
type RemoveMember struct {
	ID     uint64
	Member string
}

// Output lists the actions that the caller of Step must perform, in this order:
// queue Write, send Messages, restore Snapshot, apply Committed, complete the calls.
type Output struct {
	// Write must become durable after all earlier writes and is then reported by
	// a Persisted event.
	Write *Write
	// Messages are sent immediately, or once the write in Message.After is durable.
	Messages []Message
	// Snapshot replaces the state of the state machine before Committed is applied.
	Snapshot *wire.SnapshotRequest
	// Committed holds the newly committed entries, which follow those of earlier
	// outputs without a gap.
	Committed []*wire.LogEntry
	// Accepted and RejectedProposals are the results of Propose and RemoveMember events.
	Accepted          []Accepted
	RejectedProposals []uint64
	// RejectedRemovals lists the RemoveMember events that the leader rejected.
	RejectedRemovals []RejectedRemoval
	// Reads are confirmed; RejectedReads are not, because this replica isn't the leader.
	Reads         []ReadState
	RejectedReads []uint64
	// LeadershipTransferred and LeadershipTransferFailed are the results of
	// TransferLeadership events.
	LeadershipTransferred    []uint64
	LeadershipTransferFailed []uint64
	// SteppedDown reports that this replica lost the leadership, so the outcome of
	// in-flight proposals is uncertain.
	SteppedDown bool
}

// Write is a batch to be saved in the journal.
type Write struct {
	Sequence uint64
	Batch    journal.Batch
}

// Message is an outgoing message to another member.
type Message struct {
	To string
	// Address is empty if the recipient isn't in the known member list.
	Address string
	Body    *wire.ReplicaMessage
	// After is the sequence number of the write that must be durable before the
	// message is sent, or 0.
	After uint64
}

// Accepted is the position in the log of an accepted proposal.
type Accepted struct {
	ID, Index, Term uint64
}

// RejectedRemoval is the reason why a member isn't removed.
type RejectedRemoval struct {
	ID  uint64
	Err *RemovalError
}

// ReadState is a confirmed read, which may be served once Index has been applied.
type ReadState struct {
	ID, Index uint64
}
