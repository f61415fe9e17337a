package replica_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against a leadership transfer that takes more than a few round trips in a
// healthy cluster, that leaves the outcome of an accepted proposal uncertain, or that
// targets a voter with an incomplete log, which can't win the election.
func TestHandOver(t *testing.T) {
	checkSeeds(t, func(t *rapid.T) {
		s := newSim(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"), 12, 200, rapid.Uint64().Draw(t, "seed"))
		s.healAndVerify()
		l := s.leader()
		lagging := s.vms[(slices.Index(s.vms, l)+1)%len(s.vms)]
		// The next voter misses entries, and half of the messages in flight at the start
		// of the transfer are lost.
		s.partitioned[lagging.address] = true
		for range rapid.IntRange(0, 5).Draw(t, "proposals") {
			s.propose(l)
		}
		s.rounds(rapid.IntRange(0, 2).Draw(t, "rounds"))
		delete(s.partitioned, lagging.address)
		if rapid.Bool().Draw(t, "proposal in flight") {
			s.propose(l)
		}
		last, term := uint64(0), l.core.Status().Term
		for index := range l.accepted {
			last = max(last, index)
		}
		s.transferLeadership(l)
		s.inFlight = slices.DeleteFunc(s.inFlight, func(simMessage) bool { return rapid.Bool().Draw(t, "lost") })
		s.propose(l)
		s.read(l)
		s.rounds(8)
		require.Negative(t, l.transferTicks, "the transfer finishes: %s", s)
		require.NotNil(t, s.leader(), "another VM is the leader: %s", s)
		require.NotEqual(t, l, s.leader())
		require.Equal(t, term+1, s.leader().core.Status().Term, "the first election succeeds")
		require.GreaterOrEqual(t, l.applied, last, "accepted proposals are applied where they were accepted")
		require.Equal(t, 1, l.rejectedProposals, "the proposal that arrived during the transfer is rejected")
	})
}

// Guards against a delayed transfer request that disrupts a leader which has abandoned
// the transfer and accepted proposals since.
func TestStaleLeadershipTransferRequestIsIgnored(t *testing.T) {
	s, l, v := newHealthySim(t)
	status := l.core.Status()
	request := &wire.ReplicaMessage{Term: status.Term, Kind: &wire.ReplicaMessage_HandOverRequest{HandOverRequest: &wire.HandOverRequest{LastIndex: status.Commit}}}
	s.propose(l)
	s.rounds(4)
	s.step(v, replica.Receive{Envelope: &wire.Envelope{ClusterId: status.Cluster, From: l.id, To: v.id, Messages: []*wire.ReplicaMessage{request}}})
	require.Equal(t, replica.Follower, v.core.Status().Role)
}

// Guards against a leadership transfer that delays the shutdown of the process if no
// voter responds, and against proposals that are lost when the transfer fails.
func TestLeadershipTransferWithoutSuccessor(t *testing.T) {
	s, l, _ := newHealthySim(t)
	for _, v := range s.vms {
		s.partitioned[v.address] = v != l
	}
	s.transferLeadership(l)
	accepted := len(l.accepted)
	s.propose(l)
	s.rounds(13)
	require.Negative(t, l.transferTicks)
	require.Equal(t, accepted+1, len(l.accepted)+l.rejectedProposals)
	s.healAndVerify()

	alone := newSim(t, 1, 12, 200, 1)
	alone.rounds(60)
	alone.transferLeadership(alone.leader())
	require.Negative(t, alone.vms[0].transferTicks, "a transfer with a single voter fails immediately")
}

// Guards against a leadership transfer that returns before the successor is the leader,
// which would leave callers without a leader for an election timeout.
func TestNodeTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 3)
		l := c.leader()
		_, err := l.node.Propose(t.Context(), []byte("before"))
		require.NoError(t, err)
		time.Sleep(time.Second)
		startedAt := time.Now()
		require.NoError(t, l.node.TransferLeadership(t.Context()))
		require.NotEqual(t, replica.Leader, l.node.Status().Role)
		_, err = l.node.Propose(t.Context(), []byte("rejected"))
		var notLeader *replica.NotLeaderError
		require.ErrorAs(t, err, &notLeader)
		next := c.vms[notLeader.Leader()]
		require.NotNil(t, next, fmt.Sprint(err))
		_, err = next.node.ProposeInTerm(t.Context(), next.node.Status().Term-1, []byte("of another term"))
		require.ErrorAs(t, err, &notLeader)
		_, err = next.node.Propose(t.Context(), []byte("after"))
		require.NoError(t, err)
		require.Less(t, time.Since(startedAt), 12*replica.TickPeriod, "one election timeout")
		require.NoError(t, l.node.TransferLeadership(t.Context()), "no leadership to transfer")
		require.Equal(t, []string{"before", "after"}, next.store.all())
	})
}
