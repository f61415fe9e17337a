package batching

import (
	"math"
	"time"
)

// callTime returns the duration of a call of n pieces at a target with a relative latency
// of 1.
func (s *Scheduler) callTime(n int) time.Duration {
	return s.profile.CallOverhead + time.Duration(float64(n)*s.pieceTime*float64(time.Second))
}

// pieceTimeOf returns the time per piece with a size of the result, in seconds. Pieces of one
// stage have results of one size, and those of different stages take different times.
func (s *Scheduler) pieceTimeOf(resultBytes int64) float64 {
	if t, known := s.pieceTimes[resultBytes]; known {
		return t
	}
	return s.pieceTime
}

// piecesTime returns the duration of a call of given pieces at a target with a relative latency
// of 1.
func (s *Scheduler) piecesTime(pieces []Piece) time.Duration {
	sum := 0.0
	for _, p := range pieces {
		sum += s.pieceTimeOf(p.Job.ResultBytes)
	}
	return s.profile.CallOverhead + time.Duration(sum*float64(time.Second))
}

// jobTime returns the duration of a call of n pieces of a job.
func (s *Scheduler) jobTime(j *Job, n int) time.Duration {
	return s.profile.CallOverhead + time.Duration(float64(n)*s.pieceTimeOf(j.ResultBytes)*float64(time.Second))
}

// queuedPieceTime returns the mean time per piece of the queue.
func (s *Scheduler) queuedPieceTime() float64 {
	sum, n := 0.0, 0
	for _, j := range s.jobs {
		sum += float64(len(j.queue)) * s.pieceTimeOf(j.ResultBytes)
		n += len(j.queue)
	}
	if n == 0 {
		return s.pieceTime
	}
	return sum / float64(n)
}

// learnPieceTimes corrects the times of the kinds of pieces in a call that took a time without
// its fixed part, by the least change that explains a part of the difference.
func (s *Scheduler) learnPieceTimes(pieces []Piece, seconds float64) {
	counts := map[int64]int{}
	expected, squares := 0.0, 0
	for _, p := range pieces {
		counts[p.Job.ResultBytes]++
		expected += s.pieceTimeOf(p.Job.ResultBytes)
	}
	for _, n := range counts {
		squares += n * n
	}
	longest := maxPieceFactor * s.profile.PieceTime.Seconds()
	rest := min(seconds, longest*float64(len(pieces))) - expected
	for bytes, n := range counts {
		if _, known := s.pieceTimes[bytes]; !known && len(s.pieceTimes) >= maxPieceKinds {
			continue
		}
		s.pieceTimes[bytes] = min(max(s.pieceTimeOf(bytes)+pieceWeight*rest*float64(n)/float64(squares), 0), longest)
	}
}

// rate returns the pieces per second that all targets run in full calls of what is queued.
func (s *Scheduler) rate(now time.Time) float64 {
	full := s.profile.CallOverhead.Seconds() + float64(s.profile.MaxBatchSize)*s.queuedPieceTime()
	total := 0.0
	for _, w := range s.order {
		if now.Before(w.availableAt(s.needsAll)) {
			continue
		}
		total += float64(s.profile.MaxConcurrency*s.profile.MaxBatchSize) / (full * max(w.ratio(now), 1))
	}
	return total
}

// capacityEstimate describes what the targets can run from now on.
type capacityEstimate struct {
	rate float64       // pieces per second
	late float64       // part of rate for jobs that have missed their objective
	free time.Duration // until a target can start a call
}

func (s *Scheduler) estimateCapacity(now time.Time) capacityEstimate {
	if age := now.Sub(s.estimatedAt); len(s.jobs) <= maxExactQueue || age < 0 || age >= estimateAge {
		rate := s.rate(now)
		s.estimate = capacityEstimate{rate: rate, late: max(rate-s.arrivalRate(now), minLateShare*rate), free: s.nextFree(now)}
		s.estimatedAt = now
	}
	return s.estimate
}

// queueAhead is the work ahead of a job in queue order.
type queueAhead struct {
	pieces int
	// later counts the pieces of later stages, by service, for jobs that have missed their
	// objective and have not started.
	later map[*Load]int
}

func (q *queueAhead) add(j *Job) {
	q.pieces += len(j.queue)
	if j.group == groupOnTime || !j.hasNotStarted() {
		return
	}
	if q.later == nil {
		q.later = map[*Load]int{}
	}
	for _, st := range j.Path.stages {
		q.later[st.Load] += st.Pieces
	}
}

// wait estimates when a job added now would start: when the pieces ahead of it have
// run and a target is free.
func (s *Scheduler) wait(j *Job, now time.Time) time.Duration {
	j.group, j.sortTime = s.rank(j, now)
	q := queueAhead{}
	for _, other := range s.jobs {
		other.group, other.sortTime = s.rank(other, now)
		if before(other, j) {
			q.add(other)
		}
	}
	return s.waitBehind(j, q, s.estimateCapacity(now))
}

// waitBehind estimates when a job starts that has others ahead of it. A job that has
// missed its objective is overtaken by later arrivals that haven't, here and in the
// stages that follow.
func (s *Scheduler) waitBehind(j *Job, q queueAhead, o capacityEstimate) time.Duration {
	if o.rate <= 0 {
		return max(s.profile.CallOverhead, o.free)
	}
	wait := o.free
	if over := q.pieces + j.Pieces - s.profile.MaxBatchSize; over > 0 {
		rate := o.rate
		if j.group != groupOnTime {
			rate = o.late
		}
		wait += time.Duration(float64(over) / rate * float64(time.Second))
	}
	if j.group != groupOnTime && j.hasNotStarted() {
		for _, st := range j.Path.stages {
			wait = max(wait, st.Load.lateWait(q.later[st.Load]+st.Pieces))
		}
	}
	if j.group == groupHeldBack {
		wait = time.Duration(heldBackWaitFactor * float64(wait))
	}
	return wait
}

// arrivalRate returns the recent rate of arrivals that can meet their objective, in
// pieces per second.
func (s *Scheduler) arrivalRate(now time.Time) float64 {
	return s.arrivals * math.Exp(-now.Sub(s.arrivedAt).Seconds()/arrivalWindow.Seconds())
}

func (s *Scheduler) recordArrival(j *Job, now time.Time) {
	if group, _ := s.rank(j, now); group > 0 {
		return
	}
	s.arrivals = s.arrivalRate(now) + float64(j.Pieces)/arrivalWindow.Seconds()
	s.arrivedAt = now
}

// nextFree returns the time until a target can start a call.
func (s *Scheduler) nextFree(now time.Time) time.Duration {
	best := time.Duration(-1)
	for _, w := range s.order {
		left := w.availableAt(s.waiting >= s.profile.MaxBatchSize).Sub(now)
		if len(w.running) >= s.profile.MaxConcurrency {
			left = max(left, w.callLeft(now))
		}
		left = max(left, 0)
		if best < 0 || left < best {
			best = left
		}
	}
	return max(best, 0)
}

// batchDelay returns how long to wait for more pieces before the next call. The fewer
// targets are free, the more a partly filled call costs later arrivals.
func (s *Scheduler) batchDelay(free int, now time.Time) time.Duration {
	if s.waiting >= s.profile.MaxBatchSize {
		return 0
	}
	oldest := s.jobs[0].queuedAt
	for _, j := range s.jobs {
		if j.queuedAt.Before(oldest) {
			oldest = j.queuedAt
		}
	}
	limit := maxBatchDelay / time.Duration(free)
	return max(limit-now.Sub(oldest), 0)
}

// Backlog returns the time that the targets need for the queue.
func (s *Scheduler) Backlog(now time.Time) time.Duration { return s.backlogAt(s.rate(now)) }

func (s *Scheduler) backlogAt(rate float64) time.Duration {
	if rate <= 0 {
		return s.callTime(s.profile.MaxBatchSize)
	}
	return time.Duration(float64(s.waiting) / rate * float64(time.Second))
}

// Publish updates the service's Load.
func (s *Scheduler) Publish(now time.Time) {
	s.seenAt = now
	o := s.estimateCapacity(now)
	l := s.load
	l.mu.Lock()
	defer l.mu.Unlock()
	l.throughput, l.lateThroughput = o.rate, o.late
	l.fullCall, l.backlog = s.callTime(s.profile.MaxBatchSize), s.backlogAt(o.rate)
	l.waiting = [ranks]int{}
	for _, j := range s.jobs {
		if j.group == groupOnTime {
			l.waiting[j.rank()] += len(j.queue)
		}
	}
	l.view.Store(nil)
}
