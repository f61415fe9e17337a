package gateway

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/quarantine"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against a cold target without a limit, against limits where the catalog names no cold
// profile, or where it no longer does, and against a target that counts as warm after an
// evacuation of its domain by what it announced before.
func TestColdTargetsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, ts := metrics.New("test"), timer.NewService()
		table := discovery.NewTable(discovery.Options{HeartbeatTimeout: 6 * time.Second})
		limits := pacing.NewRegister("gateway-1")
		var revokedAt time.Time
		g := New(Options{
			Timers: ts, Quarantine: quarantine.NewRegister("gateway-1"), Metrics: m, Codec: plainCodec{}, Table: table, Limits: limits,
			Cold: pacing.ColdBounds{Overshoot: 1.5, Slack: 5},
			UnknownSince: func(domain string) time.Time {
				if domain == "evacuated" {
					return revokedAt
				}
				return time.Time{}
			},
		})
		version := uint64(0)
		install := func(p *catalog.ColdProfile) {
			version++
			c, err := catalog.New(catalog.Input{Version: version, Services: []catalog.ServiceInput{{Name: "engines", Cold: p}, {Name: "others"}}})
			require.NoError(t, err)
			g.install("test", c)
		}
		sequence := uint64(0)
		announce := func(id, service, domain string, left time.Duration) {
			sequence++
			table.Announce(&wire.RegisteredTarget{
				Id: id, Service: service, Address: id + ":1", FailureDomain: domain, Slots: 4, State: wire.TargetState_TARGET_STATE_READY,
				BornMs: 1, Sequence: sequence, WarmUpMs: uint32(left.Milliseconds()),
			}, time.Now())
		}
		cold := func() []string {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.syncPools()
			var list []string
			for id, s := range limits.Limits(time.Now()) {
				require.Positive(t, s.ColdLeftMs)
				list = append(list, id)
			}
			slices.Sort(list)
			return list
		}
		announce("a", "engines", "d", 20*time.Second)
		announce("b", "engines", "evacuated", 0)
		announce("c", "others", "d", 20*time.Second)
		install(nil)
		require.Empty(t, cold(), "no profile")
		install(&catalog.ColdProfile{Duration: 30 * time.Second, RequestRate: 11})
		require.Equal(t, []string{"a"}, cold())
		install(nil)
		require.Empty(t, cold())
		install(&catalog.ColdProfile{Duration: 30 * time.Second, RequestRate: 11})
		time.Sleep(20 * time.Second)
		require.Empty(t, cold(), "the time has passed")
		announce("a", "engines", "d", 5*time.Second)
		require.Equal(t, []string{"a"}, cold(), "in the middle of its life")
		announce("a", "engines", "d", 0)
		require.Empty(t, cold(), "it says that it is warm")

		revokedAt = time.Now()
		for time.Since(revokedAt) < time.Minute {
			require.Equal(t, []string{"b"}, cold(), "nothing is heard of it")
			time.Sleep(time.Second)
		}
		revokedAt = time.Now()
		for time.Since(revokedAt) < 4*time.Second {
			announce("b", "engines", "evacuated", 0)
			require.Equal(t, []string{"b"}, cold(), "announcements may be late")
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		announce("b", "engines", "evacuated", 0)
		require.Empty(t, cold())
		announce("b", "engines", "evacuated", 8*time.Second)
		require.Equal(t, []string{"b"}, cold())
		require.NoError(t, m.Close())
	})
}
