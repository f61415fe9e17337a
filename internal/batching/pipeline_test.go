package batching

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

// Profiles of the stage services at the larger user site.
var (
	firstStage  = catalog.BatchProfile{MaxConcurrency: 1, QueueLimit: 2, MaxBatchSize: 8, CallOverhead: 200 * time.Millisecond, PieceTime: 13 * time.Millisecond, ResultBytes: 18e6, ResultTTL: 4 * time.Second}
	secondStage = catalog.BatchProfile{MaxConcurrency: 1, QueueLimit: 2, MaxBatchSize: 24, CallOverhead: 200 * time.Millisecond, PieceTime: 7100 * time.Microsecond, ResultBytes: 3.3e6, ResultTTL: 4 * time.Second}
	thirdStage  = catalog.BatchProfile{MaxConcurrency: 1, QueueLimit: 2, MaxBatchSize: 34, CallOverhead: 200 * time.Millisecond, PieceTime: 5 * time.Millisecond, ResultBytes: 450e3, ResultTTL: 4 * time.Second}
)

const (
	draftRank = 0
	chatRank  = 2
	// firstToken is the time from the end of the stages to the first event.
	firstToken = 80 * time.Millisecond
)

// pipeline runs requests through three stages, each with its own targets.
type pipeline struct {
	*clock
	simulations [3]*simulation
	random      *rand.Rand
	// arrived, inTime, late and refused count requests by rank.
	arrived, inTime, late, refused map[int]int
	refusedAfter                   []time.Duration // time that refused requests spent in the pipeline
}

func newPipeline(t *testing.T) *pipeline {
	c := &clock{now: time.Unix(1000, 0)}
	p := &pipeline{clock: c, random: rand.New(rand.NewPCG(3, 4)), arrived: map[int]int{}, inTime: map[int]int{}, late: map[int]int{}, refused: map[int]int{}}
	p.simulations[0] = newSimulationAt(t, c, firstStage, 14)
	p.simulations[1] = newSimulationAt(t, c, secondStage, 15)
	p.simulations[2] = newSimulationAt(t, c, thirdStage, 15)
	return p
}

var (
	stagePieces = [3]int{1, 6, 10}
	stageBytes  = [3]int64{8_000, 60_000, 6_000}
)

// request sends one request through all stages.
func (p *pipeline) request(rank int, objective, deadline time.Duration) {
	p.arrived[rank]++
	p.stage(0, rank, p.now, p.now.Add(objective), p.now.Add(deadline), nil)
}

func (p *pipeline) stage(i, rank int, startedAt, objective, deadline time.Time, inputs []Result) {
	w := p.simulations[i]
	var stages []PathStage
	for k := i + 1; k < len(p.simulations); k++ {
		stages = append(stages, PathStage{Load: p.simulations[k].s.Load(), Pieces: stagePieces[k]})
	}
	path := NewPath(stages, firstToken)
	j := &Job{
		RequestID: fmt.Sprint("r", p.n), Stage: i, Pieces: stagePieces[i], ResultBytes: stageBytes[i], Path: path, Objective: objective,
		Deadline: deadline.Add(-path.MinDuration()), Priority: rank, FailureDomain: fmt.Sprint("d", p.random.IntN(3)),
	}
	for _, r := range inputs {
		j.Inputs = append(j.Inputs, r.Handle)
	}
	w.s.Add(j, func(o Outcome) {
		if i > 0 {
			p.at(0, func() { p.simulations[i-1].free(inputs) })
		}
		switch {
		case o.Kind != Done:
			p.refused[rank]++
			p.refusedAfter = append(p.refusedAfter, p.now.Sub(startedAt))
		case i+1 < len(p.simulations):
			p.at(2*time.Millisecond, func() { p.stage(i+1, rank, startedAt, objective, deadline, o.Results) })
		default:
			p.at(firstToken, func() { w.free(o.Results) })
			if p.now.Add(firstToken).After(objective) {
				p.late[rank]++
			} else {
				p.inTime[rank]++
			}
		}
	}, p.now)
	// Like the collector, publish after each change.
	w.s.Publish(p.now)
}

// arrive sends requests at random times with a mean rate for a duration.
func (p *pipeline) arrive(perSecond float64, d time.Duration, rank int, objective, deadline time.Duration) {
	for at := time.Duration(0); at < d; at += time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)) {
		p.at(at, func() { p.request(rank, objective, deadline) })
	}
}

func (p *pipeline) share(counts map[int]int, rank int) float64 {
	return float64(counts[rank]) / float64(p.arrived[rank])
}

// Load pattern: drafts and chats at two thirds of the capacity of the narrowest stage.
// Guards against waits that add up over three stages until no request meets its
// objective.
func TestCalmPipelineIsInTime(t *testing.T) {
	p := newPipeline(t)
	p.arrive(57, 20*time.Second, draftRank, 1900*time.Millisecond, 6*time.Second)
	p.arrive(40, 20*time.Second, chatRank, 1800*time.Millisecond, 7200*time.Millisecond)
	p.run(28 * time.Second)
	require.Greater(t, p.share(p.inTime, draftRank), 0.97)
	require.Greater(t, p.share(p.inTime, chatRank), 0.95)
}

// Load pattern: twice the usual drafts beside the usual chats for five seconds.
// Together they exceed the third stage's capacity, alone they don't. Guards against
// drafts that miss their objective because chats, the least urgent, start their stages
// first.
func TestDraftBurstGoesBeforeChats(t *testing.T) {
	p := newPipeline(t)
	p.arrive(110, 5*time.Second, draftRank, 1900*time.Millisecond, 6*time.Second)
	p.arrive(40, 5*time.Second, chatRank, 1800*time.Millisecond, 7200*time.Millisecond)
	p.run(14 * time.Second)
	require.Greater(t, p.share(p.inTime, draftRank), 0.9, "in time %v late %v refused %v", p.inTime, p.late, p.refused)
	require.Greater(t, p.inTime[chatRank]+p.late[chatRank], p.arrived[chatRank]*3/4, "chats wait and are served after the burst: in time %v late %v refused %v", p.inTime, p.late, p.refused)
}

// Load pattern: three times the usual drafts for five seconds, twice the third stage's
// capacity. Guards against a queue that accepts every request and makes all of them
// late, and against requests that are rejected after waiting for most of their time.
func TestOverloadedPipelineServesInTime(t *testing.T) {
	p := newPipeline(t)
	const capacity = 15 * 34 / (0.2 + 34*0.005) / 10 // requests per second of the third stage
	p.arrive(250, 5*time.Second, draftRank, 1900*time.Millisecond, 6*time.Second)
	p.run(14 * time.Second)
	require.Greater(t, float64(p.inTime[draftRank]), 0.75*5*capacity, "in time %v late %v refused %v", p.inTime, p.late, p.refused)
	require.Greater(t, p.share(p.inTime, draftRank)+p.share(p.late, draftRank), 0.8, "the others are served after the burst: in time %v late %v refused %v", p.inTime, p.late, p.refused)
	for _, after := range p.refusedAfter {
		require.Less(t, after, 5*time.Second)
	}
}

// Guards against pieces that remain counted as upcoming at a service after their
// request has ended, which would inflate all later wait estimates.
func TestEndedRequestsAreNotCountedOnThePath(t *testing.T) {
	p := newPipeline(t)
	p.arrive(250, 3*time.Second, draftRank, 1900*time.Millisecond, 6*time.Second)
	p.run(20 * time.Second)
	for _, w := range p.simulations {
		require.Equal(t, [ranks][maxHops]int{}, w.s.Load().upcoming)
		require.Empty(t, w.s.jobs)
	}
}

// newCall returns a Scheduler with one target, "a", and a call of one job there.
func newCall(t *testing.T, p catalog.BatchProfile, pieces int, bytes int64) (*Scheduler, *Call, time.Time) {
	s := NewScheduler(p)
	now := time.Unix(1000, 0)
	s.SetTargets([]Target{{ID: "a"}})
	s.Add(&Job{RequestID: "r", Pieces: pieces, ResultBytes: bytes, Objective: now.Add(time.Second), Deadline: now.Add(9 * time.Second)}, func(Outcome) {}, now)
	c, _ := s.Next(now)
	require.NotNil(t, c)
	return s, c, now
}

// Load pattern: a collector takes over while results of another one fill the targets.
// Guards against a series of calls that are rejected because memory is full.
func TestMemoryTakenByAnotherCollectorIsRecorded(t *testing.T) {
	s, c, now := newCall(t, secondStage, 24, 60_000)
	o := CallCompleted{Handles: make([]string, 24)}
	for range 24 {
		o.Outcomes = append(o.Outcomes, PieceOutOfMemory)
	}
	now = now.Add(400 * time.Millisecond)
	s.Finish(c, o, now)
	again, _ := s.Next(now.Add(20 * time.Millisecond))
	require.Nil(t, again, "the target has just reported that it is full")
	again, _ = s.Next(now.Add(3 * otherBytesDecay))
	require.NotNil(t, again, "other collectors release their results")
}

// Guards against calls to a target whose memory is full of the results of a failed
// call: it may have produced them, and nobody has their handles.
func TestFailedCallRetainsItsMemory(t *testing.T) {
	s, c, now := newCall(t, secondStage, 24, 60_000)
	s.Finish(c, CallFailed{Reason: "reset"}, now.Add(time.Second))
	require.Equal(t, int64(24*60_000), s.workers["a"].resultBytes)
	s.expireResults(now.Add(time.Second + secondStage.ResultTTL))
	require.Zero(t, s.workers["a"].resultBytes)
}

// Guards against targets that count as slow because the collector was suspended while
// their calls ran.
func TestSuspendedCollectorRecordsNoLatency(t *testing.T) {
	s, c, now := newCall(t, firstStage, 8, 8_000)
	o := CallCompleted{Handles: make([]string, 8), Outcomes: make([]PieceOutcome, 8)}
	now = now.Add(7 * time.Second)
	s.Finish(c, o, now)
	require.InDelta(t, 1, s.workers["a"].ratio(now), 0.01)
}

// Guards against a target that restarts under its ID and is avoided because of results
// or latencies of its earlier incarnation.
func TestRestartedTargetIsReset(t *testing.T) {
	s := NewScheduler(firstStage)
	now := time.Unix(1000, 0)
	s.SetTargets([]Target{{ID: "a", Started: now}})
	s.workers["a"].resultBytes, s.workers["a"].relativeLatency, s.workers["a"].latencyUpdatedAt = firstStage.ResultBytes, maxRatio, now
	s.SetTargets([]Target{{ID: "a", Started: now}})
	require.Equal(t, firstStage.ResultBytes, s.workers["a"].resultBytes, "the same incarnation")
	s.SetTargets([]Target{{ID: "a", Started: now.Add(time.Second)}})
	require.Zero(t, s.workers["a"].resultBytes)
	require.InDelta(t, 1, s.workers["a"].ratio(now), 0.01)
}
