package pacing

import (
	"slices"
	"time"
)

const (
	// arrivalMargin is the number of requests of a second that is left unused for those that
	// take different times on the way, so that they arrive closer together than they were sent.
	arrivalMargin = 2.0
	// coldBurst is the number of requests that each sender may send at once. A little more than
	// one keeps what is earned while a full sender waits for its next request.
	coldBurst = 1.25
	// soleRate is the least rate of the only sender to a target whose bound leaves no room for a
	// burst: two requests are more than a second apart.
	soleRate = 0.8
	// beginHold is the time for which nothing is sent to a target that turns cold in use: a second
	// in which the requests before count, and the time until all gateways have heard of it.
	beginHold = time.Second + 700*time.Millisecond

	// contactLease is the time after a watch for which its answer's list of gateways is good
	// enough to send to cold targets.
	contactLease = 2500 * time.Millisecond
	// watchGap is the time between two watches after which a control VM may have dropped this
	// gateway from its list, which it does after 1.5 s.
	watchGap = 1300 * time.Millisecond
	// joinTime is the time for which a gateway is listed before it sends to cold targets: the
	// lists without it are no longer used then. Lists are up to 100 ms old.
	joinTime = contactLease + 200*time.Millisecond
	// leaveTime is the time for which a gateway that is no longer listed keeps its place: it is
	// dropped 1.5 s after its last watch, and may send until contactLease after it.
	leaveTime = contactLease - 1300*time.Millisecond
	// sourceRetention is how long a control VM is remembered that doesn't answer.
	sourceRetention = time.Minute
)

// ColdBounds are the bounds of the requests of any second to a cold target, from all gateways
// together: the rate that it takes, times Overshoot, plus Slack.
type ColdBounds struct {
	Overshoot float64
	Slack     float64
}

// ColdLimit is the limit of a target while it is cold.
type ColdLimit struct {
	perSecond float64
	bounds    ColdBounds
}

// NewColdLimit returns the limit of targets that take a number of requests a second while they
// are cold.
func NewColdLimit(perSecond float64, b ColdBounds) ColdLimit {
	return ColdLimit{perSecond: perSecond, bounds: b}
}

// PerSecond returns the requests a second that the target takes.
func (l ColdLimit) PerSecond() float64 { return l.perSecond }

// Bound returns the most requests that the target may get within any second.
func (l ColdLimit) Bound() float64 { return l.perSecond*l.bounds.Overshoot + l.bounds.Slack }

// split returns how the limit is divided: what the rate leaves of the bound is for bursts.
func (l ColdLimit) split() split {
	budget, rate := l.Bound()-arrivalMargin, usableShare*l.perSecond
	burst := budget - rate
	if burst < 1 {
		return split{perSecond: min(rate, max(budget-1, soleRate)), senders: 1, burst: 1}
	}
	return split{perSecond: rate, senders: max(int(burst/coldBurst), 1), burst: burst}
}

// ColdTarget is an incarnation of a target that is cold.
type ColdTarget struct {
	target string
	bornMs int64
	limit  ColdLimit
	until  time.Time
	inUse  bool
}

// NewColdTarget returns a ColdTarget. inUse says whether requests may have been sent to the
// incarnation before it turned cold.
func NewColdTarget(target string, bornMs int64, l ColdLimit, until time.Time, inUse bool) ColdTarget {
	return ColdTarget{target: target, bornMs: bornMs, limit: l, until: until, inUse: inUse}
}

// ColdReason is why the limit of a cold target begins or ends at a process.
type ColdReason string

// Reasons of the limits of cold targets. The first two begin one.
const (
	ColdStarted   ColdReason = "started"     // known as cold since it is known
	ColdTurned    ColdReason = "turned_cold" // was in use before
	ColdElapsed   ColdReason = "elapsed"     // the time is over
	ColdWithdrawn ColdReason = "withdrawn"   // warm earlier, gone, or no longer limited by the catalog
)

// Begins reports whether a limit begins.
func (r ColdReason) Begins() bool { return r == ColdStarted || r == ColdTurned }

// coldEntry is a limit of a cold target that holds here.
type coldEntry struct {
	ColdTarget
	id       uint64    // identifies the limit, so that a Pace begins anew with it
	rate     float64   // the stricter one of this limit and the one that the target names
	part     part      // of this gateway, while it is in contact
	sendFrom time.Time // since when this gateway has its part
}

// OnCold sets the function that is called when the limit of a cold target begins or ends, with
// the time that it is still cold, this gateway's part and the number of senders. It must not call
// the Register.
func (r *Register) OnCold(f func(target string, reason ColdReason, left time.Duration, partPerSecond float64, senders int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onCold = f
}

// SyncCold replaces the cold targets. Limits whose time is over end without it.
func (r *Register) SyncCold(list []ColdTarget, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(list) == 0 && len(r.cold) == 0 {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, t := range list {
		if t.until.After(now) && !listed[t.target] {
			listed[t.target] = true
			r.setCold(t, now)
		}
	}
	for target, c := range r.cold {
		if !listed[target] {
			r.endCold(c, now)
		}
	}
}

// setCold begins or updates a limit; r.mu is held.
func (r *Register) setCold(t ColdTarget, now time.Time) {
	c := r.cold[t.target]
	if c != nil && (c.bornMs != t.bornMs || !c.until.After(now)) {
		r.endCold(c, now)
		c = nil
	}
	if c != nil {
		changed := c.limit != t.limit
		c.until, c.limit = t.until, t.limit
		if changed {
			r.refreshCold(c, now)
		}
		return
	}
	r.colds++
	c = &coldEntry{ColdTarget: t, id: r.colds, sendFrom: now}
	reason := ColdStarted
	if t.inUse {
		reason, c.sendFrom = ColdTurned, now.Add(beginHold)
	}
	r.cold[t.target] = c
	r.limited.Add(1)
	r.refreshCold(c, now)
	r.onCold(t.target, reason, t.until.Sub(now), c.part.perSecond, c.part.senders)
}

// endCold ends a limit; r.mu is held.
func (r *Register) endCold(c *coldEntry, now time.Time) {
	delete(r.cold, c.target)
	r.limited.Add(-1)
	reason := ColdWithdrawn
	if !c.until.After(now) {
		reason = ColdElapsed
	}
	r.onCold(c.target, reason, max(c.until.Sub(now), 0), c.part.perSecond, c.part.senders)
}

// refreshCold computes this gateway's part of a limit; r.mu is held. If the target names a limit
// as well, the stricter rate holds, with the fewer senders and the smaller bursts.
func (r *Register) refreshCold(c *coldEntry, now time.Time) {
	s := c.limit.split()
	c.rate = c.limit.perSecond
	if e := r.entries[c.target]; e != nil && e.isLimited() && e.bornMs == c.bornMs {
		c.rate = min(c.rate, e.rate())
		s = s.stricter(namedSplit(c.rate))
	}
	wasSender := c.part.perSecond > 0
	c.part = r.computePart(c.target, s, r.places)
	if !wasSender && c.part.perSecond > 0 {
		c.sendFrom = later(c.sendFrom, now)
	}
}

// refreshPlaces computes the gateways among which the senders to cold targets are chosen; r.mu is
// held. Those that have left the lists keep their places for leaveTime.
func (r *Register) refreshPlaces(now time.Time) {
	places := slices.Clone(r.members)
	r.nextLeave = time.Time{}
	for id, at := range r.left {
		end := at.Add(leaveTime)
		if !now.Before(end) {
			delete(r.left, id)
			continue
		}
		places = append(places, id)
		if r.nextLeave.IsZero() || end.Before(r.nextLeave) {
			r.nextLeave = end
		}
	}
	slices.Sort(places)
	if slices.Equal(places, r.places) {
		return
	}
	r.places = places
	for _, c := range r.cold {
		r.refreshCold(c, now)
	}
}

// recordLeft notes which members are no longer listed; r.mu is held.
func (r *Register) recordLeft(members []uint64, now time.Time) {
	for _, id := range r.members {
		if _, listed := slices.BinarySearch(members, id); !listed {
			r.left[id] = now
		}
	}
	for _, id := range members {
		delete(r.left, id)
	}
}

// contact is what this gateway knows of its watches of one control VM.
type contact struct {
	voters     int       // control VMs in all
	watchedAt  time.Time // start of the last watch that was answered
	watchSince time.Time // since when it has watched without a gap
	listedAt   time.Time // start of the last watch whose answer confirmed a list
	listSince  time.Time // since when its lists have followed one another
}

// RecordContact records an answer of a control VM to a watch: how many control VMs there are, and
// whether it contained or confirmed the list of gateways.
func (r *Register) RecordContact(source string, voters int, listed bool, startedAt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.contacts[source]
	if c == nil {
		c = &contact{watchSince: startedAt}
		r.contacts[source] = c
	}
	if startedAt.Sub(c.watchedAt) > watchGap {
		c.watchSince = startedAt
	}
	c.voters, c.watchedAt = voters, startedAt
	if listed {
		if now.Sub(c.listedAt) > contactLease {
			c.listSince = now
		}
		c.listedAt = startedAt
	}
	for other, c := range r.contacts {
		if now.Sub(c.watchedAt) > sourceRetention {
			delete(r.contacts, other)
		}
	}
}

// contactSince returns since when this gateway has been in contact with a majority of the control
// VMs, and whether it is; r.mu is held. Two gateways in contact share a control VM, whose list
// contains both, so that both know of each other. Others don't send to cold targets: the fleet may
// have replaced them as senders.
func (r *Register) contactSince(now time.Time) (time.Time, bool) {
	starts, voters := make([]time.Time, 0, 16), 0
	for _, c := range r.contacts {
		if now.Sub(c.listedAt) > contactLease {
			continue
		}
		voters = max(voters, c.voters)
		if at := later(c.watchSince.Add(joinTime), c.listSince.Add(leaveTime)); !at.After(now) {
			starts = append(starts, at)
		}
	}
	majority := voters/2 + 1
	if len(starts) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts[majority-1], true
}

// coldPart returns this gateway's part of a limit and since when it has it; r.mu is held.
func (r *Register) coldPart(c *coldEntry, now time.Time) (own part, from time.Time) {
	if !r.nextLeave.IsZero() && !now.Before(r.nextLeave) {
		r.refreshPlaces(now)
	}
	since, ok := r.contactSince(now)
	if !ok {
		return part{senders: c.part.senders}, now
	}
	return c.part, later(c.sendFrom, since)
}

// coldEntry returns the limit of an incarnation that is cold, or nil; r.mu is held.
func (r *Register) coldEntry(target string, bornMs int64, now time.Time) *coldEntry {
	if c := r.cold[target]; c != nil && c.bornMs == bornMs && c.until.After(now) {
		return c
	}
	return nil
}

// updateCold is update for a target that is cold. What was earned under other terms is lost, and
// a part earns nothing before this gateway has it.
func (p *Pace) updateCold(c *coldEntry, now time.Time) part {
	own, from := p.r.coldPart(c, now)
	switch {
	case p.coldID != c.id:
		p.tokens, p.updatedAt = 0, now
	case from.After(p.updatedAt):
		p.tokens = min(p.tokens, 0)
	}
	passed := max(now.Sub(later(from, p.updatedAt)), 0).Seconds()
	p.tokens = min(p.tokens+passed*own.perSecond, own.burst)
	p.limitID, p.coldID, p.updatedAt = 0, c.id, now
	return own
}
