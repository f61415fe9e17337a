package replica_test

import (
	"bytes"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"
	"github.com/spf13/afero"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// findSnapshotPart returns the position of an in-flight part with data after the first
// part, or -1.
func (s *sim) findSnapshotPart() int {
	return slices.IndexFunc(s.inFlight, func(m simMessage) bool {
		p := m.envelope.Messages[0].GetSnapshotPart()
		return p.GetOffset() > 0 && len(p.GetData()) > 0
	})
}

// corruptPart changes a byte of the snapshot part in an in-flight message.
func (s *sim) corruptPart(at int) {
	m := &s.inFlight[at]
	m.envelope = proto.Clone(m.envelope).(*wire.Envelope)
	m.envelope.Messages[0].GetSnapshotPart().Data[0]++
}

// Guards against installing a snapshot whose parts were lost, duplicated, reordered or
// corrupted, or came from another snapshot, term or leader, and against a transfer that
// never completes after such a fault.
func TestTransfersUnderFaults(t *testing.T) {
	interrupted := map[string]int{}
	checkSeeds(t, func(t *rapid.T) { checkTransfers(t, interrupted) })
	for _, fault := range transferFaults {
		require.Positive(t, interrupted[fault], "%s during a transfer", fault)
	}
}

var transferFaults = []string{"corrupted part", "message loss", "leader crash", "leader partitioned", "receiver crash", "new snapshot"}

func checkTransfers(t *rapid.T, interrupted map[string]int) {
	s := newSim(t, 3, 12, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "message bytes"), rapid.Uint64().Draw(t, "seed"))
	for range rapid.IntRange(1, 3).Draw(t, "repairs") {
		s.healAndVerify()
		l := s.leader()
		v := s.vms[(slices.Index(s.vms, l)+rapid.IntRange(1, 2).Draw(t, "receiver"))%3]
		for range 10 {
			s.propose(l)
		}
		s.rounds(4)
		s.takeSnapshot(l)
		s.loseDisk(v)
		for i := 0; i < 500 && s.findSnapshotPart() < 0; i++ {
			s.randomStep()
		}
		fault := rapid.SampledFrom(transferFaults).Draw(t, "fault")
		s.injectTransferFault(fault, v, interrupted)
		for range rapid.IntRange(0, 2*randomSteps).Draw(t, "steps") {
			s.randomStep()
		}
	}
	s.healAndVerify()
}

func (s *sim) injectTransferFault(fault string, receiver *simVM, interrupted map[string]int) {
	at := s.findSnapshotPart()
	if at < 0 || s.leader() == nil {
		return
	}
	interrupted[fault]++
	switch fault {
	case "corrupted part":
		s.corruptPart(at)
	case "message loss":
		s.inFlight = slices.DeleteFunc(s.inFlight, func(m simMessage) bool { return m.to == receiver.address })
	case "leader crash":
		s.crash(s.leader(), 1)
	case "leader partitioned":
		s.partitioned[s.leader().address] = true
	case "receiver crash":
		s.crash(receiver, 1)
		s.restart(receiver)
	case "new snapshot":
		s.propose(s.leader())
		s.rounds(1)
		s.takeSnapshot(s.leader())
	}
}

// Guards against a transfer that restarts when a newer snapshot is taken, when saving
// takes the receiver longer than the election timeout, or when the receiver is
// temporarily disconnected. Also guards against compacting the entries after the
// snapshot, against a transfer without heartbeats, and against a receiver that
// acknowledges entries before they are durable.
func TestLeaderUnderLoadSendsSnapshotOnce(t *testing.T) {
	s := newSim(t, 3, 12, 1, 1)
	s.healAndVerify()
	l := s.leader()
	v := s.vms[(slices.Index(s.vms, l)+1)%3]
	for range 10 {
		s.propose(l)
	}
	s.rounds(4)
	s.takeSnapshot(l)
	s.loseDisk(v)
	size := 8 * (1 + slices.Index(s.vms, l))
	sent, index := 0, uint64(0)
	for i := 0; !s.healthy(); i++ {
		require.Less(t, i, 400)
		s.sendHello(v, l)
		s.partitioned[v.address] = i >= 60 && i < 75
		saving := slices.ContainsFunc(v.writes, containsSnapshot)
		if saving {
			status := statusOf(l, v)
			require.Zero(t, status.Match, "the match index is durable")
			require.True(t, status.Active || i >= 60 && i < 80, "heartbeats continue")
		}
		for _, vm := range s.vms {
			s.step(vm, replica.Tick{})
			if vm != v || !saving || i%100 == 99 {
				s.sync(vm, len(vm.writes))
			}
		}
		// Only a few messages are delivered between two snapshots, so that many snapshots
		// are taken during the transfer.
		for range min(len(s.inFlight), 9) {
			if p := s.inFlight[0].envelope.Messages[0].GetSnapshotPart(); len(p.GetData()) > 0 {
				sent += len(p.Data)
				index = p.Index
			}
			s.deliver(0, false)
		}
		if i < 120 && i%4 == 0 {
			s.propose(l)
			s.takeSnapshot(l)
		}
	}
	require.Equal(t, size, sent, "each byte is sent once")
	require.Greater(t, l.core.Status().Commit, index+10, "newer snapshots were taken during the transfer")
}

// Guards against a transfer that continues with parts from the leader of another term.
func TestTransferStartsOverInAnotherTerm(t *testing.T) {
	core, err := replica.NewCore(journal.Contents{State: journal.State{Cluster: "c", Member: "m", Term: 1}}, replica.CoreOptions{})
	require.NoError(t, err)
	data := []byte("orders")
	receive := func(from string, term, offset uint64) uint64 {
		part := &wire.SnapshotPart{Index: 9, SnapshotTerm: 1, Size: uint64(len(data)), Checksum: xxhash.Sum64(data), Offset: offset, Data: data[offset : offset+3]}
		out, err := core.Step(replica.Receive{Envelope: &wire.Envelope{ClusterId: "c", From: from, To: "m", Messages: []*wire.ReplicaMessage{
			{Term: term, Kind: &wire.ReplicaMessage_SnapshotPart{SnapshotPart: part}},
		}}})
		require.NoError(t, err)
		require.Nil(t, out.Snapshot)
		return out.Messages[0].Body.GetSnapshotProgress().GetReceived()
	}
	require.EqualValues(t, 3, receive("a", 1, 0))
	require.Zero(t, receive("b", 2, 3))
	require.EqualValues(t, 3, receive("b", 2, 0))
}

func containsSnapshot(w *replica.Write) bool { return w.Batch.Snapshot != nil }

// statusOf returns the leader's status of a member.
func statusOf(leader, member *simVM) replica.MemberStatus {
	members := leader.core.Status().Members
	return members[slices.IndexFunc(members, func(m replica.MemberStatus) bool { return m.Member.Id == member.id })]
}

// Guards against a leader that steps down because the only remaining voter takes longer
// than an election timeout to save a snapshot.
func TestSlowSnapshotSaveKeepsLeader(t *testing.T) {
	s, l, v := newHealthySim(t)
	for _, other := range s.vms {
		if other != l && other != v {
			s.crash(other, 0)
		}
	}
	s.propose(l)
	s.rounds(2)
	s.takeSnapshot(v)
	s.propose(l)
	commit := l.core.Status().Commit
	for range 100 {
		s.step(l, replica.Tick{})
		s.step(v, replica.Tick{})
		s.sync(l, len(l.writes))
		for len(s.inFlight) > 0 {
			s.deliver(0, false)
		}
	}
	require.Equal(t, replica.Leader, l.core.Status().Role)
	require.Equal(t, commit, l.core.Status().Commit, "nothing commits before it is durable")
	s.sync(v, len(v.writes))
	s.rounds(3)
	require.Greater(t, l.core.Status().Commit, commit)
}

// Guards against a leader that copies the complete snapshot, or has all of it in
// flight at once, for each receiving member.
func TestPartsShareSnapshotMemory(t *testing.T) {
	const size, partSize = 1 << 20, 1 << 10
	data := bytes.Repeat([]byte("order"), size/5)
	members := &wire.MemberList{Members: []*wire.Member{{Id: "a", Address: "1"}, {Id: "b", Address: "2", Learner: true}}}
	contents := journal.Contents{State: journal.State{Cluster: "c", Member: "a", Term: 1}, Snapshot: &wire.SnapshotRequest{Index: 9, SnapshotTerm: 1, Members: members, Data: data}}
	core, err := replica.NewCore(contents, replica.CoreOptions{MaxMessageBytes: partSize})
	require.NoError(t, err)
	step := func(e replica.Event) (parts []*wire.SnapshotPart) {
		out, err := core.Step(e)
		require.NoError(t, err)
		for _, m := range out.Messages {
			if p := m.Body.GetSnapshotPart(); len(p.GetData()) > 0 {
				parts = append(parts, p)
			}
		}
		return parts
	}
	for core.Status().Role != replica.Candidate {
		step(replica.Tick{})
	}
	step(replica.Persisted{Sequence: 1})
	rejected := &wire.ReplicaMessage{Term: core.Status().Term, Kind: &wire.ReplicaMessage_AppendResponse{AppendResponse: &wire.AppendResponse{}}}
	parts := step(replica.Receive{Envelope: &wire.Envelope{ClusterId: "c", From: "b", To: "a", Messages: []*wire.ReplicaMessage{rejected}}})
	require.NotEmpty(t, parts)
	require.LessOrEqual(t, len(parts), 4)
	for _, p := range parts {
		require.Same(t, &data[p.Offset], &p.Data[0])
		require.LessOrEqual(t, len(p.Data), partSize)
	}
}

// Guards against a log of a few large entries that grows until the number of entries
// triggers a snapshot.
func TestSnapshotIsTakenByBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 0)
		c.snapshotBytes = 4000
		c.addVMs(1, func() afero.Fs { return afero.NewMemMapFs() })
		for range 9 {
			_, err := c.leader().node.Propose(t.Context(), make([]byte, 1000))
			require.NoError(t, err)
		}
		c.stopAll()
		j, err := journal.Open(journal.Options{Folder: "/data", FileSystem: c.vms[c.peers[0]].fileSystem})
		require.NoError(t, err)
		contents := j.Contents()
		require.NotNil(t, contents.Snapshot)
		require.Less(t, len(contents.Entries), 4)
	})
}
