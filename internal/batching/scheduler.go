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
	"math"
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

const (
	// priorityDelay is how much later than its objective says a request is ordered
	// for each rank below the most urgent. It decides who waits when not all
	// objectives can be met; a request passes through two or three calls.
	priorityDelay = 1500 * time.Millisecond
	// foreignDelay is the same for a request whose results would cross to another
	// failure domain at the target that is free. It is half a call: a target of
	// the own domain becomes free about then.
	foreignDelay = 400 * time.Millisecond
	// foreignWait is how long a request waits for a target of its own failure
	// domain while only others are free.
	foreignWait = 150 * time.Millisecond
	// roomPause is how soon a target is looked at again that has no room. The
	// gateways tell about as often which results they no longer need.
	roomPause = 10 * time.Millisecond
	// inputPatience is how long a job whose objective is missed waits behind others
	// when its inputs take up room elsewhere.
	inputPatience = 700 * time.Millisecond
	// gateBacklog is the backlog of a later stage above which a request that has
	// missed its objective waits before its first stage; it is half a call.
	// hopefulBacklog, divided by the rank, is the same for one that hasn't and
	// isn't of the most urgent rank.
	gateBacklog    = 180 * time.Millisecond
	hopefulBacklog = 500 * time.Millisecond
	// gatePause is how soon jobs are looked at again that wait for later stages.
	gatePause = 20 * time.Millisecond
	// waitWeight is the weight of one job in the average wait, and waitMemory how
	// fast the average falls while no job comes.
	waitWeight = 0.1
	waitMemory = 2 * time.Second
	// shortShare is the part of a target's memory for results above which it counts
	// as short of room: a full call takes nearly half of what is there.
	shortShare = 0.6
	// checkPeriod is how often jobs are looked for that wait in vain.
	checkPeriod = 50 * time.Millisecond
	// pieceWeight is the weight of one call in the average time for a piece.
	pieceWeight = 0.1
	// arrivalWindow is the time over which arrivals are averaged.
	arrivalWindow = 2 * time.Second
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
	// minRetryAfter is the shortest time told to a refused caller.
	minRetryAfter = 1200 * time.Millisecond
)

// Target is a target that may run calls.
type Target struct {
	ID      string
	Address string
	Domain  string
}

// Job is one stage of one request.
type Job struct {
	RequestID string
	Stage     int
	Key       string
	Inputs    []string
	Pieces    int
	// ResultBytes is the size of one result.
	ResultBytes int64
	// Gated says whether a later stage has a backlog above a limit, so that the job
	// would only lengthen the queue there if it began now; may be nil.
	Gated func(limit time.Duration) bool
	// Objective and Deadline are when the stage has to be done.
	Objective time.Time
	Deadline  time.Time
	Priority  int
	Domain    string // in which the results are fetched, most likely
	// Release are results that nobody needs once the pieces have fetched them.
	Release []Result

	added   time.Time
	began   time.Time // of the last call
	pending int       // pieces without a result
	results []Result
	ended   bool
	queue   []int // segments that are in no call, in order
	group   int   // see rank; as of the last sort
	rankAt  time.Time
	tries   int // calls that failed with a piece of this job
	end     func(Outcome)
}

// Result is the result of one piece.
type Result struct {
	Handle string
	Target string
	Domain string
}

// OutcomeKind is how a job ended.
type OutcomeKind int

// Kinds of outcomes.
const (
	Done OutcomeKind = iota
	Refused
	InputGone
	Failed
	Late
)

// Outcome is how a job ended.
type Outcome struct {
	Kind       OutcomeKind
	Results    []Result
	RetryAfter time.Duration
	Reason     string
	Waited     time.Duration
	Worked     time.Duration
}

// Piece is one piece of a job in a call.
type Piece struct {
	Job     *Job
	Segment int
}

// Call is a set of pieces for one target.
type Call struct {
	ID       uint64
	Target   Target
	Pieces   []Piece
	Began    time.Time
	Expected time.Duration // by the profile and what is known of the target
	// Queued is the number of pieces left in the queue, and Room the bytes of
	// results at the target with those of this call.
	Queued int
	Room   int64
}

// PieceOutcome is what became of one piece of a call.
type PieceOutcome int

// Outcomes of a piece.
const (
	PieceDone  PieceOutcome = iota
	PieceGone               // an input no longer exists
	PieceLate               // its time was over at its turn
	PieceRetry              // no room, or an error of the target
)

// CallOutcome is what became of a call. It is sealed.
type CallOutcome interface{ isCallOutcome() }

// Answered reports the outcome and handle of each piece, in order.
type Answered struct {
	Pieces  []PieceOutcome
	Handles []string
}

// Full reports that the target refused the call, which did not run.
type Full struct{}

// Broken reports a call without a usable answer.
type Broken struct{ Reason string }

func (Answered) isCallOutcome() {}
func (Full) isCallOutcome()     {}
func (Broken) isCallOutcome()   {}

// worker is what the Scheduler knows of a target.
type worker struct {
	Target
	calls    int
	room     int64 // bytes of results that it holds
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

// held is a result that takes up room at a target.
type held struct {
	target  string
	bytes   int64
	expires time.Time
}

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
	// waitAverage is the average wait of jobs that are not put back.
	waitAverage time.Duration
	waitAt      time.Time
	checked     time.Time // when hopeless jobs were last looked for
}

// NewScheduler returns a Scheduler without targets.
func NewScheduler(p catalog.BatchProfile) *Scheduler {
	return &Scheduler{
		profile: p, workers: map[string]*worker{}, calls: map[uint64]*Call{}, results: map[string]held{},
		pieceTime: p.PieceTime.Seconds(),
	}
}

// SetProfile replaces the service's profile.
func (s *Scheduler) SetProfile(p catalog.BatchProfile) { s.profile = p }

// SetTargets replaces the targets. Calls at targets that are missing go on.
func (s *Scheduler) SetTargets(targets []Target) {
	for _, w := range s.workers {
		w.present = false
	}
	for _, t := range targets {
		w := s.workers[t.ID]
		if w == nil {
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

// callTime returns how long a call of n pieces takes at an ordinary target.
func (s *Scheduler) callTime(n int) time.Duration {
	return s.profile.CallTime + time.Duration(float64(n)*s.pieceTime*float64(time.Second))
}

// rate returns the pieces a second that all targets run in full calls.
func (s *Scheduler) rate(now time.Time) float64 {
	full := s.callTime(s.profile.Size).Seconds()
	total := 0.0
	for _, w := range s.order {
		if now.Before(w.pause) {
			continue
		}
		total += float64(s.profile.Concurrency*s.profile.Size) / (full * max(w.ratio(now), 1))
	}
	return total
}

// Groups of jobs, in the order in which they are served.
const (
	groupHopeful = iota // the objective can be met
	groupLate           // the objective is missed
	groupGated          // later stages are busy with what goes first
)

// rank orders jobs: first those whose objective can still be met, by objective
// and priority; then the others by deadline. A job that has not begun its first
// stage waits while a later one has a backlog: the sooner, the less urgent it is,
// and soonest when its objective is missed. One with inputs doesn't, because its
// inputs take up room elsewhere.
func (s *Scheduler) rank(j *Job, now time.Time) (group int, at time.Time) {
	behind := time.Duration(j.Priority) * priorityDelay
	hopeful := !now.Add(s.callTime(min(j.pending, s.profile.Size))).After(j.Objective)
	limit := gateBacklog
	if hopeful {
		limit = hopefulBacklog / time.Duration(max(j.Priority, 1))
	}
	gated := len(j.Inputs) == 0 && (!hopeful || j.Priority > 0) && j.Gated != nil && j.Gated(limit)
	switch {
	case gated && hopeful:
		return groupGated, j.Objective.Add(behind)
	case gated:
		return groupGated, j.Deadline.Add(behind)
	case hopeful:
		return groupHopeful, j.Objective.Add(behind)
	case len(j.Inputs) > 0:
		return groupLate, j.added.Add(inputPatience + behind)
	}
	return groupLate, j.Deadline.Add(behind)
}

// before orders two jobs whose ranks are up to date. A job some of whose pieces
// have begun goes first: their results take up room and are of no use until the
// rest is done.
func before(a, b *Job) bool { return compareJobs(a, b) < 0 }

func compareJobs(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.startedRank(), b.startedRank()), cmp.Compare(a.group, b.group), a.rankAt.Compare(b.rankAt), cmp.Compare(a.RequestID, b.RequestID), cmp.Compare(a.Stage, b.Stage))
}

func (j *Job) startedRank() int {
	if j.began.IsZero() {
		return 1
	}
	return 0
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

// wait estimates when a job that is added now would begin: when the pieces before
// it have been run and a target is free.
func (s *Scheduler) wait(j *Job, now time.Time) time.Duration {
	j.group, j.rankAt = s.rank(j, now)
	ahead := 0
	for _, other := range s.jobs {
		other.group, other.rankAt = s.rank(other, now)
		if before(other, j) {
			ahead += len(other.queue)
		}
	}
	return s.waitBehind(j, ahead, s.outlook(now))
}

// waitBehind estimates when a job begins that has a number of pieces before it. A
// job that has missed its objective is overtaken by those that come later and
// haven't.
func (s *Scheduler) waitBehind(j *Job, ahead int, o outlook) time.Duration {
	if o.rate <= 0 {
		return s.profile.CallTime
	}
	if ahead+j.Pieces <= s.profile.Size {
		return o.free
	}
	rate := o.rate
	if j.group > 0 {
		rate = o.late
	}
	over := max(ahead+j.Pieces-s.profile.Size, 0)
	return o.free + time.Duration(float64(over)/rate*float64(time.Second))
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
		if w.calls >= s.profile.Concurrency {
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

// Add queues a job; end is called once with its outcome, from Add, Next or Finish.
// A job that can't be done by its deadline is refused at once.
func (s *Scheduler) Add(j *Job, end func(Outcome), now time.Time) {
	j.added = now
	j.end = end
	j.pending = j.Pieces
	j.results = make([]Result, j.Pieces)
	if len(s.order) == 0 {
		s.finish(j, Outcome{Kind: Refused, Reason: "no_target", RetryAfter: s.callTime(s.profile.Size)})
		return
	}
	wait := s.wait(j, now)
	need := s.callTime(min(j.Pieces, s.profile.Size))
	if over := now.Add(wait + need).Sub(j.Deadline); over > 0 {
		s.finish(j, Outcome{Kind: Refused, Reason: "queue_too_long", RetryAfter: max(over, s.Backlog(now), minRetryAfter), Waited: wait})
		return
	}
	s.noteArrival(j, now)
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

// Orphans returns the results that no job needs, for the runner to give up.
func (s *Scheduler) Orphans() []Result {
	o := s.orphans
	s.orphans = nil
	return o
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
	ahead := 0
	for _, j := range s.jobs {
		need := s.callTime(min(j.pending, s.profile.Size))
		if now.Add(s.waitBehind(j, ahead, o) + need).After(j.Deadline) {
			hopeless = append(hopeless, j)
			continue
		}
		ahead += len(j.queue)
	}
	for _, j := range hopeless {
		s.finish(j, Outcome{Kind: Late, Reason: "queue_too_long", Waited: now.Sub(j.added), RetryAfter: max(s.Backlog(now), minRetryAfter)})
	}
}

// linger returns how long to wait for more pieces before the next call. The fewer
// targets are free, the more a call that isn't full costs those who come next.
func (s *Scheduler) linger(free int, now time.Time) time.Duration {
	if s.waiting >= s.profile.Size {
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
	return w.calls < s.profile.Concurrency && !now.Before(w.pause)
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
		if !s.worthwhile(w, j) {
			full = true
			continue
		}
		score := 1.0
		if w.ratio(now) >= slowRatio {
			score = w.ratio(now)
		}
		if w.Domain != j.Domain {
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
	if wait := foreignWait - now.Sub(j.added); best.Domain != j.Domain && wait > 0 && s.waiting < s.profile.Size && s.hasDomain(j.Domain, now) {
		return nil, wait
	}
	return best, 0
}

// worthwhile says whether a target has room for the queue's first job, and for
// half a call when more than that waits. A smaller call would spend the call's own
// time on few pieces just when there is the most to do.
func (s *Scheduler) worthwhile(w *worker, first *Job) bool {
	if s.profile.ResultBytes <= 0 {
		return true
	}
	room := s.profile.ResultBytes - w.room
	need := int64(len(first.queue)) * first.ResultBytes
	pieces := len(first.queue)
	for _, j := range s.jobs {
		if pieces >= s.profile.Size/2 {
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
	return slices.ContainsFunc(s.order, func(w *worker) bool { return w.Domain == domain && w.failures == 0 && w.ratio(now) < slowRatio })
}

// fasterSoon says whether waiting for an ordinary target ends a call earlier than
// beginning it at a slow one.
func (s *Scheduler) fasterSoon(slow *worker, now time.Time) bool {
	n := min(s.waiting, s.profile.Size)
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

// begin takes the first jobs that the target has room for into a call. Jobs of the
// target's failure domain go before others that are about as urgent. A job is
// split only when it is the first or larger than a call.
func (s *Scheduler) begin(w *worker, now time.Time) *Call {
	c := &Call{Target: w.Target, Began: now}
	first := s.jobs[0]
	for _, j := range s.jobsFor(w) {
		space := s.profile.Size - len(c.Pieces)
		if s.profile.ResultBytes > 0 && j.ResultBytes > 0 {
			space = min(space, int((s.profile.ResultBytes-w.room)/j.ResultBytes))
		}
		foreign := j.Domain != w.Domain && j != first && s.mayWait(j, now)
		whole := len(j.queue) <= space || j == first || len(j.queue) > s.profile.Size
		if space <= 0 || foreign || !whole || j.group == groupGated {
			continue
		}
		s.noteWait(j, now)
		n := min(space, len(j.queue))
		for _, segment := range j.queue[:n] {
			c.Pieces = append(c.Pieces, Piece{Job: j, Segment: segment})
		}
		j.queue = j.queue[n:]
		j.began = now
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

// noteWait averages the time that jobs wait which are not put back.
func (s *Scheduler) noteWait(j *Job, now time.Time) {
	if j.group != groupHopeful || !j.began.IsZero() {
		return
	}
	before := s.TypicalWait(now)
	s.waitAverage, s.waitAt = before+time.Duration(waitWeight*float64(now.Sub(j.added)-before)), now
}

// TypicalWait returns how long a job waits that is not put back. It falls while
// none comes.
func (s *Scheduler) TypicalWait(now time.Time) time.Duration {
	return time.Duration(float64(s.waitAverage) * math.Exp(-now.Sub(s.waitAt).Seconds()/waitMemory.Seconds()))
}

// Backlog returns how long the targets need for what waits.
func (s *Scheduler) Backlog(now time.Time) time.Duration {
	rate := s.rate(now)
	if rate <= 0 {
		return s.callTime(s.profile.Size)
	}
	return time.Duration(float64(s.waiting) / rate * float64(time.Second))
}

// FullCall returns how long a full call takes.
func (s *Scheduler) FullCall() time.Duration { return s.callTime(s.profile.Size) }

// jobsFor returns the jobs in the order in which a target takes them.
func (s *Scheduler) jobsFor(w *worker) []*Job {
	at := func(j *Job) time.Time {
		if j.Domain != w.Domain {
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

// mayWait says whether a job still waits for a target of its failure domain.
func (s *Scheduler) mayWait(j *Job, now time.Time) bool {
	return now.Sub(j.added) < foreignWait && s.hasDomain(j.Domain, now)
}

// Finish takes the outcome of a call.
func (s *Scheduler) Finish(c *Call, o CallOutcome, now time.Time) {
	delete(s.calls, c.ID)
	w := s.workers[c.Target.ID]
	if w == nil {
		w = &worker{Target: c.Target, slowness: 1, calls: 1}
	}
	w.calls--
	switch o := o.(type) {
	case Answered:
		w.failures = 0
		s.learn(w, c, o, now)
		for i, p := range c.Pieces {
			s.finishPiece(w, p, o.Pieces[i], o.Handles[i], now)
		}
	case Full:
		w.pause = now.Add(fullPause)
		s.requeue(w, c, now, false)
	case Broken:
		pause := firstPause
		for range min(w.failures, 10) {
			pause = min(2*pause, maxPause)
		}
		w.failures++
		w.pause = now.Add(pause)
		s.requeue(w, c, now, true)
	}
}

// learn updates the averages by a call that ran whole.
func (s *Scheduler) learn(w *worker, c *Call, o Answered, now time.Time) {
	if slices.ContainsFunc(o.Pieces, func(p PieceOutcome) bool { return p == PieceRetry }) {
		w.pause = now.Add(fullPause)
		return
	}
	took := now.Sub(c.Began).Seconds()
	seen := min(took/s.callTime(len(c.Pieces)).Seconds(), maxRatio)
	before := w.ratio(now)
	w.slowness, w.judged = before+ratioWeight*(seen-before), now
	if w.ratio(now) < slowRatio {
		each := max(took-s.profile.CallTime.Seconds(), 0) / float64(len(c.Pieces))
		s.pieceTime += pieceWeight * (min(each, 2*s.profile.PieceTime.Seconds()) - s.pieceTime)
	}
}

func (s *Scheduler) finishPiece(w *worker, p Piece, o PieceOutcome, handle string, now time.Time) {
	if o != PieceDone {
		w.room -= p.Job.ResultBytes
	}
	switch o {
	case PieceDone:
		s.results[handle] = held{target: w.ID, bytes: p.Job.ResultBytes, expires: now.Add(s.profile.ResultTTL)}
		r := Result{Handle: handle, Target: w.ID, Domain: w.Domain}
		if p.Job.ended {
			s.orphans = append(s.orphans, r)
			return
		}
		p.Job.results[p.Segment] = r
		p.Job.pending--
		if p.Job.pending == 0 {
			s.finish(p.Job, Outcome{Kind: Done, Waited: p.Job.began.Sub(p.Job.added), Worked: now.Sub(p.Job.began)})
		}
	case PieceGone:
		s.finish(p.Job, Outcome{Kind: InputGone, Reason: "input_gone"})
	case PieceLate:
		s.finish(p.Job, Outcome{Kind: Late, Reason: "late_at_target", Waited: now.Sub(p.Job.added)})
	case PieceRetry:
		s.again(p, true)
	}
}

// requeue returns the pieces of a call that didn't run, or may not have.
func (s *Scheduler) requeue(w *worker, c *Call, _ time.Time, counts bool) {
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

// Fetched returns the inputs that may be given up because the last pieces of jobs
// in a call have fetched them, at targets that are short of room. Others are kept
// until the job is done, as a piece that fails has to fetch its inputs again. A job
// whose last pieces began with a later call is left to that one.
func (s *Scheduler) Fetched(c *Call, short func(target string) bool) []Result {
	var list []Result
	for _, p := range c.Pieces {
		j := p.Job
		if len(j.queue) > 0 || j.ended || j.began.After(c.Began) {
			continue
		}
		j.Release = slices.DeleteFunc(j.Release, func(r Result) bool {
			if short(r.Target) {
				list = append(list, r)
				return true
			}
			return false
		})
	}
	return list
}

// ShortOfRoom returns the targets of which more than a part of the memory for
// results is taken; nil when there is none.
func (s *Scheduler) ShortOfRoom() map[string]bool {
	var list map[string]bool
	for id, w := range s.workers {
		if s.profile.ResultBytes <= 0 || float64(w.room) < shortShare*float64(s.profile.ResultBytes) {
			continue
		}
		if list == nil {
			list = map[string]bool{}
		}
		list[id] = true
	}
	return list
}

// Free takes the handles of results that are no longer needed and returns the
// target of each that is known.
func (s *Scheduler) Free(handles []string) map[string][]string {
	byTarget := map[string][]string{}
	for _, h := range handles {
		r, ok := s.results[h]
		if !ok {
			continue
		}
		delete(s.results, h)
		byTarget[r.target] = append(byTarget[r.target], h)
		if w := s.workers[r.target]; w != nil {
			w.room -= r.bytes
		}
	}
	return byTarget
}

// expire releases the room of results whose lifetime is over.
func (s *Scheduler) expire(now time.Time) {
	for h, r := range s.results {
		if now.Before(r.expires) {
			continue
		}
		delete(s.results, h)
		if w := s.workers[r.target]; w != nil {
			w.room -= r.bytes
		}
	}
}
