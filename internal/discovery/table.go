// Package discovery keeps the targets that announced themselves.
//
// Every control VM and every gateway holds a Table. Targets announce themselves
// to one control VM at a time; the others learn of them by watching each other.
// Merging is commutative: of two records of one target the one with the later
// start wins, then the one that ends its life, then the higher sequence, so that
// a late announcement never revives a target.
//
// # Usage
//
//	t := discovery.NewTable(discovery.Options{Silence: 6 * time.Second})
//	changed := t.Announce(record, now)
//	for _, r := range t.Live("generators", now) {
//		// route to r
//	}
//	delta := t.Since(epoch, version)
package discovery

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// goneRetention is how long a target that left is remembered, so that a late
// announcement doesn't bring it back. Announcements are seconds late at most.
const goneRetention = 2 * time.Minute

// Options configures a Table.
type Options struct {
	// Silence is the time without an announcement after which a target is used
	// only when no other one is left.
	HeartbeatTimeout time.Duration
}

// entry is a record with what this process knows about its age.
type entry struct {
	record  *wire.RegisteredTarget
	version uint64    // of the table at the last change
	heard   time.Time // last news of an announcement, from anywhere
	direct  time.Time // last announcement to this process
}

// Table holds the newest record of each target. It is safe for concurrent use.
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

// Announce takes what a target said to this process and reports whether the
// record changed, apart from its sequence.
func (t *Table) Announce(r *wire.RegisteredTarget, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.merge(r, now)
	if e := t.entries[r.GetId()]; e != nil && e.record == r {
		e.direct = now
	}
	return changed
}

// Leave marks a target as gone. A born of 0 stands for the process known here.
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
		e.direct = now
	}
	return changed
}

// Merge takes what another process answered to a watch.
func (t *Table) Merge(w *wire.WatchResponse, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range w.GetTargets() {
		t.merge(r, now)
	}
	for _, id := range w.GetHeard() {
		if e := t.entries[id]; e != nil {
			e.heard = now
		}
	}
}

// merge keeps the newer record of a target.
func (t *Table) merge(r *wire.RegisteredTarget, now time.Time) bool {
	e := t.entries[r.GetId()]
	if e == nil {
		t.version++
		t.entries[r.GetId()] = &entry{record: r, version: t.version, heard: now}
		t.wake()
		return true
	}
	if !newer(r, e.record) {
		return false
	}
	changed := !same(r, e.record)
	e.record = r
	e.heard = now
	if changed {
		t.version++
		e.version = t.version
		t.wake()
	}
	return changed
}

// newer says whether a is newer than b; both are of one target.
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

// same says whether two records differ only by their sequence and what remains
// of the warm-up.
func same(a, b *wire.RegisteredTarget) bool {
	return a.GetBornMs() == b.GetBornMs() && a.GetState() == b.GetState() && a.GetAddress() == b.GetAddress() &&
		a.GetService() == b.GetService() && a.GetSlots() == b.GetSlots() && a.GetFailureDomain() == b.GetFailureDomain() &&
		a.GetSoftware() == b.GetSoftware()
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of a record.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Version returns the number of the last change.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ChangesSince returns the records that changed after a version that the caller had
// from the same epoch, or all of them, and the targets that announced themselves
// here within the last recent.
func (t *Table) ChangesSince(epoch string, version uint64, recent time.Duration, now time.Time) *wire.WatchResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &wire.WatchResponse{Epoch: t.epoch, Version: t.version, Full: epoch != t.epoch}
	for id, e := range t.entries {
		if w.Full || e.version > version {
			w.Targets = append(w.Targets, e.record)
		}
		if !e.direct.IsZero() && now.Sub(e.direct) <= recent && !isGone(e.record) {
			w.Heard = append(w.Heard, id)
		}
	}
	slices.SortFunc(w.Targets, func(a, b *wire.RegisteredTarget) int { return cmp.Compare(a.GetId(), b.GetId()) })
	slices.Sort(w.Heard)
	return w
}

// LiveTarget is a target that may be used, or is draining.
type LiveTarget struct {
	record *wire.RegisteredTarget
	silent bool
}

// Record returns what the target said of itself.
func (l LiveTarget) Record() *wire.RegisteredTarget { return l.record }

// Silent says whether nothing was heard of the target for the silence bound.
func (l LiveTarget) Silent() bool { return l.silent }

// Live returns the targets of a service that are ready or draining, sorted by id.
// Of several at one address only the one that started last is listed.
func (t *Table) Live(service string, now time.Time) []LiveTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	holder := map[string]*wire.RegisteredTarget{}
	for _, e := range t.entries {
		if h := holder[e.record.GetAddress()]; !isGone(e.record) && (h == nil || h.GetBornMs() < e.record.GetBornMs()) {
			holder[e.record.GetAddress()] = e.record
		}
	}
	var list []LiveTarget
	for _, e := range t.entries {
		if e.record.GetService() != service || isGone(e.record) || holder[e.record.GetAddress()] != e.record {
			continue
		}
		list = append(list, LiveTarget{record: e.record, silent: now.Sub(e.heard) > t.o.HeartbeatTimeout})
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

// Expire forgets targets that left or were not heard for long.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if now.Sub(e.heard) > goneRetention {
			delete(t.entries, id)
		}
	}
}
