// Package warmup raises the share of the traffic of a target that has started or recovered, by
// how the target answers.
//
// A target that starts has the least load of all and would get every request at once. It begins
// with a small share of its usual traffic instead. Rounds of good answers double the share, bad
// ones halve it, and it rises slowly by time where there is little traffic. Processes exchange
// the states of ramps and the counts of answers by watches; merging is commutative, associative
// and idempotent, so that all gateways use nearly the same share. A Register uses neither network
// nor clock.
//
// # Usage
//
//	r := warmup.NewRegister()
//	p := r.Ramp("engine-1", bornMs)
//	p.Begin(now)                 // the incarnation is new
//	share, rising := p.Share(now) // multiplies the traffic of the target
//	sent := p.Sent(now)          // with each request
//	p.Observe(sent, good, now)   // with its answer
//	r.Tick(now)                  // a few times a second
//
//	states, version := r.ObservedSince(0) // for control VMs
//	r.MergeObserved("gateway-1", states, now) // at a control VM
//	states, version = r.ChangesSince(0)       // for gateways
//	r.MergeTotals(states, now)                // at a gateway
package warmup

import (
	"math"
	"time"
)

const (
	// firstShare is the share with which a ramp begins, and minShare the one below which it
	// doesn't fall: a target without requests would never show that it is well again.
	firstShare = 1.0 / 16
	minShare   = 1.0 / 32
	// roundTime is the shortest time of a round. Four rounds lead to the whole share, so that a
	// target has less than a quarter of its usual traffic in the first 500 ms.
	roundTime = 400 * time.Millisecond
	// goodAnswers double the share, unless badPart of all answers are bad, of which there
	// have to be minBad. Single late answers occur at sound targets.
	goodAnswers = 8
	minBad      = 2
	badPart     = 0.25
	// growth is the factor of a good round, and carefulGrowth that after a halving in the same
	// episode: a target that stays slow would be flooded at each second round.
	growth        = 2
	carefulGrowth = 1.25
	// proofTime is the time at the whole share until the ramp ends. A target that is too slow for
	// its whole share has a queue only after a while, and late answers after that.
	proofTime = 3 * time.Second
	// riseRate is by how much the share rises in a second by itself, and badPause the seconds
	// by which each bad answer delays this rise.
	riseRate = 0.1
	badPause = 2.0
	// shareSteps is the number of steps into which shares are rounded between processes.
	shareSteps = 1000
)

// steps returns a share in shareSteps.
func steps(share float64) uint32 { return uint32(math.Round(share * shareSteps)) }

// counts are the answers of one round.
type counts struct{ good, bad uint32 }

// most returns the higher counts.
func (c counts) most(other counts) counts {
	return counts{good: max(c.good, other.good), bad: max(c.bad, other.bad)}
}

// State is a ramp as processes exchange it.
type State struct {
	target     string
	bornMs     int64
	episode    uint32
	round      uint32
	share      uint32    // at the beginning of the round, in shareSteps
	since      time.Time // beginning of the round
	everywhere bool
	careful    bool // the share has been halved
	counts     counts
}

// NewState returns a State. An everywhere one concerns all gateways; others only the ones for
// which the target was away.
func NewState(target string, bornMs int64, episode, round, share uint32, since time.Time, everywhere bool, good, bad uint32) State {
	return State{
		target: target, bornMs: bornMs, episode: episode, round: round, share: min(max(share, 1), shareSteps), since: since, everywhere: everywhere,
		counts: counts{good: good, bad: bad},
	}
}

// Target returns the id of the target.
func (s State) Target() string { return s.target }

// BornMs returns the start of the target's process in Unix milliseconds.
func (s State) BornMs() int64 { return s.bornMs }

// Episode returns the number of the ramp among those of the incarnation, from 1.
func (s State) Episode() uint32 { return s.episode }

// Round returns the number of the round, from 0.
func (s State) Round() uint32 { return s.round }

// Share returns the share at the beginning of the round in thousandths.
func (s State) Share() uint32 { return s.share }

// Since returns the beginning of the round.
func (s State) Since() time.Time { return s.since }

// Everywhere reports whether the ramp concerns all gateways.
func (s State) Everywhere() bool { return s.everywhere }

// Careful reports whether the share has been halved, so that it grows slowly.
func (s State) Careful() bool { return s.careful }

// WithCareful returns the state with a share that has been halved, or not.
func (s State) WithCareful(careful bool) State {
	s.careful = careful
	return s
}

// Good returns the number of good answers of the round, and Bad that of bad ones.
func (s State) Good() uint32 { return s.counts.good }

// Bad returns the number of bad answers of the round.
func (s State) Bad() uint32 { return s.counts.bad }

// current returns the share at a time: that of the round, and what it has risen by itself.
func (s State) current(c counts, now time.Time) float64 {
	return min(float64(s.share)/shareSteps+riseRate*s.calm(c, now), 1)
}

// calm returns the seconds of the round that count for the rise.
func (s State) calm(c counts, now time.Time) float64 {
	return max(now.Sub(s.since).Seconds()-badPause*float64(c.bad), 0)
}

// isOver reports whether the share has been whole for proofTime.
func (s State) isOver(c counts, now time.Time) bool {
	return s.calm(c, now) >= (1-float64(s.share)/shareSteps)/riseRate+proofTime.Seconds()
}

// precedes reports whether a state is of an earlier round than another one.
func (s State) precedes(other State) bool {
	switch {
	case s.bornMs != other.bornMs:
		return s.bornMs < other.bornMs
	case s.episode != other.episode:
		return s.episode < other.episode
	}
	return s.round < other.round
}

// sameEpisode reports whether two states are of the same ramp.
func (s State) sameEpisode(other State) bool {
	return s.bornMs == other.bornMs && s.episode == other.episode
}

// sameRound reports whether two states are of the same round.
func (s State) sameRound(other State) bool { return s.sameEpisode(other) && s.round == other.round }

// next returns the state after the round if its answers end it.
func (s State) next(c counts, now time.Time) (State, bool) {
	if now.Sub(s.since) < roundTime {
		return s, false
	}
	share := s.current(c, now)
	bad := c.bad >= minBad && float64(c.bad) >= badPart*float64(c.good+c.bad)
	switch {
	case bad:
		share = max(share/2, minShare)
		s.careful = true
	case c.good >= goodAnswers && s.share < shareSteps:
		factor := float64(growth)
		if s.careful {
			factor = carefulGrowth
		}
		share = min(factor*share, 1)
	default:
		return s, false
	}
	s.round++
	s.share, s.since, s.counts = steps(share), now, counts{}
	return s, true
}

// Ramp is the ramp of one incarnation of a target.
type Ramp struct {
	r      *Register
	target string
	bornMs int64
}

// Begin begins a ramp that concerns all gateways, unless the incarnation has had one.
func (p *Ramp) Begin(now time.Time) { p.r.begin(p, true, now) }

// Returned begins a ramp of a target that this gateway hasn't used for a while, or joins the one
// that goes on.
func (p *Ramp) Returned(now time.Time) { p.r.begin(p, false, now) }

// Share returns the part of its usual traffic that the target gets from this gateway, and whether
// the ramp goes on without a halving so far.
func (p *Ramp) Share(now time.Time) (share float64, rising bool) {
	if p.r.active.Load() == 0 {
		return 1, false
	}
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	e := p.r.ongoing(p, now)
	if e == nil || !e.applies() {
		return 1, false
	}
	return e.current(e.merged(), now), !e.careful
}

// Sent returns what identifies the round of a request that is sent now, for Observe.
func (p *Ramp) Sent(now time.Time) uint64 {
	if p.r.active.Load() == 0 {
		return 0
	}
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	if e := p.r.ongoing(p, now); e != nil {
		return e.label()
	}
	return 0
}

// Observe records an answer to a request that was sent in a round. Answers to requests of earlier
// rounds say nothing of the share of this one.
func (p *Ramp) Observe(sent uint64, good bool, now time.Time) {
	if sent == 0 || p.r.active.Load() == 0 {
		return
	}
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	e := p.r.ongoing(p, now)
	if e == nil || e.label() != sent {
		return
	}
	if good {
		e.own.good++
	} else {
		e.own.bad++
	}
	p.r.touchOwn(e)
	p.r.advance(e, now)
}
