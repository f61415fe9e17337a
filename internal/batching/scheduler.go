// Package batching runs pieces of many requests in shared calls to the targets
// of a stage service.
//
// A call costs a fixed time and some for each piece, so that full calls serve
// several times as many pieces. One Runner collects the pieces of all gateways
// for a service. The Scheduler decides, without network or clock of its own,
// which pieces share the next call, at which target, and which requests are
// refused because the queue ahead of them is too long.
//
// # Usage
//
//	s := batching.NewScheduler(profile)
//	s.SetTargets(targets, now)
//	refusal := s.Add(job, now)
//	for {
//		call, ok := s.Next(now)
//		// run it, then s.Finish(call, outcomes, now)
//	}
package batching

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

const (
	// priorityDelay is how much later than its objective says a request is ordered
	// for each rank below the most urgent. It decides who waits when not all
	// objectives can be met: waits before a stage are a few times as long, so that
	// neighbouring ranks share a burst.
	priorityDelay = 300 * time.Millisecond
	// foreignDelay is the same for a request whose results would cross to another
	// failure domain at the target that is free. A call takes about as long, after
	// which a target of the own domain is free.
	foreignDelay = 400 * time.Millisecond
	// foreignWait is how long a request waits for a target of its own failure
	// domain while only others are free.
	foreignWait = 150 * time.Millisecond
	// crowdedCalls is the number of full calls for each target in the queue above which
	// nobody waits for a target of the own failure domain: those that do would be late.
	crowdedCalls = 2
	// roomPause is how soon a target is looked at again that has no room. The
	// gateways tell about as often which results they no longer need.
	roomPause = 10 * time.Millisecond
	// inputPatience is how long a job whose objective is missed waits behind others
	// when its inputs take up room elsewhere.
	inputPatience = 700 * time.Millisecond
	// gateBacklog is the backlog of a later stage above which a request that has
	// missed its objective waits before its first stage; it is half a call.
	gateBacklog = 180 * time.Millisecond
	// gatePause is how soon jobs are looked at again that wait for later stages.
	gatePause = 20 * time.Millisecond
	// gatedFactor scales the wait that is expected of a request at such a gate, which
	// opens later than the mean load says.
	gatedFactor = 1.25
	// doorMargin is the time that a request must have left over, by what is expected
	// of its path, to begin its first stage among those that are in time. Calls and
	// waits vary by about as much.
	doorMargin = 200 * time.Millisecond
	// shortShare is the part of a target's memory for results above which it counts
	// as short of room: a full call takes nearly half of what is there.
	shortShare = 0.6
	// checkPeriod is how often jobs are looked for that wait in vain.
	checkPeriod = 50 * time.Millisecond
	// pieceWeight is the weight of one call in the average time for a piece.
	pieceWeight = 0.1
	// arrivalWindow is the time over which arrivals are averaged: longer than a
	// burst, after which those are served that have missed their objective.
	arrivalWindow = 12 * time.Second
	// lateRate is the least share of the targets' work that requests get which
	// have missed their objective.
	lateRate = 0.05
	// maxLinger is how long pieces wait for others when every target but one is
	// busy. It is a tenth of a full call.
	maxLinger = 40 * time.Millisecond
	// maxTries bounds the calls that one piece is part of.
	maxTries = 3
	// slowRatio is the duration over the expected one above which a target gets
	// only what would otherwise wait longer than there.
	slowRatio = 1.6
	// ratioWeight is the weight of one call in the average of that ratio.
	ratioWeight = 0.4
	// maxRatio bounds what one call says, and ratioMemory is how fast it is forgotten.
	maxRatio    = 6.0
	ratioMemory = 3 * time.Second
	// firstPause is how long a target rests after a failed call; the pause doubles
	// with each further failure in a row up to maxPause.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
	// fullPause is how long a target rests that refused a call because it is full.
	fullPause = 60 * time.Millisecond
	// callSlack and callFactor bound a call: one that takes longer than both together
	// is given up, and its pieces are run elsewhere.
	callSlack  = 400 * time.Millisecond
	callFactor = 3
	// unknownMemory is how fast results fade that others hold at a target. Requests
	// give theirs up within a second or so.
	unknownMemory = 500 * time.Millisecond
	// minRetryAfter is the shortest time told to a refused caller. One that comes
	// back sooner meets the same burst and is refused again.
	minRetryAfter = 1200 * time.Millisecond
	// maxRetryAfter is the longest: a burst is over by then.
	maxRetryAfter = 6 * time.Second
)

// Scheduler holds the queue of one service. It isn't safe for concurrent use.
type Scheduler struct {
	profile   catalog.BatchProfile
	workers   map[string]*worker
	order     []*worker
	jobs      []*Job // that have pieces in no call
	waiting   int    // number of these pieces
	calls     map[uint64]*Call
	results   map[string]held
	nextID    uint64
	orphans   []Result // results that no job needs any more
	pieceTime float64  // average time of a call for each of its pieces, seconds
	arrivals  float64  // pieces a second that can meet their objective
	arrivedAt time.Time
	checked   time.Time // when hopeless jobs were last looked for
	load      *Load
}

// NewScheduler returns a Scheduler without targets.
func NewScheduler(p catalog.BatchProfile) *Scheduler {
	return &Scheduler{
		profile: p, workers: map[string]*worker{}, calls: map[uint64]*Call{}, results: map[string]held{},
		pieceTime: p.PieceTime.Seconds(), load: NewLoad(),
	}
}

// Load returns how the service stands, as of the last call of Publish.
func (s *Scheduler) Load() *Load { return s.load }

// SetProfile replaces the service's profile.
func (s *Scheduler) SetProfile(p catalog.BatchProfile) { s.profile = p }

// Groups of jobs, in the order in which they are served.
const (
	groupHopeful = iota // the objective can be met
	groupLate           // the objective is missed
	groupGated          // later stages are busy with what goes first
)

// rank orders jobs: first those whose objective can still be met, by objective
// and priority; then the others by deadline. A job that has missed its objective
// and has not begun its first stage waits while a later one has a backlog. One with
// inputs doesn't, because its inputs take up room elsewhere.
func (s *Scheduler) rank(j *Job, now time.Time) (group int, at time.Time) {
	behind := time.Duration(j.Priority) * priorityDelay
	need := s.callTime(min(j.pending, s.profile.MaxBatchSize))
	expected := need + j.Path.expected(need, j.rank())
	if j.isAtDoor() {
		expected += doorMargin
	}
	switch {
	case !now.Add(expected).After(j.Objective):
		return groupHopeful, j.doneBy.Add(behind)
	case len(j.Inputs) > 0:
		return groupLate, j.added.Add(inputPatience + behind)
	case j.Path.congested(gateBacklog):
		return groupGated, j.Deadline.Add(behind)
	}
	return groupLate, j.Deadline.Add(behind)
}

// Add queues a job; end is called once with its outcome, from Add, Next or Finish.
// A job that can't be done by its deadline is refused at once.
func (s *Scheduler) Add(j *Job, end func(Outcome), now time.Time) {
	j.added = now
	j.end = end
	j.pending = j.Pieces
	j.results = make([]Result, j.Pieces)
	j.doneBy = j.Objective.Add(-j.Path.Least())
	if len(s.order) == 0 {
		s.finish(j, Outcome{Kind: Refused, Reason: "no_target", RetryAfter: s.callTime(s.profile.MaxBatchSize)})
		return
	}
	wait := s.wait(j, now)
	need := s.callTime(min(j.Pieces, s.profile.MaxBatchSize))
	if now.Add(wait + need).After(j.Deadline) {
		s.finish(j, Outcome{Kind: Refused, Reason: "queue_too_long", RetryAfter: retryAfter(wait)})
		return
	}
	s.noteArrival(j, now)
	if len(j.Inputs) > 0 {
		j.join()
	}
	for i := range j.Pieces {
		j.queue = append(j.queue, i)
	}
	s.waiting += j.Pieces
	s.jobs = append(s.jobs, j)
}

// Cancel withdraws a job whose caller has left. Results that it has already are
// given up.
func (s *Scheduler) Cancel(j *Job) {
	j.ended = true
	j.leave()
	for _, r := range j.results {
		if r.Handle != "" {
			s.orphans = append(s.orphans, r)
		}
	}
	j.results = nil
	if len(j.queue) > 0 {
		s.waiting -= len(j.queue)
		j.queue = nil
		s.jobs = slices.DeleteFunc(s.jobs, func(other *Job) bool { return other == j })
	}
}

func (s *Scheduler) finish(j *Job, o Outcome) {
	if j.ended {
		return
	}
	if o.Kind == Done {
		o.Results = j.results
		j.results = nil
		s.orphans = append(s.orphans, j.Release...)
	}
	s.Cancel(j)
	j.end(o)
}

// Next returns a call to begin now. The time after which to ask again, when
// nothing else happens, is 0 if that isn't needed.
func (s *Scheduler) Next(now time.Time) (call *Call, again time.Duration) {
	if len(s.jobs) == 0 {
		return nil, 0
	}
	free := s.freeTargets(now)
	if free == 0 && now.Sub(s.checked) < checkPeriod {
		return nil, cmp.Or(s.nextPause(now), checkPeriod)
	}
	s.expire(now)
	s.sort(now)
	s.dropHopeless(now)
	if len(s.jobs) == 0 || free == 0 {
		return nil, s.nextPause(now)
	}
	if linger := s.linger(free, now); linger > 0 {
		return nil, linger
	}
	if s.jobs[0].group == groupGated {
		return nil, gatePause
	}
	w, again := s.choose(now)
	if w == nil {
		return nil, max(again, s.nextPause(now))
	}
	return s.begin(w, now), 0
}

// sort orders the jobs by rank.
func (s *Scheduler) sort(now time.Time) {
	for _, j := range s.jobs {
		j.group, j.rankAt = s.rank(j, now)
	}
	slices.SortFunc(s.jobs, compareJobs)
}

// dropHopeless ends the jobs that can't be done by their deadline, given the
// pieces before them, as soon as that is known.
func (s *Scheduler) dropHopeless(now time.Time) {
	s.checked = now
	o := s.outlook(now)
	var hopeless []*Job
	q := queueAhead{}
	for _, j := range s.jobs {
		need := s.callTime(min(j.pending, s.profile.MaxBatchSize))
		j.wait = s.waitBehind(j, q, o)
		if now.Add(j.wait + need).After(j.Deadline) {
			hopeless = append(hopeless, j)
			continue
		}
		q.add(j)
	}
	for _, j := range hopeless {
		s.finish(j, Outcome{Kind: Late, Reason: "queue_too_long", Waited: now.Sub(j.added), RetryAfter: retryAfter(j.wait)})
	}
}

// retryAfter returns when a caller may come back that would have to wait too long:
// when what is ahead has been done.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// begin takes the first jobs that the target has room for into a call. Jobs of the
// target's failure domain go before others that are about as urgent. A job is
// split only when it is the first or larger than a call.
func (s *Scheduler) begin(w *worker, now time.Time) *Call {
	c := &Call{Target: w.Target, Began: now, worker: w}
	first := s.jobs[0]
	for _, j := range s.jobsFor(w) {
		space := s.profile.MaxBatchSize - len(c.Pieces)
		if s.profile.ResultBytes > 0 && j.ResultBytes > 0 {
			space = min(space, int(s.roomLeft(w, now)/j.ResultBytes))
		}
		foreign := j.Domain != w.FailureDomain && j != first && !s.isCrowded() && s.mayWait(j, now)
		whole := len(j.queue) <= space || j == first || len(j.queue) > s.profile.MaxBatchSize
		if space <= 0 || foreign || !whole || j.group == groupGated {
			continue
		}
		n := min(space, len(j.queue))
		for _, segment := range j.queue[:n] {
			c.Pieces = append(c.Pieces, Piece{Job: j, Segment: segment})
		}
		j.queue = j.queue[n:]
		j.began = now
		j.join()
		s.waiting -= n
		w.room += int64(n) * j.ResultBytes
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(j *Job) bool { return len(j.queue) == 0 })
	s.nextID++
	c.ID = s.nextID
	c.Expected = time.Duration(float64(s.callTime(len(c.Pieces))) * max(w.ratio(now), 1))
	c.Queued, c.Room = s.waiting, w.room
	w.calls++
	s.calls[c.ID] = c
	return c
}

// isCrowded says whether more waits than the targets do in their next calls.
func (s *Scheduler) isCrowded() bool {
	return s.waiting >= crowdedCalls*s.profile.MaxBatchSize*len(s.order)
}

// jobsFor returns the jobs in the order in which a target takes them.
func (s *Scheduler) jobsFor(w *worker) []*Job {
	at := func(j *Job) time.Time {
		if j.Domain != w.FailureDomain {
			return j.rankAt.Add(foreignDelay)
		}
		return j.rankAt
	}
	jobs := slices.Clone(s.jobs)
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.startedRank(), b.startedRank()), cmp.Compare(a.group, b.group), at(a).Compare(at(b)))
	})
	return jobs
}

// Finish takes the outcome of a call.
func (s *Scheduler) Finish(c *Call, o CallOutcome, now time.Time) {
	delete(s.calls, c.ID)
	w := c.worker
	w.calls--
	switch o := o.(type) {
	case CallCompleted:
		w.failures = 0
		for i, p := range c.Pieces {
			s.finishPiece(w, p, o.Outcomes[i], o.Handles[i], now)
		}
		s.learn(w, c, o, now)
	case CallRejected:
		w.pause = now.Add(fullPause)
		s.requeue(w, c, false)
	case CallFailed:
		pause := firstPause
		for range min(w.failures, 10) {
			pause = min(2*pause, maxPause)
		}
		w.failures++
		w.pause = now.Add(pause)
		s.keepRoom(w, c, now)
		s.requeue(w, c, true)
	}
}

func (s *Scheduler) finishPiece(w *worker, p Piece, o PieceOutcome, handle string, now time.Time) {
	if o != PieceDone {
		w.room -= p.Job.ResultBytes
	}
	switch o {
	case PieceDone:
		s.results[handle] = held{worker: w, bytes: p.Job.ResultBytes, expires: now.Add(s.profile.ResultTTL)}
		r := Result{Handle: handle, Target: w.ID, Domain: w.FailureDomain}
		if p.Job.ended {
			s.orphans = append(s.orphans, r)
			return
		}
		p.Job.results[p.Segment] = r
		p.Job.pending--
		if p.Job.pending == 0 {
			s.finish(p.Job, Outcome{Kind: Done, Waited: p.Job.began.Sub(p.Job.added), Worked: now.Sub(p.Job.began)})
		}
	case PieceInputGone:
		s.finish(p.Job, Outcome{Kind: InputGone, Reason: "input_gone"})
	case PieceDeadlineExceeded:
		s.finish(p.Job, Outcome{Kind: Late, Reason: "late_at_target", Waited: now.Sub(p.Job.added)})
	case PieceOutOfMemory:
		s.again(p, false)
	case PieceFailed:
		s.again(p, true)
	}
}

// requeue returns the pieces of a call that didn't run, or may not have.
func (s *Scheduler) requeue(w *worker, c *Call, counts bool) {
	for _, p := range c.Pieces {
		w.room -= p.Job.ResultBytes
		s.again(p, counts)
	}
}

func (s *Scheduler) again(p Piece, counts bool) {
	if p.Job.ended {
		return
	}
	if counts {
		p.Job.tries++
	}
	if p.Job.tries >= maxTries*max(p.Job.Pieces, 1) {
		s.finish(p.Job, Outcome{Kind: Failed, Reason: "too_many_failures"})
		return
	}
	if len(p.Job.queue) == 0 {
		s.jobs = append(s.jobs, p.Job)
	}
	p.Job.queue = append(p.Job.queue, p.Segment)
	s.waiting++
}
