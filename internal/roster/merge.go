package roster

import (
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Merge takes an answer of Since from a peer control VM or, when following, from
// the control VM that is followed. The ages in it count from now, so the caller
// must drop an answer that it got more than about a second after it was sent,
// for example because its process was frozen.
func (r *Roster) Merge(response *wire.RosterResponse) {
	if response.GetEpoch() == r.options.Epoch {
		return
	}
	r.locked(func(now time.Time) {
		origin := originOf(response.GetEpoch())
		if r.options.Follow {
			r.follow(now, response)
		}
		r.sources[origin] = now
		for changes := response.GetChanges(); len(changes) > 0; {
			n := announcementLength(changes)
			r.mergeAnnouncement(now, changes[:n-1], changes[n-1], response.GetEpoch())
			changes = changes[n:]
		}
		r.forgetSources(now)
		// Records that became silent while the peer was out of reach are confirmed again.
		r.due = now
		r.sweep(now)
	})
}

// follow notes the control VM that is followed. Records that a full list
// doesn't contain count as seen now, so that they become silent after the bound
// unless the control VM, perhaps just restarted, learns of them.
func (r *Roster) follow(now time.Time, response *wire.RosterResponse) {
	if !response.GetFull() && response.GetEpoch() == r.source {
		return
	}
	r.source = response.GetEpoch()
	for _, rec := range r.records {
		rec.listed = ""
		if !rec.silent {
			rec.lastSeen = now
		}
	}
}

func (r *Roster) forgetSources(now time.Time) {
	for origin, at := range r.sources {
		if now.Sub(at) > r.options.RemovalTimeout {
			delete(r.sources, origin)
		}
	}
}

// announcementLength returns how many of the first changes belong together: the
// replaced incarnations of a process and then its record.
func announcementLength(changes []*wire.RosterChange) int {
	name := changes[0].GetProcess().GetName()
	n := 1
	for n < len(changes) && changes[n-1].GetRemoved() && changes[n].GetProcess().GetName() == name {
		n++
	}
	return n
}

func (r *Roster) mergeAnnouncement(now time.Time, replaced []*wire.RosterChange, c *wire.RosterChange, epoch string) {
	name := c.GetProcess().GetName()
	if name == "" {
		return
	}
	rec := r.records[name]
	theirs, silent := split(c.GetSequence())
	switch {
	case c.GetRemoved():
		if r.options.Follow && rec != nil && rec.sequence == theirs {
			r.remove(name, rec)
		}
		return
	case rec == nil && silent && silentFor(c) >= r.options.RemovalTimeout:
		return
	case rec == nil:
		rec = &record{}
		r.records[name] = rec
		r.adopt(now, name, rec, c, epoch)
	case rec.sequence == theirs:
		r.mergeSame(now, name, rec, c, epoch)
	case r.prefers(now, rec, c, replaced):
		r.adopt(now, name, rec, c, epoch)
	default:
		r.reject(now, name, rec, c)
	}
	r.mergeReplaced(now, name, rec, replaced)
}

// mergeReplaced remembers the incarnations that the peer knows to be replaced.
func (r *Roster) mergeReplaced(now time.Time, name string, rec *record, replaced []*wire.RosterChange) {
	learnt := false
	for _, c := range replaced {
		theirs, _ := split(c.GetSequence())
		if c.GetProcess().GetIncarnation() != rec.incarnation() {
			learnt = rec.replace(c.GetProcess().GetIncarnation(), theirs.generation(), now) || learnt
		}
	}
	if learnt {
		r.touch(name, rec)
	}
}

// supersedes reports whether the peer knows that the record's incarnation was replaced.
func supersedes(replaced []*wire.RosterChange, rec *record) bool {
	return slices.ContainsFunc(replaced, func(c *wire.RosterChange) bool {
		theirs, _ := split(c.GetSequence())
		return c.GetProcess().GetIncarnation() == rec.incarnation() && theirs.generation() > rec.sequence.generation()
	})
}

// mergeSame takes another report of the announcement that is already known.
// Only the VM that gets the process's heartbeats can tell more about it: an echo
// through another peer says nothing new. A follower takes over what the VM that
// it follows says.
func (r *Roster) mergeSame(now time.Time, name string, rec *record, c *wire.RosterChange, epoch string) {
	theirs, silent := split(c.GetSequence())
	if !r.options.Follow && theirs.origin() != originOf(epoch) {
		return
	}
	rec.listed = epoch
	rec.reported = silent
	if silent {
		rec.lastSeen = now.Add(-silentFor(c))
	}
	if rec.silent != silent {
		r.setSilent(name, rec, silent)
	}
	rec.drained = isDrained(c)
	r.redescribe(name, rec)
}

// isDrained reports whether the target leaves although its process doesn't.
func isDrained(c *wire.RosterChange) bool {
	return c.GetTarget().GetLeaving() && !c.GetProcess().GetLeaving()
}

// prefers reports whether the change is newer than the record: a replaced
// incarnation never is, one that replaced the record's is, and otherwise the
// one that was seen last. A follower takes over what its VM says, except
// that a stale incarnation never comes back.
func (r *Roster) prefers(now time.Time, rec *record, c *wire.RosterChange, replaced []*wire.RosterChange) bool {
	theirs, _ := split(c.GetSequence())
	if theirs.generation() < rec.replaced(c.GetProcess().GetIncarnation()) {
		return false
	}
	if r.options.Follow || supersedes(replaced, rec) {
		return true
	}
	if ours := now.Sub(rec.lastSeen).Milliseconds(); ours != c.GetSilentMs() {
		return c.GetSilentMs() < ours
	}
	return theirs > rec.sequence
}

// adopt replaces the record's announcement by that of the change.
func (r *Roster) adopt(now time.Time, name string, rec *record, c *wire.RosterChange, epoch string) {
	old, top := rec.incarnation(), rec.top()
	rec.process = c.GetProcess()
	rec.sequence, rec.silent = split(c.GetSequence())
	rec.reported = rec.silent && (r.options.Follow || rec.sequence.origin() == originOf(epoch))
	rec.drained = isDrained(c)
	rec.target = describe(c.GetTarget(), rec.process, rec.silent, r.isDrained(rec, c.GetTarget()))
	rec.listed = epoch
	if seen := now.Add(-silentFor(c)); r.options.Follow || old != rec.incarnation() || seen.After(rec.lastSeen) {
		rec.lastSeen = seen
	}
	if old != rec.incarnation() {
		// A follower may just have changed to a VM that lags behind, so a change
		// of its answer says nothing about which incarnation is the newer one.
		if !r.options.Follow {
			rec.replace(old, max(top+1, rec.sequence.generation()), now)
		}
		rec.revive(rec.incarnation())
		rec.load, rec.rival = nil, rival{}
	}
	r.touch(name, rec)
}

// reject keeps the record. A VM that gets the process's heartbeats then announces
// its own record again, because the peer may have preferred the other one and
// wouldn't otherwise be told.
func (r *Roster) reject(now time.Time, name string, rec *record, c *wire.RosterChange) {
	theirs, _ := split(c.GetSequence())
	other := c.GetProcess().GetIncarnation()
	if theirs.generation() < rec.replaced(other) {
		return
	}
	generation := max(theirs.generation(), rec.top())
	if other != rec.incarnation() {
		generation++
		rec.replace(other, generation, now)
	}
	if rec.sequence.origin() == r.origin && !rec.silent {
		r.stamp(rec, generation)
		r.touch(name, rec)
	}
}

func silentFor(c *wire.RosterChange) time.Duration {
	return time.Duration(max(c.GetSilentMs(), 0)) * time.Millisecond
}
