package batching

import (
	"cmp"
	"time"
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

func (Full) isCallOutcome() {}

func (Broken) isCallOutcome() {}

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
