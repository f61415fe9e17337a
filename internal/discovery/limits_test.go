package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against gateways that go by an old list for good, because a control VM that was away for
// a while isn't asked for its list again.
func TestListOfGatewaysReturnsAfterAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	p := pacing.NewRegister("gateway")
	vms := map[string]*wire.WatchRequest{"vm-1": {}, "vm-2": {}}
	var x limitsExchange
	watch := func(vm string, ids ...uint64) {
		r := vms[vm]
		x.request(r, p, now)
		digest := uint64(len(ids))
		resp := &wire.WatchResponse{GatewaysDigest: digest}
		if r.GetGatewaysDigest() != digest {
			resp.GatewayIds = ids
		}
		x.receive(vm, r, resp, p, now, now)
	}
	watch("vm-1", 1, 2, 3)
	watch("vm-2", 1, 2)
	require.Equal(t, 3, p.Members())
	now = now.Add(time.Minute)
	watch("vm-2", 1, 2)
	require.Equal(t, 2, p.Members(), "the list of the other one is too old")
	watch("vm-1", 1, 2, 3)
	watch("vm-1", 1, 2, 3)
	require.Equal(t, 3, p.Members())
}

// Guards against limits that change on their way between processes, and against ones that can't
// be read.
func TestLimitsTravelWithTheirAges(t *testing.T) {
	now, there := time.Unix(1000, 0), time.Unix(5000, 0)
	list := []pacing.Statement{
		pacing.NewStatement("a", 7, pacing.RequestRate{PerSecond: 1.5}, now.Add(-3*time.Second), now.Add(-2*time.Second)),
		pacing.NewStatement("b", 8, pacing.Unlimited{}, now.Add(-time.Second), now),
	}
	message := EncodeLimits(list, now)
	bad := -1.0
	got := DecodeLimits(append(message, &wire.TargetLimit{Target: "c", PerSecond: &bad}), there)
	require.Equal(t, []pacing.Statement{
		pacing.NewStatement("a", 7, pacing.RequestRate{PerSecond: 1.5}, there.Add(-3*time.Second), there.Add(-2*time.Second)),
		pacing.NewStatement("b", 8, pacing.Unlimited{}, there.Add(-time.Second), there),
	}, got)
}
