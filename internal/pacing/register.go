package pacing

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// refreshInterval is how often a limit that stays the same is told to other processes, and
	// retention how long it holds without news: nobody has sent a request to the target then.
	refreshInterval = time.Minute
	retention       = 10 * time.Minute
	// maxStatements bounds the targets in a Register.
	maxStatements = 2048
	// memberRetention is how long the gateways that a control VM lists count after its last
	// answer, while another control VM answers.
	memberRetention = 3 * time.Second
)

// entry is the statement of a target that holds.
type entry struct {
	Statement
	version  uint64    // of the last change
	observed uint64    // version of the last change that this process observed itself
	sharedAt time.Time // when other processes were last told
	limitID  uint64    // identifies the limit, so that a Pace begins anew with it
	part     part      // of this gateway
	partOf   uint64    // version of the members for which part holds
}

// memberList is the gateways that one control VM lists.
type memberList struct {
	ids []uint64
	at  time.Time
}

// Register holds the limits of targets that a process knows. It is safe for concurrent use.
type Register struct {
	self     uint64
	mu       sync.Mutex
	entries  map[string]*entry
	version  uint64
	limits   uint64 // limits so far, for limitID
	limited  atomic.Int64
	changed  chan struct{}
	onChange func(s Statement, partPerSecond float64, senders int)

	lists          map[string]memberList
	members        []uint64 // all listed gateways, sorted
	membersVersion uint64

	cold     map[string]*coldEntry // by target
	colds    uint64                // limits of cold targets so far
	onCold   func(target string, reason ColdReason, left time.Duration, partPerSecond float64, senders int)
	contacts map[string]*contact // by control VM
	places   []uint64            // members and those that have just left, sorted
	left     map[uint64]time.Time
	// nextLeave is when the next of those that have left loses its place.
	nextLeave time.Time
}

// NewRegister returns an empty Register of the named process.
func NewRegister(self string) *Register {
	return &Register{
		self: MemberID(self), entries: map[string]*entry{}, changed: make(chan struct{}), lists: map[string]memberList{}, membersVersion: 1,
		onChange: func(Statement, float64, int) {},
		cold:     map[string]*coldEntry{}, contacts: map[string]*contact{}, left: map[uint64]time.Time{},
		onCold: func(string, ColdReason, time.Duration, float64, int) {},
	}
}

// MemberID returns the id of a gateway in lists of members.
func MemberID(name string) uint64 { return xxhash.Sum64String(name) }

// OnChange sets the function that is called when the limit of a target changes, with this
// gateway's part and the number of senders. It must not call the Register.
func (r *Register) OnChange(f func(s Statement, partPerSecond float64, senders int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = f
}

// Observe records a statement that this process has received. It reports whether the target's
// limit has changed.
func (r *Register) Observe(s Statement) bool {
	if _, unreadable := s.limit.(Unreadable); unreadable || !s.isLimited() && r.limited.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.version
	changed := r.merge(s)
	if r.version > before {
		r.entries[s.target].observed = r.version
	}
	return changed
}

// Merge merges the statements of another process.
func (r *Register) Merge(statements []Statement, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range statements {
		r.merge(s)
	}
	r.expire(now)
}

// merge takes a statement over if it supersedes the one that holds; r.mu is held. It reports
// whether the limit has changed. Without a change the version increases only if other processes
// are due to hear that the limit still holds.
func (r *Register) merge(s Statement) bool {
	e := r.entries[s.target]
	switch {
	case e == nil && !s.isLimited(), e != nil && s.bornMs < e.bornMs:
		return false
	case e == nil && len(r.entries) >= maxStatements:
		return false
	case e == nil:
		e = &entry{}
		r.entries[s.target] = e
	case s.bornMs == e.bornMs && s.rate() == e.rate():
		e.sentAt, e.receivedAt = later(e.sentAt, s.sentAt), later(e.receivedAt, s.receivedAt)
		if e.isLimited() && e.receivedAt.Sub(e.sharedAt) >= refreshInterval {
			r.touch(e)
		}
		return false
	case s.bornMs == e.bornMs && !s.supersedes(e.Statement):
		return false
	}
	wasLimited := e.isLimited() && e.limitID > 0
	e.Statement = s
	switch {
	case s.isLimited() && !wasLimited:
		r.limited.Add(1)
	case !s.isLimited() && wasLimited:
		r.limited.Add(-1)
	}
	r.limits++
	e.limitID, e.partOf = r.limits, 0
	r.touch(e)
	p := r.partOf(e)
	r.onChange(s, p.perSecond, p.senders)
	if c := r.cold[s.target]; c != nil {
		r.refreshCold(c, s.receivedAt)
	}
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (r *Register) touch(e *entry) {
	r.version++
	e.version, e.sharedAt = r.version, e.receivedAt
	close(r.changed)
	r.changed = make(chan struct{})
}

// expire drops statements without news; r.mu is held.
func (r *Register) expire(now time.Time) {
	for target, e := range r.entries {
		if now.Sub(e.receivedAt) <= retention {
			continue
		}
		delete(r.entries, target)
		if e.isLimited() {
			r.limited.Add(-1)
		}
		if c := r.cold[target]; c != nil {
			r.refreshCold(c, now)
		}
	}
}

// Changed returns a channel that is closed at the next change.
func (r *Register) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Version returns the version, which increases with each change.
func (r *Register) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// ChangesSince returns the statements that changed after a version, and the current version.
func (r *Register) ChangesSince(version uint64) ([]Statement, uint64) {
	return r.since(func(e *entry) bool { return e.version > version })
}

// ObservedSince returns the statements that this process has observed after a version, and the
// current version.
func (r *Register) ObservedSince(version uint64) ([]Statement, uint64) {
	return r.since(func(e *entry) bool { return e.observed > version })
}

func (r *Register) since(selected func(*entry) bool) ([]Statement, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Statement
	for _, e := range r.entries {
		if selected(e) {
			list = append(list, e.Statement)
		}
	}
	return list, r.version
}

// SetMembers records the gateways that a control VM lists, by their ids. The gateways that any
// control VM lists count, so that a control VM that doesn't know all of them changes nothing.
func (r *Register) SetMembers(source string, ids []uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := !slices.Equal(r.lists[source].ids, ids)
	r.lists[source] = memberList{ids: ids, at: now}
	r.uniteMembers(changed, now)
}

// ConfirmMembers records that the list of a control VM is unchanged. It reports false if the list
// was dropped and has to be set again.
func (r *Register) ConfirmMembers(source string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.lists[source]
	if ok {
		r.lists[source] = memberList{ids: l.ids, at: now}
		r.uniteMembers(false, now)
	}
	return ok
}

// uniteMembers computes the members from the lists if one has changed or is too old; r.mu is
// held. Old lists are dropped only here, when another one has just arrived: without any control
// VM the last members hold.
func (r *Register) uniteMembers(changed bool, now time.Time) {
	before := len(r.lists)
	maps.DeleteFunc(r.lists, func(_ string, l memberList) bool { return now.Sub(l.at) > memberRetention })
	if !changed && len(r.lists) == before {
		return
	}
	var all []uint64
	for _, l := range r.lists {
		all = append(all, l.ids...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	if !slices.Equal(all, r.members) {
		r.recordLeft(all, now)
		r.members = all
		r.membersVersion++
		r.refreshPlaces(now)
	}
}

// Members returns the number of gateways.
func (r *Register) Members() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// Limits returns the limits that hold, as rendered for operators, by target.
func (r *Register) Limits(now time.Time) map[string]Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[string]Status{}
	for target, e := range r.entries {
		if e.isLimited() {
			p := r.partOf(e)
			list[target] = Status{PerSecond: e.rate(), PartPerSecond: p.perSecond, Senders: p.senders}
		}
	}
	for target := range r.cold {
		if c := r.coldEntry(target, r.cold[target].bornMs, now); c != nil {
			p, _ := r.coldPart(c, now)
			list[target] = Status{PerSecond: c.rate, PartPerSecond: p.perSecond, Senders: p.senders, ColdLeftMs: c.until.Sub(now).Milliseconds()}
		}
	}
	return list
}

// Status describes the limit of a target.
type Status struct {
	PerSecond     float64 `json:"per_second"`
	PartPerSecond float64 `json:"part_per_second"` // of this gateway
	Senders       int     `json:"senders"`
	ColdLeftMs    int64   `json:"cold_left_ms,omitempty"`
}
