// Package roster keeps the membership of the system as soft state.
//
// Processes announce themselves to one control VM by heartbeats. Control VMs
// merge each other's changes, and entries follow one control VM at a time. All
// times are durations on the receiver's own clock: a change says how long ago
// the process was last seen, never when.
//
// A record remembers the incarnations that were replaced; they travel with it as
// removed changes, so that a peer doesn't take a late heartbeat of one for a new
// process. Where two records don't know of each other, the one that was seen
// last wins. A control VM confirms the processes whose heartbeats it gets
// itself, and no others, each time that a peer merges its answer; so
// silence can't be hidden by two peers that repeat each other.
//
// # Usage
//
//	r := roster.New(roster.Options{Timer: ts, Epoch: epoch})
//	if err := r.Start(ctx); err != nil { // detects silence without a reader
//		return err
//	}
//	defer r.Stop(stopCtx)
//	wantTarget := r.Announce(heartbeat)
//	changes := r.Since(request.GetSince(), request.GetEpoch())
//
// An entry sets Options.Follow and passes every answer of Control.Roster to Merge.
package roster

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Defaults of Options.
const (
	// DefaultSilence is the time without a heartbeat after which a process is silent.
	DefaultHeartbeatTimeout = 3 * time.Second
	// DefaultRemoval is the time without a heartbeat after which a process is forgotten.
	DefaultRemovalTimeout = 10 * time.Minute
)

const (
	// sweepPeriod bounds how late a silence is noticed when nobody reads.
	sweepPeriod = 250 * time.Millisecond
	// maxPast bounds the replaced incarnations remembered for each process.
	maxPast = 8
	// maxRemovals bounds the removals that a delta can still report; an older
	// reader gets the full list.
	maxRemovals = 1024
)

// Options configure a Roster. Zero durations select the defaults.
type Options struct {
	// Timer is the source of time.
	Timer *timer.Service
	// Epoch identifies this start of the roster. It must differ after each restart.
	Epoch string
	// Silence is the time without a heartbeat after which a process is silent. It
	// must be the same on all control VMs.
	HeartbeatTimeout time.Duration
	// Removal is the time without a heartbeat after which a process is forgotten.
	RemovalTimeout time.Duration
	// Follow is set at an entry, which merges the answers of one control VM at a
	// time: it takes over their silence, and keeps the last state while it can't
	// reach any control VM.
	Follow bool
}

func (o Options) withDefaults() Options {
	if o.Timer == nil {
		o.Timer = timer.NewService()
	}
	if o.HeartbeatTimeout <= 0 {
		o.HeartbeatTimeout = DefaultHeartbeatTimeout
	}
	if o.RemovalTimeout <= 0 {
		o.RemovalTimeout = DefaultRemovalTimeout
	}
	o.RemovalTimeout = max(o.RemovalTimeout, o.HeartbeatTimeout)
	return o
}

// logged is one change of a record in the order of versions.
type logged struct {
	version uint64
	name    string
}

// removal is a removed record that a delta still reports.
type removal struct {
	incarnation string
	sequence    sequence
	version     uint64
}

// Roster is the membership known to one process. It's safe for concurrent use.
type Roster struct {
	options Options
	origin  uint64

	mu       sync.Mutex
	records  map[string]*record
	removals map[string]removal
	changes  []logged // by version; entries that a later one supersedes are skipped
	floor    uint64   // a reader below this version gets the full list
	version  uint64
	stamps   uint64
	drains   map[string]bool // names of drained targets
	changed  chan struct{}
	sources  map[uint64]time.Time // by origin: last answer merged
	source   string               // epoch followed
	due      time.Time            // no record falls silent or is removed before

	stop    chan struct{}
	done    chan struct{}
	started bool
}

// New returns an empty Roster.
func New(o Options) *Roster {
	return &Roster{
		options:  o.withDefaults(),
		origin:   originOf(o.Epoch),
		records:  map[string]*record{},
		removals: map[string]removal{},
		changed:  make(chan struct{}),
		sources:  map[uint64]time.Time{},
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Start begins to look for silent processes, so that Changed is closed without
// a reader's call. Without Start silence is noticed at the next call.
func (r *Roster) Start(context.Context) error {
	r.mu.Lock()
	r.started = true
	r.mu.Unlock()
	ticker := r.options.Timer.Subscribe(sweepPeriod)
	go func() {
		defer close(r.done)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C():
				r.locked(func(time.Time) {})
			case <-r.stop:
				return
			}
		}
	}()
	return nil
}

// Stop ends what Start began. It must be called at most once.
func (r *Roster) Stop(ctx context.Context) error {
	close(r.stop)
	r.mu.Lock()
	started := r.started
	r.mu.Unlock()
	if !started {
		close(r.done)
	}
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done returns a channel that is closed when the roster has stopped.
func (r *Roster) Done() <-chan struct{} { return r.done }

// locked calls f under the lock, after the silent processes were marked.
func (r *Roster) locked(f func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Timer.Now()
	r.sweep(now)
	f(now)
}

// Announce takes a heartbeat and reports whether the target's full description
// is needed. The messages in it must not be changed afterwards. A heartbeat of a replaced incarnation is ignored, unless it has
// announced itself for the whole silence bound while the replacing one was
// silent: a delayed heartbeat must not bring back a stale incarnation, nor lock
// out a live one.
func (r *Roster) Announce(h *wire.HeartbeatRequest) (wantTarget bool) {
	name := h.GetProcess().GetName()
	if name == "" {
		return false
	}
	r.locked(func(now time.Time) {
		wantTarget = r.announce(now, name, h)
	})
	return wantTarget
}

func (r *Roster) announce(now time.Time, name string, h *wire.HeartbeatRequest) bool {
	p := h.GetProcess()
	rec := r.records[name]
	switch {
	case rec == nil:
		rec = &record{process: p, sequence: newSequence(1, 0, r.origin)}
		r.records[name] = rec
	case rec.incarnation() == p.GetIncarnation():
	case rec.replaced(p.GetIncarnation()) == 0 || r.rivalWins(now, rec, p.GetIncarnation()):
		rec.succeed(now, p, r.origin)
	default:
		return false
	}
	target := rec.target
	if h.GetTarget() != nil {
		target = h.GetTarget()
		if h.GetTargetVersion() != 0 && target.GetVersion() != h.GetTargetVersion() {
			target = proto.CloneOf(target)
			target.Version = h.GetTargetVersion()
		}
	}
	target = describe(target, p, false, r.isDrained(rec, target))
	same := rec.version != 0 && !rec.silent && rec.sequence.origin() == r.origin &&
		sameProcess(rec.process, p) && (target == rec.target || proto.Equal(target, rec.target))
	rec.process, rec.lastSeen, rec.silent, rec.reported = p, now, false, false
	if h.GetLoad() != nil {
		rec.load, rec.loadAt = h.GetLoad(), now
	}
	r.expect(now.Add(r.options.HeartbeatTimeout))
	if !same {
		rec.target = target
		r.stamp(rec, rec.sequence.generation())
		r.touch(name, rec)
	}
	return h.GetTargetVersion() != 0 && rec.target.GetVersion() != h.GetTargetVersion()
}

// succeed prepares the record for the announcement of a new incarnation, whose
// target isn't described yet.
func (r *record) succeed(now time.Time, p *wire.ProcessInfo, origin uint64) {
	generation := r.top() + 1
	r.replace(r.incarnation(), generation, now)
	r.revive(p.GetIncarnation())
	r.sequence = newSequence(generation, 0, origin)
	r.target, r.load, r.rival = nil, nil, rival{}
}

// rivalWins reports whether a replaced incarnation has announced itself for the
// silence bound, without a gap of half of it, while the current one was silent.
func (r *Roster) rivalWins(now time.Time, rec *record, incarnation string) bool {
	if rec.rival.incarnation != incarnation || now.Sub(rec.rival.last) >= r.options.HeartbeatTimeout/2 {
		rec.rival = rival{incarnation: incarnation, since: now}
	}
	rec.rival.last = now
	return rec.silent && now.Sub(rec.rival.since) >= r.options.HeartbeatTimeout
}

// stamp gives the record's newest announcement a sequence of its own. The counter
// is that of the roster, because a record may take on a peer's lower counter.
func (r *Roster) stamp(rec *record, generation uint64) {
	r.stamps++
	rec.sequence = newSequence(generation, r.stamps, r.origin)
}

// touch gives the record a new version and wakes the readers.
func (r *Roster) touch(name string, rec *record) {
	r.version++
	rec.version = r.version
	delete(r.removals, name)
	r.changes = append(r.changes, logged{version: r.version, name: name})
	r.wake()
}

func (r *Roster) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
	if len(r.changes) > 2*(len(r.records)+len(r.removals))+64 {
		r.compact()
	}
}

// compact drops the changes that later ones supersede.
func (r *Roster) compact() {
	kept := r.changes[:0]
	for _, c := range r.changes {
		if r.isCurrent(c) {
			kept = append(kept, c)
		}
	}
	r.changes = kept
}

func (r *Roster) isCurrent(c logged) bool {
	if rec := r.records[c.name]; rec != nil {
		return rec.version == c.version
	}
	return r.removals[c.name].version == c.version
}

// expect lowers the time at which the next record may fall silent.
func (r *Roster) expect(at time.Time) {
	if r.due.IsZero() || at.Before(r.due) {
		r.due = at
	}
}

// evidence returns the last time at which the process is known to have been
// seen, by this VM or by the peer that gets its heartbeats.
func (r *Roster) evidence(now time.Time, rec *record) time.Time {
	if r.options.Follow {
		if rec.listed == r.source && !rec.reported {
			return now
		}
		return rec.lastSeen
	}
	confirmed := r.sources[rec.sequence.origin()]
	if !rec.reported && confirmed.After(rec.lastSeen) {
		return confirmed
	}
	return rec.lastSeen
}

// sweep marks records whose process became silent and removes long-gone ones.
func (r *Roster) sweep(now time.Time) {
	if r.due.IsZero() || now.Before(r.due) {
		return
	}
	r.due = time.Time{}
	for name, rec := range r.records {
		age := now.Sub(r.evidence(now, rec))
		if age >= r.options.RemovalTimeout {
			r.remove(name, rec)
			continue
		}
		if silent := age >= r.options.HeartbeatTimeout; silent != rec.silent {
			r.setSilent(name, rec, silent)
		}
		rec.forget(now.Add(-r.options.RemovalTimeout))
		if rec.silent {
			r.expect(now.Add(r.options.RemovalTimeout - age))
		} else {
			r.expect(now.Add(r.options.HeartbeatTimeout - age))
		}
	}
}

func (r *Roster) setSilent(name string, rec *record, silent bool) {
	rec.silent = silent
	rec.target = describe(rec.target, rec.process, silent, r.isDrained(rec, rec.target))
	r.touch(name, rec)
}

func (r *Roster) remove(name string, rec *record) {
	delete(r.records, name)
	r.version++
	r.removals[name] = removal{incarnation: rec.incarnation(), sequence: rec.sequence, version: r.version}
	r.changes = append(r.changes, logged{version: r.version, name: name})
	if len(r.removals) > maxRemovals {
		r.dropOldestRemovals()
	}
	r.wake()
}

// dropOldestRemovals forgets half of the removals. Readers that haven't seen
// them get the full list.
func (r *Roster) dropOldestRemovals() {
	names := slices.SortedFunc(maps.Keys(r.removals), func(a, b string) int {
		return int(int64(r.removals[a].version - r.removals[b].version))
	})
	for _, name := range names[:len(names)/2] {
		r.floor = max(r.floor, r.removals[name].version)
		delete(r.removals, name)
	}
}

// ChangesSince returns the changes after a version, or the full list when the epoch is
// another one or the version is too old. Its cost is proportional to the changes.
func (r *Roster) ChangesSince(version uint64, epoch string) *wire.RosterResponse {
	out := &wire.RosterResponse{Epoch: r.options.Epoch}
	r.locked(func(now time.Time) {
		out.Version = r.version
		if epoch != r.options.Epoch || version < r.floor || version > r.version {
			out.Full = true
			version = 0
		}
		first := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].version > version })
		for _, c := range r.changes[first:] {
			if r.isCurrent(c) {
				out.Changes = r.appendChange(out.Changes, now, c.name, out.GetFull())
			}
		}
	})
	return out
}

// appendChange adds the replaced incarnations and then the record, so that a
// reader knows them when it compares the record with its own.
func (r *Roster) appendChange(out []*wire.RosterChange, now time.Time, name string, full bool) []*wire.RosterChange {
	rec := r.records[name]
	if rec == nil {
		if full {
			return out
		}
		gone := r.removals[name]
		return append(out, removedChange(name, gone.incarnation, gone.sequence))
	}
	for _, p := range rec.past {
		out = append(out, removedChange(name, p.incarnation, newSequence(p.generation, 0, 0)))
	}
	return append(out, r.change(rec, now.Sub(rec.lastSeen)))
}

func removedChange(name, incarnation string, s sequence) *wire.RosterChange {
	return &wire.RosterChange{
		Process:  &wire.ProcessInfo{Name: name, Incarnation: incarnation},
		Removed:  true,
		Sequence: uint64(s),
	}
}

func (r *Roster) change(rec *record, silence time.Duration) *wire.RosterChange {
	return &wire.RosterChange{
		Process:  rec.process,
		Target:   rec.target,
		SilentMs: silence.Milliseconds(),
		Sequence: join(rec.sequence, rec.silent),
	}
}

// SetDrains sets the names of the drained targets, which count as leaving. A
// control VM calls it after each change of the ledger's drains, so that entries
// learn of a drain at once and not only from the agent's next heartbeats. Drains
// aren't merged between control VMs, because each has them from the ledger.
func (r *Roster) SetDrains(targets []string) {
	drains := make(map[string]bool, len(targets))
	for _, name := range targets {
		drains[name] = true
	}
	r.locked(func(time.Time) {
		r.drains = drains
		for name, rec := range r.records {
			r.redescribe(name, rec)
		}
	})
}

// isDrained reports whether a target is drained, according to the followed
// control VM or to SetDrains.
func (r *Roster) isDrained(rec *record, t *wire.TargetInfo) bool {
	if r.options.Follow {
		return rec.drained
	}
	return r.drains[t.GetName()]
}

// redescribe brings the target's description up to date with its drain.
func (r *Roster) redescribe(name string, rec *record) {
	target := describe(rec.target, rec.process, rec.silent, r.isDrained(rec, rec.target))
	if target != rec.target {
		rec.target = target
		r.touch(name, rec)
	}
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Targets returns the targets of a service, sorted by name, those that are
// leaving, silent or not ready included. The messages must not be changed.
func (r *Roster) Targets(service string) []*wire.TargetInfo {
	var out []*wire.TargetInfo
	r.locked(func(time.Time) {
		for _, rec := range r.records {
			if rec.target != nil && rec.target.GetService() == service {
				out = append(out, rec.target)
			}
		}
	})
	slices.SortFunc(out, func(a, b *wire.TargetInfo) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}

// Processes returns all processes, sorted by name. Their silent_ms is the time
// since this VM or the peer that gets the heartbeats confirmed it. The messages
// must not be changed.
func (r *Roster) Processes() []*wire.RosterChange {
	var out []*wire.RosterChange
	r.locked(func(now time.Time) {
		for _, rec := range r.records {
			out = append(out, r.change(rec, now.Sub(r.evidence(now, rec))))
		}
	})
	slices.SortFunc(out, func(a, b *wire.RosterChange) int {
		return strings.Compare(a.GetProcess().GetName(), b.GetProcess().GetName())
	})
	return out
}

// Load returns the newest load report of a process that this VM or, by
// MergeLoads, a peer has received, and its time. Load reports aren't part of
// versions or deltas.
func (r *Roster) Load(name string) (load *wire.LoadReport, at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[name]
	if rec == nil || rec.load == nil {
		return nil, time.Time{}, false
	}
	return rec.load, rec.loadAt, true
}

// Loads returns the load reports of the processes whose heartbeats this VM gets,
// sorted by name. Those of silent processes are left out.
func (r *Roster) Loads() []*wire.ProcessLoad {
	var out []*wire.ProcessLoad
	r.locked(func(time.Time) {
		for name, rec := range r.records {
			if rec.load != nil && !rec.silent && rec.sequence.origin() == r.origin {
				out = append(out, &wire.ProcessLoad{Process: name, Load: rec.load})
			}
		}
	})
	slices.SortFunc(out, func(a, b *wire.ProcessLoad) int { return strings.Compare(a.GetProcess(), b.GetProcess()) })
	return out
}

// MergeLoads takes the load reports of a peer, except for processes whose heartbeats this
// VM gets itself.
func (r *Roster) MergeLoads(loads []*wire.ProcessLoad) {
	r.locked(func(now time.Time) {
		for _, l := range loads {
			if rec := r.records[l.GetProcess()]; rec != nil && rec.sequence.origin() != r.origin {
				rec.load, rec.loadAt = l.GetLoad(), now
			}
		}
	})
}
