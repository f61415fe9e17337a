package batching

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

// BenchmarkSchedulerAtLargeService measures the processor time of one stage of one request on
// a service of a large deployment: 47 targets, 900 requests a second with 3 pieces each, whose
// results are released half a second after they were made.
func BenchmarkSchedulerAtLargeService(b *testing.B) {
	const (
		targets  = 47
		pieces   = 3
		interval = time.Second / 900
		hold     = 500 * time.Millisecond
	)
	for _, backlog := range []int{0, 300} {
		b.Run(fmt.Sprintf("backlog-%d", backlog), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := NewScheduler(catalog.BatchProfile{MaxConcurrency: 1, MaxBatchSize: 58, CallOverhead: 200 * time.Millisecond, PieceTime: 3 * time.Millisecond, ResultBytes: 760e3, ResultTTL: 4 * time.Second})
			var list []Target
			for i := range targets {
				list = append(list, Target{ID: fmt.Sprint("t", i), FailureDomain: fmt.Sprint("d", i%5)})
			}
			s.SetTargets(list)
			next := NewLoad()
			var due events
			at := func(d time.Duration, do func()) { heap.Push(&due, event{at: now.Add(d), n: len(due), do: do}) }
			begin := func() {
				for {
					c, _ := s.Next(now)
					if c == nil {
						break
					}
					at(c.Expected, func() {
						o := CallCompleted{}
						for i := range c.Pieces {
							o.Outcomes, o.Handles = append(o.Outcomes, PieceDone), append(o.Handles, fmt.Sprint(c.ID, "/", i))
						}
						s.Finish(c, o, now)
						at(hold, func() { s.RemoveResults(o.Handles) })
					})
				}
				s.Publish(now)
			}
			add := func(i int) {
				j := &Job{
					RequestID: fmt.Sprint(i), Pieces: pieces, ResultBytes: 6000, FailureDomain: fmt.Sprint("d", i%5), Priority: i % 5,
					Objective: now.Add(1100 * time.Millisecond), Deadline: now.Add(6 * time.Second),
					Path: NewPath([]PathStage{{Load: next, Pieces: pieces}}, 300*time.Millisecond),
				}
				s.Add(j, func(Outcome) {}, now)
			}
			for i := range backlog {
				add(-i - 1)
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(interval)
				for len(due) > 0 && !due[0].at.After(now) {
					heap.Pop(&due).(event).do()
					begin()
				}
				add(i)
				begin()
			}
		})
	}
}
