package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against a removal that leaves no quorum reachable, that removes the leader or a
// responsive VM, or that runs concurrently with another member change, and against a
// removed VM that can't rejoin.
func TestRemoveMember(t *testing.T) {
	runWithCluster(t, func(c *cluster) {
		l := c.leader()
		time.Sleep(time.Second)
		gone, alive := c.others(l)[0], c.others(l)[1]
		id := func(v *vm) string { return v.node.Status().Member }
		client := c.client("operator", alive) // a follower, which forwards to the leader
		remove := func(member string) *wire.RemoveMemberResponse {
			r, err := client.RemoveMember(c.context(5*time.Second), member)
			require.NoError(c.t, err)
			return r
		}
		goneID, aliveID := id(gone), id(alive)
		require.Equal(c.t, replica.RemovalUnknownMember, remove("nobody").GetRefusal())
		require.Equal(c.t, replica.RemovalMemberIsLeader, remove(id(l)).GetRefusal())
		require.Equal(c.t, replica.RemovalMemberReachable, remove(goneID).GetRefusal())
		c.crash(gone)
		time.Sleep(time.Second)
		require.Equal(c.t, replica.RemovalNoQuorum, remove(aliveID).GetRefusal())
		r := remove(goneID)
		require.Empty(c.t, r.GetRefusal())
		caughtUp := 0
		for _, m := range c.client("operator", l).StatusAll(c.context(time.Second))[0].GetMembers() {
			if m.GetActive() && m.GetCaughtUp() {
				caughtUp++
			}
		}
		require.Equal(c.t, 2, caughtUp)
		require.Equal(c.t, gone.address, r.GetMember().GetAddress())
		require.Len(c.t, l.node.Status().Members, 2)
		require.Equal(c.t, replica.RemovalUnknownMember, remove(goneID).GetRefusal())

		c.start(gone)
		time.Sleep(3 * time.Second)
		require.Equal(c.t, goneID, id(gone))
		require.Len(c.t, l.node.Status().Members, 3)
		require.Equal(c.t, 1, l.node.Status().FaultTolerance, "it is a voter again")
	})
}
