package discovery

import (
	"maps"
	"time"

	"github.com/cardamomline/cardamomline/internal/pacing"
)

// maxPause limits the time for which a target is left alone at its own request.
const maxPause = 24 * time.Hour

// Notice is what a target says of itself in an answer to a request. It concerns only the
// process that receives the answer; announcements to control VMs concern all.
type Notice struct {
	leaving bool
	pause   time.Duration
	limit   pacing.Limit
}

// NewNotice returns a Notice. A leaving target takes no new requests, and one with a pause
// none for that time.
func NewNotice(leaving bool, pause time.Duration) Notice {
	return Notice{leaving: leaving, pause: min(max(pause, 0), maxPause)}
}

// WithLimit returns the notice with a limit of the target's requests from all processes.
func (n Notice) WithLimit(l pacing.Limit) Notice {
	n.limit = l
	return n
}

// Limit returns the limit of the target's requests; nil if the answer isn't the target's.
func (n Notice) Limit() pacing.Limit { return n.limit }

// Leaving reports whether the target leaves.
func (n Notice) Leaving() bool { return n.leaving }

// Pause returns the time for which the target takes no requests from this process.
func (n Notice) Pause() time.Duration { return n.pause }

// IsEmpty reports whether the target neither leaves nor asks for a pause.
func (n Notice) IsEmpty() bool { return !n.leaving && n.pause <= 0 }

// incarnation identifies one process of a target.
type incarnation struct {
	id     string
	bornMs int64
}

// clockTolerance is the difference of the clocks of a target and of this process up to which a
// pause that seems to be older than an incarnation may be its own.
const clockTolerance = time.Second

// standing is what an incarnation has said in its answers so far.
type standing struct {
	leaving     bool
	pausedUntil time.Time
	pausedAt    time.Time // when it asked for that pause
	receivedAt  time.Time
}

// pause records that the incarnation asked for a pause at a time. It doesn't shorten a longer one.
func (s *standing) pause(at, until time.Time) {
	if until.After(s.pausedUntil) {
		s.pausedUntil, s.pausedAt = until, at
	}
}

// RecordNotice records what an incarnation of a target said in an answer. It holds whatever
// the target announces afterwards, until the target starts again. A pause for which a target that has
// started again asks before it is announced holds as well. RecordNotice reports whether
// it changes how the target may be used.
func (t *Table) RecordNotice(id string, bornMs int64, n Notice, now time.Time) bool {
	if n.IsEmpty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := incarnation{id: id, bornMs: bornMs}
	before, known := t.notices[key]
	if !known {
		t.dropNotices(now)
	}
	after := before
	after.leaving, after.receivedAt = before.leaving || n.leaving, now
	if n.pause > 0 {
		after.pause(now, now.Add(n.pause))
	}
	t.notices[key] = after
	if after.leaving == before.leaving && after.pausedUntil.Equal(before.pausedUntil) {
		return false
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// keepPause keeps the pause for which the next incarnation of a target has asked before its first
// announcement arrived here; t.mu is held. Its answers were recorded for the one that was known.
// That it leaves isn't kept: if its clock is behind, the one before may have said so, and the target
// would never be used again.
func (t *Table) keepPause(id string, bornMs, nextBornMs int64) {
	s, ok := t.notices[incarnation{id: id, bornMs: bornMs}]
	if !ok || s.pausedUntil.IsZero() || s.pausedAt.Before(time.UnixMilli(nextBornMs).Add(-clockTolerance)) {
		return
	}
	key := incarnation{id: id, bornMs: nextBornMs}
	next := t.notices[key]
	next.pause(s.pausedAt, s.pausedUntil)
	next.receivedAt = later(next.receivedAt, s.pausedAt)
	t.notices[key] = next
}

// PauseLeft returns the time for which a target still takes no requests from this process; 0
// if it takes them.
func (t *Table) PauseLeft(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return 0
	}
	return max(t.notices[incarnation{id: id, bornMs: e.record.GetBornMs()}].pausedUntil.Sub(now), 0)
}

// dropNotices drops the notices of incarnations that have ended, and pauses that are over;
// t.mu is held.
func (t *Table) dropNotices(now time.Time) {
	maps.DeleteFunc(t.notices, func(k incarnation, s standing) bool {
		e := t.entries[k.id]
		current := e != nil && e.record.GetBornMs() == k.bornMs
		return !current && now.Sub(s.receivedAt) > goneRetention && now.After(s.pausedUntil) || !s.leaving && now.After(s.pausedUntil)
	})
}
