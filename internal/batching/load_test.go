package batching

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

// Guards against a view of a load that is out of date, or counts other pieces than those that are ahead.
func TestViewOfALoadIsCurrent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := NewLoad()
	for range 200 {
		switch random.IntN(3) {
		case 0:
			l.addUpcoming(random.IntN(9), random.IntN(ranks), random.IntN(maxHops))
		case 1:
			s := NewScheduler(catalog.BatchProfile{MaxConcurrency: 1, MaxBatchSize: 4, CallOverhead: time.Second, PieceTime: time.Millisecond})
			s.load = l
			s.jobs = []*Job{{Priority: random.IntN(ranks), queue: make([]int, random.IntN(5))}}
			s.Publish(time.Unix(1000, 0))
		}
		before := l.current()
		require.Same(t, before, l.current(), "without a change")
		for rank := range ranks {
			for hop := range maxHops {
				ahead := 0
				for r := range min(rank+1+rankTolerance, ranks) {
					ahead += l.waiting[r]
					for h := range hop + 1 {
						ahead += l.upcoming[r][h]
					}
				}
				require.Equal(t, ahead, before.ahead[rank][hop])
			}
		}
		require.Equal(t, l.fullCall, before.fullCall)
		require.Equal(t, l.backlog, l.Backlog())
	}
}

// Guards against an order of the jobs at a target other than by urgency, with those of other failure
// domains put back and the order of the queue among equal ones.
func TestOrderOfJobsAtATarget(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	for range 300 {
		s := NewScheduler(catalog.BatchProfile{MaxBatchSize: 4})
		for i := range 1 + random.IntN(30) {
			j := &Job{RequestID: fmt.Sprint(i), Inputs: []string{"input"}, FailureDomain: fmt.Sprint(random.IntN(2)), group: random.IntN(3), sortTime: now.Add(time.Duration(random.IntN(5)) * remoteDomainDelay / 2)}
			if random.IntN(4) == 0 {
				j.startedAt = now
			}
			s.jobs = append(s.jobs, j)
		}
		slices.SortFunc(s.jobs, compareJobs)
		at := func(j *Job) time.Time {
			if j.FailureDomain != "0" {
				return j.sortTime.Add(remoteDomainDelay)
			}
			return j.sortTime
		}
		want := slices.Clone(s.jobs)
		slices.SortStableFunc(want, func(a, b *Job) int {
			return cmp.Or(cmp.Compare(a.startedRank(), b.startedRank()), cmp.Compare(a.group, b.group), at(a).Compare(at(b)))
		})
		require.Equal(t, want, s.jobsFor(&worker{Target: Target{FailureDomain: "0"}}))
	}
}
