package roster

import (
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
		for _, c := range response.GetChanges() {
			r.mergeChange(now, c, response.GetEpoch())
		}
		r.forgetSources(now)
		// Records that fell silent while the peer was out of reach are vouched for again.
		r.due = now
		r.sweep(now)
	})
}

// follow notes the control VM that is followed. Records that a full list
// doesn't contain count as heard now, so that they fall silent after the bound
// unless the control VM, perhaps just restarted, hears of them.
func (r *Roster) follow(now time.Time, response *wire.RosterResponse) {
	if !response.GetFull() && response.GetEpoch() == r.source {
		return
	}
	r.source = response.GetEpoch()
	for _, rec := range r.records {
		rec.listed = ""
		if !rec.silent {
			rec.heard = now
		}
	}
}

func (r *Roster) forgetSources(now time.Time) {
	for origin, at := range r.sources {
		if now.Sub(at) > r.options.Removal {
			delete(r.sources, origin)
		}
	}
}

func (r *Roster) mergeChange(now time.Time, c *wire.RosterChange, epoch string) {
	name := c.GetProcess().GetName()
	if name == "" {
		return
	}
	rec := r.records[name]
	if c.GetRemoved() {
		r.mergeRemoved(now, name, rec, c)
		return
	}
	if rec == nil {
		if c.GetSilentMs() >= r.options.Removal.Milliseconds() {
			return
		}
		rec = &record{process: c.GetProcess()}
		r.records[name] = rec
		r.adopt(now, name, rec, c, epoch)
		return
	}
	if uint64(rec.sequence) == c.GetSequence() {
		r.mergeSame(now, name, rec, c, epoch)
		return
	}
	if r.prefers(now, rec, c) {
		r.adopt(now, name, rec, c, epoch)
		return
	}
	r.reject(now, name, rec, c)
}

// mergeRemoved takes the end of a process or of one of its incarnations.
func (r *Roster) mergeRemoved(now time.Time, name string, rec *record, c *wire.RosterChange) {
	switch {
	case rec == nil:
	case rec.incarnation() != c.GetProcess().GetIncarnation():
		rec.replace(c.GetProcess().GetIncarnation(), sequence(c.GetSequence()).generation(), now)
	case r.options.Follow && uint64(rec.sequence) == c.GetSequence():
		r.remove(name, rec)
	}
}

// mergeSame takes another report of the announcement that is already known.
// Only the VM that hears the process can tell more about it: an echo through
// another peer says nothing new. A follower believes the VM that it follows.
func (r *Roster) mergeSame(now time.Time, name string, rec *record, c *wire.RosterChange, epoch string) {
	rec.listed = epoch
	if !r.options.Follow && rec.sequence.origin() != originOf(epoch) {
		return
	}
	silent := r.isSilent(c)
	rec.reported = silent
	if silent {
		rec.heard = now.Add(-silentFor(c))
	}
	if rec.silent != silent {
		r.setSilent(name, rec, silent)
	}
}

// prefers reports whether the change is newer than the record: by generation,
// then by the age of the last heartbeat, then by sequence. A follower believes
// the VM that it follows, except that a stale incarnation never comes back.
func (r *Roster) prefers(now time.Time, rec *record, c *wire.RosterChange) bool {
	theirs := sequence(c.GetSequence())
	if theirs.generation() < rec.replaced(c.GetProcess().GetIncarnation()) {
		return false
	}
	if r.options.Follow {
		return true
	}
	if theirs.generation() != rec.sequence.generation() {
		return theirs.generation() > rec.sequence.generation()
	}
	if ours := r.silentMS(now, rec); ours != c.GetSilentMs() {
		return c.GetSilentMs() < ours
	}
	return theirs > rec.sequence
}

// adopt replaces the record's announcement by that of the change.
func (r *Roster) adopt(now time.Time, name string, rec *record, c *wire.RosterChange, epoch string) {
	old := rec.incarnation()
	rec.process = c.GetProcess()
	rec.sequence = sequence(c.GetSequence())
	if heard := now.Add(-silentFor(c)); r.options.Follow || old != rec.incarnation() || heard.After(rec.heard) {
		rec.heard = heard
	}
	rec.silent = r.isSilent(c)
	rec.reported = rec.silent && (r.options.Follow || rec.sequence.origin() == originOf(epoch))
	rec.target = describe(c.GetTarget(), rec.process, rec.silent)
	rec.listed = epoch
	if old != rec.incarnation() {
		rec.replace(old, rec.sequence.generation(), now)
		rec.load, rec.rival = nil, rival{}
	}
	r.touch(name, rec)
}

// reject keeps the record. A VM that hears the process itself then announces
// its own record again, because the peer may have preferred the other one and
// wouldn't otherwise be told.
func (r *Roster) reject(now time.Time, name string, rec *record, c *wire.RosterChange) {
	other := c.GetProcess().GetIncarnation()
	theirs := sequence(c.GetSequence())
	if other != rec.incarnation() && theirs.generation() <= rec.sequence.generation() {
		rec.replace(other, rec.sequence.generation(), now)
	}
	if rec.sequence.origin() == r.origin && !rec.silent && theirs.generation() == rec.sequence.generation() {
		r.stamp(rec)
		r.touch(name, rec)
	}
}

func (r *Roster) isSilent(c *wire.RosterChange) bool {
	return c.GetSilentMs() >= r.options.Silence.Milliseconds()
}

func silentFor(c *wire.RosterChange) time.Duration {
	return time.Duration(max(c.GetSilentMs(), 0)) * time.Millisecond
}
