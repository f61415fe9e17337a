package batching

import (
	"cmp"
	"time"
)

// Target is a target that can run calls.
type Target struct {
	ID            string
	Address       string
	FailureDomain string
	// Started distinguishes incarnations of a target that restarts under the same ID.
	Started time.Time
	// PausedUntil is when the target takes calls again that asked for a pause.
	PausedUntil time.Time
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
	// Path describes the stages that follow this one.
	Path Path
	// Objective is when the response has to begin to count as on time. Deadline is the
	// latest time at which the stage may finish for the response to be of any use.
	Objective time.Time
	Deadline  time.Time
	Priority  int
	// Waited is how long the caller has waited, at least, in earlier attempts that were
	// rejected. 0 means that it comes for the first time, as far as is known.
	Waited time.Duration
	// Customer names the customer whose request it is; empty for callers without one.
	Customer string
	// Begun says that another stage of the request has run.
	Begun         bool
	FailureDomain string // where the results are most likely fetched
	// Release lists results that are no longer needed once the pieces have fetched them.
	Release []Result

	queuedAt      time.Time
	latestFinish  time.Time // latest end of the stage at which the objective can be met
	countedOnPath bool      // whether the services on the path count its pieces
	startedAt     time.Time // start of the last call
	pending       int       // pieces without a result
	results       []Result
	finished      bool
	queue         []int // segments that are in no call, in order
	group         int   // set by the last sort, see rank
	sortTime      time.Time
	expectedWait  time.Duration // as of the last check
	fairQueue     *fairQueue    // of the jobs of its priority, while it waits there
	startTag      float64       // see fairQueue
	failedCalls   int           // failed calls that contained a piece of this job
	onFinish      func(Outcome)
}

// Result is the result of one piece.
type Result struct {
	Handle        string
	Target        string
	FailureDomain string
}

// OutcomeKind classifies how a job ended.
type OutcomeKind int

// Kinds of outcomes.
const (
	Done OutcomeKind = iota
	Refused
	InputGone
	Failed
	DeadlineExceeded
)

// Outcome reports how a job ended.
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

// Call is a batch of pieces for one target.
type Call struct {
	ID        uint64
	Target    Target
	Pieces    []Piece
	StartedAt time.Time
	Expected  time.Duration // from the profile and the latency measured at the target
	// Queued is the number of pieces left in the queue. TargetBytes is the memory that
	// results take at the target, including those of this call.
	Queued      int
	TargetBytes int64

	worker *worker
}

// Timeout returns the time after which the call is abandoned.
func (c *Call) Timeout() time.Duration { return c.Expected*callTimeoutFactor + callTimeoutMargin }

// PieceOutcome is the outcome of one piece of a call.
type PieceOutcome int

// Outcomes of a piece.
const (
	PieceDone             PieceOutcome = iota
	PieceInputGone                     // an input no longer exists
	PieceDeadlineExceeded              // its deadline had passed when its turn came
	PieceOutOfMemory                   // the target's result memory is full
	PieceFailed                        // the target reported an error
)

// CallOutcome is the outcome of a call. It is sealed.
type CallOutcome interface{ isCallOutcome() }

// CallCompleted reports the outcome and handle of each piece, in order.
type CallCompleted struct {
	Outcomes []PieceOutcome
	Handles  []string
	// Latency is how long work takes at the target at the moment, relative to the usual time;
	// 0 if it didn't say.
	Latency float64
}

// count returns the number of pieces with an outcome.
func (a CallCompleted) count(o PieceOutcome) int {
	n := 0
	for _, p := range a.Outcomes {
		if p == o {
			n++
		}
	}
	return n
}

// CallRejected reports that the target rejected the call, which did not run.
type CallRejected struct{}

// CallFailed reports a call without a usable response.
type CallFailed struct{ Reason string }

func (CallCompleted) isCallOutcome() {}

func (CallRejected) isCallOutcome() {}

func (CallFailed) isCallOutcome() {}

// before orders two jobs whose ranks are up to date. A job some of whose pieces have
// started goes first: their results take up memory and are of no use until the rest is
// done.
func before(a, b *Job) bool { return compareJobs(a, b) < 0 }

func compareJobs(a, b *Job) int {
	if c := cmp.Or(cmp.Compare(a.startedRank(), b.startedRank()), cmp.Compare(a.group, b.group), a.sortTime.Compare(b.sortTime)); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.RequestID, b.RequestID), cmp.Compare(a.Stage, b.Stage))
}

// rank returns the job's priority rank, limited to those that a Load distinguishes.
func (j *Job) rank() int { return min(max(j.Priority, 0), ranks-1) }

// isRepeated reports whether the caller comes back after a rejection.
func (j *Job) isRepeated() bool { return j.Waited > 0 }

// hasNotStarted reports whether the request has started no stage, so that no work is
// lost while it waits.
func (j *Job) hasNotStarted() bool { return !j.hasResults() && j.startedAt.IsZero() }

// hasResults reports whether results of other stages wait for the job.
func (j *Job) hasResults() bool { return len(j.Inputs) > 0 || j.Begun }

// isRemoteAt reports whether running the job at a target of a failure domain moves much data
// between domains: that of its inputs, or that of its results to their reader.
func (j *Job) isRemoteAt(domain string) bool {
	if j.FailureDomain == domain {
		return false
	}
	return len(j.Inputs) > 0 || j.ResultBytes*int64(j.Pieces) >= minRemoteBytes
}

// countOnPath counts the job's later pieces at their services, once.
func (j *Job) countOnPath() {
	if !j.countedOnPath {
		j.countedOnPath = true
		j.Path.addPieces(j.rank())
	}
}

// uncountOnPath removes the job's later pieces from the counts of their services.
func (j *Job) uncountOnPath() {
	if j.countedOnPath {
		j.countedOnPath = false
		j.Path.removePieces(j.rank())
	}
}

func (j *Job) startedRank() int {
	if j.startedAt.IsZero() {
		return 1
	}
	return 0
}
