package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/warmup"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against a gateway that starts and takes all targets for new, against new and cold targets
// that get their whole load at once, and against shares where nobody asked for them.
func TestTargetsThatAreNewOrColdWarmUp(t *testing.T) {
	c, err := catalog.New(catalog.Input{Version: 1, Services: []catalog.ServiceInput{
		{Name: "plain"}, {Name: "cold", Cold: &catalog.ColdProfile{Duration: time.Second, RequestRate: 10}},
	}})
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	share := func(m *ramps, service, target string, born int64, warmUpMs uint32) float64 {
		s, ok := c.Service(service)
		require.True(t, ok)
		of := m.of(s, now)
		if of == nil {
			return 1
		}
		share, _ := of(&wire.RegisteredTarget{Id: target, BornMs: born, WarmUpMs: warmUpMs}).Share(now)
		return share
	}
	some, all := newRamps(warmup.NewRegister(), false), newRamps(warmup.NewRegister(), true)
	for _, m := range []*ramps{some, all} {
		require.InDelta(t, 1, share(m, "cold", "a", 1, 0), 0)
		require.Less(t, share(m, "cold", "b", 1, 100), 0.1)
	}
	require.InDelta(t, 1, share(all, "plain", "c", 1, 0), 0)
	now = now.Add(presentTime + time.Second)
	for _, m := range []*ramps{some, all} {
		require.Less(t, share(m, "cold", "a", 2, 0), 0.1)
		require.Less(t, share(m, "cold", "d", 1, 0), 0.1)
	}
	require.InDelta(t, 1, share(some, "plain", "c", 2, 100), 0)
	require.Less(t, share(all, "plain", "c", 2, 0), 0.1)
}
