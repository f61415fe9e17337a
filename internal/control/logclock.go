package control

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/replica"
)

// maxSlew is the inverse of the part by which the log's time may run faster or
// slower than real time. At 1/8 a lease of 6 s lasts at least 5.3 s, which leaves
// room for two of the renewals that come every 2 s.
const maxSlew = 8

// observePeriod is how often a control VM looks for newly applied entries. A change
// of leader sets the log's time back by at most this and the time to commit.
const observePeriod = 20 * time.Millisecond

// reading is one look at the clocks of this VM and at the ledger.
type reading struct {
	wall    time.Duration // since the Unix epoch; may jump
	elapsed time.Duration // since the start of the process; never jumps
	applied time.Duration // the log's time after the last entry applied
	index   uint64        // of that entry, 0 before the first
}

// anchor is a value of the log's time and when it was valid at the latest.
type anchor struct {
	time    time.Duration
	elapsed time.Duration
}

// advance moves the log's time on by the time that has passed on the monotonic
// clock, faster or slower by 1/maxSlew at most to come closer to the wall clock. A
// reading that was overtaken by another one changes nothing.
func (a anchor) advance(r reading) anchor {
	if r.elapsed <= a.elapsed {
		return a
	}
	passed := r.elapsed - a.elapsed
	slew := passed / maxSlew
	return anchor{time: min(max(r.wall, a.time+passed-slew), a.time+passed+slew), elapsed: r.elapsed}
}

// logClock gives the time that a leader stamps into log entries. Between two
// entries it follows the monotonic clock, so that a wall clock that is wrong or
// jumps can't end leases or the retention of orders early. The bound holds between
// any two entries, also of different leaders: a new leader goes on from the newest
// entry and the moment at which it saw that entry applied, which is never before
// the entry was stamped. It is safe for concurrent use.
type logClock struct {
	mu    sync.Mutex
	seen  anchor // the newest entry that was applied here
	index uint64 // of that entry
	own   anchor // the newest stamp given in term
	term  uint64
}

// observe notes what has been applied.
func (k *logClock) observe(r reading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeLocked(r)
}

func (k *logClock) observeLocked(r reading) {
	// An entry with the time of the one before it counts as well: its leader knew a
	// later moment for that time.
	if r.index > k.index {
		k.index = r.index
		k.seen = anchor{time: r.applied, elapsed: r.elapsed}
	}
}

// lead begins a term as leader. All entries of earlier terms must be applied.
func (k *logClock) lead(term uint64, r reading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeLocked(r)
	if term == k.term {
		return
	}
	k.term = term
	k.own = k.seen
	if r.index == 0 {
		k.own = anchor{time: r.wall, elapsed: r.elapsed}
	}
}

// leads says whether lead was called for the term.
func (k *logClock) leads(term uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return term == k.term
}

// stamp returns the time for an entry of the term that lead began.
func (k *logClock) stamp(r reading) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own = k.own.advance(r)
	return k.own.time
}

// now estimates the log's time at a VM that needn't lead.
func (k *logClock) now(r reading) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeLocked(r)
	if k.index == 0 {
		return r.wall
	}
	return k.seen.advance(r).time
}

func (c *Control) reading() reading {
	applied, index := c.o.Ledger.LogTime()
	return reading{
		wall:    time.Duration(c.o.WallClock().UnixNano()),
		elapsed: c.o.Timers.Since(c.created),
		applied: time.Duration(applied) * time.Millisecond,
		index:   index,
	}
}

// logNow estimates the log's time in milliseconds since the Unix epoch.
func (c *Control) logNow() int64 { return c.clock.now(c.reading()).Milliseconds() }

// stamp returns the log's time for an entry and the term in which it is valid. At
// the first entry of a term it waits until the entries of earlier leaders are
// applied, since their time must not be passed over.
func (c *Control) stamp(ctx context.Context) (term uint64, atMS int64, err error) {
	for {
		st := c.o.Node.Status()
		if st.Role == replica.Leader && c.clock.leads(st.Term) {
			return st.Term, c.clock.stamp(c.reading()).Milliseconds(), nil
		}
		if err := c.o.Node.Barrier(ctx); err != nil {
			return 0, 0, err
		}
		// The barrier was passed in the term in which it began only when the term
		// is still the same.
		if st.Role == replica.Leader && c.o.Node.Status().Term == st.Term {
			c.clock.lead(st.Term, c.reading())
		}
	}
}
