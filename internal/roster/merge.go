package roster

import (
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Merge merges a response of ChangesSince from a peer control VM or, with Options.Follow,
// from the followed control VM. The ages in it are relative to the current time, so the
// caller must discard a response received more than about a second after it was sent, for
// example because its process was frozen.
func (r *Roster) Merge(response *wire.RosterResponse) {
	if response.GetEpoch() == r.options.Epoch {
		return
	}
	r.withLock(func(now time.Time) {
		origin := originFromEpoch(response.GetEpoch())
		if r.options.Follow {
			r.follow(now, response)
		}
		r.lastMerged[origin] = now
		for changes := response.GetChanges(); len(changes) > 0; {
			n := announcementLength(changes)
			r.mergeAnnouncement(now, changes[:n-1], changes[n-1], response.GetEpoch())
			changes = changes[n:]
		}
		r.removeOldSources(now)
		// Records that became silent while the peer was unreachable are confirmed again.
		r.nextSweep = now
		r.sweep(now)
	})
}

// follow records the epoch of the followed control VM. Records missing from a full list
// count as seen now, so that they become silent after the heartbeat timeout unless the
// control VM, which may just have restarted, receives their heartbeats.
func (r *Roster) follow(now time.Time, response *wire.RosterResponse) {
	if !response.GetFull() && response.GetEpoch() == r.followedEpoch {
		return
	}
	r.followedEpoch = response.GetEpoch()
	for _, rec := range r.records {
		rec.reportedBy = ""
		if !rec.silent {
			rec.lastSeen = now
		}
	}
}

func (r *Roster) removeOldSources(now time.Time) {
	for origin, at := range r.lastMerged {
		if now.Sub(at) > r.options.RemovalTimeout {
			delete(r.lastMerged, origin)
		}
	}
}

// announcementLength returns how many of the first changes form one announcement: the
// replaced incarnations of a process followed by its record.
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
	peerSequence, silent := decodeSequence(c.GetSequence())
	switch {
	case c.GetRemoved():
		if r.options.Follow && rec != nil && rec.sequence == peerSequence {
			r.remove(name, rec)
		}
		return
	case rec == nil && silent && silenceDuration(c) >= r.options.RemovalTimeout:
		return
	case rec == nil:
		rec = &record{}
		r.records[name] = rec
		r.accept(now, name, rec, c, epoch)
	case rec.sequence == peerSequence:
		r.mergeSame(now, name, rec, c, epoch)
	case r.prefers(now, rec, c, replaced):
		r.accept(now, name, rec, c, epoch)
	default:
		r.reject(now, name, rec, c)
	}
	r.mergeReplaced(now, name, rec, replaced)
}

// mergeReplaced records the incarnations that the peer lists as replaced.
func (r *Roster) mergeReplaced(now time.Time, name string, rec *record, replaced []*wire.RosterChange) {
	changed := false
	for _, c := range replaced {
		peerSequence, _ := decodeSequence(c.GetSequence())
		if c.GetProcess().GetIncarnation() != rec.incarnation() {
			changed = rec.markReplaced(c.GetProcess().GetIncarnation(), peerSequence.generation(), now) || changed
		}
	}
	if changed {
		r.markChanged(name, rec)
	}
}

// isReplaced reports whether the peer lists the record's incarnation as replaced.
func isReplaced(replaced []*wire.RosterChange, rec *record) bool {
	return slices.ContainsFunc(replaced, func(c *wire.RosterChange) bool {
		peerSequence, _ := decodeSequence(c.GetSequence())
		return c.GetProcess().GetIncarnation() == rec.incarnation() && peerSequence.generation() > rec.sequence.generation()
	})
}

// mergeSame merges another report of a known announcement. Only the VM that receives the
// process's heartbeats can provide new information about it: an echo through another peer
// is ignored. A follower accepts what its followed VM reports.
func (r *Roster) mergeSame(now time.Time, name string, rec *record, c *wire.RosterChange, epoch string) {
	peerSequence, silent := decodeSequence(c.GetSequence())
	if !r.options.Follow && peerSequence.origin() != originFromEpoch(epoch) {
		return
	}
	rec.reportedBy = epoch
	rec.silenceReported = silent
	if silent {
		rec.lastSeen = now.Add(-silenceDuration(c))
	}
	if rec.silent != silent {
		r.setSilent(name, rec, silent)
	}
	rec.drained = isDrained(c)
	r.updateDescription(name, rec)
}

// isDrained reports whether the target is leaving although its process isn't.
func isDrained(c *wire.RosterChange) bool {
	return c.GetTarget().GetLeaving() && !c.GetProcess().GetLeaving()
}

// prefers reports whether the change is newer than the record. A replaced incarnation is
// never newer, one that replaced the record's incarnation always is, and otherwise the one
// seen last is newer. A follower accepts what its followed VM reports, except for stale
// incarnations, which are never restored.
func (r *Roster) prefers(now time.Time, rec *record, c *wire.RosterChange, replaced []*wire.RosterChange) bool {
	peerSequence, _ := decodeSequence(c.GetSequence())
	if peerSequence.generation() < rec.staleBelow(c.GetProcess().GetIncarnation()) {
		return false
	}
	if r.options.Follow || isReplaced(replaced, rec) {
		return true
	}
	if age := now.Sub(rec.lastSeen).Milliseconds(); age != c.GetSilentMs() {
		return c.GetSilentMs() < age
	}
	return peerSequence > rec.sequence
}

// accept replaces the record's announcement by that of the change.
func (r *Roster) accept(now time.Time, name string, rec *record, c *wire.RosterChange, epoch string) {
	old, maxGeneration := rec.incarnation(), rec.maxGeneration()
	rec.process = c.GetProcess()
	rec.sequence, rec.silent = decodeSequence(c.GetSequence())
	rec.silenceReported = rec.silent && (r.options.Follow || rec.sequence.origin() == originFromEpoch(epoch))
	rec.drained = isDrained(c)
	rec.target = describe(c.GetTarget(), rec.process, rec.silent, r.isDrained(rec, c.GetTarget()))
	rec.reportedBy = epoch
	if seen := now.Add(-silenceDuration(c)); r.options.Follow || old != rec.incarnation() || seen.After(rec.lastSeen) {
		rec.lastSeen = seen
	}
	if old != rec.incarnation() {
		// A follower may have switched to a VM that lags behind, so a change of its
		// response doesn't show which incarnation is newer.
		if !r.options.Follow {
			rec.markReplaced(old, max(maxGeneration+1, rec.sequence.generation()), now)
		}
		rec.unmarkReplaced(rec.incarnation())
		rec.load, rec.conflicting = nil, conflictingIncarnation{}
	}
	r.markChanged(name, rec)
}

// reject retains the record. A VM that receives the process's heartbeats then announces its
// own record again, because the peer may have preferred the other one and would otherwise
// not receive it.
func (r *Roster) reject(now time.Time, name string, rec *record, c *wire.RosterChange) {
	peerSequence, _ := decodeSequence(c.GetSequence())
	other := c.GetProcess().GetIncarnation()
	if peerSequence.generation() < rec.staleBelow(other) {
		return
	}
	generation := max(peerSequence.generation(), rec.maxGeneration())
	if other != rec.incarnation() {
		generation++
		rec.markReplaced(other, generation, now)
	}
	if rec.sequence.origin() == r.origin && !rec.silent {
		r.assignSequence(rec, generation)
		r.markChanged(name, rec)
	}
}

func silenceDuration(c *wire.RosterChange) time.Duration {
	return time.Duration(max(c.GetSilentMs(), 0)) * time.Millisecond
}
