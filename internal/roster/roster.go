// Package roster maintains the membership of the system as soft state.
//
// Processes announce themselves to one control VM by heartbeats. Control VMs merge each
// other's changes, and entries follow one control VM at a time. All times are durations on
// the receiver's own clock: a change contains the time since the process was last seen,
// never a timestamp.
//
// A record lists the incarnations that were replaced. They are sent with it as removed
// changes, so that a peer doesn't accept a late heartbeat of one as a new process. If two
// records don't list each other's incarnation, the one seen last wins. With each response
// that a peer merges, a control VM confirms only the processes whose heartbeats it receives
// itself, so that two peers that repeat each other's records can't hide an unresponsive
// process.
//
// # Usage
//
//	r := roster.New(roster.Options{Timer: ts, Epoch: epoch})
//	if err := r.Start(ctx); err != nil { // detects heartbeat timeouts without a reader
//		return err
//	}
//	defer r.Stop(stopCtx)
//	wantTarget := r.Announce(heartbeat)
//	changes := r.ChangesSince(request.GetSince(), request.GetEpoch())
//
// An entry sets Options.Follow and passes each response of Control.Roster to Merge.
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
	// DefaultHeartbeatTimeout is the time without a heartbeat after which a process is
	// silent.
	DefaultHeartbeatTimeout = 3 * time.Second
	// DefaultRemovalTimeout is the time without a heartbeat after which a process is
	// removed.
	DefaultRemovalTimeout = 10 * time.Minute
)

const (
	// sweepInterval limits the delay in detecting a heartbeat timeout without a reader.
	sweepInterval = 250 * time.Millisecond
	// maxReplaced limits the replaced incarnations retained for each process.
	maxReplaced = 8
	// maxTombstones limits the removed records that a delta can still report. Readers with
	// an older version receive the full list.
	maxTombstones = 1024
)

// Options configures a Roster. Zero durations select the defaults.
type Options struct {
	// Timer is the source of time.
	Timer *timer.Service
	// Epoch identifies this instance of the roster. It must change with each restart.
	Epoch string
	// HeartbeatTimeout is the time without a heartbeat after which a process is silent. It
	// must be the same on all control VMs.
	HeartbeatTimeout time.Duration
	// RemovalTimeout is the time without a heartbeat after which a process is removed.
	RemovalTimeout time.Duration
	// Follow is set on an entry, which merges the responses of one control VM at a time. It
	// takes over the silent state reported there, and retains the last state while no
	// control VM is reachable.
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

// change is an entry of the change log, which is ordered by version.
type change struct {
	version uint64
	name    string
}

// tombstone is a removed record that deltas still report.
type tombstone struct {
	incarnation string
	sequence    sequence
	version     uint64
}

// Roster holds the membership known to one process. It is safe for concurrent use.
type Roster struct {
	options Options
	origin  uint64

	mu            sync.Mutex
	records       map[string]*record
	tombstones    map[string]tombstone
	changes       []change // by version; superseded entries are skipped
	oldestVersion uint64   // readers below this version receive the full list
	version       uint64
	lastCounter   uint64
	drains        map[string]bool // names of drained targets
	changed       chan struct{}
	lastMerged    map[uint64]time.Time // last merged response by origin
	followedEpoch string               // epoch of the followed control VM
	nextSweep     time.Time            // earliest time at which a record becomes silent or is removed

	stop    chan struct{}
	done    chan struct{}
	started bool
}

// New returns an empty Roster.
func New(o Options) *Roster {
	return &Roster{
		options:    o.withDefaults(),
		origin:     originFromEpoch(o.Epoch),
		records:    map[string]*record{},
		tombstones: map[string]tombstone{},
		changed:    make(chan struct{}),
		lastMerged: map[uint64]time.Time{},
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
}

// Start starts the periodic check for heartbeat timeouts, so that Changed is closed without
// a reader's call. Without Start they are detected by the next call.
func (r *Roster) Start(context.Context) error {
	r.mu.Lock()
	r.started = true
	r.mu.Unlock()
	ticker := r.options.Timer.Subscribe(sweepInterval)
	go func() {
		defer close(r.done)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C():
				r.withLock(func(time.Time) {})
			case <-r.stop:
				return
			}
		}
	}()
	return nil
}

// Stop stops the periodic check. It must be called at most once.
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

// withLock calls f with the lock held, after detecting heartbeat timeouts.
func (r *Roster) withLock(f func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Timer.Now()
	r.sweep(now)
	f(now)
}

// Announce processes a heartbeat and reports whether the target's full description is
// needed. The messages in it must not be modified afterwards. A heartbeat of a replaced
// incarnation is ignored unless that incarnation has announced itself for the whole
// heartbeat timeout while the current one was silent: a delayed heartbeat must neither
// restore a stale incarnation nor lock out a live one.
func (r *Roster) Announce(h *wire.HeartbeatRequest) (wantTarget bool) {
	name := h.GetProcess().GetName()
	if name == "" {
		return false
	}
	r.withLock(func(now time.Time) {
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
	case rec.staleBelow(p.GetIncarnation()) == 0 || r.conflictWins(now, rec, p.GetIncarnation()):
		rec.startIncarnation(now, p, r.origin)
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
		equalProcess(rec.process, p) && (target == rec.target || proto.Equal(target, rec.target))
	rec.process, rec.lastSeen, rec.silent, rec.silenceReported = p, now, false, false
	if h.GetLoad() != nil {
		rec.load, rec.loadReceivedAt = h.GetLoad(), now
	}
	r.scheduleSweep(now.Add(r.options.HeartbeatTimeout))
	if !same {
		rec.target = target
		r.assignSequence(rec, rec.sequence.generation())
		r.markChanged(name, rec)
	}
	return h.GetTargetVersion() != 0 && rec.target.GetVersion() != h.GetTargetVersion()
}

// startIncarnation prepares the record for the announcement of a new incarnation, whose
// target has no description yet.
func (r *record) startIncarnation(now time.Time, p *wire.ProcessInfo, origin uint64) {
	generation := r.maxGeneration() + 1
	r.markReplaced(r.incarnation(), generation, now)
	r.unmarkReplaced(p.GetIncarnation())
	r.sequence = newSequence(generation, 0, origin)
	r.target, r.load, r.conflicting = nil, nil, conflictingIncarnation{}
}

// conflictWins reports whether a replaced incarnation has announced itself for the
// heartbeat timeout, without a gap of half of it, while the current one was silent.
func (r *Roster) conflictWins(now time.Time, rec *record, incarnation string) bool {
	if rec.conflicting.incarnation != incarnation || now.Sub(rec.conflicting.last) >= r.options.HeartbeatTimeout/2 {
		rec.conflicting = conflictingIncarnation{incarnation: incarnation, since: now}
	}
	rec.conflicting.last = now
	return rec.silent && now.Sub(rec.conflicting.since) >= r.options.HeartbeatTimeout
}

// assignSequence assigns a unique sequence to the record's newest announcement. The counter
// belongs to the roster, because a record may take over a lower counter from a peer.
func (r *Roster) assignSequence(rec *record, generation uint64) {
	r.lastCounter++
	rec.sequence = newSequence(generation, r.lastCounter, r.origin)
}

// markChanged assigns a new version to the record and notifies the readers.
func (r *Roster) markChanged(name string, rec *record) {
	r.version++
	rec.version = r.version
	delete(r.tombstones, name)
	r.changes = append(r.changes, change{version: r.version, name: name})
	r.notify()
}

func (r *Roster) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
	if len(r.changes) > 2*(len(r.records)+len(r.tombstones))+64 {
		r.compact()
	}
}

// compact removes the superseded changes.
func (r *Roster) compact() {
	kept := r.changes[:0]
	for _, c := range r.changes {
		if r.isCurrent(c) {
			kept = append(kept, c)
		}
	}
	r.changes = kept
}

func (r *Roster) isCurrent(c change) bool {
	if rec := r.records[c.name]; rec != nil {
		return rec.version == c.version
	}
	return r.tombstones[c.name].version == c.version
}

// scheduleSweep schedules the next sweep no later than the given time.
func (r *Roster) scheduleSweep(at time.Time) {
	if r.nextSweep.IsZero() || at.Before(r.nextSweep) {
		r.nextSweep = at
	}
}

// lastConfirmed returns the last time at which this VM or the peer that receives the
// heartbeats is known to have seen the process.
func (r *Roster) lastConfirmed(now time.Time, rec *record) time.Time {
	if r.options.Follow {
		if rec.reportedBy == r.followedEpoch && !rec.silenceReported {
			return now
		}
		return rec.lastSeen
	}
	confirmed := r.lastMerged[rec.sequence.origin()]
	if !rec.silenceReported && confirmed.After(rec.lastSeen) {
		return confirmed
	}
	return rec.lastSeen
}

// sweep updates the silent state of records and removes those that exceed the removal
// timeout.
func (r *Roster) sweep(now time.Time) {
	if r.nextSweep.IsZero() || now.Before(r.nextSweep) {
		return
	}
	r.nextSweep = time.Time{}
	for name, rec := range r.records {
		age := now.Sub(r.lastConfirmed(now, rec))
		if age >= r.options.RemovalTimeout {
			r.remove(name, rec)
			continue
		}
		if silent := age >= r.options.HeartbeatTimeout; silent != rec.silent {
			r.setSilent(name, rec, silent)
		}
		rec.removeReplacedBefore(now.Add(-r.options.RemovalTimeout))
		if rec.silent {
			r.scheduleSweep(now.Add(r.options.RemovalTimeout - age))
		} else {
			r.scheduleSweep(now.Add(r.options.HeartbeatTimeout - age))
		}
	}
}

func (r *Roster) setSilent(name string, rec *record, silent bool) {
	rec.silent = silent
	rec.target = describe(rec.target, rec.process, silent, r.isDrained(rec, rec.target))
	r.markChanged(name, rec)
}

func (r *Roster) remove(name string, rec *record) {
	delete(r.records, name)
	r.version++
	r.tombstones[name] = tombstone{incarnation: rec.incarnation(), sequence: rec.sequence, version: r.version}
	r.changes = append(r.changes, change{version: r.version, name: name})
	if len(r.tombstones) > maxTombstones {
		r.dropOldestTombstones()
	}
	r.notify()
}

// dropOldestTombstones removes half of the tombstones. Readers that haven't received them
// get the full list.
func (r *Roster) dropOldestTombstones() {
	names := slices.SortedFunc(maps.Keys(r.tombstones), func(a, b string) int {
		return int(int64(r.tombstones[a].version - r.tombstones[b].version))
	})
	for _, name := range names[:len(names)/2] {
		r.oldestVersion = max(r.oldestVersion, r.tombstones[name].version)
		delete(r.tombstones, name)
	}
}

// ChangesSince returns the changes after a version, or the full list if the epoch differs
// or the version is too old. Its cost is proportional to the number of changes.
func (r *Roster) ChangesSince(version uint64, epoch string) *wire.RosterResponse {
	out := &wire.RosterResponse{Epoch: r.options.Epoch}
	r.withLock(func(now time.Time) {
		out.Version = r.version
		if epoch != r.options.Epoch || version < r.oldestVersion || version > r.version {
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

// appendChange adds the replaced incarnations and then the record, so that a reader has
// them when it compares the record with its own.
func (r *Roster) appendChange(out []*wire.RosterChange, now time.Time, name string, full bool) []*wire.RosterChange {
	rec := r.records[name]
	if rec == nil {
		if full {
			return out
		}
		gone := r.tombstones[name]
		return append(out, removedChange(name, gone.incarnation, gone.sequence))
	}
	for _, p := range rec.replacedIncarnations {
		out = append(out, removedChange(name, p.incarnation, newSequence(p.generation, 0, 0)))
	}
	return append(out, r.wireChange(rec, now.Sub(rec.lastSeen)))
}

func removedChange(name, incarnation string, s sequence) *wire.RosterChange {
	return &wire.RosterChange{
		Process:  &wire.ProcessInfo{Name: name, Incarnation: incarnation},
		Removed:  true,
		Sequence: uint64(s),
	}
}

func (r *Roster) wireChange(rec *record, silence time.Duration) *wire.RosterChange {
	return &wire.RosterChange{
		Process:  rec.process,
		Target:   rec.target,
		SilentMs: silence.Milliseconds(),
		Sequence: encodeSequence(rec.sequence, rec.silent),
	}
}

// SetDrains sets the names of the drained targets, which are treated as leaving. A control
// VM calls it after each change of the ledger's drains, so that entries receive a drain
// immediately and not only with the agent's next heartbeats. Drains aren't merged between
// control VMs, because each VM gets them from the ledger.
func (r *Roster) SetDrains(targets []string) {
	drains := make(map[string]bool, len(targets))
	for _, name := range targets {
		drains[name] = true
	}
	r.withLock(func(time.Time) {
		r.drains = drains
		for name, rec := range r.records {
			r.updateDescription(name, rec)
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

// updateDescription updates the target's description with its drain state.
func (r *Roster) updateDescription(name string, rec *record) {
	target := describe(rec.target, rec.process, rec.silent, r.isDrained(rec, rec.target))
	if target != rec.target {
		rec.target = target
		r.markChanged(name, rec)
	}
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Targets returns the targets of a service, sorted by name, including those that are
// leaving, silent or not ready. The messages must not be modified.
func (r *Roster) Targets(service string) []*wire.TargetInfo {
	var out []*wire.TargetInfo
	r.withLock(func(time.Time) {
		for _, rec := range r.records {
			if rec.target != nil && rec.target.GetService() == service {
				out = append(out, rec.target)
			}
		}
	})
	slices.SortFunc(out, func(a, b *wire.TargetInfo) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}

// Processes returns all processes, sorted by name. Their silent_ms is the time since this
// VM or the peer that receives the heartbeats confirmed the process. The messages must not
// be modified.
func (r *Roster) Processes() []*wire.RosterChange {
	var out []*wire.RosterChange
	r.withLock(func(now time.Time) {
		for _, rec := range r.records {
			out = append(out, r.wireChange(rec, now.Sub(r.lastConfirmed(now, rec))))
		}
	})
	slices.SortFunc(out, func(a, b *wire.RosterChange) int {
		return strings.Compare(a.GetProcess().GetName(), b.GetProcess().GetName())
	})
	return out
}

// Load returns the newest load report of a process and the time when this VM received it,
// directly or from a peer by MergeLoads. Load reports aren't part of versions or deltas.
func (r *Roster) Load(name string) (load *wire.LoadReport, at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[name]
	if rec == nil || rec.load == nil {
		return nil, time.Time{}, false
	}
	return rec.load, rec.loadReceivedAt, true
}

// Loads returns the load reports of the processes whose heartbeats this VM receives, sorted
// by name. Those of silent processes are omitted.
func (r *Roster) Loads() []*wire.ProcessLoad {
	var out []*wire.ProcessLoad
	r.withLock(func(time.Time) {
		for name, rec := range r.records {
			if rec.load != nil && !rec.silent && rec.sequence.origin() == r.origin {
				out = append(out, &wire.ProcessLoad{Process: name, Load: rec.load})
			}
		}
	})
	slices.SortFunc(out, func(a, b *wire.ProcessLoad) int { return strings.Compare(a.GetProcess(), b.GetProcess()) })
	return out
}

// MergeLoads merges the load reports of a peer, except those of processes whose heartbeats
// this VM receives itself.
func (r *Roster) MergeLoads(loads []*wire.ProcessLoad) {
	r.withLock(func(now time.Time) {
		for _, l := range loads {
			if rec := r.records[l.GetProcess()]; rec != nil && rec.sequence.origin() != r.origin {
				rec.load, rec.loadReceivedAt = l.GetLoad(), now
			}
		}
	})
}
