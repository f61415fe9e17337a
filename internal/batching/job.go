package batching

import (
	"cmp"
	"time"
)

// Target is a target that may run calls.
type Target struct {
	ID            string
	Address       string
	FailureDomain string
	// Started tells the lives of a target apart that starts again under its id.
	Started time.Time
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
	// Path is what follows the stage.
	Path Path
	// Objective is when the answer has to begin to be in time, and Deadline when the
	// stage has to be done for any answer.
	Objective time.Time
	Deadline  time.Time
	Priority  int
	Domain    string // in which the results are fetched, most likely
	// Release are results that nobody needs once the pieces have fetched them.
	Release []Result

	added   time.Time
	doneBy  time.Time // latest end of the stage at which the objective can be met
	onPath  bool      // the services of the path count its pieces
	began   time.Time // of the last call
	pending int       // pieces without a result
	results []Result
	ended   bool
	queue   []int // segments that are in no call, in order
	group   int   // see rank; as of the last sort
	rankAt  time.Time
	wait    time.Duration // expected, as of the last check
	tries   int           // calls that failed with a piece of this job
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

	worker *worker
}

// Limit returns the time after which the call is given up.
func (c *Call) Limit() time.Duration { return c.Expected*callFactor + callSlack }

// PieceOutcome is what became of one piece of a call.
type PieceOutcome int

// Outcomes of a piece.
const (
	PieceDone             PieceOutcome = iota
	PieceInputGone                     // an input no longer exists
	PieceDeadlineExceeded              // its time was over at its turn
	PieceOutOfMemory                   // the target's memory for results is full
	PieceFailed                        // an error of the target
)

// CallOutcome is what became of a call. It is sealed.
type CallOutcome interface{ isCallOutcome() }

// CallCompleted reports the outcome and handle of each piece, in order.
type CallCompleted struct {
	Outcomes []PieceOutcome
	Handles  []string
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

// CallRejected reports that the target refused the call, which did not run.
type CallRejected struct{}

// CallFailed reports a call without a usable answer.
type CallFailed struct{ Reason string }

func (CallCompleted) isCallOutcome() {}

func (CallRejected) isCallOutcome() {}

func (CallFailed) isCallOutcome() {}

// before orders two jobs whose ranks are up to date. A job some of whose pieces
// have begun goes first: their results take up room and are of no use until the
// rest is done.
func before(a, b *Job) bool { return compareJobs(a, b) < 0 }

func compareJobs(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.startedRank(), b.startedRank()), cmp.Compare(a.group, b.group), a.rankAt.Compare(b.rankAt), cmp.Compare(a.RequestID, b.RequestID), cmp.Compare(a.Stage, b.Stage))
}

// rank returns the job's rank among those that a Load tells apart.
func (j *Job) rank() int { return min(max(j.Priority, 0), ranks-1) }

// isAtDoor says whether the request has begun no stage: nothing is lost if it waits.
func (j *Job) isAtDoor() bool { return len(j.Inputs) == 0 && j.began.IsZero() }

// join counts the job's later pieces at their services, once.
func (j *Job) join() {
	if !j.onPath {
		j.onPath = true
		j.Path.begin(j.rank())
	}
}

// leave takes them back.
func (j *Job) leave() {
	if j.onPath {
		j.onPath = false
		j.Path.end(j.rank())
	}
}

func (j *Job) startedRank() int {
	if j.began.IsZero() {
		return 1
	}
	return 0
}
