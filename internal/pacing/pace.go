package pacing

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// usableShare is the part of a limit that is used; the rest is for requests that are under
	// way while the senders change.
	usableShare = 0.95
	// minRate is the requests a second with which a target is tried that names a lower limit:
	// without any request nobody would hear that the limit has ended.
	minRate = 0.25
	// spareSenders is the number of senders in addition to one for each request a second.
	spareSenders = 2
	// burstTime and burstSpare limit the requests by which all senders together may exceed an
	// even rate: those of burstTime and some more.
	burstTime  = 1.5 // s
	burstSpare = 3.0
)

// part is what one gateway may send to a target.
type part struct {
	perSecond float64
	burst     float64 // requests
	senders   int
}

// split is how a limit is divided among its senders.
type split struct {
	perSecond float64 // of all senders
	senders   int     // at most
	burst     float64 // requests that all senders may send at once
}

// namedSplit returns how a limit that a target names is divided. More senders than requests a
// second would each send so rarely that requests miss them.
func namedSplit(rate float64) split {
	if rate < minRate {
		return split{perSecond: usableShare * minRate, senders: 1, burst: 1}
	}
	s := split{perSecond: usableShare * rate, senders: int(rate) + spareSenders, burst: burstTime*rate + burstSpare}
	if rate <= minRate {
		s.burst = 1
	}
	return s
}

// stricter returns the least of two splits.
func (s split) stricter(other split) split {
	return split{perSecond: min(s.perSecond, other.perSecond), senders: min(s.senders, other.senders), burst: min(s.burst, other.burst)}
}

// partOf returns this gateway's part of a limit; r.mu is held.
func (r *Register) partOf(e *entry) part {
	if e.partOf != r.membersVersion {
		p := part{}
		if e.isLimited() {
			p = r.computePart(e.target, namedSplit(e.rate()), r.members)
		}
		e.part, e.partOf = p, r.membersVersion
	}
	return e.part
}

// computePart chooses the senders: the first gateways by the hash of their ids and the target.
func (r *Register) computePart(target string, s split, members []uint64) part {
	senders := min(len(members), s.senders)
	if senders == 0 {
		return part{}
	}
	p := part{senders: senders}
	before := 0
	own := memberScore(target, r.self)
	listed := false
	for _, id := range members {
		if id == r.self {
			listed = true
		} else if memberScore(target, id) > own {
			before++
		}
	}
	if !listed || before >= senders {
		return p
	}
	p.perSecond = s.perSecond / float64(senders)
	p.burst = max(s.burst/float64(senders), 1)
	return p
}

func memberScore(target string, id uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, id))
	return d.Sum64()
}

// Pace paces the requests of this gateway to one incarnation of a target.
type Pace struct {
	r         *Register
	target    string
	bornMs    int64
	limitID   uint64 // limit for which tokens holds
	coldID    uint64 // limit of a cold target for which it does
	members   uint64 // version of the members for which it does
	tokens    float64
	updatedAt time.Time
}

// Pace returns the pace of an incarnation of a target. There must be one for each incarnation.
func (r *Register) Pace(target string, bornMs int64) *Pace {
	return &Pace{r: r, target: target, bornMs: bornMs}
}

// Allows reports whether a request may be sent now.
func (p *Pace) Allows(now time.Time) bool {
	if p.r.limited.Load() == 0 {
		return true
	}
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	_, limited := p.update(now)
	return !limited || p.tokens >= 1
}

// Take counts a request that is about to be sent.
func (p *Pace) Take(now time.Time) { p.add(-1, now) }

// Return gives the place of a request back that was not sent.
func (p *Pace) Return(now time.Time) { p.add(1, now) }

func (p *Pace) add(n float64, now time.Time) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	if part, limited := p.update(now); limited {
		p.tokens = min(p.tokens+n, part.burst)
	}
}

// Wait returns the time until a request may be sent by this gateway or, if it doesn't send to the
// target, by another one.
func (p *Pace) Wait(now time.Time) time.Duration {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	part, limited := p.update(now)
	if !limited || p.tokens >= 1 {
		return 0
	}
	rate, left := 0.0, time.Duration(math.MaxInt64)
	if c := p.r.coldEntry(p.target, p.bornMs, now); c != nil {
		rate, left = c.rate, c.until.Sub(now)
	} else {
		rate = p.r.entries[p.target].rate()
	}
	if part.perSecond <= 0 {
		return min(seconds(1/max(rate, minRate)), left)
	}
	return min(p.hold(now)+seconds((1-p.tokens)/part.perSecond), left)
}

// hold returns the time until this gateway earns its part of the limit of a cold target.
func (p *Pace) hold(now time.Time) time.Duration {
	if c := p.r.coldEntry(p.target, p.bornMs, now); c != nil {
		return max(c.sendFrom.Sub(now), 0)
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Rate returns the requests a second that this gateway may send to the target, and whether there
// is a limit.
func (p *Pace) Rate(now time.Time) (perSecond float64, limited bool) {
	if p.r.limited.Load() == 0 {
		return 0, false
	}
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	part, limited := p.update(now)
	if p.hold(now) > 0 {
		return 0, limited
	}
	return part.perSecond, limited
}

// update brings the tokens up to date; p.r.mu is held. A new limit begins without any.
func (p *Pace) update(now time.Time) (own part, limited bool) {
	if c := p.r.coldEntry(p.target, p.bornMs, now); c != nil {
		return p.updateCold(c, now), true
	}
	p.coldID = 0
	e := p.r.entries[p.target]
	if e == nil || !e.isLimited() || e.bornMs != p.bornMs {
		p.limitID = 0
		return part{}, false
	}
	own = p.r.partOf(e)
	passed := max(now.Sub(p.updatedAt), 0).Seconds()
	switch {
	case p.limitID == 0:
		p.tokens = 0
	case p.limitID == e.limitID && p.members == e.partOf:
		p.tokens = min(p.tokens+passed*own.perSecond, own.burst)
	default: // another rate or other senders
		p.tokens = min(p.tokens, own.burst)
	}
	p.limitID, p.members, p.updatedAt = e.limitID, e.partOf, now
	return own, true
}
