package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against a version that is acknowledged before it is committed, against one that is removed
// while it has a target or streams that may be taken up, and against one that stays for good, so that
// the only version that is left can't be told after a restart of all control VMs.
func TestVersionsFollowTargetsAndStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		s := &service{d: d}
		time.Sleep(time.Second)
		record := func(stream uint64, software string, life time.Duration) bool {
			d.confirm(t.Context())
			r, err := s.RecordOrigins(t.Context(), &wire.RecordOriginsRequest{Origins: []*wire.StreamOrigin{
				{Stream: stream, Service: "s", Software: software, Attempt: 1, LifeMs: uint32(life.Milliseconds())},
			}})
			require.NoError(t, err)
			return r.GetStored()[0]
		}
		active := func() []string { return d.o.Store.softwareVersions("s").Active }
		announce := func(id, software string, state wire.TargetState, sequence uint64) {
			d.Announce(t.Context(), &wire.RegisteredTarget{Id: id, Service: "s", Address: id + ":1", BornMs: 1, Sequence: sequence, State: state, Software: software})
		}
		announce("a", "v1", wire.TargetState_TARGET_STATE_READY, 1)
		announce("b", "v2", wire.TargetState_TARGET_STATE_READY, 1)
		require.True(t, record(1, "v1", time.Minute))
		require.True(t, record(2, "v2", 10*time.Minute))
		require.Equal(t, []string{"v1", "v2"}, active())
		step := func(total time.Duration) {
			for range int(total / versionInterval) {
				time.Sleep(versionInterval)
				d.removeVersions(t.Context())
			}
		}
		step(3 * versionRetention)
		require.Equal(t, []string{"v1", "v2"}, active(), "both have targets")
		announce("a", "v1", wire.TargetState_TARGET_STATE_GONE, 2)
		announce("b", "v2", wire.TargetState_TARGET_STATE_GONE, 2)
		announce("c", "v3", wire.TargetState_TARGET_STATE_READY, 1)
		require.True(t, record(3, "v3", time.Minute))
		step(versionRetention - 2*versionInterval)
		require.Equal(t, []string{"v1", "v2", "v3"}, active())
		step(3 * versionInterval)
		require.Equal(t, []string{"v2", "v3"}, active(), "a stream of v2 may still be taken up")
		for d.o.Store.softwareVersions("s").Has("v2") {
			step(versionInterval)
		}
		step(firstDelay - versionInterval)
		require.Equal(t, "v1", d.o.Store.softwareVersions("s").First, "gateways may not have asked since v1 was removed")
		step(3 * versionInterval)
		require.Equal(t, []string{"v3"}, active())
		require.Equal(t, "v3", d.o.Store.softwareVersions("s").First, "its streams need no records any more")

		data, err := d.o.Store.BeginSnapshot()()
		require.NoError(t, err)
		restored := NewStore()
		require.NoError(t, restored.Restore(9, data))
		require.Equal(t, d.o.Store.versions(), restored.versions())
		require.Equal(t, d.o.Store.allSoftwareVersions(), restored.allSoftwareVersions())
		d.confirmed.Store(nil)
		r, err := s.RecordOrigins(t.Context(), &wire.RecordOriginsRequest{Origins: []*wire.StreamOrigin{{Stream: 4, Service: "s", Software: "v4"}, {Stream: 5, Service: "s", Software: "v3"}}})
		require.NoError(t, err)
		require.Equal(t, []bool{false, true}, r.GetStored(), "without a quorum no version is added")
	})
}

// Guards against the loss of the versions of running streams when the control VMs restart in turn: each
// gets them from the others.
func TestOriginsSurviveRestartsInTurn(t *testing.T) {
	d := newDirectory(t)
	s := &service{d: d}
	d.o.Origins.SetComplete(time.Time{})
	for i := range 20 {
		d.o.Origins.Record(origin.NewRecord(origin.Stream(i), "s", fmt.Sprint("v", i%3), uint32(i), time.Minute), time.Now())
	}
	r, err := s.ListOrigins(t.Context(), &wire.ListOriginsRequest{})
	require.NoError(t, err)
	require.True(t, r.GetAlwaysComplete())
	other := newDirectory(t)
	other.mergeOrigins(r, time.Now())
	for i := range 20 {
		rec, ok := other.o.Origins.Find(origin.Stream(i), time.Now())
		require.True(t, ok)
		require.Equal(t, fmt.Sprint("v", i%3), rec.Software())
		require.Equal(t, uint32(i), rec.Attempt())
	}
}
