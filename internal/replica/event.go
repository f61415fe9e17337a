package replica

import (
	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Event is an input of Core.
type Event interface{ event() }

// Tick says that one tick has passed.
type Tick struct{}

// Receive hands over messages from another member.
type Receive struct{ Envelope *wire.Envelope }

// Propose asks to append a command, in any term or only in the one named. ID is
// echoed in the Output.
type Propose struct {
	ID   uint64
	Data []byte
	Term uint64
}

// Read asks for a read index that a quorum has confirmed.
type Read struct{ ID uint64 }

// Persisted says that all writes up to a sequence number are durable.
type Persisted struct{ Sequence uint64 }

// SnapshotTaken hands over the state machine's state after an index.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

// Bootstrap forms a cluster from members that are all empty.
type Bootstrap struct {
	Cluster string
	Members []*wire.Member
}

// Join asks the leader to add a VM that holds its address under a new member id.
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

// TransferLeadership asks a leader to hand its leadership to another voter. ID is echoed in
// the Output, also by a replica that doesn't lead.
type TransferLeadership struct{ ID uint64 }

// RemoveMember asks the leader to remove a member that is gone. ID is echoed in the
// Output.
type RemoveMember struct {
	ID     uint64
	Member string
}

// Output is what Core asks its runner to do, in this order: queue Write, send
// Messages, restore Snapshot, apply Committed, answer the rest.
type Output struct {
	// Write has to become durable after all earlier writes; Persisted reports it.
	Write *Write
	// Messages are sent at once, or after a write where they name one.
	Messages []Message
	// Snapshot replaces the state of the state machine before Committed is applied.
	Snapshot *wire.SnapshotRequest
	// Committed follows the entries of earlier outputs without a gap.
	Committed []*wire.LogEntry
	// Accepted and Refused answer Propose and RemoveMember.
	Accepted []Accepted
	Refused  []uint64
	// Removals are refused calls of RemoveMember.
	Removals []RefusedRemoval
	// Reads are confirmed; RefusedReads are not and never will be.
	Reads        []ReadState
	RefusedReads []uint64
	// HandedOver and HandOverFailed answer HandOver.
	LeadershipTransferred    []uint64
	LeadershipTransferFailed []uint64
	// SteppedDown says that leadership ended, so proposals under way are uncertain.
	SteppedDown bool
}

// Write is a batch for the journal.
type Write struct {
	Sequence uint64
	Batch    journal.Batch
}

// Message is one message to another member.
type Message struct {
	To string
	// Address is empty when the member list doesn't name the recipient yet.
	Address string
	Body    *wire.ReplicaMessage
	// After is the write that has to be durable before the message may leave, or 0.
	After uint64
}

// Accepted says where a proposal stands in the log.
type Accepted struct {
	ID, Index, Term uint64
}

// RefusedRemoval says why a member isn't removed.
type RefusedRemoval struct {
	ID  uint64
	Err *RemovalError
}

// ReadState says that a read may be served once Index has been applied.
type ReadState struct {
	ID, Index uint64
}
