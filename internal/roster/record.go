package roster

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// past is an incarnation that was replaced.
type past struct {
	incarnation string
	generation  uint64 // announcements of a lower generation are stale
	at          time.Time
}

// rival is a replaced incarnation that still announces itself.
type rival struct {
	incarnation string
	since       time.Time
	last        time.Time
}

// record is what is known of one process. The messages are never changed once
// they're stored, because readers hold them without a lock.
type record struct {
	process  *wire.ProcessInfo
	target   *wire.TargetInfo
	load     *wire.LoadReport
	loadAt   time.Time
	sequence sequence
	lastSeen time.Time // last heartbeat, as far as it is known here
	silent   bool
	// reported is set when the origin itself reported the silence.
	reported bool
	// listed is the epoch of the control VM that last reported the record; used when following.
	listed string
	// drained is set when the followed control VM reports the target as drained.
	drained bool
	version uint64
	past    []past
	rival   rival
}

func (r *record) incarnation() string { return r.process.GetIncarnation() }

// replaced returns the generation below which announcements of an incarnation
// are stale, or 0 when it wasn't replaced.
func (r *record) replaced(incarnation string) uint64 {
	for _, p := range r.past {
		if p.incarnation == incarnation {
			return p.generation
		}
	}
	return 0
}

// replace remembers that an incarnation was replaced and reports whether that's new.
func (r *record) replace(incarnation string, generation uint64, at time.Time) bool {
	if incarnation == "" || r.replaced(incarnation) >= generation {
		return false
	}
	r.past = slices.DeleteFunc(slices.Clone(r.past), func(p past) bool { return p.incarnation == incarnation })
	r.past = append(r.past, past{incarnation: incarnation, generation: generation, at: at})
	r.past = r.past[max(0, len(r.past)-maxPast):]
	return true
}

// top returns the highest generation that the record has seen.
func (r *record) top() uint64 {
	top := r.sequence.generation()
	for _, p := range r.past {
		top = max(top, p.generation)
	}
	return top
}

// revive removes an incarnation from the replaced ones, because it's the current one again.
func (r *record) revive(incarnation string) {
	r.past = slices.DeleteFunc(slices.Clone(r.past), func(p past) bool { return p.incarnation == incarnation })
}

// forget drops the replaced incarnations that are older than a time.
func (r *record) forget(before time.Time) {
	for len(r.past) > 0 && r.past[0].at.Before(before) {
		r.past = r.past[1:]
	}
}

// describe returns the target's description with what the process itself
// announces; a drained target counts as leaving. The description is shared when
// nothing differs.
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

// IsSilent reports whether a process has not been heard for DefaultSilence.
func IsSilent(c *wire.RosterChange) bool {
	return time.Duration(c.GetSilentMs())*time.Millisecond >= DefaultHeartbeatTimeout
}

// sameProcess reports whether two announcements differ at most in the revision,
// which isn't part of roster versions: each configuration change would
// otherwise send every process to every reader.
func sameProcess(a, b *wire.ProcessInfo) bool {
	return a.GetIncarnation() == b.GetIncarnation() && a.GetRole() == b.GetRole() && a.GetAddress() == b.GetAddress() &&
		a.GetFailureDomain() == b.GetFailureDomain() && a.GetRegion() == b.GetRegion() &&
		a.GetLeaving() == b.GetLeaving() && a.GetReady() == b.GetReady()
}
