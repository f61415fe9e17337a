// Package discovery stores the targets that announced themselves.
//
// Every control VM and every gateway has a Table. Targets announce themselves to one
// control VM at a time, and the others receive the records by watching each other. Merging
// is commutative: of two records of one target the one with the later start time wins, then
// the one that is gone, then the higher sequence, so that a late announcement never
// restores a target that has left.
//
// A Table also knows until when each incarnation is cold, by the clock of its process.
// Records carry the time that is left when they are sent. An incarnation that turns cold, or
// whose cold time ends at another time than the watchers were told, has changed; the passing of
// the time is no change.
//
// # Usage
//
//	t := discovery.NewTable(discovery.Options{HeartbeatTimeout: 6 * time.Second})
//	changed := t.Announce(record, now)
//	for _, r := range t.Live("generators", now) {
//		// route to r
//	}
//	delta := t.ChangesSince(epoch, version, now)
//	t.AddHeard(delta, format, now)
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// goneRetention is how long the record of a target is retained after it left, so that a
// late announcement doesn't restore it. Announcements are late by seconds at most.
const goneRetention = 2 * time.Minute

const (
	// heardCacheTime is how long a list of the targets that announced themselves is used.
	heardCacheTime = 100 * time.Millisecond
	// minIncarnationAge is the time for which an incarnation has to be known before the end of
	// an unnamed one ends it: it may have followed the one that ended.
	minIncarnationAge = 2 * time.Second
	// maxObsolete is the number of obsolete changes that are kept, in addition to the number
	// of targets.
	maxObsolete = 64
	// coldTolerance is the time by which the end of an incarnation's cold time may be later than
	// watchers were told without being a change: announcements and answers take different times.
	coldTolerance = 300 * time.Millisecond
	// coldEarlyTolerance is the same for an earlier end. It is longer, because the old end is safe.
	coldEarlyTolerance = time.Second
	// maxAnnouncementDelay is how late an announcement may arrive.
	maxAnnouncementDelay = 4 * time.Second
	// agedCacheTime is how long a copy of a record is used that carries the cold time left. It
	// overstates the time by this much at most.
	agedCacheTime = 50 * time.Millisecond
)

// Options configures a Table.
type Options struct {
	// HeartbeatTimeout is the time without an announcement after which a target is used
	// only if no other target is available.
	HeartbeatTimeout time.Duration
}

// entry is a record with local timing information.
type entry struct {
	record                 *wire.RegisteredTarget
	number                 uint32    // names the target in lists
	version                uint64    // table version at the last change
	firstSeen              time.Time // when this process learned of the incarnation
	lastAnnounced          time.Time // last time that any process reported an announcement
	lastDirectAnnouncement time.Time // last announcement received by this process
	lastHeard              time.Time // last list with the target, or announcement received by this process
	coldUntil              time.Time // end of the cold time, by the newest announcement
	toldColdUntil          time.Time // the end that the last change told
	aged                   *wire.RegisteredTarget
	agedAt                 time.Time // when aged was right
}

// setRecord stores a record that was received now.
func (e *entry) setRecord(r *wire.RegisteredTarget, now time.Time) {
	e.record, e.coldUntil, e.lastAnnounced, e.aged = r, coldEnd(r, now), now, nil
}

// coldEnd returns the end of the cold time that a record received now names.
func coldEnd(r *wire.RegisteredTarget, now time.Time) time.Time {
	return now.Add(time.Duration(r.GetWarmUpMs()) * time.Millisecond)
}

// isColdChange reports whether watchers have to hear of another end of the cold time.
func (e *entry) isColdChange(until, now time.Time) bool {
	return until.Sub(later(e.toldColdUntil, now)) > coldTolerance || e.toldColdUntil.Sub(later(until, now)) > coldEarlyTolerance
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// current returns the record with the cold time left. Records are shared, so that one with
// another time is a copy.
func (e *entry) current(now time.Time) *wire.RegisteredTarget {
	left := max(e.coldUntil.Sub(now), 0)
	if e.aged == nil || left == 0 && e.aged.GetWarmUpMs() > 0 || left > 0 && now.Sub(e.agedAt) > agedCacheTime {
		e.aged, e.agedAt = e.record, now
		if ms := uint32((left + time.Millisecond - 1).Milliseconds()); ms != e.record.GetWarmUpMs() {
			e.aged = proto.CloneOf(e.record)
			e.aged.WarmUpMs = ms
		}
	}
	return e.aged
}

// change is one change of a record. It is obsolete if the entry has changed again.
type change struct {
	version uint64
	entry   *entry
}

// heardCache is a list of the targets that announced themselves here lately.
type heardCache struct {
	numbers []uint32
	at      time.Time
}

// Table stores the newest record of each target. It is safe for concurrent use.
//
// At a restart of a deployment thousands of targets announce themselves within a second, and
// hundreds of processes watch. What a watch costs therefore depends on what has changed, and
// lists of all targets are computed once for many readers.
type Table struct {
	o       Options
	epoch   string
	mu      sync.Mutex
	version uint64
	entries map[string]*entry
	changes []change // in the order of versions, with obsolete ones
	numbers uint32   // numbers in use
	heard   heardCache
	// notices holds what targets said to this process in their answers.
	notices map[incarnation]standing
	// live holds the ready and draining targets by service; nil after a change.
	live    map[string][]*entry
	changed chan struct{}
	leaving chan struct{}
}

// NewTable returns an empty Table.
func NewTable(o Options) *Table {
	return &Table{o: o, epoch: uuid.NewString(), entries: map[string]*entry{}, notices: map[incarnation]standing{}, changed: make(chan struct{}), leaving: make(chan struct{})}
}

// heardInterval is the interval at which a watcher asks for the list of targets that
// announced themselves. The heartbeat timeout of the targets is several times as long.
func (t *Table) heardInterval() time.Duration { return t.o.HeartbeatTimeout / 4 }

// heardWindow is the age up to which an announcement is listed: lists follow one another
// within heardInterval and the duration of one watch.
func (t *Table) heardWindow() time.Duration { return t.heardInterval() + 2*watchWait }

// Announce processes an announcement received by this process. It reports whether the
// record changed in more than its sequence.
func (t *Table) Announce(r *wire.RegisteredTarget, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.merge(r, now)
	if e := t.entries[r.GetId()]; e != nil && e.record == r {
		e.lastDirectAnnouncement, e.lastHeard = now, now
	}
	return changed
}

// Leave marks a target as gone. A bornMs of 0 selects the incarnation known here. If there is
// none, because this process has restarted, each process that merges the record ends the
// incarnation that it knows.
func (t *Table) Leave(id string, bornMs int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone := &wire.RegisteredTarget{Id: id, BornMs: bornMs, State: wire.TargetState_TARGET_STATE_GONE}
	if e := t.entries[id]; e != nil && (bornMs == 0 || bornMs == e.record.GetBornMs()) {
		gone = endOf(e.record)
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
			e.lastAnnounced, e.lastHeard = now, now
		}
	}
}

// merge stores the record if it is newer than the existing one of the same target. It
// reports whether the record changed in more than its sequence.
func (t *Table) merge(r *wire.RegisteredTarget, now time.Time) bool {
	e := t.entries[r.GetId()]
	if e == nil {
		t.numbers++
		e = &entry{number: t.numbers, firstSeen: now}
		e.setRecord(r, now)
		t.entries[r.GetId()] = e
		t.recordChange(e)
		return true
	}
	if isGone(r) && r.GetBornMs() == 0 && !isGone(e.record) && now.Sub(e.firstSeen) >= minIncarnationAge {
		r = endOf(e.record)
	}
	if !newer(r, e.record) {
		return false
	}
	changed := !sameState(r, e.record) || e.isColdChange(coldEnd(r, now), now)
	if r.GetBornMs() != e.record.GetBornMs() {
		e.firstSeen, e.lastHeard = now, time.Time{}
		t.keepPause(r.GetId(), e.record.GetBornMs(), r.GetBornMs())
	}
	e.setRecord(r, now)
	if changed {
		t.recordChange(e)
	}
	return changed
}

// recordChange gives an entry the next version; t.mu is held.
func (t *Table) recordChange(e *entry) {
	t.version++
	e.version = t.version
	e.toldColdUntil = e.coldUntil
	if len(t.changes) > maxObsolete+2*len(t.entries) {
		t.changes = slices.DeleteFunc(t.changes, t.isObsolete)
	}
	t.changes = append(t.changes, change{version: t.version, entry: e})
	t.live = nil
	close(t.changed)
	t.changed = make(chan struct{})
	if e.record.GetState() != wire.TargetState_TARGET_STATE_READY {
		close(t.leaving)
		t.leaving = make(chan struct{})
	}
}

func (t *Table) isObsolete(c change) bool {
	return c.entry.version != c.version || t.entries[c.entry.record.GetId()] != c.entry
}

// endOf returns the record with which an incarnation ends.
func endOf(r *wire.RegisteredTarget) *wire.RegisteredTarget {
	return &wire.RegisteredTarget{
		Id: r.GetId(), Service: r.GetService(), Address: r.GetAddress(), BornMs: r.GetBornMs(), Sequence: r.GetSequence(), State: wire.TargetState_TARGET_STATE_GONE,
		FailureDomain: r.GetFailureDomain(),
	}
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

// sameState reports whether two records differ only in the sequence and the cold time left.
func sameState(a, b *wire.RegisteredTarget) bool {
	return a.GetBornMs() == b.GetBornMs() && a.GetState() == b.GetState() && a.GetAddress() == b.GetAddress() &&
		a.GetService() == b.GetService() && a.GetSlots() == b.GetSlots() && a.GetFailureDomain() == b.GetFailureDomain() &&
		a.GetSoftware() == b.GetSoftware()
}

// Changed returns a channel that is closed at the next change of a record.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Leaving returns a channel that is closed at the next change to a target that isn't ready.
func (t *Table) Leaving() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// Epoch identifies this table, which starts anew with its process.
func (t *Table) Epoch() string { return t.epoch }

// Version returns the table version, which increases with each change of a record.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ChangesSince returns the records that changed after the given version of the given epoch,
// or all records if the epoch is a different one. The records carry the cold time that is left
// now.
func (t *Table) ChangesSince(epoch string, version uint64, now time.Time) *wire.WatchResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &wire.WatchResponse{Epoch: t.epoch, Version: t.version, Full: epoch != t.epoch}
	var changed []*entry
	if w.Full {
		changed = slices.Collect(maps.Values(t.entries))
	} else {
		for i := len(t.changes) - 1; i >= 0 && t.changes[i].version > version; i-- {
			if c := t.changes[i]; !t.isObsolete(c) {
				changed = append(changed, c.entry)
			}
		}
	}
	slices.SortFunc(changed, compareEntries)
	for _, e := range changed {
		w.Targets = append(w.Targets, e.current(now))
		w.Numbers = append(w.Numbers, e.number)
	}
	return w
}

func compareEntries(a, b *entry) int { return cmp.Compare(a.record.GetId(), b.record.GetId()) }

// AddHeard adds the targets that announced themselves here lately to a response, in a format.
func (t *Table) AddHeard(w *wire.WatchResponse, f wire.HeardFormat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch f {
	case wire.HeardFormat_HEARD_FORMAT_NONE:
	case wire.HeardFormat_HEARD_FORMAT_NUMBERS:
		if t.heard.at.IsZero() || now.Sub(t.heard.at) > heardCacheTime {
			t.heard = heardCache{at: now}
			for _, e := range t.heardSince(now.Add(-t.heardWindow())) {
				t.heard.numbers = append(t.heard.numbers, e.number)
			}
		}
		w.HeardNumbers = t.heard.numbers
	default:
		w.Numbers = nil
		for _, e := range t.heardSince(now.Add(-t.heardWindow())) {
			w.Heard = append(w.Heard, e.record.GetId())
		}
	}
}

// heardSince returns the targets that announced themselves here since a time; t.mu is held.
func (t *Table) heardSince(at time.Time) []*entry {
	var list []*entry
	for _, e := range t.entries {
		if !e.lastDirectAnnouncement.IsZero() && !e.lastDirectAnnouncement.Before(at) && !isGone(e.record) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

// LiveTarget is a target that is ready or draining.
type LiveTarget struct {
	record   *wire.RegisteredTarget
	silent   bool
	standing standing
	// coldUntil is the end of the cold time, and knownUntil the time up to which announcements
	// that were made have been received for certain.
	coldUntil, knownUntil time.Time
}

// Record returns the target's own record.
func (l LiveTarget) Record() *wire.RegisteredTarget { return l.record }

// Leaving reports whether the target is draining, by its announcements or by an answer to this
// process.
func (l LiveTarget) Leaving() bool {
	return l.standing.leaving || l.record.GetState() != wire.TargetState_TARGET_STATE_READY
}

// PausedUntil returns the end of the time for which the target takes no requests from this
// process, or a time in the past.
func (l LiveTarget) PausedUntil() time.Time { return l.standing.pausedUntil }

// ColdUntil returns the end of the time for which the target is cold, or a time in the past.
func (l LiveTarget) ColdUntil() time.Time { return l.coldUntil }

// AnnouncedSince reports whether ColdUntil is known from an announcement that the target made
// after a time.
func (l LiveTarget) AnnouncedSince(at time.Time) bool { return l.knownUntil.After(at) }

// Silent reports whether no announcement was received within the heartbeat timeout.
func (l LiveTarget) Silent() bool { return l.silent }

// Live returns the targets of a service that are ready or draining, sorted by ID. If
// several have the same address, only the one that started last is returned.
func (t *Table) Live(service string, now time.Time) []LiveTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.live == nil {
		t.live = t.groupLive()
	}
	list := make([]LiveTarget, 0, len(t.live[service]))
	for _, e := range t.live[service] {
		l := LiveTarget{
			record: e.record, silent: now.Sub(e.lastAnnounced) > t.o.HeartbeatTimeout, coldUntil: e.coldUntil,
			standing: t.notices[incarnation{id: e.record.GetId(), bornMs: e.record.GetBornMs()}],
		}
		if !e.lastHeard.IsZero() {
			// A listed announcement is up to heardWindow old, and was made before it arrived.
			l.knownUntil = e.lastHeard.Add(-t.heardWindow() - maxAnnouncementDelay)
		}
		list = append(list, l)
	}
	return list
}

// groupLive returns the live targets by service; t.mu is held.
func (t *Table) groupLive() map[string][]*entry {
	newestByAddress := map[string]*entry{}
	for _, e := range t.entries {
		if other := newestByAddress[e.record.GetAddress()]; !isGone(e.record) && (other == nil || other.record.GetBornMs() < e.record.GetBornMs()) {
			newestByAddress[e.record.GetAddress()] = e
		}
	}
	live := map[string][]*entry{}
	for _, e := range newestByAddress {
		live[e.record.GetService()] = append(live[e.record.GetService()], e)
	}
	for _, list := range live {
		slices.SortFunc(list, compareEntries)
	}
	return live
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

// HasLeft reports whether an incarnation has ended or is draining, by announcements or by an
// answer to this process.
func (t *Table) HasLeft(id string, bornMs int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.record.GetBornMs() != bornMs || e.record.GetState() != wire.TargetState_TARGET_STATE_READY {
		return true
	}
	return t.notices[incarnation{id: id, bornMs: bornMs}].leaving
}

// Knows reports whether there is a record of a target, which may be gone.
func (t *Table) Knows(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[id] != nil
}

// HasFailureDomain reports whether there is a record of a target in a failure domain, which may be
// gone.
func (t *Table) HasFailureDomain(domain string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.record.GetFailureDomain() == domain {
			return true
		}
	}
	return false
}

// HasSoftware reports whether a target of a service that isn't gone runs a software version.
func (t *Table) HasSoftware(service, software string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.record.GetService() == service && e.record.GetSoftware() == software && !isGone(e.record) {
			return true
		}
	}
	return false
}

// Expire removes targets whose last announcement, or whose end, was reported longer ago
// than goneRetention.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.entries)
	maps.DeleteFunc(t.entries, func(_ string, e *entry) bool { return now.Sub(e.lastAnnounced) > goneRetention })
	if len(t.entries) < before {
		t.live = nil
		t.changes = slices.DeleteFunc(t.changes, t.isObsolete)
	}
}
