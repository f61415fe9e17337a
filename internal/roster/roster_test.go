package roster_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// heartbeat returns a heartbeat of the agent of a target.
func heartbeat(name, incarnation string) *wire.HeartbeatRequest {
	return &wire.HeartbeatRequest{
		Process: &wire.ProcessInfo{
			Name: "agent-" + name, Role: "agent", Incarnation: incarnation, Address: "10.0.0.1:7000",
			FailureDomain: "milford", Region: "south-wales", Ready: true,
		},
		Target:        &wire.TargetInfo{Name: name, Kind: "engine", Service: "generators", Models: []string{"bunker-7b"}, Slots: 8, Version: 1},
		TargetVersion: 1,
	}
}

func newRoster(epoch string, follow bool) *roster.Roster {
	return roster.New(roster.Options{Timer: timer.NewService(), Epoch: epoch, Follow: follow})
}

// Guards against a target that stays selectable after its agent's heartbeat timeout,
// against a reader that isn't notified of it, and against a reader that is notified without
// a change.
func TestSilenceAndRemovalReachReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster("e1", false)
		require.NoError(t, r.Start(t.Context()))
		defer func() { require.NoError(t, r.Stop(t.Context())) }()
		r.Announce(heartbeat("engine-1", "i1"))
		list := r.ChangesSince(0, "")
		require.True(t, list.GetFull())
		require.Len(t, list.GetChanges(), 1)

		changed := r.Changed()
		require.Empty(t, r.ChangesSince(list.GetVersion(), "e1").GetChanges())
		time.Sleep(2900 * time.Millisecond)
		require.False(t, r.Targets("generators")[0].GetSilent())
		select {
		case <-changed:
		case <-time.After(time.Second):
			require.Fail(t, "a heartbeat timeout doesn't notify readers")
		}
		require.True(t, r.Targets("generators")[0].GetSilent())
		delta := r.ChangesSince(list.GetVersion(), "e1")
		require.False(t, delta.GetFull())
		require.True(t, delta.GetChanges()[0].GetTarget().GetSilent())

		time.Sleep(roster.DefaultRemovalTimeout)
		require.Empty(t, r.Targets("generators"))
		require.True(t, r.ChangesSince(delta.GetVersion(), "e1").GetChanges()[0].GetRemoved())
	})
}

// Guards against a delayed heartbeat that restores a replaced incarnation.
func TestReplacedIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster("e1", false)
		for i := range 3 {
			r.Announce(heartbeat("engine-1", fmt.Sprintf("i%d", i)))
		}
		r.Announce(heartbeat("engine-1", "i0"))
		time.Sleep(4 * time.Second)
		r.Announce(heartbeat("engine-1", "i1"))
		require.Equal(t, "i2", r.Targets("generators")[0].GetIncarnation())

		r.Announce(heartbeat("engine-1", "i2"))
		next := heartbeat("engine-1", "i3")
		next.Target = nil
		before := r.ChangesSince(0, "").GetVersion()
		require.True(t, r.Announce(next))
		require.Greater(t, r.ChangesSince(0, "").GetVersion(), before, "a new incarnation isn't a change")
		require.Empty(t, r.Targets("generators"), "a new incarnation has the old description")
	})
}

// Guards against an entry that loses all targets when it is disconnected from the control
// VMs, or when the followed control VM has just restarted.
func TestFollowerKeepsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, entry := newRoster("e1", false), newRoster("entry", true)
		r.Announce(heartbeat("engine-1", "i1"))
		r.Announce(heartbeat("engine-2", "i1"))
		entry.Merge(r.ChangesSince(0, ""))
		time.Sleep(time.Hour)
		silent := func() (out []bool) {
			for _, target := range entry.Targets("generators") {
				out = append(out, target.GetSilent())
			}
			return out
		}
		require.Equal(t, []bool{false, false}, silent())

		restarted := newRoster("e2", false)
		entry.Merge(restarted.ChangesSince(0, "e1"))
		require.Equal(t, []bool{false, false}, silent())
		restarted.Announce(heartbeat("engine-1", "i1"))
		entry.Merge(restarted.ChangesSince(0, "e2"))
		time.Sleep(roster.DefaultHeartbeatTimeout)
		require.Equal(t, []bool{false, true}, silent())
		time.Sleep(roster.DefaultRemovalTimeout)
		require.Equal(t, []bool{false}, silent())
	})
}

// Guards against a target that is listed with an outdated description.
func TestDescriptionIsRequested(t *testing.T) {
	r := newRoster("e1", false)
	h := heartbeat("engine-1", "i1")
	described := h.GetTarget()
	h.Target = nil
	require.True(t, r.Announce(h))
	require.Empty(t, r.Targets("generators"))
	h.Target = described
	require.False(t, r.Announce(h))
	h.Target, h.TargetVersion = nil, 2
	require.True(t, r.Announce(h))
	require.Equal(t, "10.0.0.1:7000", r.Targets("generators")[0].GetAgentAddress())
	before := r.ChangesSince(0, "").GetVersion()
	h.Process.Leaving = true
	h.Load = &wire.LoadReport{Queued: 3}
	r.Announce(h)
	require.True(t, r.Targets("generators")[0].GetLeaving())
	h.Load = &wire.LoadReport{Queued: 4}
	r.Announce(h)
	require.Equal(t, before+1, r.ChangesSince(0, "").GetVersion(), "a load report is a change")
	load, _, ok := r.Load("agent-engine-1")
	require.True(t, ok)
	require.EqualValues(t, 4, load.GetQueued())
}

// Requirement P5: a drain reaches the readers without a heartbeat, ends when it is revoked,
// and is not merged from a peer.
func TestDrainReachesFollowers(t *testing.T) {
	r, peer, entry := newRoster("e1", false), newRoster("e2", false), newRoster("entry", true)
	leaving := func(r *roster.Roster) bool { return r.Targets("generators")[0].GetLeaving() }
	last := &wire.RosterResponse{}
	follow := func() bool {
		last = r.ChangesSince(last.GetVersion(), last.GetEpoch())
		entry.Merge(last)
		return leaving(entry)
	}
	r.Announce(heartbeat("engine-1", "i1"))
	require.False(t, follow())
	changed := r.Changed()
	r.SetDrains([]string{"engine-1"})
	select {
	case <-changed:
	default:
		require.Fail(t, "a drain doesn't notify readers")
	}
	require.True(t, follow())
	peer.Merge(r.ChangesSince(0, ""))
	require.False(t, leaving(peer))
	r.Announce(heartbeat("engine-1", "i1"))
	require.True(t, leaving(r))
	r.SetDrains(nil)
	require.False(t, follow())
	require.Len(t, last.GetChanges(), 1)
}

// Guards against a leader that plans with load reports that only circulate between the VMs:
// each VM forwards only the reports that it receives itself, and prefers them to a peer's
// report.
func TestLoadsAreHandedOnOnce(t *testing.T) {
	r, peer := newRoster("e1", false), newRoster("e2", false)
	h := heartbeat("engine-1", "i1")
	h.Load = &wire.LoadReport{Queued: 3}
	r.Announce(h)
	peer.Merge(r.ChangesSince(0, ""))
	peer.MergeLoads(r.Loads())
	load, _, ok := peer.Load("agent-engine-1")
	require.True(t, ok)
	require.EqualValues(t, 3, load.GetQueued())
	require.Empty(t, peer.Loads(), "a peer's report is forwarded as the VM's own")
	r.MergeLoads([]*wire.ProcessLoad{{Process: "agent-engine-1", Load: &wire.LoadReport{Queued: 9}}})
	load, _, _ = r.Load("agent-engine-1")
	require.EqualValues(t, 3, load.GetQueued(), "a peer's report replaces the VM's own")
}
