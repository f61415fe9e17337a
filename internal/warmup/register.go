package warmup

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRamps bounds the targets in a Register. Others are at their whole share.
	maxRamps = 2048
	// retention is how long the state of a target is kept after its last change. A gateway that
	// was cut off learns late of an incarnation, and then has to hear that its ramp is over.
	retention = 10 * time.Minute
	// maxObservers bounds the gateways whose counts a control VM holds for one target.
	maxObservers = 4096
	// sinceTolerance and shareTolerance are the differences in a state that other processes
	// needn't be told: hundreds of gateways end a round within milliseconds.
	sinceTolerance = 50 * time.Millisecond
	shareTolerance = 10
	// maxEvents bounds the changes of a share that are reported in one episode.
	maxEvents = 24
)

// EventKind says in snake case what has happened to a ramp.
type EventKind string

// Kinds of events.
const (
	Began  EventKind = "began"
	Raised EventKind = "raised"
	Halved EventKind = "halved"
	Ended  EventKind = "ended"
)

// Event is a change of the share of a target.
type Event struct {
	Kind      EventKind
	Target    string
	Share     float64
	Good, Bad uint32 // answers of the round before
	Episode   uint32
	Applies   bool // to this process
}

// entry is the state of one target.
type entry struct {
	State                       // with no counts
	own       counts            // of this process
	totals    counts            // as control VMs know them
	observers map[string]counts // at a control VM
	joined    bool              // this process has missed the target
	ended     bool
	events    int
	changedAt time.Time
	version   uint64 // of the last change that others have to know
	observed  uint64 // version of the last change that this process made
	decidable bool   // the counts told to others end the round
}

// applies reports whether this process follows the ramp.
func (e *entry) applies() bool { return e.everywhere || e.joined }

func (e *entry) label() uint64 { return uint64(e.episode)<<32 | uint64(e.round) }

// merged returns the counts of all processes.
func (e *entry) merged() counts {
	var sum counts
	for _, c := range e.observers {
		sum.good += c.good
		sum.bad += c.bad
	}
	return sum.most(e.totals).most(e.own)
}

// Register holds the ramps that a process knows. It is safe for concurrent use.
type Register struct {
	mu       sync.Mutex
	entries  map[string]*entry
	version  uint64
	active   atomic.Int64
	changed  chan struct{}
	onChange func(Event)
}

// NewRegister returns an empty Register.
func NewRegister() *Register {
	return &Register{entries: map[string]*entry{}, changed: make(chan struct{}), onChange: func(Event) {}}
}

// OnChange sets the function that is called when a ramp begins, changes by a round or ends. It
// must not call the Register.
func (r *Register) OnChange(f func(Event)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = f
}

// Ramp returns the ramp of an incarnation of a target, which need not have begun.
func (r *Register) Ramp(target string, bornMs int64) *Ramp {
	return &Ramp{r: r, target: target, bornMs: bornMs}
}

// begin begins an episode of a ramp, or joins the one that goes on.
func (r *Register) begin(p *Ramp, fresh bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[p.target]
	s := NewState(p.target, p.bornMs, 1, 0, steps(firstShare), now, fresh, 0, 0)
	switch {
	case e != nil && p.bornMs < e.bornMs, e != nil && fresh && p.bornMs == e.bornMs:
		return
	case e != nil && p.bornMs == e.bornMs:
		r.advance(e, now)
		if !e.ended {
			e.joined = true
			return
		}
		s.episode = e.episode + 1
	case e == nil && len(r.entries) >= maxRamps:
		return
	case e == nil:
		e = r.add(p.target)
	}
	r.enter(e, s, now)
	e.joined = true
	r.touchOwn(e)
	r.touch(e)
	r.report(e, Began, counts{}, now)
}

func (r *Register) add(target string) *entry {
	e := &entry{ended: true}
	r.entries[target] = e
	return e
}

// enter makes a state of a later round the one of an entry; r.mu is held.
func (r *Register) enter(e *entry, s State, now time.Time) {
	if !e.sameEpisode(s) {
		e.joined, e.events = false, 0
		if e.ended {
			r.active.Add(1)
		}
		e.ended = false
	}
	s.everywhere = s.everywhere || e.everywhere && e.sameEpisode(s)
	s.counts = counts{}
	e.State, e.own, e.totals, e.observers, e.changedAt, e.decidable = s, counts{}, counts{}, nil, now, false
	if e.ended {
		e.ended = false
		r.active.Add(1)
	}
}

// ongoing returns the entry of a ramp that goes on, or nil; r.mu is held.
func (r *Register) ongoing(p *Ramp, now time.Time) *entry {
	e := r.entries[p.target]
	if e == nil || e.bornMs != p.bornMs {
		return nil
	}
	r.advance(e, now)
	if e.ended {
		return nil
	}
	return e
}

// advance ends the round of an entry if it is over, and the ramp if the share is whole; r.mu is
// held.
func (r *Register) advance(e *entry, now time.Time) {
	if e.ended {
		return
	}
	c := e.merged()
	if s, ok := e.next(c, now); ok {
		kind := Raised
		if float64(s.share) < e.current(c, now)*shareSteps-0.5 {
			kind = Halved
		}
		r.enter(e, s, now)
		r.touchOwn(e)
		r.touch(e)
		r.report(e, kind, c, now)
	}
	if e.isOver(e.merged(), now) {
		r.end(e)
		r.report(e, Ended, c, now)
	}
}

func (r *Register) report(e *entry, k EventKind, c counts, now time.Time) {
	if e.events++; e.events > maxEvents && k != Ended {
		return
	}
	r.onChange(Event{Kind: k, Target: e.target, Share: e.current(e.merged(), now), Good: c.good, Bad: c.bad, Episode: e.episode, Applies: e.applies()})
}

// touch tells other processes of a change; r.mu is held.
func (r *Register) touch(e *entry) {
	r.version++
	e.version = r.version
	close(r.changed)
	r.changed = make(chan struct{})
}

// touchOwn records a change that this process has made; r.mu is held.
func (r *Register) touchOwn(e *entry) {
	r.version++
	e.observed = r.version
}

// MergeObserved merges what a gateway has observed. It is called at control VMs.
func (r *Register) MergeObserved(observer string, states []State, now time.Time) {
	r.merge(states, now, func(e *entry, c counts) {
		if c == (counts{}) || len(e.observers) >= maxObservers {
			return
		}
		if e.observers == nil {
			e.observers = map[string]counts{}
		}
		e.observers[observer] = e.observers[observer].most(c)
	})
}

// MergeTotals merges what a control VM knows of all gateways.
func (r *Register) MergeTotals(states []State, now time.Time) {
	r.merge(states, now, func(e *entry, c counts) { e.totals = e.totals.most(c) })
}

func (r *Register) merge(states []State, now time.Time, count func(*entry, counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range states {
		e := r.entries[s.target]
		switch {
		case e == nil && (len(r.entries) >= maxRamps || now.Sub(s.since) > retention):
			continue
		case e == nil:
			e = r.add(s.target)
			r.adopt(e, s, now)
		case e.precedes(s):
			r.adopt(e, s, now)
		case e.sameEpisode(s) && s.everywhere && !e.everywhere:
			e.everywhere, e.changedAt = true, now
			r.touch(e)
		}
		if !e.sameRound(s) {
			continue
		}
		r.unite(e, s, now)
		count(e, s.counts)
		// Counts that don't end a round change nothing elsewhere.
		if c := e.merged(); !e.decidable && (c.good >= goodAnswers || c.bad >= minBad) {
			e.decidable = true
			r.touch(e)
		}
	}
}

// adopt takes over a state of a later round; r.mu is held.
func (r *Register) adopt(e *entry, s State, now time.Time) {
	began := !e.sameEpisode(s)
	kind := Raised
	switch {
	case began:
		kind = Began
	case s.share < e.share:
		kind = Halved
	}
	r.enter(e, s, now)
	r.touch(e)
	switch {
	case !e.isOver(s.counts, now):
		r.report(e, kind, s.counts, now)
	case !e.ended:
		r.end(e)
		if !began {
			r.report(e, Ended, s.counts, now)
		}
	}
}

// end marks the ramp of an entry as over; r.mu is held.
func (r *Register) end(e *entry) {
	e.ended = true
	r.active.Add(-1)
}

// unite joins two states of the same round; r.mu is held.
func (r *Register) unite(e *entry, s State, now time.Time) {
	told := s.careful && !e.careful || e.share > s.share+shareTolerance || e.since.Sub(s.since) > sinceTolerance
	e.careful = e.careful || s.careful
	e.share = min(e.share, s.share)
	if s.since.Before(e.since) {
		e.since = s.since
	}
	if told {
		e.changedAt = now
		r.touch(e)
	}
}

// Tick ends rounds and ramps that are over, and drops old ones.
func (r *Register) Tick(now time.Time) {
	r.mu.Lock()
	for _, e := range r.entries {
		r.advance(e, now)
	}
	r.mu.Unlock()
	r.Expire(now)
}

// Expire drops the states of targets without a recent change.
func (r *Register) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.entries, func(_ string, e *entry) bool {
		old := now.Sub(e.changedAt) > retention
		if old && !e.ended {
			r.end(e)
		}
		return old
	})
}

// Changed returns a channel that is closed at the next change that others have to know.
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

// ChangesSince returns the states that changed after a version, with the counts of all observers,
// and the current version.
func (r *Register) ChangesSince(version uint64) ([]State, uint64) {
	return r.since(func(e *entry) bool { return e.version > version }, (*entry).merged)
}

// ObservedSince returns the states that this process has changed after a version, with its own
// counts, and the current version.
func (r *Register) ObservedSince(version uint64) ([]State, uint64) {
	return r.since(func(e *entry) bool { return e.observed > version }, func(e *entry) counts { return e.own })
}

func (r *Register) since(selected func(*entry) bool, count func(*entry) counts) ([]State, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []State
	for _, e := range r.entries {
		if selected(e) {
			s := e.State
			s.counts = count(e)
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b State) int { return strings.Compare(a.target, b.target) })
	return list, r.version
}

// Active returns the number of ramps that go on.
func (r *Register) Active() int { return int(r.active.Load()) }

// Ramps returns the ramps that go on, as rendered for operators, by target.
func (r *Register) Ramps(now time.Time) map[string]Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[string]Status{}
	for target, e := range r.entries {
		if c := e.merged(); !e.ended && !e.isOver(c, now) {
			list[target] = Status{Share: e.current(c, now), Applies: e.applies(), Episode: e.episode, Round: e.round, Good: c.good, Bad: c.bad, RoundMs: now.Sub(e.since).Milliseconds()}
		}
	}
	return list
}

// Status describes the ramp of a target.
type Status struct {
	Share   float64 `json:"share"`
	Applies bool    `json:"applies"` // to this gateway
	Episode uint32  `json:"episode"`
	Round   uint32  `json:"round"`
	Good    uint32  `json:"good"` // answers of the round
	Bad     uint32  `json:"bad"`
	RoundMs int64   `json:"round_ms"` // time since the beginning of the round
}
