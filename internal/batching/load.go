package batching

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ranks is the number of priority ranks distinguished; less urgent ones count as the
	// last.
	ranks = 12
	// rankTolerance is the number of ranks by which a job may be less urgent than another
	// and still be counted ahead of it in the estimated wait: jobs of the next rank yield
	// to more urgent ones, but a burst of those doesn't starve them.
	rankTolerance = 1
	// maxHops is the number of later stages that a path considers.
	maxHops = 8
	// minWait is the wait for a free target when no other job is ahead.
	minWait = 30 * time.Millisecond
)

// Load describes the load of a service. The schedulers of other services use it to
// plan the stages that follow theirs. It is safe for concurrent use.
type Load struct {
	mu             sync.Mutex
	throughput     float64 // pieces per second
	lateThroughput float64 // part of throughput that on-time jobs leave over
	fullCall       time.Duration
	backlog        time.Duration
	// waiting counts the queued pieces of on-time jobs by rank.
	waiting [ranks]int
	// upcoming counts the pieces of requests that have started an earlier stage, by rank
	// and by the number of stages in between.
	upcoming [ranks][maxHops]int
	// view is what the fields above come to; nil after a change. It is read for each job of a
	// queue, many times between two changes.
	view atomic.Pointer[loadView]
}

// loadView is a Load at one moment.
type loadView struct {
	throughput     float64
	lateThroughput float64
	fullCall       time.Duration
	backlog        time.Duration
	// ahead counts the pieces that are ahead of a job by its rank and by the number of stages from
	// which it comes: the queue and the pieces that arrive from no more stages away.
	ahead [ranks][maxHops]int
}

// NewLoad returns the Load of a service about which nothing is known.
func NewLoad() *Load { return &Load{} }

// current returns the Load as it is now.
func (l *Load) current() *loadView {
	if v := l.view.Load(); v != nil {
		return v
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &loadView{throughput: l.throughput, lateThroughput: l.lateThroughput, fullCall: l.fullCall, backlog: l.backlog}
	var sum [maxHops]int // over the ranks that are ahead
	next := 0
	for rank := range ranks {
		for ; next < min(rank+1+rankTolerance, ranks); next++ {
			pieces := l.waiting[next]
			for hop := range maxHops {
				pieces += l.upcoming[next][hop]
				sum[hop] += pieces
			}
		}
		v.ahead[rank] = sum
	}
	l.view.Store(v)
	return v
}

// waitAfter estimates how long a job of a rank waits that arrives after a time.
func (v *loadView) waitAfter(d time.Duration, rank, hop int) time.Duration {
	if v.throughput <= 0 {
		return minWait
	}
	return max(time.Duration(float64(v.ahead[rank][hop])/v.throughput*float64(time.Second))-d, minWait)
}

// lateWait estimates how long pieces wait behind others that have missed their
// objective as well.
func (l *Load) lateWait(ahead int) time.Duration {
	v := l.current()
	if v.lateThroughput <= 0 {
		return 0
	}
	return v.backlog + time.Duration(float64(ahead)/v.lateThroughput*float64(time.Second))
}

// Backlog returns the time that the service needs for its queue.
func (l *Load) Backlog() time.Duration { return l.current().backlog }

func (l *Load) addUpcoming(pieces, rank, hop int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upcoming[rank][hop] += pieces
	l.view.Store(nil)
}

// PathStage is a later stage on the path of a request.
type PathStage struct {
	Load   *Load
	Pieces int
}

// Path describes what follows a stage on the longest path of its request.
type Path struct {
	stages []PathStage
	after  time.Duration
}

// NewPath returns a Path; after is the time from the last stage to the beginning of
// the response.
func NewPath(stages []PathStage, after time.Duration) Path {
	return Path{stages: stages[:min(len(stages), maxHops)], after: after}
}

// MinDuration returns the duration of the path without any wait.
func (p Path) MinDuration() time.Duration {
	d := p.after
	for _, s := range p.stages {
		d += s.Load.current().fullCall
	}
	return d
}

// expectedDuration returns the duration of a path that starts after a time.
func (p Path) expectedDuration(begin time.Duration, rank int) time.Duration {
	at := begin
	for hop, s := range p.stages {
		v := s.Load.current()
		at += v.waitAfter(at, rank, hop) + v.fullCall
	}
	return at - begin + p.after
}

// congested reports whether a service on the path has a backlog above a limit.
func (p Path) congested(limit time.Duration) bool {
	for _, s := range p.stages {
		if s.Load.Backlog() > limit {
			return true
		}
	}
	return false
}

// addPieces counts the pieces that will arrive at the services of the path, and
// removePieces subtracts them.
func (p Path) addPieces(rank int) { p.adjust(1, rank) }

func (p Path) removePieces(rank int) { p.adjust(-1, rank) }

func (p Path) adjust(sign, rank int) {
	for hop, s := range p.stages {
		s.Load.addUpcoming(sign*s.Pieces, rank, hop)
	}
}
