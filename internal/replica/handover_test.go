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

// Guards against a hand-over that a healthy cluster doesn't carry out within a few
// round trips, that leaves an accepted proposal uncertain, or that goes to a voter
// without the whole log, which can't win.
func TestHandOver(t *testing.T) {
	checkSeeds(t, func(t *rapid.T) {
		s := newSim(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"), 12, 200, rapid.Uint64().Draw(t, "seed"))
		s.settle()
		l := s.leader()
		behind := s.vms[(slices.Index(s.vms, l)+1)%len(s.vms)]
		// The first voter of the list misses entries, and half of the messages that are
		// under way at the hand-over are lost.
		s.cut[behind.address] = true
		for range rapid.IntRange(0, 5).Draw(t, "proposals") {
			s.propose(l)
		}
		s.rounds(rapid.IntRange(0, 2).Draw(t, "rounds"))
		delete(s.cut, behind.address)
		if rapid.Bool().Draw(t, "proposal under way") {
			s.propose(l)
		}
		last, term := uint64(0), l.core.Status().Term
		for index := range l.accepted {
			last = max(last, index)
		}
		s.handOver(l)
		s.bag = slices.DeleteFunc(s.bag, func(simMessage) bool { return rapid.Bool().Draw(t, "lost") })
		s.propose(l)
		s.read(l)
		s.rounds(8)
		require.Negative(t, l.handing, "answered: %s", s)
		require.NotNil(t, s.leader(), "another leads: %s", s)
		require.NotEqual(t, l, s.leader())
		require.Equal(t, term+1, s.leader().core.Status().Term, "the first election succeeds")
		require.GreaterOrEqual(t, l.applied, last, "accepted proposals are applied where they were accepted")
		require.Equal(t, 1, l.refused, "the proposal that came during the hand-over is refused")
	})
}

// Guards against a request to stand that was delayed and unseats a leader which
// gave its hand-over up and has accepted proposals since.
func TestDelayedHandOverRequestIsIgnored(t *testing.T) {
	s, l, v := startedSim(t)
	status := l.core.Status()
	request := &wire.ReplicaMessage{Term: status.Term, Kind: &wire.ReplicaMessage_HandOverRequest{HandOverRequest: &wire.HandOverRequest{LastIndex: status.Commit}}}
	s.propose(l)
	s.rounds(4)
	s.step(v, replica.Receive{Envelope: &wire.Envelope{ClusterId: status.Cluster, From: l.id, To: v.id, Messages: []*wire.ReplicaMessage{request}}})
	require.Equal(t, replica.Follower, v.core.Status().Role)
}

// Guards against a hand-over without an answering voter that holds up the stop of
// the process, and against proposals that are lost when it fails.
func TestHandOverWithoutSuccessor(t *testing.T) {
	s, l, _ := startedSim(t)
	for _, v := range s.vms {
		s.cut[v.address] = v != l
	}
	s.handOver(l)
	accepted := len(l.accepted)
	s.propose(l)
	s.rounds(13)
	require.Negative(t, l.handing)
	require.Equal(t, accepted+1, len(l.accepted)+l.refused)
	s.settle()

	alone := newSim(t, 1, 12, 200, 1)
	alone.rounds(60)
	alone.handOver(alone.leader())
	require.Negative(t, alone.vms[0].handing, "a single voter doesn't wait")
}

// Guards against a planned stop whose leader doesn't wait for its successor, so that
// callers are without a leader for an election timeout.
func TestNodeHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 3)
		l := c.leader()
		_, err := l.node.Propose(t.Context(), []byte("before"))
		require.NoError(t, err)
		time.Sleep(time.Second)
		began := time.Now()
		require.NoError(t, l.node.TransferLeadership(t.Context()))
		require.NotEqual(t, replica.Leader, l.node.Status().Role)
		_, err = l.node.Propose(t.Context(), []byte("refused"))
		var elsewhere *replica.NotLeaderError
		require.ErrorAs(t, err, &elsewhere)
		next := c.vms[elsewhere.Leader()]
		require.NotNil(t, next, fmt.Sprint(err))
		_, err = next.node.ProposeInTerm(t.Context(), next.node.Status().Term-1, []byte("of another term"))
		require.ErrorAs(t, err, &elsewhere)
		_, err = next.node.Propose(t.Context(), []byte("after"))
		require.NoError(t, err)
		require.Less(t, time.Since(began), 12*replica.TickPeriod, "one election timeout")
		require.NoError(t, l.node.TransferLeadership(t.Context()), "nothing to hand over")
		require.Equal(t, []string{"before", "after"}, next.lines.all())
	})
}
