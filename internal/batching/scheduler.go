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
	// objectives can be met; one call takes about as long.
	priorityDelay = 300 * time.Millisecond
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
	// firstPause is how long a target rests after a failed call; the pause doubles
	// with each further failure in a row up to maxPause.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
	// fullPause is how long a target rests that refused a call because it is full.
	fullPause = 60 * time.Millisecond
	// minRetryAfter is the shortest time told to a refused caller.
	minRetryAfter = 100 * time.Millisecond
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
	// Objective and Deadline are when the stage has to be done.
	Objective time.Time
	Deadline  time.Time
	Priority  int
	Domain    string // of the gateway

	added   time.Time
	began   time.Time // of the last call
	pending int       // pieces without a result
	results []Result
	ended   bool
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
}

// PieceOutcome is what became of one piece of a call.
type PieceOutcome int

// Outcomes of a piece.
const (
	PieceDone PieceOutcome = iota
	PieceGone              // an input no longer exists
	PieceLate              // its time was over at its turn
	PieceRetry             // no room, or an error of the target
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
	ratio    float64
	failures int
	pause    time.Time
	present  bool
}

// held is a result that takes up room at a target.
type held struct {
	target  string
	bytes   int64
	expires time.Time
}

// Scheduler holds the queue of one service. It isn't safe for concurrent use.
type Scheduler struct {
	profile catalog.BatchProfile
	workers map[string]*worker
	order   []*worker
	queue   []Piece
	calls   map[uint64]*Call
	results map[string]held
	nextID  uint64
	// fill is the average number of pieces in a call, piece the average time for
	// one beyond the call's own.
	pieceTime float64 // seconds
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
			w = &worker{Target: t, ratio: 1}
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
		total += float64(s.profile.Concurrency*s.profile.Size) / (full * max(w.ratio, 1))
	}
	return total
}

// rank orders jobs: first those whose objective can still be met, by objective
// and priority; then the others by deadline.
func (s *Scheduler) rank(j *Job, now time.Time) (group int, at time.Time) {
	if now.Add(s.callTime(min(j.pending, s.profile.Size))).After(j.Objective) {
		return 1, j.Deadline.Add(time.Duration(j.Priority) * priorityDelay)
	}
	return 0, j.Objective.Add(time.Duration(j.Priority) * priorityDelay)
}

func (s *Scheduler) before(a, b *Job, now time.Time) bool {
	aGroup, aAt := s.rank(a, now)
	bGroup, bAt := s.rank(b, now)
	if aGroup != bGroup {
		return aGroup < bGroup
	}
	return aAt.Before(bAt)
}

// wait estimates when a job that is added now would begin: when the pieces before
// it have been run and a target is free.
func (s *Scheduler) wait(j *Job, now time.Time) time.Duration {
	rate := s.rate(now)
	if rate <= 0 {
		return s.profile.CallTime
	}
	ahead := 0
	for _, p := range s.queue {
		if s.before(p.Job, j, now) {
			ahead++
		}
	}
	busy := s.nextFree(now)
	slots := float64(s.profile.Size * s.profile.Concurrency * max(len(s.order), 1))
	if float64(ahead+j.Pieces) <= float64(s.profile.Size) {
		return busy
	}
	return busy + time.Duration(max(float64(ahead+j.Pieces)-slots/2, 0)/rate*float64(time.Second))
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
		s.finish(j, Outcome{Kind: Refused, Reason: "queue_too_long", RetryAfter: max(over, minRetryAfter), Waited: wait})
		return
	}
	for i := range j.Pieces {
		s.queue = append(s.queue, Piece{Job: j, Segment: i})
	}
}

// Cancel withdraws a job whose caller has left.
func (s *Scheduler) Cancel(j *Job) {
	j.ended = true
	s.queue = slices.DeleteFunc(s.queue, func(p Piece) bool { return p.Job == j })
}

func (s *Scheduler) finish(j *Job, o Outcome) {
	if j.ended {
		return
	}
	s.Cancel(j)
	if o.Kind == Done {
		o.Results = j.results
	}
	j.end(o)
}

// Next returns a call to begin now. The time after which to ask again, when
// nothing else happens, is 0 if that isn't needed.
func (s *Scheduler) Next(now time.Time) (call *Call, again time.Duration) {
	s.expire(now)
	s.dropLate(now)
	if len(s.queue) == 0 {
		return nil, 0
	}
	slices.SortStableFunc(s.queue, func(a, b Piece) int {
		switch {
		case a.Job == b.Job:
			return cmp.Compare(a.Segment, b.Segment)
		case s.before(a.Job, b.Job, now):
			return -1
		case s.before(b.Job, a.Job, now):
			return 1
		}
		return 0
	})
	if linger := s.linger(now); linger > 0 {
		return nil, linger
	}
	w, room := s.choose(now)
	if w == nil {
		return nil, s.nextPause(now)
	}
	return s.begin(w, room, now), 0
}

// linger returns how long to wait for more pieces before the next call. The fewer
// targets are free, the more a call that isn't full costs those who come next.
func (s *Scheduler) linger(now time.Time) time.Duration {
	if len(s.queue) >= s.profile.Size {
		return 0
	}
	free := 0
	for _, w := range s.order {
		if w.calls < s.profile.Concurrency && !now.Before(w.pause) {
			free++
		}
	}
	if free == 0 {
		return 0
	}
	oldest := s.queue[0].Job.added
	for _, p := range s.queue {
		if p.Job.added.Before(oldest) {
			oldest = p.Job.added
		}
	}
	limit := maxLinger / time.Duration(free)
	return max(limit-now.Sub(oldest), 0)
}

// dropLate ends the jobs that can't be done by their deadline.
func (s *Scheduler) dropLate(now time.Time) {
	var late []*Job
	for _, p := range s.queue {
		need := s.callTime(1)
		if now.Add(need).After(p.Job.Deadline) && (len(late) == 0 || late[len(late)-1] != p.Job) {
			late = append(late, p.Job)
		}
	}
	for _, j := range late {
		s.finish(j, Outcome{Kind: Late, Reason: "deadline", Waited: now.Sub(j.added)})
	}
}

// choose returns the free target for the first pieces of the queue, and for how
// many pieces it has room. Targets of the gateway's failure domain go first, as
// results are fetched from there.
func (s *Scheduler) choose(now time.Time) (best *worker, room int) {
	j := s.queue[0].Job
	bestScore := 0.0
	for _, w := range s.order {
		if w.calls >= s.profile.Concurrency || now.Before(w.pause) {
			continue
		}
		n := s.roomFor(w, j.ResultBytes)
		if n == 0 {
			continue
		}
		score := w.ratio
		if w.ratio < slowRatio {
			score = 1
		}
		if w.Domain != j.Domain {
			score += 0.01
		}
		if best == nil || score < bestScore {
			best, bestScore, room = w, score, n
		}
	}
	if best != nil && best.ratio >= slowRatio && s.fasterSoon(best, now) {
		return nil, 0
	}
	return best, room
}

// fasterSoon says whether waiting for an ordinary target ends a call earlier than
// beginning it at a slow one.
func (s *Scheduler) fasterSoon(slow *worker, now time.Time) bool {
	n := min(len(s.queue), s.profile.Size)
	there := time.Duration(float64(s.callTime(n)) * slow.ratio)
	for _, w := range s.order {
		if w == slow || w.ratio >= slowRatio || w.failures > 0 {
			continue
		}
		if s.callLeft(w.ID, now)+s.callTime(n) < there {
			return true
		}
	}
	return false
}

func (s *Scheduler) roomFor(w *worker, bytes int64) int {
	if s.profile.ResultBytes <= 0 || bytes <= 0 {
		return s.profile.Size
	}
	return int(max((s.profile.ResultBytes-w.room)/bytes, 0))
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

// begin takes the first pieces that the target has room for into a call.
func (s *Scheduler) begin(w *worker, room int, now time.Time) *Call {
	left := s.profile.ResultBytes - w.room
	c := &Call{Target: w.Target, Began: now}
	rest := s.queue[:0:0]
	for _, p := range s.queue {
		fits := s.profile.ResultBytes <= 0 || p.Job.ResultBytes <= left
		if len(c.Pieces) >= s.profile.Size || !fits {
			rest = append(rest, p)
			continue
		}
		left -= p.Job.ResultBytes
		w.room += p.Job.ResultBytes
		p.Job.began = now
		c.Pieces = append(c.Pieces, p)
	}
	_ = room
	s.queue = rest
	s.nextID++
	c.ID = s.nextID
	c.Expected = time.Duration(float64(s.callTime(len(c.Pieces))) * max(w.ratio, 1))
	w.calls++
	s.calls[c.ID] = c
	return c
}

// Finish takes the outcome of a call.
func (s *Scheduler) Finish(c *Call, o CallOutcome, now time.Time) {
	delete(s.calls, c.ID)
	w := s.workers[c.Target.ID]
	if w == nil {
		w = &worker{Target: c.Target, ratio: 1, calls: 1}
	}
	w.calls--
	switch o := o.(type) {
	case Answered:
		w.failures = 0
		took := now.Sub(c.Began).Seconds() / s.callTime(len(c.Pieces)).Seconds()
		w.ratio += ratioWeight * (took - w.ratio)
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

func (s *Scheduler) finishPiece(w *worker, p Piece, o PieceOutcome, handle string, now time.Time) {
	if o != PieceDone {
		w.room -= p.Job.ResultBytes
	}
	switch o {
	case PieceDone:
		s.results[handle] = held{target: w.ID, bytes: p.Job.ResultBytes, expires: now.Add(s.profile.ResultTTL)}
		p.Job.results[p.Segment] = Result{Handle: handle, Target: w.ID, Domain: w.Domain}
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
	s.queue = append(s.queue, p)
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

// Queued returns the number of pieces that wait.
func (s *Scheduler) Queued() int { return len(s.queue) }

// InCalls returns the number of calls under way.
func (s *Scheduler) InCalls() int { return len(s.calls) }
