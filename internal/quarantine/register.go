// Package quarantine finds the parts of prompts that crash engines, and whole requests that crash
// the targets of any service, and keeps such requests away from them.
//
// An engine that crashes ends all requests that it has in hand. Each gateway records which
// parts the prompts had whose answers had not begun, and which parts were in prompts whose
// answers have. A part is blocked once engines have crashed repeatedly on requests with it and
// no answer with it has begun in the meantime. The part that has crashed the engines explains
// these crashes, so that the parts that were in the same prompts aren't blocked for them. Parts
// with the same crashes are suspects: only requests with all of them are refused, and a few with
// some of them are let through, until one of these has shown which part is the cause.
//
// A request that comes again with the same content is the same one. It has a record like a part.
// Its crashes don't explain those of the parts that it has, because other requests may have crashed
// on them as well; but a part that has crashed engines in this one request only isn't blocked.
//
// Processes exchange their records by watches. Merging is commutative, and each process judges
// by what it has. A Register uses neither network nor clock.
//
// # Usage
//
//	q := quarantine.NewRegister("gateway-1")
//	q.RecordCrash("engine-1/incarnation", parts, now)
//	q.RecordBegun(ids, now)
//	if v := q.Check(ids, now); v.Blocked() {
//		// refuse the request; v.Part() names the part
//	}
//	records, version := q.ObservedSince(0, now) // for control VMs
//	q.Merge(records, now)
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// crashesToBlock is the number of crashes after which a part is blocked with which no
	// answer has begun lately, and crashesOfKnown the number for other parts.
	crashesToBlock = 3
	crashesOfKnown = 5
	// knownTime is how long a part counts as known to be sound after an answer with it.
	knownTime = time.Minute
	// commonCauseTime is the time within which crashes of several engines may have a common cause,
	// such as a rack or a network, and mostly count as one.
	commonCauseTime = 200 * time.Millisecond
	// judgeDelay is the time from the first crash until a part is blocked. Answers that have
	// begun at other gateways are known here by then.
	judgeDelay = 1500 * time.Millisecond
	// crashesToSuspect is the number of crashes after which a request isn't sent again.
	crashesToSuspect = 2
	// firstTrial is the time after the newest crash after which one request with a blocked
	// part is let through. It doubles with each crash since the part was blocked.
	firstTrial = time.Minute
	// firstRequestTrial is the same for a whole request.
	firstRequestTrial = 4 * time.Minute
	// trialTime is the time in which the answer of such a request begins or its engine crashes.
	trialTime = 20 * time.Second
	// retention is how long a crash is held against a part.
	retention = 30 * time.Minute
	// maxCrashes bounds the crashes kept for a part. maxRecords bounds the parts with crashes and the
	// requests with crashes, and maxKnown those known to be sound, twice.
	maxCrashes = 16
	maxRecords = 1024
	maxKnown   = 4096
	// maxExchanged bounds the records in one message.
	maxExchanged = 256
)

// requestPrefix begins the ids of whole requests. Ids of parts contain no colon.
const requestPrefix = "request:"

// Part is a part of a prompt and its position in it, or a whole request.
type Part struct {
	id       string
	position int
}

// NewRequest returns the Part that stands for a whole request, by a digest of its content.
func NewRequest(digest string) Part { return Part{id: requestPrefix + digest} }

// IsRequest reports whether an id is that of a whole request.
func IsRequest(id string) bool { return strings.HasPrefix(id, requestPrefix) }

func (p Part) isRequest() bool { return IsRequest(p.id) }

// NewPart returns a Part.
func NewPart(id string, position int) Part { return Part{id: id, position: position} }

// ID returns the id of the part.
func (p Part) ID() string { return p.id }

// Crash is the end of an engine while it worked on a request with a part.
type Crash struct {
	engine   string // with its incarnation
	observer string // gateway of the request
	at       time.Time
}

// NewCrash returns a Crash.
func NewCrash(engine, observer string, at time.Time) Crash {
	return Crash{engine: engine, observer: observer, at: at}
}

// Engine returns the engine with its incarnation.
func (c Crash) Engine() string { return c.engine }

// Observer returns the gateway that had sent the request.
func (c Crash) Observer() string { return c.observer }

// At returns the time of the crash.
func (c Crash) At() time.Time { return c.at }

// Record is what is known of a part: its crashes, and when an answer with it last began.
type Record struct {
	part    Part
	crashes []Crash
	begunAt time.Time
}

// NewRecord returns a Record. A zero begunAt means that no answer is known to have begun.
func NewRecord(p Part, crashes []Crash, begunAt time.Time) Record {
	return Record{part: p, crashes: crashes, begunAt: begunAt}
}

// Part returns the part.
func (r Record) Part() Part { return r.part }

// Position returns the position of the part in its prompt.
func (r Record) Position() int { return r.part.position }

// Crashes returns the crashes.
func (r Record) Crashes() []Crash { return r.crashes }

// BegunAt returns when an answer last began, or a zero time.
func (r Record) BegunAt() time.Time { return r.begunAt }

// Verdict is the judgement on a request.
type Verdict struct {
	part    string
	others  []string
	blocked bool
	trial   bool
	retry   time.Duration
}

// Blocked reports whether the request must not be sent to an engine.
func (v Verdict) Blocked() bool { return v.blocked }

// Trial reports whether the request is let through although it has a blocked part.
func (v Verdict) Trial() bool { return v.trial }

// Part returns the blocked part.
func (v Verdict) Part() string { return v.part }

// Others returns the parts that may be the cause of the same crashes.
func (v Verdict) Others() []string { return v.others }

// RetryAfter returns the time until the part is tried again.
func (v Verdict) RetryAfter() time.Duration { return v.retry }

// entry is a Record with what this process derives from it.
type entry struct {
	Record
	version   uint64 // of the last change
	observed  uint64 // version of the last change that this process observed itself
	blockedAt time.Time
	triedAt   time.Time // when this process last let a request through
	suspects  *suspects // of a blocked part, with the part itself
}

// Change is the beginning or the end of a block.
type Change struct {
	part    string
	blocked bool
	crashes int
	others  []string
}

// Part returns the part.
func (c Change) Part() string { return c.part }

// Blocked reports whether requests with the part are refused from now on.
func (c Change) Blocked() bool { return c.blocked }

// Crashes returns the number of crashes that are held against the part.
func (c Change) Crashes() int { return c.crashes }

// Others returns the parts that may be the cause of the same crashes. A request is refused if it has
// these as well.
func (c Change) Others() []string { return c.others }

// Register holds the records of a process. It is safe for concurrent use.
type Register struct {
	self            string
	mu              sync.Mutex
	entries         map[string]*entry
	version         uint64
	changed         chan struct{}
	judgeAt         time.Time // when the next judgement may differ without a change; zero if never
	parts, requests begun     // known to be sound
	onChange        func(Change)
	gateways        int // that judge requests
}

// begun holds when answers with parts last began here.
type begun struct {
	newest, older map[string]time.Time
}

func (b *begun) record(id string, at time.Time) {
	if b.newest == nil || len(b.newest) >= maxKnown {
		b.newest, b.older = map[string]time.Time{}, b.newest
	}
	b.newest[id] = at
}

func (b *begun) at(id string) time.Time {
	if at, ok := b.newest[id]; ok {
		return at
	}
	return b.older[id]
}

// NewRegister returns an empty Register of the named process.
func NewRegister(self string) *Register {
	return &Register{self: self, entries: map[string]*entry{}, changed: make(chan struct{}), onChange: func(Change) {}}
}

// OnChange sets the function that is called when a part is blocked or no longer blocked, or when
// its suspects change. It must not call the Register.
func (q *Register) OnChange(f func(Change)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.onChange = f
}

// SetGateways sets the number of gateways that judge requests by the same records.
func (q *Register) SetGateways(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gateways = n
}

// RecordCrash records that an engine crashed while it worked on requests with parts whose
// answers had not begun.
func (q *Register) RecordCrash(engine string, parts []Part, at, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range parts {
		if q.merge(NewRecord(p, []Crash{NewCrash(engine, q.self, at)}, q.knownAt(p.id)), now) {
			q.entries[p.id].observed = q.version
		}
	}
	q.judge(now)
}

// RecordBegun records that an answer to a request with parts has begun, and that its engine
// has survived it.
func (q *Register) RecordBegun(ids []string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range ids {
		q.begunOf(id).record(id, now)
		if e := q.entries[id]; e != nil && len(q.counted(e, nil, now)) > 0 {
			q.clear(e, now)
		}
	}
}

// Lift ends what is held against a part, until further crashes. It reports whether the part
// was known.
func (q *Register) Lift(id string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[id]
	if e != nil {
		q.clear(e, now)
	}
	return e != nil
}

// clear records that a part is sound as of now; q.mu is held.
func (q *Register) clear(e *entry, now time.Time) {
	e.begunAt = now
	q.touch(e)
	e.observed = q.version
	q.unblock(e)
}

func (q *Register) unblock(e *entry) {
	if !e.blockedAt.IsZero() {
		e.suspects.ids = e.suspects.others(e.part.id)
		e.blockedAt, e.triedAt, e.suspects = time.Time{}, time.Time{}, nil
		q.onChange(Change{part: e.part.id, crashes: len(e.crashes)})
	}
}

func (q *Register) begunOf(id string) *begun {
	if IsRequest(id) {
		return &q.requests
	}
	return &q.parts
}

// knownAt returns when an answer with a part last began here.
func (q *Register) knownAt(id string) time.Time { return q.begunOf(id).at(id) }

// Merge merges the records of another process.
func (q *Register) Merge(records []Record, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for _, r := range records {
		if !q.merge(r, now) {
			continue
		}
		changed = true
		e := q.entries[r.part.id]
		if at := q.knownAt(r.part.id); at.After(e.begunAt) {
			e.begunAt = at
			e.observed = q.version
		}
	}
	if changed || q.isJudgementDue(now) {
		q.judge(now)
	}
}

// merge adds a record to that of the same part and reports whether it has changed anything.
func (q *Register) merge(r Record, now time.Time) bool {
	e := q.entries[r.part.id]
	if e == nil {
		q.makeRoom(r.part.isRequest(), now)
		e = &entry{Record: Record{part: r.part}}
		q.entries[r.part.id] = e
	}
	changed := false
	e.part.position = max(e.part.position, r.part.position)
	for _, c := range r.crashes {
		if now.Sub(c.at) < retention && !slices.ContainsFunc(e.crashes, func(o Crash) bool { return o.engine == c.engine }) {
			e.crashes = append(e.crashes, c)
			changed = true
		}
	}
	if changed {
		slices.SortFunc(e.crashes, func(a, b Crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.engine, b.engine)) })
		e.crashes = e.crashes[max(len(e.crashes)-maxCrashes, 0):]
	}
	if r.begunAt.After(e.begunAt) {
		e.begunAt = r.begunAt
		changed = true
	}
	if changed {
		q.touch(e)
	}
	return changed
}

func (q *Register) touch(e *entry) {
	q.version++
	e.version = q.version
	close(q.changed)
	q.changed = make(chan struct{})
}

// makeRoom drops the records of parts, or of requests, whose crashes are no longer held against them
// and, if that isn't enough, the one whose last crash is the oldest one.
func (q *Register) makeRoom(requests bool, now time.Time) {
	size := 0
	for _, e := range q.entries {
		if e.part.isRequest() == requests {
			size++
		}
	}
	if size < maxRecords {
		return
	}
	maps.DeleteFunc(q.entries, func(_ string, e *entry) bool {
		drop := e.part.isRequest() == requests && e.blockedAt.IsZero() && len(q.counted(e, nil, now)) == 0
		if drop {
			size--
		}
		return drop
	})
	if size < maxRecords {
		return
	}
	var oldest *entry
	for _, e := range q.entries {
		if e.part.isRequest() == requests && (oldest == nil || cmp.Or(e.blockedAt.Compare(oldest.blockedAt), e.newest().Compare(oldest.newest())) < 0) {
			oldest = e
		}
	}
	q.unblock(oldest)
	delete(q.entries, oldest.part.id)
}

// newest returns the time of the newest crash.
func (e *entry) newest() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].at
}

// counted returns the crashes that are held against a part: those after the last answer that
// began, without those that another part explains, and one for each common cause; q.mu is held.
func (q *Register) counted(e *entry, explained map[string]bool, now time.Time) []Crash {
	var list, group []Crash
	for _, c := range e.crashes {
		if !c.at.After(e.begunAt) || explained[c.engine] || now.Sub(c.at) >= retention {
			continue
		}
		if len(group) > 0 && c.at.Sub(group[0].at) >= commonCauseTime {
			list = append(list, q.attributed(e, group)...)
			group = nil
		}
		group = append(group, c)
	}
	return append(list, q.attributed(e, group)...)
}

// attributed returns the crashes of a group within commonCauseTime that are held against a part:
// all if the part is likely their cause, because there are many, no answer with it has begun lately,
// and no other engine crashed at that time; else the first one. A request is at one engine after the
// other, so that all count against one without a known answer. q.mu is held.
func (q *Register) attributed(e *entry, group []Crash) []Crash {
	if e.part.isRequest() && len(group) > 0 && !e.isKnown(group[0].at) {
		return group
	}
	if len(group) < crashesOfKnown || e.isKnown(group[0].at) || q.othersCrashed(group) {
		return group[:min(len(group), 1)]
	}
	return group
}

// othersCrashed reports whether engines that aren't in a group crashed at its time; q.mu is held.
func (q *Register) othersCrashed(group []Crash) bool {
	for _, e := range q.entries {
		for _, c := range e.crashes {
			if c.at.Sub(group[0].at).Abs() < commonCauseTime && !slices.ContainsFunc(group, func(o Crash) bool { return o.engine == c.engine }) {
				return true
			}
		}
	}
	return false
}

// isKnown reports whether an answer with the part began shortly before a time.
func (e *entry) isKnown(at time.Time) bool {
	return !e.begunAt.IsZero() && at.Sub(e.begunAt) < knownTime
}

// judge blocks the parts with enough crashes, the most likely cause first, and unblocks those
// whose answers have begun; q.mu is held.
func (q *Register) judge(now time.Time) {
	q.judgeAt = time.Time{}
	explained := map[string]bool{}
	for _, e := range q.entries {
		if e.blockedAt.IsZero() {
			continue
		}
		if e.begunAt.After(e.newest()) || now.Sub(e.newest()) >= retention {
			q.unblock(e)
		}
	}
	q.separate(now)
	for _, requests := range []bool{false, true} {
		for _, e := range q.entries {
			if !e.blockedAt.IsZero() && e.part.isRequest() == requests {
				explain(explained, e)
				q.judgeBy(e.newest().Add(retention))
			}
		}
		for {
			best, crashes := q.mostLikely(requests, explained, now)
			if best == nil {
				break
			}
			q.block(best, crashes, explained, now)
			explain(explained, best)
			q.judgeBy(best.newest().Add(retention))
		}
	}
}

// mostLikely returns the most likely cause of crashes among the parts, or the requests, that aren't
// blocked, with its crashes; nil if none has enough. q.mu is held.
func (q *Register) mostLikely(requests bool, explained map[string]bool, now time.Time) (best *entry, crashes []Crash) {
	for _, e := range q.entries {
		if !e.blockedAt.IsZero() || e.part.isRequest() != requests || len(e.crashes) < crashesToBlock {
			continue
		}
		c := q.counted(e, explained, now)
		if !e.suffices(c, now) {
			if len(c) >= crashesToBlock && now.Sub(c[0].at) < judgeDelay {
				q.judgeBy(c[0].at.Add(judgeDelay))
			}
			continue
		}
		if (best == nil || moreLikely(e, c, best, crashes)) && (requests || !q.crashedInOneRequest(e, now)) {
			best, crashes = e, c
		}
	}
	return best, crashes
}

// crashedInOneRequest reports whether one request, which may be the cause, has all crashes of a
// part; q.mu is held.
func (q *Register) crashedInOneRequest(part *entry, now time.Time) bool {
	for _, e := range q.entries {
		if !e.part.isRequest() || len(e.crashes) < crashesToBlock || slices.ContainsFunc(part.crashes, func(c Crash) bool { return c.at.After(part.begunAt) && !e.hasEngine(c.engine) }) {
			continue
		}
		if !e.blockedAt.IsZero() || e.suffices(q.counted(e, nil, now), now) {
			return true
		}
	}
	return false
}

func (e *entry) hasEngine(engine string) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.engine == engine })
}

// block blocks a part, together with those that may as well be the cause of its crashes.
func (q *Register) block(best *entry, crashes []Crash, explained map[string]bool, now time.Time) {
	var list []*entry
	engines := enginesOf(crashes)
	for _, e := range q.entries {
		if !e.blockedAt.IsZero() || e.part.isRequest() != best.part.isRequest() {
			continue
		}
		c := q.counted(e, explained, now)
		if e == best || slices.Equal(enginesOf(c), engines) && e.isKnown(c[0].at) == best.isKnown(crashes[0].at) {
			list = append(list, e)
		}
	}
	s := newSuspects(list)
	for _, e := range list {
		e.blockedAt = now
		q.onChange(Change{part: e.part.id, blocked: true, crashes: len(crashes), others: s.others(e.part.id)})
	}
}

func (q *Register) isJudgementDue(now time.Time) bool {
	return !q.judgeAt.IsZero() && !now.Before(q.judgeAt)
}

// judgeBy plans a judgement.
func (q *Register) judgeBy(at time.Time) {
	if q.judgeAt.IsZero() || at.Before(q.judgeAt) {
		q.judgeAt = at
	}
}

// explain adds the crashes that a blocked part explains.
func explain(explained map[string]bool, e *entry) {
	for _, c := range e.crashes {
		explained[c.engine] = true
	}
}

// suffices reports whether crashes are enough to block a part.
func (e *entry) suffices(crashes []Crash, now time.Time) bool {
	if len(crashes) < crashesToBlock || now.Sub(crashes[0].at) < judgeDelay {
		return false
	}
	return len(crashes) >= crashesOfKnown || !e.isKnown(crashes[0].at)
}

// moreLikely reports whether one part is a more likely cause than another: no answer with it is
// known, it has more crashes, or it is further back in the prompt, where fewer requests share it.
func moreLikely(a *entry, crashesOfA []Crash, b *entry, crashesOfB []Crash) bool {
	knownA, knownB := a.isKnown(crashesOfA[0].at), b.isKnown(crashesOfB[0].at)
	if knownA != knownB {
		return !knownA
	}
	return cmp.Or(cmp.Compare(len(crashesOfA), len(crashesOfB)), cmp.Compare(a.part.position, b.part.position), cmp.Compare(a.part.id, b.part.id)) > 0
}

// Check judges a request with parts. Of the requests with a blocked part one is let through at
// times, by the gateway that has seen the newest crash, and of those with only some of its
// suspects a few by all gateways.
func (q *Register) Check(ids []string, now time.Time) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.isJudgementDue(now) {
		q.judge(now)
	}
	var v Verdict
	var some []*entry // whose suspects the request doesn't have all
	for _, id := range ids {
		e := q.entries[id]
		if e == nil || e.blockedAt.IsZero() {
			continue
		}
		if !e.suspects.within(ids) {
			some = append(some, e)
			continue
		}
		v = Verdict{part: id, others: e.suspects.others(id)}
		if left := e.trialAt().Sub(now); left > 0 {
			v.blocked, v.retry = true, left
			return v
		}
		if e.crashes[len(e.crashes)-1].observer != q.self || now.Sub(e.triedAt) < trialTime && !e.triedAt.IsZero() {
			v.blocked, v.retry = true, trialTime
			return v
		}
		e.triedAt = now
		v.trial = true
	}
	var compared *suspects
	for _, e := range some {
		v = Verdict{part: e.part.id, others: e.suspects.others(e.part.id), trial: true}
		if e.suspects != compared && !e.suspects.compare(q.self, q.gateways, now) {
			v.trial, v.blocked, v.retry = false, true, comparisonRetry
			return v
		}
		compared = e.suspects
	}
	return v
}

// trialAt returns when a request with a blocked part is let through.
func (e *entry) trialAt() time.Time {
	wait := firstTrial
	if e.part.isRequest() {
		wait = firstRequestTrial
	}
	for _, c := range e.crashes {
		if c.at.After(e.blockedAt.Add(firstTrial / 2)) {
			wait *= 2
		}
	}
	return e.newest().Add(min(wait, retention))
}

// Suspected reports whether a request has a part with which engines have crashed repeatedly,
// so that it isn't sent to another engine.
func (q *Register) Suspected(ids []string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range ids {
		if e := q.entries[id]; e != nil && (!e.blockedAt.IsZero() || len(q.counted(e, nil, now)) >= crashesToSuspect && !e.isKnown(e.newest())) {
			return true
		}
	}
	return false
}

// Changed returns a channel that is closed at the next change of a record.
func (q *Register) Changed() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.changed
}

// Version returns the version of the newest change.
func (q *Register) Version() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.version
}

// ChangesSince returns records that changed after a version, at most maxExchanged, and the
// version up to which it has returned them.
func (q *Register) ChangesSince(version uint64) ([]Record, uint64) {
	return q.since(version, func(e *entry) uint64 { return e.version })
}

// ObservedSince is like ChangesSince for changes that this process has observed itself.
func (q *Register) ObservedSince(version uint64) ([]Record, uint64) {
	return q.since(version, func(e *entry) uint64 { return e.observed })
}

func (q *Register) since(version uint64, of func(*entry) uint64) ([]Record, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var changed []*entry
	for _, e := range q.entries {
		if of(e) > version {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(of(a), of(b)) })
	until := q.version
	if len(changed) > maxExchanged {
		changed = changed[:maxExchanged]
		until = of(changed[maxExchanged-1])
	}
	list := make([]Record, 0, len(changed))
	for _, e := range changed {
		r := e.Record
		r.crashes = slices.Clone(e.crashes)
		list = append(list, r)
	}
	return list, until
}

// Status is what an operator sees of a part.
type Status struct {
	record  Record
	others  []string
	blocked bool
	counted int
	trialAt time.Time
}

// Record returns the part's record.
func (s Status) Record() Record { return s.record }

// Blocked reports whether requests with the part are refused.
func (s Status) Blocked() bool { return s.blocked }

// Others returns the parts that may be the cause of the same crashes. Requests are refused if they
// have these as well.
func (s Status) Others() []string { return s.others }

// Counted returns the number of crashes that are held against the part.
func (s Status) Counted() int { return s.counted }

// TrialAt returns when a request with a blocked part is let through.
func (s Status) TrialAt() time.Time { return s.trialAt }

// Status returns the parts with crashes that are held against them, by id.
func (q *Register) Status(now time.Time) []Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.judge(now)
	var list []Status
	for _, e := range q.entries {
		s := Status{record: e.Record, blocked: !e.blockedAt.IsZero(), counted: len(q.counted(e, nil, now))}
		if s.counted == 0 && !s.blocked {
			continue
		}
		s.record.crashes = slices.Clone(e.crashes)
		if s.blocked {
			s.trialAt = e.trialAt()
			s.others = e.suspects.others(e.part.id)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.record.part.id, b.record.part.id) })
	return list
}
