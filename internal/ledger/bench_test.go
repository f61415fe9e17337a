package ledger_test

import (
	"fmt"
	"runtime"
	"sort"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const benchOrders = 1_000_000

// releaseID returns an order id of a typical length.
func releaseID(i int) string { return fmt.Sprintf("release-2026-%08d", i) }

func commandData(b *testing.B, c *wire.Command) []byte {
	data, err := proto.Marshal(c)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func claimData(b *testing.B, i int) []byte {
	return commandData(b, &wire.Command{AtMs: int64(i), Kind: &wire.Command_ClaimOrder{ClaimOrder: &wire.ClaimOrder{
		Customer: "depot-milford", OrderId: releaseID(i), BodyHash: make([]byte, 32), Attempt: fmt.Sprintf("%032x", i),
		Agent: "agent-orders-core-1", Incarnation: "8f14e45fceea167a", AgentAddress: "10.20.30.40:7000", Service: "orders-core",
		Operation: "release_fuel", Entry: "entry-1", Request: fmt.Sprintf("%032x", i), DeadlineMs: int64(i) + 2000,
	}}})
}

func doneData(b *testing.B, i int) []byte {
	return commandData(b, &wire.Command{AtMs: int64(i), Kind: &wire.Command_RecordOutcome{RecordOutcome: &wire.RecordOutcome{
		Customer: "depot-milford", OrderId: releaseID(i), Attempt: fmt.Sprintf("%032x", i), State: wire.OrderState_ORDER_STATE_DONE, Result: []byte(`{"released":true,"litres":42000}`),
	}}})
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMillionOrders measures the memory per order, the time of a lookup, and how
// long a snapshot takes and blocks Apply.
func BenchmarkMillionOrders(b *testing.B) {
	before := heapBytes()
	l := ledger.New(ledger.Options{})
	index := uint64(0)
	for i := range benchOrders {
		l.Apply(index+1, claimData(b, i))
		l.Apply(index+2, doneData(b, i))
		index += 2
	}
	perOrder := float64(heapBytes()-before) / benchOrders
	b.Run("lookup", func(b *testing.B) {
		ids := make([]string, 4096)
		for i := range ids {
			ids[i] = releaseID(i * 7919 % benchOrders)
		}
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			if _, ok := l.Order("depot-milford", ids[n%len(ids)]); !ok {
				b.Fatal("order lost")
			}
			n++
		}
		b.ReportMetric(perOrder, "bytes/order")
	})
	b.Run("claim", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			data := claimData(b, int(index))
			b.StartTimer()
			index++
			l.Apply(index, data)
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		var blocked time.Duration
		var size int
		for b.Loop() {
			start := time.Now()
			view := l.View()
			blocked = max(blocked, time.Since(start))
			data, err := view.Marshal()
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(blocked.Microseconds()), "µs-blocked-max")
		b.ReportMetric(float64(size)/1e6, "MB")
	})
	b.Run("restore", func(b *testing.B) {
		data, err := l.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if err := ledger.New(ledger.Options{}).Restore(index, data); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("apply-during-snapshot", func(b *testing.B) {
		var took []time.Duration
		for b.Loop() {
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = l.Snapshot()
			}()
			for running := true; running; {
				data := claimData(b, int(index))
				index++
				start := time.Now()
				l.Apply(index, data)
				took = append(took, time.Since(start))
				select {
				case <-done:
					running = false
				default:
				}
			}
		}
		sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
		b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "µs-p99")
		b.ReportMetric(float64(took[len(took)-1].Microseconds()), "µs-max")
	})
}
