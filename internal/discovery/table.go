// Package discovery stores the targets that announced themselves.
//
// Every control VM and every gateway has a Table. Targets announce themselves to one
// control VM at a time, and the others receive the records by watching each other. Merging
// is commutative: of two records of one target the one with the later start time wins, then
// the one that is gone, then the higher sequence, so that a late announcement never
// restores a target that has left.
//
// # Usage
//
//	t := discovery.NewTable(discovery.Options{HeartbeatTimeout: 6 * time.Second})
//	changed := t.Announce(record, now)
//	for _, r := range t.Live("generators", now) {
//		// route to r
//	}
//	delta := t.ChangesSince(epoch, version)
package discovery

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// goneRetention is how long the record of a target is retained after it left, so that a
// late announcement doesn't restore it. Announcements are late by seconds at most.
const goneRetention = 2 * time.Minute

// Options configures a Table.
type Options struct {
	// HeartbeatTimeout is the time without an announcement after which a target is used
	// only if no other target is available.
	HeartbeatTimeout time.Duration
}

// entry is a record with local timing information.
type entry struct {
	record                 *wire.RegisteredTarget
	version                uint64    // table version at the last change
	lastAnnounced          time.Time // last time that any process reported an announcement
	lastDirectAnnouncement time.Time // last announcement received by this process
}

// Table stores the newest record of each target. It is safe for concurrent use.
type Table struct {
	o       Options
	epoch   string
	mu      sync.Mutex
	version uint64
	entries map[string]*entry
	changed chan struct{}
}

// NewTable returns an empty Table.
func NewTable(o Options) *Table {
	return &Table{o: o, epoch: uuid.NewString(), entries: map[string]*entry{}, changed: make(chan struct{})}
}

// Announce processes an announcement received by this process. It reports whether the
// record changed in more than its sequence.
func (t *Table) Announce(r *wire.RegisteredTarget, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.merge(r, now)
	if e := t.entries[r.GetId()]; e != nil && e.record == r {
		e.lastDirectAnnouncement = now
	}
	return changed
}

// Leave marks a target as gone. A bornMs of 0 selects the incarnation known here.
func (t *Table) Leave(id string, bornMs int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone := &wire.RegisteredTarget{Id: id, BornMs: bornMs, State: wire.TargetState_TARGET_STATE_GONE}
	if e := t.entries[id]; e != nil && (bornMs == 0 || bornMs == e.record.GetBornMs()) {
		gone.BornMs = e.record.GetBornMs()
		gone.Service = e.record.GetService()
		gone.Address = e.record.GetAddress()
		gone.Sequence = e.record.GetSequence()
	}
	changed := t.merge(gone, now)
	if e := t.entries[id]; e != nil && e.record == gone {
		e.lastDirectAnnouncement = now
	}
	return changed
}

// Merge merges a watch response from another process.
func (t *Table) Merge(w *wire.WatchResponse, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range w.GetTargets() {
		t.merge(r, now)
	}
	for _, id := range w.GetHeard() {
		if e := t.entries[id]; e != nil {
			e.lastAnnounced = now
		}
	}
}

// merge stores the record if it is newer than the existing one of the same target. It
// reports whether the record changed in more than its sequence.
func (t *Table) merge(r *wire.RegisteredTarget, now time.Time) bool {
	e := t.entries[r.GetId()]
	if e == nil {
		t.version++
		t.entries[r.GetId()] = &entry{record: r, version: t.version, lastAnnounced: now}
		t.notify()
		return true
	}
	if !newer(r, e.record) {
		return false
	}
	changed := !sameState(r, e.record)
	e.record = r
	e.lastAnnounced = now
	if changed {
		t.version++
		e.version = t.version
		t.notify()
	}
	return changed
}

// newer reports whether a is newer than b; both are records of the same target.
func newer(a, b *wire.RegisteredTarget) bool {
	if a.GetBornMs() != b.GetBornMs() {
		return a.GetBornMs() > b.GetBornMs()
	}
	aGone, bGone := isGone(a), isGone(b)
	if aGone != bGone {
		return aGone
	}
	return a.GetSequence() > b.GetSequence()
}

func isGone(r *wire.RegisteredTarget) bool {
	return r.GetState() == wire.TargetState_TARGET_STATE_GONE
}

// sameState reports whether two records differ only in the sequence and the remaining
// warm-up time.
func sameState(a, b *wire.RegisteredTarget) bool {
	return a.GetBornMs() == b.GetBornMs() && a.GetState() == b.GetState() && a.GetAddress() == b.GetAddress() &&
		a.GetService() == b.GetService() && a.GetSlots() == b.GetSlots() && a.GetFailureDomain() == b.GetFailureDomain() &&
		a.GetSoftware() == b.GetSoftware()
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of a record.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Version returns the table version, which increases with each change of a record.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ChangesSince returns the records that changed after the given version of the given epoch,
// or all records if the epoch is a different one. It also returns the targets that
// announced themselves here within the recent duration.
func (t *Table) ChangesSince(epoch string, version uint64, recent time.Duration, now time.Time) *wire.WatchResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &wire.WatchResponse{Epoch: t.epoch, Version: t.version, Full: epoch != t.epoch}
	for id, e := range t.entries {
		if w.Full || e.version > version {
			w.Targets = append(w.Targets, e.record)
		}
		if !e.lastDirectAnnouncement.IsZero() && now.Sub(e.lastDirectAnnouncement) <= recent && !isGone(e.record) {
			w.Heard = append(w.Heard, id)
		}
	}
	slices.SortFunc(w.Targets, func(a, b *wire.RegisteredTarget) int { return cmp.Compare(a.GetId(), b.GetId()) })
	slices.Sort(w.Heard)
	return w
}

// LiveTarget is a target that is ready or draining.
type LiveTarget struct {
	record *wire.RegisteredTarget
	silent bool
}

// Record returns the target's own record.
func (l LiveTarget) Record() *wire.RegisteredTarget { return l.record }

// Silent reports whether no announcement was received within the heartbeat timeout.
func (l LiveTarget) Silent() bool { return l.silent }

// Live returns the targets of a service that are ready or draining, sorted by ID. If
// several have the same address, only the one that started last is returned.
func (t *Table) Live(service string, now time.Time) []LiveTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	newestByAddress := map[string]*wire.RegisteredTarget{}
	for _, e := range t.entries {
		if other := newestByAddress[e.record.GetAddress()]; !isGone(e.record) && (other == nil || other.GetBornMs() < e.record.GetBornMs()) {
			newestByAddress[e.record.GetAddress()] = e.record
		}
	}
	var list []LiveTarget
	for _, e := range t.entries {
		if e.record.GetService() != service || isGone(e.record) || newestByAddress[e.record.GetAddress()] != e.record {
			continue
		}
		list = append(list, LiveTarget{record: e.record, silent: now.Sub(e.lastAnnounced) > t.o.HeartbeatTimeout})
	}
	slices.SortFunc(list, func(a, b LiveTarget) int { return cmp.Compare(a.record.GetId(), b.record.GetId()) })
	return list
}

// Target returns the record of a target that is not gone.
func (t *Table) Target(id string) (*wire.RegisteredTarget, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || isGone(e.record) {
		return nil, false
	}
	return e.record, true
}

// Expire removes targets whose last announcement, or whose end, was reported longer ago
// than goneRetention.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if now.Sub(e.lastAnnounced) > goneRetention {
			delete(t.entries, id)
		}
	}
}
