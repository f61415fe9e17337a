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

// heartbeat is that of the agent in front of a target.
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

// Guards against a target that stays selectable after its agent fell silent,
// against a reader that isn't told, and against one that's told of nothing.
func TestSilenceAndRemovalReachReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster("e1", false)
		require.NoError(t, r.Start(t.Context()))
		defer func() { require.NoError(t, r.Stop(t.Context())) }()
		r.Announce(heartbeat("engine-1", "i1"))
		list := r.Since(0, "")
		require.True(t, list.GetFull())
		require.Len(t, list.GetChanges(), 1)

		changed := r.Changed()
		require.Empty(t, r.Since(list.GetVersion(), "e1").GetChanges())
		time.Sleep(2900 * time.Millisecond)
		require.False(t, r.Targets("generators")[0].GetSilent())
		<-changed
		require.True(t, r.Targets("generators")[0].GetSilent())
		delta := r.Since(list.GetVersion(), "e1")
		require.False(t, delta.GetFull())
		require.True(t, delta.GetChanges()[0].GetTarget().GetSilent())

		time.Sleep(roster.DefaultRemoval)
		require.Empty(t, r.Targets("generators"))
		require.True(t, r.Since(delta.GetVersion(), "e1").GetChanges()[0].GetRemoved())
	})
}

// Guards against a delayed heartbeat that brings a replaced incarnation back.
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
	})
}
