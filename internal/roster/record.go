package roster

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// replacedIncarnation is an incarnation that was replaced.
type replacedIncarnation struct {
	incarnation string
	generation  uint64 // announcements of a lower generation are stale
	replacedAt  time.Time
}

// conflictingIncarnation is a replaced incarnation that still announces itself.
type conflictingIncarnation struct {
	incarnation string
	since       time.Time
	last        time.Time
}

// record is the state of one process. The stored messages are never modified, because
// readers access them without a lock.
type record struct {
	process        *wire.ProcessInfo
	target         *wire.TargetInfo
	load           *wire.LoadReport
	loadReceivedAt time.Time
	sequence       sequence
	lastSeen       time.Time // last heartbeat known to this process
	silent         bool
	// silenceReported is set when the origin itself reported the process as silent.
	silenceReported bool
	// reportedBy is the epoch of the control VM that last reported the record; used with
	// Options.Follow.
	reportedBy string
	// drained is set when the followed control VM reports the target as drained.
	drained              bool
	version              uint64
	replacedIncarnations []replacedIncarnation
	conflicting          conflictingIncarnation
}

func (r *record) incarnation() string { return r.process.GetIncarnation() }

// staleBelow returns the generation below which announcements of an incarnation are stale,
// or 0 if it wasn't replaced.
func (r *record) staleBelow(incarnation string) uint64 {
	for _, p := range r.replacedIncarnations {
		if p.incarnation == incarnation {
			return p.generation
		}
	}
	return 0
}

// markReplaced records that an incarnation was replaced and reports whether the record
// changed.
func (r *record) markReplaced(incarnation string, generation uint64, at time.Time) bool {
	if incarnation == "" || r.staleBelow(incarnation) >= generation {
		return false
	}
	r.replacedIncarnations = slices.DeleteFunc(slices.Clone(r.replacedIncarnations), func(p replacedIncarnation) bool { return p.incarnation == incarnation })
	r.replacedIncarnations = append(r.replacedIncarnations, replacedIncarnation{incarnation: incarnation, generation: generation, replacedAt: at})
	r.replacedIncarnations = r.replacedIncarnations[max(0, len(r.replacedIncarnations)-maxReplaced):]
	return true
}

// maxGeneration returns the highest generation in the record.
func (r *record) maxGeneration() uint64 {
	highest := r.sequence.generation()
	for _, p := range r.replacedIncarnations {
		highest = max(highest, p.generation)
	}
	return highest
}

// unmarkReplaced removes an incarnation from the replaced ones, because it is current
// again.
func (r *record) unmarkReplaced(incarnation string) {
	r.replacedIncarnations = slices.DeleteFunc(slices.Clone(r.replacedIncarnations), func(p replacedIncarnation) bool { return p.incarnation == incarnation })
}

// removeReplacedBefore removes the incarnations that were replaced before the given time.
func (r *record) removeReplacedBefore(before time.Time) {
	for len(r.replacedIncarnations) > 0 && r.replacedIncarnations[0].replacedAt.Before(before) {
		r.replacedIncarnations = r.replacedIncarnations[1:]
	}
}

// describe returns the target's description, updated with the state that the process itself
// announces. A drained target is treated as leaving. If nothing differs, t itself is
// returned.
func describe(t *wire.TargetInfo, p *wire.ProcessInfo, silent, drained bool) *wire.TargetInfo {
	if t == nil {
		return nil
	}
	leaving := p.GetLeaving() || drained
	if t.GetIncarnation() == p.GetIncarnation() && t.GetAgentAddress() == p.GetAddress() && t.GetLeaving() == leaving &&
		t.GetReady() == p.GetReady() && t.GetSilent() == silent && t.GetFailureDomain() == p.GetFailureDomain() && t.GetRegion() == p.GetRegion() {
		return t
	}
	c := proto.CloneOf(t)
	c.Incarnation = p.GetIncarnation()
	c.AgentAddress = p.GetAddress()
	c.FailureDomain = p.GetFailureDomain()
	c.Region = p.GetRegion()
	c.Leaving = leaving
	c.Ready = p.GetReady()
	c.Silent = silent
	return c
}

// IsSilent reports whether no heartbeat of a process was received for
// DefaultHeartbeatTimeout.
func IsSilent(c *wire.RosterChange) bool {
	return time.Duration(c.GetSilentMs())*time.Millisecond >= DefaultHeartbeatTimeout
}

// equalProcess reports whether two announcements differ at most in the revision. The
// revision isn't part of roster versions, because each configuration change would otherwise
// send every process to every reader.
func equalProcess(a, b *wire.ProcessInfo) bool {
	return a.GetIncarnation() == b.GetIncarnation() && a.GetRole() == b.GetRole() && a.GetAddress() == b.GetAddress() &&
		a.GetFailureDomain() == b.GetFailureDomain() && a.GetRegion() == b.GetRegion() &&
		a.GetLeaving() == b.GetLeaving() && a.GetReady() == b.GetReady()
}
