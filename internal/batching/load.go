package batching

import (
	"sync"
	"time"
)

const (
	// ranks is the number of ranks told apart; less urgent ones count as the last.
	ranks = 12
	// nearRanks is by how much less urgent others may be that still count as ahead:
	// the next rank gives way, but isn't starved by a burst.
	nearRanks = 1
	// maxHops is the number of stages that a path is looked along.
	maxHops = 8
	// freeWait is what a job waits for a free target when no other is before it.
	freeWait = 30 * time.Millisecond
)

// Load is how a service stands, by which the schedulers of others plan the stages
// that follow theirs. It is safe for concurrent use.
type Load struct {
	mu       sync.Mutex
	rate     float64 // pieces a second
	spare    float64 // those of them that hopeful jobs leave over
	fullCall time.Duration
	backlog  time.Duration
	// waiting counts the pieces of hopeful jobs in the queue by rank.
	waiting [ranks]int
	// coming counts the pieces of requests that have begun an earlier stage, by
	// rank and by the number of stages between.
	coming [ranks][maxHops]int
}

// NewLoad returns the Load of a service of which nothing is known.
func NewLoad() *Load { return &Load{} }

// waitAfter estimates how long a job of a rank waits that comes after a time. What
// is before it is the queue and what comes from no more stages away.
func (l *Load) waitAfter(d time.Duration, rank, hop int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return freeWait
	}
	ahead := 0
	for r := range min(rank+1+nearRanks, ranks) {
		ahead += l.waiting[r]
		for h := range hop + 1 {
			ahead += l.coming[r][h]
		}
	}
	return max(time.Duration(float64(ahead)/l.rate*float64(time.Second))-d, freeWait)
}

// lateWait estimates how long pieces wait that are behind others which have missed
// their objective as well.
func (l *Load) lateWait(ahead int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spare <= 0 {
		return 0
	}
	return l.backlog + time.Duration(float64(ahead)/l.spare*float64(time.Second))
}

func (l *Load) call() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fullCall
}

// Backlog returns how long the service needs for what waits there.
func (l *Load) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog
}

func (l *Load) come(pieces, rank, hop int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coming[rank][hop] += pieces
}

// PathStage is a stage that follows on the path of a request.
type PathStage struct {
	Load   *Load
	Pieces int
}

// Path is what follows a stage on the longest path of its request.
type Path struct {
	stages []PathStage
	after  time.Duration
}

// NewPath returns a Path; after is the time from the last stage to the beginning of
// the answer.
func NewPath(stages []PathStage, after time.Duration) Path {
	return Path{stages: stages[:min(len(stages), maxHops)], after: after}
}

// Least returns how long the path takes without any wait.
func (p Path) Least() time.Duration {
	d := p.after
	for _, s := range p.stages {
		d += s.Load.call()
	}
	return d
}

// expected returns how long the path takes that begins after a time.
func (p Path) expected(begin time.Duration, rank int) time.Duration {
	at := begin
	for hop, s := range p.stages {
		at += s.Load.waitAfter(at, rank, hop) + s.Load.call()
	}
	return at - begin + p.after
}

// congested says whether a service on the path has a backlog above a limit.
func (p Path) congested(limit time.Duration) bool {
	for _, s := range p.stages {
		if s.Load.Backlog() > limit {
			return true
		}
	}
	return false
}

// begin counts the pieces that come to the services of the path, and end takes them
// back.
func (p Path) begin(rank int) { p.count(1, rank) }

func (p Path) end(rank int) { p.count(-1, rank) }

func (p Path) count(sign, rank int) {
	for hop, s := range p.stages {
		s.Load.come(sign*s.Pieces, rank, hop)
	}
}
