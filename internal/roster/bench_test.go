package roster_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/wire"
)

func newFilledRoster(targets int) *roster.Roster {
	r := newRoster("epoch-8f14e45fceea167a", false)
	for i := range targets {
		r.Announce(heartbeat(fmt.Sprintf("engine-%d", i), "8f14e45fceea167a"))
	}
	return r
}

// BenchmarkSince reports the time and size of a response without changes, with one change,
// and with the full list.
func BenchmarkSince(b *testing.B) {
	for _, targets := range []int{10, 100, 850} {
		r := newFilledRoster(targets)
		version, epoch := r.ChangesSince(0, "").GetVersion(), "epoch-8f14e45fceea167a"
		for _, c := range []struct {
			name  string
			since uint64
		}{{"none", version}, {"one", version - 1}, {"full", version + 1}} {
			b.Run(fmt.Sprintf("%s-%d", c.name, targets), func(b *testing.B) {
				b.ReportAllocs()
				var response *wire.RosterResponse
				for b.Loop() {
					response = r.ChangesSince(c.since, epoch)
				}
				b.ReportMetric(float64(proto.Size(response)), "bytes")
			})
		}
	}
}

// BenchmarkAnnounce reports the time and size of a heartbeat that changes nothing. The
// description is sent only on request.
func BenchmarkAnnounce(b *testing.B) {
	for _, targets := range []int{10, 100, 850} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			r := newFilledRoster(targets)
			h := heartbeat("engine-0", "8f14e45fceea167a")
			h.Target = nil
			h.Process.Revision = 1200
			h.Load = &wire.LoadReport{Queued: 3, Running: 8, Slots: 8, AgeMs: 250, CachedTokens: 120_000, InFlight: 11}
			b.ReportAllocs()
			for b.Loop() {
				r.Announce(h)
			}
			b.ReportMetric(float64(proto.Size(h)), "bytes")
		})
	}
}
