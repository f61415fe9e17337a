package agent

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// BenchmarkTable registers and finishes attempts with an output of 200 bytes, and reports
// the memory per finished attempt. Only the outputs of orders are stored.
func BenchmarkTable(b *testing.B) {
	for _, order := range []bool{true, false} {
		b.Run(fmt.Sprintf("order-%t", order), func(b *testing.B) {
			const kept = 7_600
			now := time.Unix(1_000_000, 0)
			t := newTable(func() time.Time { return now })
			attempt := func() {
				r, _ := t.begin(attempt.NewID(), order, func() {})
				t.finish(r, &wire.AttemptResult{Attempt: r.attempt, Output: fmt.Appendf(nil, "%200d", 1)})
			}
			before := heapInUse()
			for range kept {
				attempt()
			}
			held := heapInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				// One old record expires for each new one.
				now = now.Add(resultRetention / kept)
				attempt()
			}
			b.ReportMetric(float64(held)/kept, "B/kept")
		})
	}
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
