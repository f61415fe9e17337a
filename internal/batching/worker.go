package batching

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// worker holds what the Scheduler knows about a target.
type worker struct {
	Target
	running     []*Call
	resultBytes int64       // result memory in use, as far as this process knows
	uses        []memoryUse // recent values of resultBytes, oldest first
	// otherBytes is the memory taken by results of other collectors, according to a report
	// or to the rejection of pieces although there should have been free memory. It decays
	// from othersAt on, which is in the future after a report. rejectedAt is when the last
	// call began that had such pieces.
	otherBytes       int64
	othersAt         time.Time
	rejectedAt       time.Time
	report           reportState
	relativeLatency  float64
	latencyUpdatedAt time.Time // last update of relativeLatency
	// sampledLatency is an average of what the target said of its speed, as of sampledAt.
	sampledLatency float64
	sampledAt      time.Time
	// failures counts consecutive failed calls, successShare is the share of calls with a
	// usable answer, an average that favours recent calls, and failedAt the last failure.
	failures     int
	successShare float64
	failedAt     time.Time
	failedEarly  bool      // the last failed call ended before the target can have run it
	backoffUntil time.Time // pause that the target asked for, or after a rejection
	present      bool
}

// ratio returns the expected duration of a call now, relative to the profile: the measured one,
// and for a moment what the target last said of its speed.
func (w *worker) ratio(now time.Time) float64 {
	measured := w.measuredRatio(now)
	if w.sampledAt.IsZero() {
		return measured
	}
	return measured + (w.sampledLatency-measured)*math.Exp(-now.Sub(w.sampledAt).Seconds()/sampleMemory.Seconds())
}

// recordSample records what the target said of its speed; 0 means nothing.
func (w *worker) recordSample(latency float64, now time.Time) {
	if latency <= 0 {
		return
	}
	before := w.ratio(now)
	w.sampledLatency, w.sampledAt = before+sampleWeight*(min(latency, maxRatio)-before), now
}

// measuredRatio returns the measured duration of calls at the target relative to the profile. The
// measurement decays toward 1, because a target that is avoided gives no newer one,
// and because this process may have been what was slow.
func (w *worker) measuredRatio(now time.Time) float64 {
	return 1 + (w.relativeLatency-1)*math.Exp(-now.Sub(w.latencyUpdatedAt).Seconds()/ratioDecay.Seconds())
}

// backOff starts no call at the target until a time. It doesn't shorten a longer pause.
func (w *worker) backOff(until time.Time) {
	if until.After(w.backoffUntil) {
		w.backoffUntil = until
	}
}

// recordAnswer updates the record of answers that decides the pause after a failure. early says
// that a call ended before the target can have run it.
func (w *worker) recordAnswer(usable, early bool, now time.Time) {
	seen := 0.0
	if usable {
		w.failures, seen = 0, 1
	} else {
		w.failures++
		w.failedAt, w.failedEarly = now, early
	}
	w.successShare += answerWeight * (seen - w.successShare)
}

// failurePause returns the pause after the last failed call. The first failures among
// successes are most likely lost answers, and a target that has not answered yet may be down.
func (w *worker) failurePause() time.Duration {
	if w.failures == 0 {
		return 0
	}
	pause := initialBackoff
	if w.successShare < minSuccessShare && w.failures == 1 {
		pause = unknownBackoff
	}
	for range min(w.failures-1, 10) {
		pause = min(2*pause, maxBackoff)
	}
	return pause
}

// availableAt returns when the target takes calls again. When it is needed, one that answers
// most calls is not left alone, or for the shortest pause if its last call failed early: it may
// be down, and a piece would fail there several times within milliseconds.
func (w *worker) availableAt(needed bool) time.Time {
	pause := w.failurePause()
	if needed && w.successShare >= minSuccessShare {
		pause = min(pause, initialBackoff)
		if !w.failedEarly {
			pause = 0
		}
	}
	if end := w.failedAt.Add(pause); end.After(w.backoffUntil) {
		return end
	}
	return w.backoffUntil
}

// PauseAfterFailure returns the pause of a target after its last calls failed, their number and
// the share of its calls that are answered.
func (s *Scheduler) PauseAfterFailure(t Target) (pause time.Duration, failures int, successShare float64) {
	w := s.workers[t.ID]
	if w == nil {
		return 0, 0, 0
	}
	return w.failurePause(), w.failures, w.successShare
}

// callLeft returns the time until the first running call at the target ends.
func (w *worker) callLeft(now time.Time) time.Duration {
	best := time.Duration(-1)
	for _, c := range w.running {
		left := max(c.StartedAt.Add(c.Expected).Sub(now), 0)
		if best < 0 || left < best {
			best = left
		}
	}
	return max(best, 0)
}

// SetTargets replaces the targets. Calls at removed targets continue.
func (s *Scheduler) SetTargets(targets []Target) {
	s.estimatedAt = time.Time{}
	for _, w := range s.workers {
		w.present = false
	}
	for _, t := range targets {
		w := s.workers[t.ID]
		if w == nil || !w.Started.Equal(t.Started) {
			w = &worker{Target: t, relativeLatency: 1, successShare: unknownSuccessShare}
			s.workers[t.ID] = w
		}
		w.Target = t
		w.backOff(t.PausedUntil)
		w.present = true
	}
	s.order = s.order[:0]
	for id, w := range s.workers {
		switch {
		case w.present:
			s.order = append(s.order, w)
		case len(w.running) == 0:
			delete(s.workers, id)
		}
	}
	slices.SortFunc(s.order, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
}

// freeMemory returns the free result memory of a target in bytes.
func (s *Scheduler) freeMemory(w *worker, now time.Time) int64 {
	return s.profile.ResultBytes - w.resultBytes - w.othersBytes(now)
}

// recordMemoryFull records that a target has rejected pieces of a call for lack of memory: it
// stores results of another collector, or results are larger than stated. Reports show how
// much.
func (s *Scheduler) recordMemoryFull(w *worker, c *Call, now time.Time) {
	if s.profile.ResultBytes > 0 {
		w.otherBytes, w.othersAt, w.rejectedAt = max(s.profile.ResultBytes-w.resultBytes, 0), now, c.StartedAt
		w.report.until = now.Add(reportsAfterRejection)
	}
}

// retainMemory counts the results of a failed call, which the target may have
// produced, until their lifetime is over.
func (s *Scheduler) retainMemory(w *worker, c *Call, now time.Time) {
	for i, p := range c.Pieces {
		w.addBytes(p.Job.ResultBytes, now)
		s.storeResult(fmt.Sprintf("broken call %d, piece %d", c.ID, i), w, p.Job.ResultBytes, now)
	}
}

// freeTargets counts the free targets. While there is none and a full call waits, targets in a
// pause after a lost answer count as well.
func (s *Scheduler) freeTargets(now time.Time) int {
	s.needsAll = false
	free := s.countFree(now)
	if free == 0 && s.waiting >= s.profile.MaxBatchSize {
		s.needsAll = true
		free = s.countFree(now)
	}
	return free
}

func (s *Scheduler) countFree(now time.Time) int {
	free := 0
	for _, w := range s.order {
		if s.isFree(w, now) {
			free++
		}
	}
	return free
}

func (s *Scheduler) isFree(w *worker, now time.Time) bool {
	return len(w.running) < s.profile.MaxConcurrency && !now.Before(w.availableAt(s.needsAll)) && !s.awaitsReport(w, now)
}

// choice is a job and the target for a call that begins with it.
type choice struct {
	job    *Job
	worker *worker
}

// chooseTarget returns a job and a free target for a call. While free targets lack memory and a
// full call waits, targets in a pause after a lost answer are used as well.
func (s *Scheduler) chooseTarget(now time.Time) (choice, time.Duration) {
	c, again, full := s.chooseFreeTarget(now)
	if c.worker == nil && full && !s.needsAll && s.waiting >= s.profile.MaxBatchSize {
		s.needsAll = true
		c, again, _ = s.chooseFreeTarget(now)
	}
	return c, again
}

// chooseFreeTarget returns the free target for the first job of the queue that finds memory, or
// the time after which to check again. A job whose results find none lets later ones with much
// smaller results pass; ones of about the same size would only start in small calls.
func (s *Scheduler) chooseFreeTarget(now time.Time) (c choice, again time.Duration, blocked bool) {
	s.reserveMemory(now)
	maxBytes := int64(math.MaxInt64)
	for _, w := range s.order {
		if j := s.reserved[w]; j != nil && s.isFree(w, now) && s.hasMemoryFor(w, j, maxBytes, now) {
			return choice{job: j, worker: w}, 0, false
		}
	}
	for _, j := range s.jobs {
		if j.ResultBytes > maxBytes || j.group == groupHeldBack {
			continue
		}
		if maxBytes < math.MaxInt64 {
			if delay := s.passDelay(j, maxBytes, now); delay > 0 {
				return choice{}, delay, true
			}
		}
		w, again, full := s.chooseTargetFor(j, maxBytes, now)
		if w != nil || !full {
			return choice{job: j, worker: w}, again, false
		}
		if _, known := s.blockedSince[j]; !known {
			s.blockedSince[j] = now
		}
		if now.Sub(s.blockedSince[j]) < passAfter {
			return choice{}, memoryRetryInterval, true
		}
		maxBytes = j.ResultBytes / passingShare
	}
	return choice{}, memoryRetryInterval, true
}

// passDelay returns how long a job that passes a blocked one waits for others to share its call.
func (s *Scheduler) passDelay(first *Job, maxBytes int64, now time.Time) time.Duration {
	pieces := 0
	for _, j := range s.jobs {
		if j.ResultBytes <= maxBytes {
			pieces += len(j.queue)
		}
		if pieces >= s.profile.MaxBatchSize/2 {
			return 0
		}
	}
	return max(maxBatchDelay-now.Sub(first.queuedAt), 0)
}

// reserveMemory assigns targets to the jobs that have waited longest for memory and that others
// may pass, at most half of the targets: what becomes free there is left to them.
func (s *Scheduler) reserveMemory(now time.Time) {
	clear(s.reserved)
	if len(s.blockedSince) == 0 {
		return
	}
	smallest := int64(math.MaxInt64)
	for _, j := range s.jobs {
		smallest = min(smallest, j.ResultBytes)
	}
	var starved []*Job
	for j, since := range s.blockedSince {
		mayBePassed := smallest <= j.ResultBytes/passingShare
		if now.Sub(since) >= memoryPatience && mayBePassed && j.group != groupHeldBack {
			starved = append(starved, j)
		}
	}
	slices.SortFunc(starved, func(a, b *Job) int {
		return cmp.Or(s.blockedSince[a].Compare(s.blockedSince[b]), compareJobs(a, b))
	})
	for _, j := range starved[:min(len(starved), max(len(s.order)/2, 1))] {
		var best *worker
		for _, w := range s.order {
			if s.reserved[w] == nil && !now.Before(w.availableAt(s.needsAll)) && (best == nil || s.freeMemory(w, now) > s.freeMemory(best, now)) {
				best = w
			}
		}
		if best != nil {
			s.reserved[best] = j
		}
	}
}

// chooseTargetFor returns the free target for a job, or the time after which to check again;
// full says that free targets lack memory. A target of the job's failure domain is preferred,
// because the results cross to another domain otherwise.
func (s *Scheduler) chooseTargetFor(j *Job, maxBytes int64, now time.Time) (best *worker, again time.Duration, full bool) {
	bestScore := 0.0
	for _, w := range s.order {
		if !s.isFree(w, now) {
			continue
		}
		if !s.hasMemoryFor(w, j, maxBytes, now) {
			full = true
			continue
		}
		score := 1.0
		if w.ratio(now) >= slowRatio {
			score = w.ratio(now)
		}
		if j.isRemoteAt(w.FailureDomain) {
			score += 0.5
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		return nil, 0, full
	}
	if best.ratio(now) >= slowRatio && s.fasterTargetSoon(best, now) {
		return nil, 0, false
	}
	if wait := localDomainWait - now.Sub(j.queuedAt); j.isRemoteAt(best.FailureDomain) && wait > 0 && s.hasShortQueue() && s.hasDomain(j.FailureDomain, now) {
		return nil, wait, false
	}
	return best, 0, false
}

// hasMemoryFor reports whether a target has free memory for a job, and for half a call when
// more than that is queued with results of at most maxBytes. A smaller call would spend the
// fixed time of a call on few pieces when load is highest.
func (s *Scheduler) hasMemoryFor(w *worker, first *Job, maxBytes int64, now time.Time) bool {
	if s.profile.ResultBytes <= 0 {
		return true
	}
	free := s.freeMemory(w, now)
	need := int64(len(first.queue)) * first.ResultBytes
	pieces := len(first.queue)
	for _, j := range s.jobs {
		if pieces >= s.profile.MaxBatchSize/2 {
			break
		}
		if j != first && j.ResultBytes <= maxBytes {
			need += int64(len(j.queue)) * j.ResultBytes
			pieces += len(j.queue)
		}
	}
	if s.isReservedFromPassing(w, first) {
		return need <= min(s.reservedSpace(), free)
	}
	// A job larger than the target's memory takes what is free, but not less than one result: a
	// call without pieces would start over and over.
	return free >= max(min(need, s.profile.ResultBytes/2), first.ResultBytes)
}

// isReservedFromPassing reports whether the memory of a target is reserved for another job that
// this one may pass. Jobs that may not pass each other get memory in queue order.
func (s *Scheduler) isReservedFromPassing(w *worker, j *Job) bool {
	other := s.reserved[w]
	return other != nil && other != j && j.ResultBytes <= other.ResultBytes/passingShare
}

// reservedSpace returns the memory that a call of others may take at a reserved target.
func (s *Scheduler) reservedSpace() int64 { return s.profile.ResultBytes / reservedFraction }

// hasShortQueue reports whether so little is queued that a job may wait for a target of its
// failure domain: less than a call for a few targets.
func (s *Scheduler) hasShortQueue() bool {
	return s.waiting < s.profile.MaxBatchSize*max(len(s.order)/targetsPerCall, 1)
}

// hasDomain reports whether a failure domain has a target that is not slow or failing.
func (s *Scheduler) hasDomain(domain string, now time.Time) bool {
	return slices.ContainsFunc(s.order, func(w *worker) bool { return w.FailureDomain == domain && w.failures == 0 && w.ratio(now) < slowRatio })
}

// fasterTargetSoon reports whether waiting for an ordinary target finishes a call
// earlier than starting it at a slow one.
func (s *Scheduler) fasterTargetSoon(slow *worker, now time.Time) bool {
	n := min(s.waiting, s.profile.MaxBatchSize)
	there := time.Duration(float64(s.callTime(n)) * slow.ratio(now))
	for _, w := range s.order {
		if w == slow || w.ratio(now) >= slowRatio || w.failures > 0 {
			continue
		}
		if w.callLeft(now)+s.callTime(n) < there {
			return true
		}
	}
	return false
}

// nextBackoffEnd returns the time until the first backoff ends, or 0.
func (s *Scheduler) nextBackoffEnd(now time.Time) time.Duration {
	best := time.Duration(0)
	for _, w := range s.order {
		if left := w.availableAt(s.waiting >= s.profile.MaxBatchSize).Sub(now); left > 0 && (best == 0 || left < best) {
			best = left
		}
	}
	if best == 0 && len(s.results) > 0 {
		best = rejectedBackoff // memory may become free
	}
	return best
}

// mayWaitForLocal reports whether a job still waits for a target of its failure
// domain.
func (s *Scheduler) mayWaitForLocal(j *Job, now time.Time) bool {
	return now.Sub(j.queuedAt) < localDomainWait && s.hasDomain(j.FailureDomain, now)
}

// recordCall updates the averages from a call in which every piece ran.
func (s *Scheduler) recordCall(w *worker, c *Call, o CallCompleted, now time.Time) {
	if o.count(PieceOutOfMemory) > 0 {
		s.recordMemoryFull(w, c, now)
		return
	}
	if o.count(PieceFailed) > 0 {
		w.backOff(now.Add(rejectedBackoff))
		return
	}
	if now.Sub(c.StartedAt) > c.Timeout() {
		return // past its timeout: this process was suspended meanwhile
	}
	took := now.Sub(c.StartedAt).Seconds()
	seen := min(took/s.piecesTime(c.Pieces).Seconds(), maxRatio)
	before := w.measuredRatio(now)
	w.relativeLatency, w.latencyUpdatedAt = before+ratioWeight*(seen-before), now
	if w.measuredRatio(now) < slowRatio {
		each := max(took-s.profile.CallOverhead.Seconds(), 0) / float64(len(c.Pieces))
		s.learnPieceTimes(c.Pieces, max(took-s.profile.CallOverhead.Seconds(), 0))
		s.pieceTime += pieceWeight * (min(each, 2*s.profile.PieceTime.Seconds()) - s.pieceTime)
	}
}
