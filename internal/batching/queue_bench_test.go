package batching

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

// BenchmarkArrivalAtLongQueue measures the processor time of an arrival, and of the publication of
// the load that follows it, while all targets are busy and jobs wait.
func BenchmarkArrivalAtLongQueue(b *testing.B) {
	for _, queued := range []int{0, 100, 400, 1600} {
		b.Run(fmt.Sprintf("queued-%d", queued), func(b *testing.B) {
			s, add := newLongQueue(queued)
			now := time.Unix(1000, 0)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				j := add(now)
				s.Publish(now)
				s.Cancel(j)
				s.Publish(now)
			}
		})
	}
}

// newLongQueue returns a scheduler of a large service, whose targets are all busy, with queued jobs, and
// a function that adds one more.
func newLongQueue(queued int) (*Scheduler, func(now time.Time) *Job) {
	now := time.Unix(1000, 0)
	s := NewScheduler(catalog.BatchProfile{MaxConcurrency: 1, MaxBatchSize: 10, CallOverhead: 200 * time.Millisecond, PieceTime: 17 * time.Millisecond, ResultBytes: 22e6, ResultTTL: 4 * time.Second})
	var list []Target
	for i := range 47 {
		list = append(list, Target{ID: fmt.Sprint("t", i), FailureDomain: fmt.Sprint("d", i%5)})
	}
	s.SetTargets(list)
	next, last := NewLoad(), NewLoad()
	n := 0
	add := func(now time.Time) *Job {
		n++
		j := &Job{
			RequestID: fmt.Sprint(n), Pieces: 2, ResultBytes: 1500e3, FailureDomain: fmt.Sprint("d", n%5), Priority: n % 5,
			Objective: now.Add(1100 * time.Millisecond), Deadline: now.Add(time.Hour),
			Path: NewPath([]PathStage{{Load: next, Pieces: 2}, {Load: last, Pieces: 2}}, 300*time.Millisecond),
		}
		s.Add(j, func(Outcome) {}, now)
		return j
	}
	for c := add(now); c != nil; {
		next, _ := s.Next(now.Add(time.Second))
		if next == nil {
			break
		}
		add(now)
	}
	for range queued {
		add(now)
	}
	return s, add
}
