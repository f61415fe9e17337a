// Package batching runs pieces of many requests in batch calls to the targets
// of a stage service.
//
// A call costs a fixed time plus some time per piece, so that full calls serve
// several times as many pieces. One Collector receives the pieces of all
// gateways for a service. The Scheduler decides, without network or clock of
// its own, which pieces share the next call, at which target, and which
// requests are rejected because the queue ahead of them is too long.
//
// # Usage
//
//	s := batching.NewScheduler(profile)
//	s.SetTargets(targets)
//	s.Add(job, onFinish, now)
//	for {
//		call, retryAfter := s.Next(now)
//		// run the call, then s.Finish(call, outcome, now)
//	}
package batching

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/stagelink"
)

const (
	// priorityDelay is added to a request's objective, for ordering, for each rank below
	// the most urgent. It decides which requests wait when not all objectives can be met:
	// waits before a stage are a few times as long, so that neighbouring ranks share a
	// burst.
	priorityDelay = 300 * time.Millisecond
	// remoteDomainDelay is added in the same way when the results would cross to another
	// failure domain at the free target. A call takes about as long, after which a target
	// of the local domain is free.
	remoteDomainDelay = 400 * time.Millisecond
	// localDomainWait is how long a request waits for a target of its own failure domain
	// while only others are free.
	localDomainWait = 150 * time.Millisecond
	// minRemoteBytes is the size of all results of a job above which a target of its failure
	// domain is preferred. Smaller ones cost less than the wait.
	minRemoteBytes = 256 << 10
	// targetsPerCall is the number of targets for each full call in a queue that counts as
	// short.
	targetsPerCall = 5
	// crowdedCalls is the number of queued full calls per target above which no request
	// waits for a target of its own failure domain, because it would be late.
	crowdedCalls = 2
	// memoryRetryInterval is how soon a target without free memory is checked again.
	// Gateways release results about as often.
	memoryRetryInterval = 10 * time.Millisecond
	// passingShare is how many times smaller the results of a job have to be than those of an
	// earlier one without memory, to pass it.
	passingShare = 2
	// passAfter is how long a job finds no memory before others pass it. While results are
	// released all the time, a call of small jobs takes the place of a full one.
	passAfter = 60 * time.Millisecond
	// memoryPatience is how long a job finds no memory before memory is reserved for it. A
	// call takes about as long.
	memoryPatience = 400 * time.Millisecond
	// reservedFraction is the fraction of a target's memory that a call of other jobs may take
	// while the rest is reserved. Results of 8 kB among ones of 1.5 MB need less.
	reservedFraction = 20
	// inputWaitLimit is how long a job that has missed its objective waits behind others
	// when its inputs take up memory at other targets.
	inputWaitLimit = 700 * time.Millisecond
	// heldBackBacklog is the backlog of a later stage above which a request that has
	// missed its objective waits before its first stage. It is half the duration of a
	// call.
	heldBackBacklog = 180 * time.Millisecond
	// heldBackRetryInterval is how soon jobs that wait for later stages are checked again.
	heldBackRetryInterval = 20 * time.Millisecond
	// heldBackWaitFactor scales the expected wait of a held-back request, which is
	// admitted later than the mean load suggests.
	heldBackWaitFactor = 1.25
	// firstStageMargin is added to the expected time of a request that has not started its
	// first stage, to decide whether it is on time. Calls and waits vary by about as much.
	firstStageMargin = 200 * time.Millisecond
	// laterStageMargin is added for each stage that follows. The errors of the estimates add
	// up: without it a kind with three stages starts requests in a burst that are late at
	// the last one, and those take the place of others that are still on time.
	laterStageMargin = 50 * time.Millisecond
	// lowMemoryShare is the used share of a target's result memory above which the target
	// counts as short of memory. A full call takes nearly half of the memory.
	lowMemoryShare = 0.6
	// maxExactQueue is the number of queued jobs up to which the capacity is estimated anew for each
	// arrival. With more the estimate, which looks at all jobs and targets, is up to estimateAge old.
	maxExactQueue = 64
	estimateAge   = 20 * time.Millisecond
	// checkInterval is how often the queue is checked for jobs that cannot meet their
	// deadline.
	checkInterval = 50 * time.Millisecond
	// pieceWeight is the weight of one call in the average time per piece.
	pieceWeight = 0.1
	// maxPieceKinds limits the sizes of results for which the time per piece is learned, and
	// maxPieceFactor that time relative to the profile.
	maxPieceKinds  = 64
	maxPieceFactor = 4.0
	// arrivalWindow is the averaging time of the arrival rate. It is longer than a burst,
	// after which the requests that have missed their objective are served.
	arrivalWindow = 12 * time.Second
	// minLateShare is the minimum share of the targets' capacity that is expected for requests
	// that have missed their objective. A burst ends before the deadline of patient ones; with
	// 0.05 they were rejected although there was room after it.
	minLateShare = 0.3
	// maxBatchDelay is how long pieces wait for others when every target but one is busy.
	// It is a tenth of a full call.
	maxBatchDelay = 40 * time.Millisecond
	// maxAttempts limits the calls that one piece is part of.
	maxAttempts = 3
	// slowRatio is the relative latency above which a target gets only work that would
	// otherwise wait longer than it takes there.
	slowRatio = 1.6
	// ratioWeight is the weight of one call in the average relative latency.
	ratioWeight = 0.4
	// maxRatio limits the effect of one call on the average, and ratioDecay is the time
	// constant with which the average returns to 1.
	maxRatio   = 6.0
	ratioDecay = 3 * time.Second
	// sampleWeight is the weight of what a target says of its speed, which changes many times
	// a second, and sampleMemory the time constant with which it is forgotten.
	sampleWeight = 0.5
	sampleMemory = 300 * time.Millisecond
	// initialBackoff is the backoff of a target after a failed call among successes, and
	// unknownBackoff that of one which answers fewer than minSuccessShare of its calls, or has
	// answered none yet. It doubles with each consecutive failure up to maxBackoff.
	initialBackoff  = 50 * time.Millisecond
	unknownBackoff  = 250 * time.Millisecond
	maxBackoff      = 4 * time.Second
	minSuccessShare = 0.5
	// answerWeight is the weight of one call in the share of answered calls, and
	// unknownSuccessShare the share of a target that was not called yet. When a target
	// crashes that has always answered, four failures bring the share below minSuccessShare.
	answerWeight        = 0.2
	unknownSuccessShare = 0.45
	// rejectedBackoff is the backoff of a target that rejected a call because it is full.
	rejectedBackoff = 60 * time.Millisecond
	// A call that takes longer than callTimeoutFactor times the expected duration plus
	// callTimeoutMargin is abandoned, and its pieces run elsewhere.
	callTimeoutMargin = 400 * time.Millisecond
	callTimeoutFactor = 3
	// otherBytesDecay is the time constant with which the memory attributed to other
	// collectors decays. Requests release their results within about a second.
	otherBytesDecay = 500 * time.Millisecond
	// sizeAdvanceFactor is the part of the time of its further pieces by which a job is ordered
	// earlier. Jobs with many pieces find room in a call less often and were served a third as
	// often as others in a burst; with all of the time they crowd out several smaller ones.
	sizeAdvanceFactor = 0.7
	// minRetryAfter is the minimum retry delay sent to a rejected caller. A caller that
	// retries sooner meets the same burst and is rejected again.
	minRetryAfter = 1200 * time.Millisecond
	// maxRetryAfter is the maximum retry delay; a burst is over by then, and what waited after
	// it has been served. Callers with less time come back earlier whatever they are told.
	maxRetryAfter = 15 * time.Second
)

// Scheduler holds the queue of one service. It isn't safe for concurrent use.
type Scheduler struct {
	profile            catalog.BatchProfile
	workers            map[string]*worker
	order              []*worker
	jobs               []*Job // jobs with pieces that are in no call
	waiting            int    // pieces that are in no call
	results            map[string]storedResult
	nextExpiry         time.Time // no result expires before
	nextID             uint64
	orphans            []Result // results that no job needs any more
	pieceTime          float64  // average call time per piece, in seconds
	arrivals           float64  // pieces per second that can meet their objective
	arrivedAt          time.Time
	deadlinesCheckedAt time.Time         // last check of deadlines
	pieceTimes         map[int64]float64 // the same by size of the result, see pieceTimeOf
	fair               fairShares
	load               *Load
	stopping           bool // jobs with pieces in no call end
	// blockedSince is when jobs first found no memory, and reserved are the targets whose
	// memory is left to one of them.
	blockedSince    map[*Job]time.Time
	reserved        map[*worker]*Job
	needsAll        bool      // a full call waits, and no target is free that answers well
	collectingSince time.Time // last call of BeginCollecting
	// reportsAreCoarse says that reports state memory in steps too large for these targets.
	reportsAreCoarse bool
	seenAt           time.Time // last time passed by a caller
	estimate         capacityEstimate
	estimatedAt      time.Time // when estimate was made
}

// NewScheduler returns a Scheduler without targets.
func NewScheduler(p catalog.BatchProfile) *Scheduler {
	return &Scheduler{
		profile: p, workers: map[string]*worker{}, results: map[string]storedResult{},
		pieceTimes: map[int64]float64{}, blockedSince: map[*Job]time.Time{}, reserved: map[*worker]*Job{},
		pieceTime: p.PieceTime.Seconds(), load: NewLoad(),
	}
}

// Load returns the load of the service as of the last Publish.
func (s *Scheduler) Load() *Load { return s.load }

// IsFair reports whether jobs are ordered by the shares of their customers.
func (s *Scheduler) IsFair(now time.Time) bool { return s.fair.isOn(now) }

// SetProfile replaces the service's profile.
func (s *Scheduler) SetProfile(p catalog.BatchProfile) {
	s.profile = p
	s.estimatedAt = time.Time{}
}

// Groups of jobs, in the order in which they are served.
const (
	groupOnTime        = iota // the objective can be met
	groupRepeated             // the objective is missed, and the caller comes back after a rejection
	groupPastObjective        // the objective is missed
	groupHeldBack             // held back because later stages are busy with more urgent work
)

// rank orders jobs: first those whose objective can still be met, by objective and
// priority, then the others by deadline. A job that has missed its objective and has
// not started its first stage is held back while a later stage has a backlog. A job
// with inputs isn't, because its inputs take up memory at other targets. A caller that
// comes back after a rejection goes first among those that have missed their objective.
func (s *Scheduler) rank(j *Job, now time.Time) (group int, at time.Time) {
	behind := time.Duration(j.Priority)*priorityDelay + s.fair.delay(j, now)
	need := s.callTime(min(j.pending, s.profile.MaxBatchSize))
	expected := need + j.Path.expectedDuration(need, j.rank())
	if j.hasNotStarted() {
		expected += firstStageMargin + time.Duration(len(j.Path.stages))*laterStageMargin
	}
	switch {
	case !now.Add(expected).After(j.Objective):
		return groupOnTime, j.latestFinish.Add(behind - s.sizeAdvance(j))
	case j.hasResults():
		return groupPastObjective, j.queuedAt.Add(inputWaitLimit + behind)
	case j.Path.congested(heldBackBacklog):
		return groupHeldBack, j.Deadline.Add(behind)
	case j.isRepeated():
		return groupRepeated, j.Deadline.Add(behind)
	}
	return groupPastObjective, j.Deadline.Add(behind)
}

// sizeAdvance returns by how much earlier a job is ordered than one with a single piece.
func (s *Scheduler) sizeAdvance(j *Job) time.Duration {
	n := min(j.Pieces, s.profile.MaxBatchSize)
	return time.Duration(sizeAdvanceFactor * float64(s.callTime(n)-s.callTime(1)))
}

// Stop ends the jobs with pieces in no call, now and later. Running calls go on.
func (s *Scheduler) Stop() {
	s.stopping = true
	for _, j := range slices.Clone(s.jobs) {
		s.finish(j, Outcome{Kind: Failed, Reason: stagelink.ReasonStopping})
	}
}

// RefuseWaiting refuses the jobs with pieces in no call. Running calls go on.
func (s *Scheduler) RefuseWaiting(reason string, now time.Time) {
	for _, j := range slices.Clone(s.jobs) {
		s.finish(j, Outcome{Kind: Refused, Reason: reason, Waited: now.Sub(j.queuedAt), RetryAfter: minRetryAfter})
	}
}

// Add queues a job. onFinish is called once with its outcome, from Add, Next or
// Finish. A job that can't be done by its deadline is rejected at once.
func (s *Scheduler) Add(j *Job, end func(Outcome), now time.Time) {
	s.seenAt = now
	j.queuedAt = now
	j.onFinish = end
	j.pending = j.Pieces
	j.results = make([]Result, j.Pieces)
	j.latestFinish = j.Objective.Add(-j.Path.MinDuration())
	if s.stopping {
		s.finish(j, Outcome{Kind: Failed, Reason: stagelink.ReasonStopping})
		return
	}
	if len(s.order) == 0 {
		s.finish(j, Outcome{Kind: Refused, Reason: "no_target", RetryAfter: s.callTime(s.profile.MaxBatchSize)})
		return
	}
	s.fair.add(j, now)
	wait := s.wait(j, now)
	need := s.jobTime(j, min(j.Pieces, s.profile.MaxBatchSize))
	if now.Add(wait + need).After(j.Deadline) {
		s.fair.recordRejection(now)
		s.finish(j, Outcome{Kind: Refused, Reason: "queue_too_long", RetryAfter: retryAfter(wait)})
		return
	}
	s.recordArrival(j, now)
	if j.hasResults() {
		j.countOnPath()
	}
	for i := range j.Pieces {
		j.queue = append(j.queue, i)
	}
	s.waiting += j.Pieces
	s.jobs = append(s.jobs, j)
}

// Cancel removes a job whose caller has left and releases the results that it already
// has.
func (s *Scheduler) Cancel(j *Job) {
	j.finished = true
	j.leaveFairQueue(false)
	j.uncountOnPath()
	for _, r := range j.results {
		if r.Handle != "" {
			s.orphans = append(s.orphans, r)
		}
	}
	j.results = nil
	delete(s.blockedSince, j)
	if len(j.queue) > 0 {
		s.waiting -= len(j.queue)
		j.queue = nil
		s.jobs = slices.DeleteFunc(s.jobs, func(other *Job) bool { return other == j })
	}
}

func (s *Scheduler) finish(j *Job, o Outcome) {
	if j.finished {
		return
	}
	if o.Kind == Done {
		o.Results = j.results
		j.results = nil
		s.orphans = append(s.orphans, j.Release...)
	}
	s.Cancel(j)
	j.onFinish(o)
}

// Next returns a call to start now. If there is none, again is the time after which to
// call Next again when nothing else happens; 0 means that this isn't needed.
func (s *Scheduler) Next(now time.Time) (call *Call, again time.Duration) {
	s.seenAt = now
	if len(s.jobs) == 0 {
		return nil, 0
	}
	free := s.freeTargets(now)
	if free == 0 && now.Sub(s.deadlinesCheckedAt) < checkInterval {
		return nil, cmp.Or(s.nextBackoffEnd(now), checkInterval)
	}
	s.expireResults(now)
	s.sort(now)
	s.dropUnmeetable(now)
	if len(s.jobs) == 0 || free == 0 {
		return nil, s.nextBackoffEnd(now)
	}
	if delay := s.batchDelay(free, now); delay > 0 {
		return nil, delay
	}
	if s.jobs[0].group == groupHeldBack {
		return nil, heldBackRetryInterval
	}
	next, again := s.chooseTarget(now)
	if next.worker == nil {
		if end := s.nextBackoffEnd(now); end > 0 && (again == 0 || end < again) {
			again = end
		}
		return nil, again
	}
	return s.startCall(next, now), 0
}

// sort orders the jobs by rank.
func (s *Scheduler) sort(now time.Time) {
	s.fair.rate = s.estimateCapacity(now).rate
	for _, j := range s.jobs {
		j.group, j.sortTime = s.rank(j, now)
	}
	slices.SortFunc(s.jobs, compareJobs)
}

// dropUnmeetable ends the jobs that can't be done by their deadline, given the pieces
// ahead of them, as soon as this is known.
func (s *Scheduler) dropUnmeetable(now time.Time) {
	s.deadlinesCheckedAt = now
	o := s.estimateCapacity(now)
	var unmeetable []*Job
	q := queueAhead{}
	for _, j := range s.jobs {
		need := s.jobTime(j, min(j.pending, s.profile.MaxBatchSize))
		j.expectedWait = s.waitBehind(j, q, o)
		if now.Add(j.expectedWait + need).After(j.Deadline) {
			unmeetable = append(unmeetable, j)
			continue
		}
		q.add(j)
	}
	if len(unmeetable) > 0 {
		s.fair.recordRejection(now)
	}
	for _, j := range unmeetable {
		s.finish(j, Outcome{Kind: DeadlineExceeded, Reason: "queue_too_long", Waited: now.Sub(j.queuedAt), RetryAfter: retryAfter(j.expectedWait)})
	}
}

// retryAfter returns the retry delay for a rejected caller: the time until the work
// ahead has been done, within limits.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// startCall builds a call from the first jobs for which the chosen target has free memory.
// Jobs of the target's failure domain go before others of about the same urgency. A
// job is split only when it is the first or larger than a call. The results of one call take
// up to half of the memory, so that the next call finds room while they wait for their
// readers: a target with larger calls idles meanwhile.
func (s *Scheduler) startCall(next choice, now time.Time) *Call {
	w, first := next.worker, next.job
	c := &Call{Target: w.Target, StartedAt: now, worker: w}
	resultBytes := int64(0)
	for _, j := range s.jobsFor(w) {
		space := s.profile.MaxBatchSize - len(c.Pieces)
		if space <= 0 {
			break
		}
		if s.profile.ResultBytes > 0 && j.ResultBytes > 0 {
			room := s.freeMemory(w, now)
			if len(c.Pieces) > 0 {
				room = min(room, s.profile.ResultBytes/2-resultBytes)
			}
			if s.isReservedFromPassing(w, j) {
				room = min(room, s.reservedSpace()-resultBytes)
			}
			space = min(space, int(room/j.ResultBytes))
		}
		remote := j.isRemoteAt(w.FailureDomain) && j != first && !s.isCrowded() && s.mayWaitForLocal(j, now)
		whole := len(j.queue) <= space || j == first || len(j.queue) > s.profile.MaxBatchSize
		if space <= 0 || remote || !whole || j.group == groupHeldBack {
			continue
		}
		n := min(space, len(j.queue))
		for _, segment := range j.queue[:n] {
			c.Pieces = append(c.Pieces, Piece{Job: j, Segment: segment})
		}
		j.queue = j.queue[n:]
		delete(s.blockedSince, j)
		j.startedAt = now
		j.leaveFairQueue(true)
		j.countOnPath()
		s.waiting -= n
		w.addBytes(int64(n)*j.ResultBytes, now)
		resultBytes += int64(n) * j.ResultBytes
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(j *Job) bool { return len(j.queue) == 0 })
	s.nextID++
	c.ID = s.nextID
	c.Expected = time.Duration(float64(s.piecesTime(c.Pieces)) * max(w.ratio(now), 1))
	c.Queued, c.TargetBytes = s.waiting, w.resultBytes
	w.running = append(w.running, c)
	return c
}

// isCrowded reports whether the queue holds more than the targets run in their next
// calls.
func (s *Scheduler) isCrowded() bool {
	return s.waiting >= crowdedCalls*s.profile.MaxBatchSize*len(s.order)
}

// jobsFor returns the jobs in the order in which a target runs them. The queue is sorted.
func (s *Scheduler) jobsFor(w *worker) []*Job {
	var local, remote []*Job
	for _, j := range s.jobs {
		if j.isRemoteAt(w.FailureDomain) {
			remote = append(remote, j)
		} else {
			local = append(local, j)
		}
	}
	jobs := make([]*Job, 0, len(s.jobs))
	for len(local) > 0 && len(remote) > 0 {
		l, r := local[0], remote[0]
		if cmp.Or(cmp.Compare(l.startedRank(), r.startedRank()), cmp.Compare(l.group, r.group), l.sortTime.Compare(r.sortTime.Add(remoteDomainDelay))) < 0 {
			jobs, local = append(jobs, l), local[1:]
		} else {
			jobs, remote = append(jobs, r), remote[1:]
		}
	}
	return append(append(jobs, local...), remote...)
}

// Finish records the outcome of a call.
func (s *Scheduler) Finish(c *Call, o CallOutcome, now time.Time) {
	s.seenAt = now
	w := c.worker
	w.running = slices.DeleteFunc(w.running, func(other *Call) bool { return other == c })
	switch o := o.(type) {
	case CallCompleted:
		w.recordAnswer(true, false, now)
		w.recordSample(o.Latency, now)
		for i, p := range c.Pieces {
			s.finishPiece(c, p, o.Outcomes[i], o.Handles[i], now)
		}
		s.recordCall(w, c, o, now)
	case CallRejected:
		w.backOff(now.Add(rejectedBackoff))
		s.requeue(c, false, now)
	case CallFailed:
		w.recordAnswer(false, now.Sub(c.StartedAt) < s.profile.CallOverhead, now)
		s.retainMemory(w, c, now)
		s.requeue(c, true, now)
	}
}

func (s *Scheduler) finishPiece(c *Call, p Piece, o PieceOutcome, handle string, now time.Time) {
	w := c.worker
	if o != PieceDone {
		w.removeUnused(p.Job.ResultBytes, c.StartedAt, now)
	}
	switch o {
	case PieceDone:
		s.storeResult(handle, w, p.Job.ResultBytes, now)
		r := Result{Handle: handle, Target: w.ID, FailureDomain: w.FailureDomain}
		if p.Job.finished {
			s.orphans = append(s.orphans, r)
			return
		}
		p.Job.results[p.Segment] = r
		p.Job.pending--
		if p.Job.pending == 0 {
			s.finish(p.Job, Outcome{Kind: Done, Waited: p.Job.startedAt.Sub(p.Job.queuedAt), Worked: now.Sub(p.Job.startedAt)})
		}
	case PieceInputGone:
		s.finish(p.Job, Outcome{Kind: InputGone, Reason: "input_gone"})
	case PieceDeadlineExceeded:
		s.finish(p.Job, Outcome{Kind: DeadlineExceeded, Reason: "late_at_target", Waited: now.Sub(p.Job.queuedAt)})
	case PieceOutOfMemory:
		s.requeuePiece(p, false)
	case PieceFailed:
		s.requeuePiece(p, true)
	}
}

// requeue returns the pieces of a call that didn't run, or may not have run.
func (s *Scheduler) requeue(c *Call, counts bool, now time.Time) {
	for _, p := range c.Pieces {
		if counts {
			c.worker.addBytes(-p.Job.ResultBytes, now) // retained under another name
		} else {
			c.worker.removeUnused(p.Job.ResultBytes, c.StartedAt, now)
		}
		s.requeuePiece(p, counts)
	}
}

func (s *Scheduler) requeuePiece(p Piece, counts bool) {
	if p.Job.finished {
		return
	}
	if counts {
		p.Job.failedCalls++
	}
	if s.stopping {
		s.finish(p.Job, Outcome{Kind: Failed, Reason: stagelink.ReasonStopping})
		return
	}
	if p.Job.failedCalls >= maxAttempts*max(p.Job.Pieces, 1) {
		s.finish(p.Job, Outcome{Kind: Failed, Reason: "too_many_failures"})
		return
	}
	if len(p.Job.queue) == 0 {
		s.jobs = append(s.jobs, p.Job)
	}
	p.Job.queue = append(p.Job.queue, p.Segment)
	s.waiting++
}
