package batching

import (
	"math"
	"time"
)

// callTime returns how long a call of n pieces takes at an ordinary target.
func (s *Scheduler) callTime(n int) time.Duration {
	return s.profile.CallOverhead + time.Duration(float64(n)*s.pieceTime*float64(time.Second))
}

// rate returns the pieces a second that all targets run in full calls.
func (s *Scheduler) rate(now time.Time) float64 {
	full := s.callTime(s.profile.MaxBatchSize).Seconds()
	total := 0.0
	for _, w := range s.order {
		if now.Before(w.pause) {
			continue
		}
		total += float64(s.profile.MaxConcurrency*s.profile.MaxBatchSize) / (full * max(w.ratio(now), 1))
	}
	return total
}

// outlook is what the targets can do from now on.
type outlook struct {
	rate float64       // pieces a second
	late float64       // those of them for jobs that have missed their objective
	free time.Duration // until a target can begin a call
}

func (s *Scheduler) outlook(now time.Time) outlook {
	rate := s.rate(now)
	return outlook{rate: rate, late: max(rate-s.arrivalRate(now), lateRate*rate), free: s.nextFree(now)}
}

// queueAhead is what is before a job in the order of the queue.
type queueAhead struct {
	pieces int
	// later counts the pieces of later stages of jobs that have missed their
	// objective and have not begun, by service.
	later map[*Load]int
}

func (q *queueAhead) add(j *Job) {
	q.pieces += len(j.queue)
	if j.group == groupHopeful || !j.isAtDoor() {
		return
	}
	if q.later == nil {
		q.later = map[*Load]int{}
	}
	for _, st := range j.Path.stages {
		q.later[st.Load] += st.Pieces
	}
}

// wait estimates when a job that is added now would begin: when the pieces before
// it have been run and a target is free.
func (s *Scheduler) wait(j *Job, now time.Time) time.Duration {
	j.group, j.rankAt = s.rank(j, now)
	q := queueAhead{}
	for _, other := range s.jobs {
		other.group, other.rankAt = s.rank(other, now)
		if before(other, j) {
			q.add(other)
		}
	}
	return s.waitBehind(j, q, s.outlook(now))
}

// waitBehind estimates when a job begins that has others before it. A job that has
// missed its objective is overtaken by those that come later and haven't, here and
// in the stages that follow.
func (s *Scheduler) waitBehind(j *Job, q queueAhead, o outlook) time.Duration {
	if o.rate <= 0 {
		return s.profile.CallOverhead
	}
	wait := o.free
	if over := q.pieces + j.Pieces - s.profile.MaxBatchSize; over > 0 {
		rate := o.rate
		if j.group != groupHopeful {
			rate = o.late
		}
		wait += time.Duration(float64(over) / rate * float64(time.Second))
	}
	if j.group != groupHopeful && j.isAtDoor() {
		for _, st := range j.Path.stages {
			wait = max(wait, st.Load.lateWait(q.later[st.Load]+st.Pieces))
		}
	}
	if j.group == groupGated {
		wait = time.Duration(gatedFactor * float64(wait))
	}
	return wait
}

// arrivalRate returns the pieces a second that came lately and can meet their
// objective.
func (s *Scheduler) arrivalRate(now time.Time) float64 {
	return s.arrivals * math.Exp(-now.Sub(s.arrivedAt).Seconds()/arrivalWindow.Seconds())
}

func (s *Scheduler) noteArrival(j *Job, now time.Time) {
	if group, _ := s.rank(j, now); group > 0 {
		return
	}
	s.arrivals = s.arrivalRate(now) + float64(j.Pieces)/arrivalWindow.Seconds()
	s.arrivedAt = now
}

// nextFree returns the time until a target can begin a call.
func (s *Scheduler) nextFree(now time.Time) time.Duration {
	best := time.Duration(-1)
	for _, w := range s.order {
		left := w.pause.Sub(now)
		if w.calls >= s.profile.MaxConcurrency {
			left = max(left, s.callLeft(w.ID, now))
		}
		left = max(left, 0)
		if best < 0 || left < best {
			best = left
		}
	}
	return max(best, 0)
}

// callLeft returns the time until the first call at a target ends.
func (s *Scheduler) callLeft(id string, now time.Time) time.Duration {
	best := time.Duration(-1)
	for _, c := range s.calls {
		if c.Target.ID != id {
			continue
		}
		left := max(c.Began.Add(c.Expected).Sub(now), 0)
		if best < 0 || left < best {
			best = left
		}
	}
	return max(best, 0)
}

// linger returns how long to wait for more pieces before the next call. The fewer
// targets are free, the more a call that isn't full costs those who come next.
func (s *Scheduler) linger(free int, now time.Time) time.Duration {
	if s.waiting >= s.profile.MaxBatchSize {
		return 0
	}
	oldest := s.jobs[0].added
	for _, j := range s.jobs {
		if j.added.Before(oldest) {
			oldest = j.added
		}
	}
	limit := maxLinger / time.Duration(free)
	return max(limit-now.Sub(oldest), 0)
}

// Backlog returns how long the targets need for what waits.
func (s *Scheduler) Backlog(now time.Time) time.Duration {
	rate := s.rate(now)
	if rate <= 0 {
		return s.callTime(s.profile.MaxBatchSize)
	}
	return time.Duration(float64(s.waiting) / rate * float64(time.Second))
}

// Publish brings the service's Load up to date.
func (s *Scheduler) Publish(now time.Time) {
	o := s.outlook(now)
	l := s.load
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.spare = o.rate, o.late
	l.fullCall, l.backlog = s.callTime(s.profile.MaxBatchSize), s.Backlog(now)
	l.waiting = [ranks]int{}
	for _, j := range s.jobs {
		if j.group == groupHopeful {
			l.waiting[j.rank()] += len(j.queue)
		}
	}
}
