package batching

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// worker is what the Scheduler knows of a target.
type worker struct {
	Target
	calls int
	room  int64 // bytes of results that it holds, as far as this process knows
	// unknown are the bytes of results that others have there, as of fullAt, when it
	// refused pieces although it should have had room.
	unknown  int64
	fullAt   time.Time
	slowness float64
	judged   time.Time // last change of slowness
	failures int
	pause    time.Time
	present  bool
}

// ratio returns how long calls take there, relative to the profile. What was seen
// counts less as it grows older: a target that is avoided gives no newer figure, and
// this process may have been what was slow.
func (w *worker) ratio(now time.Time) float64 {
	return 1 + (w.slowness-1)*math.Exp(-now.Sub(w.judged).Seconds()/ratioMemory.Seconds())
}

// SetTargets replaces the targets. Calls at targets that are missing go on.
func (s *Scheduler) SetTargets(targets []Target) {
	for _, w := range s.workers {
		w.present = false
	}
	for _, t := range targets {
		w := s.workers[t.ID]
		if w == nil || !w.Started.Equal(t.Started) {
			w = &worker{Target: t, slowness: 1}
			s.workers[t.ID] = w
		}
		w.Target = t
		w.present = true
	}
	s.order = s.order[:0]
	for id, w := range s.workers {
		switch {
		case w.present:
			s.order = append(s.order, w)
		case w.calls == 0:
			delete(s.workers, id)
		}
	}
	slices.SortFunc(s.order, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
}

// roomLeft returns the bytes of results that a target has room for. What others hold
// there fades: its lifetime is not known.
func (s *Scheduler) roomLeft(w *worker, now time.Time) int64 {
	others := float64(w.unknown) * math.Exp(-now.Sub(w.fullAt).Seconds()/unknownMemory.Seconds())
	return s.profile.ResultBytes - w.room - int64(others)
}

// noteFull takes it that a target is full which has refused pieces for want of room:
// another collector's results are there, or results are larger than stated.
func (s *Scheduler) noteFull(w *worker, now time.Time) {
	if s.profile.ResultBytes > 0 {
		w.unknown, w.fullAt = max(s.profile.ResultBytes-w.room, 0), now
	}
}

// keepRoom counts the results of a broken call, which the target may have made, until
// their lifetime is over.
func (s *Scheduler) keepRoom(w *worker, c *Call, now time.Time) {
	for i, p := range c.Pieces {
		w.room += p.Job.ResultBytes
		s.results[fmt.Sprintf("broken call %d, piece %d", c.ID, i)] = held{worker: w, bytes: p.Job.ResultBytes, expires: now.Add(s.profile.ResultTTL)}
	}
}

func (s *Scheduler) freeTargets(now time.Time) int {
	free := 0
	for _, w := range s.order {
		if s.isFree(w, now) {
			free++
		}
	}
	return free
}

func (s *Scheduler) isFree(w *worker, now time.Time) bool {
	return w.calls < s.profile.MaxConcurrency && !now.Before(w.pause)
}

// choose returns the free target for the first job of the queue, or the time after
// which to look again. A target of the job's failure domain goes first, as the
// results cross to another one otherwise.
func (s *Scheduler) choose(now time.Time) (best *worker, again time.Duration) {
	j := s.jobs[0]
	bestScore := 0.0
	full := false
	for _, w := range s.order {
		if !s.isFree(w, now) {
			continue
		}
		if !s.worthwhile(w, j, now) {
			full = true
			continue
		}
		score := 1.0
		if w.ratio(now) >= slowRatio {
			score = w.ratio(now)
		}
		if w.FailureDomain != j.Domain {
			score += 0.5
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		if full {
			again = roomPause
		}
		return nil, again
	}
	if best.ratio(now) >= slowRatio && s.fasterSoon(best, now) {
		return nil, 0
	}
	if wait := foreignWait - now.Sub(j.added); best.FailureDomain != j.Domain && wait > 0 && s.waiting < s.profile.MaxBatchSize && s.hasDomain(j.Domain, now) {
		return nil, wait
	}
	return best, 0
}

// worthwhile says whether a target has room for the queue's first job, and for
// half a call when more than that waits. A smaller call would spend the call's own
// time on few pieces just when there is the most to do.
func (s *Scheduler) worthwhile(w *worker, first *Job, now time.Time) bool {
	if s.profile.ResultBytes <= 0 {
		return true
	}
	room := s.roomLeft(w, now)
	need := int64(len(first.queue)) * first.ResultBytes
	pieces := len(first.queue)
	for _, j := range s.jobs {
		if pieces >= s.profile.MaxBatchSize/2 {
			break
		}
		if j != first {
			need += int64(len(j.queue)) * j.ResultBytes
			pieces += len(j.queue)
		}
	}
	// A job that is larger than a target's memory takes what there is.
	return room >= min(need, s.profile.ResultBytes/2)
}

// hasDomain says whether an ordinary target is in a failure domain.
func (s *Scheduler) hasDomain(domain string, now time.Time) bool {
	return slices.ContainsFunc(s.order, func(w *worker) bool { return w.FailureDomain == domain && w.failures == 0 && w.ratio(now) < slowRatio })
}

// fasterSoon says whether waiting for an ordinary target ends a call earlier than
// beginning it at a slow one.
func (s *Scheduler) fasterSoon(slow *worker, now time.Time) bool {
	n := min(s.waiting, s.profile.MaxBatchSize)
	there := time.Duration(float64(s.callTime(n)) * slow.ratio(now))
	for _, w := range s.order {
		if w == slow || w.ratio(now) >= slowRatio || w.failures > 0 {
			continue
		}
		if s.callLeft(w.ID, now)+s.callTime(n) < there {
			return true
		}
	}
	return false
}

// nextPause returns the time until the first pause ends, or 0.
func (s *Scheduler) nextPause(now time.Time) time.Duration {
	best := time.Duration(0)
	for _, w := range s.order {
		if left := w.pause.Sub(now); left > 0 && (best == 0 || left < best) {
			best = left
		}
	}
	if best == 0 && len(s.results) > 0 {
		best = fullPause // room may become free
	}
	return best
}

// mayWait says whether a job still waits for a target of its failure domain.
func (s *Scheduler) mayWait(j *Job, now time.Time) bool {
	return now.Sub(j.added) < foreignWait && s.hasDomain(j.Domain, now)
}

// learn updates the averages by a call that ran whole.
func (s *Scheduler) learn(w *worker, c *Call, o CallCompleted, now time.Time) {
	if o.count(PieceOutOfMemory) > 0 {
		s.noteFull(w, now)
		return
	}
	if o.count(PieceFailed) > 0 {
		w.pause = now.Add(fullPause)
		return
	}
	if now.Sub(c.Began) > c.Limit() {
		return // the call would have been given up: this process was stopped meanwhile
	}
	took := now.Sub(c.Began).Seconds()
	seen := min(took/s.callTime(len(c.Pieces)).Seconds(), maxRatio)
	before := w.ratio(now)
	w.slowness, w.judged = before+ratioWeight*(seen-before), now
	if w.ratio(now) < slowRatio {
		each := max(took-s.profile.CallOverhead.Seconds(), 0) / float64(len(c.Pieces))
		s.pieceTime += pieceWeight * (min(each, 2*s.profile.PieceTime.Seconds()) - s.pieceTime)
	}
}
