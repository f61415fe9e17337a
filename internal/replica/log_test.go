package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	largeEntry    = 1000 // bytes
	retainedBytes = 5 * largeEntry
	inFlightBytes = 8 * largeEntry
)

// newLeader returns the leader of a cluster with another member that doesn't respond, or of one
// with a single member.
func newLeader(t *testing.T, members ...*wire.Member) *replica.Core {
	contents := journal.Contents{State: journal.State{Cluster: "c", Member: "a", Term: 1}, Snapshot: &wire.SnapshotRequest{
		Index: 1, SnapshotTerm: 1, Members: &wire.MemberList{Members: append([]*wire.Member{{Id: "a", Address: "1"}}, members...)}, Data: []byte("state"),
	}}
	core, err := replica.NewCore(contents, replica.CoreOptions{RetainedBytes: retainedBytes, MaxInFlightBytes: inFlightBytes, MaxMessageBytes: 2 * largeEntry})
	require.NoError(t, err)
	for core.Status().Role != replica.Candidate {
		_, err := core.Step(replica.Tick{})
		require.NoError(t, err)
	}
	_, err = core.Step(replica.Persisted{Sequence: 1})
	require.NoError(t, err)
	require.Equal(t, replica.Leader, core.Status().Role)
	return core
}

// Guards against a log of large entries that grows with each change although snapshots are taken:
// only the number of retained entries was limited.
func TestLargeEntriesAreCompactedByBytes(t *testing.T) {
	core := newLeader(t)
	for sequence := uint64(2); sequence < 200; sequence++ {
		_, err := core.Step(replica.Propose{ID: sequence, Data: make([]byte, largeEntry)})
		require.NoError(t, err)
		_, err = core.Step(replica.Persisted{Sequence: 1000})
		require.NoError(t, err)
		_, err = core.Step(replica.SnapshotTaken{Index: core.Status().Commit, Data: []byte("state")})
		require.NoError(t, err)
		require.LessOrEqual(t, core.Status().LogBytes, uint64(retainedBytes))
	}
	require.Greater(t, core.Status().LogBytes, uint64(retainedBytes/2), "the newest entries are retained")
}

// Guards against a leader that sends a member all entries at once, which no message can hold: a
// member that rejects what it gets is sent a part, and the next one when it has acknowledged.
func TestLargeEntriesAreSentInParts(t *testing.T) {
	core := newLeader(t, &wire.Member{Id: "b", Address: "2", Learner: true})
	entries := func(out replica.Output) (bytes int, last uint64) {
		for _, m := range out.Messages {
			for _, e := range m.Body.GetAppendRequest().GetEntries() {
				bytes += len(e.Data)
				last = e.Index
			}
		}
		return bytes, last
	}
	receive := func(r *wire.AppendResponse) replica.Output {
		m := &wire.ReplicaMessage{Term: core.Status().Term, Kind: &wire.ReplicaMessage_AppendResponse{AppendResponse: r}}
		out, err := core.Step(replica.Receive{Envelope: &wire.Envelope{ClusterId: "c", From: "b", To: "a", Messages: []*wire.ReplicaMessage{m}}})
		require.NoError(t, err)
		return out
	}
	const proposals = 100
	end := core.Status().Commit + 1 + proposals // after the first entry of the term
	sent := 0
	for id := range uint64(proposals) {
		out, err := core.Step(replica.Propose{ID: id, Data: make([]byte, largeEntry)})
		require.NoError(t, err)
		bytes, _ := entries(out)
		sent += bytes
	}
	require.LessOrEqual(t, sent, inFlightBytes+2*largeEntry, "before the member responds")
	bytes, last := entries(receive(&wire.AppendResponse{Hint: 1}))
	for rounds := 0; last < end; rounds++ {
		require.Positive(t, bytes)
		require.LessOrEqual(t, bytes, inFlightBytes+2*largeEntry)
		require.Less(t, rounds, proposals)
		bytes, last = entries(receive(&wire.AppendResponse{Ok: true, Match: last}))
	}
}
