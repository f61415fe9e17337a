package control

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/replica"
)

// slewDivisor is the inverse of the maximum fraction by which the log's time may run faster
// or slower than real time. At 1/8 a lease of 6 s lasts at least 5.3 s, which leaves enough
// time for two renewals at their interval of 2 s.
const slewDivisor = 8

// observeInterval is the interval at which a control VM checks for newly applied entries. A
// leader change sets the log's time back by at most this interval plus the commit latency.
const observeInterval = 20 * time.Millisecond

// clockReading is a reading of this VM's clocks and of the ledger's time.
type clockReading struct {
	wall    time.Duration // since the Unix epoch; may jump
	elapsed time.Duration // monotonic, since the start of the process
	logTime time.Duration // of the last applied entry
	index   uint64        // of the last applied entry; 0 if none
}

// timeAnchor is a value of the log's time and the latest moment at which it was valid.
type timeAnchor struct {
	time    time.Duration
	elapsed time.Duration
}

// advance moves the log's time forward by the time elapsed on the monotonic clock, faster
// or slower by at most 1/slewDivisor to converge to the wall clock. A reading older than
// the anchor changes nothing.
func (a timeAnchor) advance(r clockReading) timeAnchor {
	if r.elapsed <= a.elapsed {
		return a
	}
	elapsed := r.elapsed - a.elapsed
	slew := elapsed / slewDivisor
	return timeAnchor{time: min(max(r.wall, a.time+elapsed-slew), a.time+elapsed+slew), elapsed: r.elapsed}
}

// logClock provides the timestamps that a leader assigns to log entries. Between two
// entries it follows the monotonic clock, so that a wall clock that is wrong or jumps can't
// end leases or the retention of orders early. The slew limit holds between any two
// entries, including those of different leaders: a new leader continues from the newest
// entry and the moment at which it observed that entry as applied, which is never before
// the entry was stamped. It is safe for concurrent use.
type logClock struct {
	mu          sync.Mutex
	lastApplied timeAnchor // newest entry applied on this VM
	index       uint64     // of lastApplied
	lastStamp   timeAnchor // newest timestamp assigned in term
	term        uint64
}

// observe records the last applied entry.
func (k *logClock) observe(r clockReading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeLocked(r)
}

func (k *logClock) observeLocked(r clockReading) {
	// An entry with the same time as the previous one is recorded as well, because its
	// leader assigned that time at a later moment.
	if r.index > k.index {
		k.index = r.index
		k.lastApplied = timeAnchor{time: r.logTime, elapsed: r.elapsed}
	}
}

// beginTerm starts a term as leader. All entries of earlier terms must be applied.
func (k *logClock) beginTerm(term uint64, r clockReading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeLocked(r)
	if term == k.term {
		return
	}
	k.term = term
	k.lastStamp = k.lastApplied
	if r.index == 0 {
		k.lastStamp = timeAnchor{time: r.wall, elapsed: r.elapsed}
	}
}

// inTerm reports whether beginTerm was called for the term.
func (k *logClock) inTerm(term uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return term == k.term
}

// stamp returns the timestamp for an entry in the current term.
func (k *logClock) stamp(r clockReading) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastStamp = k.lastStamp.advance(r)
	return k.lastStamp.time
}

// now estimates the log's time on a VM that may not be the leader.
func (k *logClock) now(r clockReading) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeLocked(r)
	if k.index == 0 {
		return r.wall
	}
	return k.lastApplied.advance(r).time
}

func (c *Control) readClocks() clockReading {
	applied, index := c.o.Ledger.LogTime()
	return clockReading{
		wall:    time.Duration(c.o.WallClock().UnixNano()),
		elapsed: c.o.Timers.Since(c.createdAt),
		logTime: time.Duration(applied) * time.Millisecond,
		index:   index,
	}
}

// logTimeMs estimates the log's time in milliseconds since the Unix epoch.
func (c *Control) logTimeMs() int64 { return c.clock.now(c.readClocks()).Milliseconds() }

// stamp returns the timestamp for an entry and the term in which it is valid. Before the
// first entry of a term it waits until the entries of earlier leaders are applied, because
// the log's time must continue from theirs.
func (c *Control) stamp(ctx context.Context) (term uint64, atMS int64, err error) {
	for {
		st := c.o.Node.Status()
		if st.Role == replica.Leader && c.clock.inTerm(st.Term) {
			return st.Term, c.clock.stamp(c.readClocks()).Milliseconds(), nil
		}
		if err := c.o.Node.Barrier(ctx); err != nil {
			return 0, 0, err
		}
		// The barrier belongs to the term in which it started only if the term is
		// unchanged.
		if st.Role == replica.Leader && c.o.Node.Status().Term == st.Term {
			c.clock.beginTerm(st.Term, c.readClocks())
		}
	}
}
