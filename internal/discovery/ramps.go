package discovery

import (
	"time"

	"github.com/cardamomline/cardamomline/internal/warmup"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// maxRamps bounds the ramps of targets that are read from one message.
const maxRamps = 2048

// EncodeRamps returns the message form of ramps. Processes have clocks of their own, so that
// times travel as ages.
func EncodeRamps(states []warmup.State, now time.Time) []*wire.TargetRamp {
	list := make([]*wire.TargetRamp, 0, len(states))
	for _, s := range states {
		list = append(list, &wire.TargetRamp{
			Target: s.Target(), BornMs: s.BornMs(), Episode: s.Episode(), Round: s.Round(), Share: s.Share(), RoundMs: age(s.Since(), now),
			Everywhere: s.Everywhere(), Good: s.Good(), Bad: s.Bad(), Careful: s.Careful(),
		})
	}
	return list
}

// DecodeRamps returns the ramps of a message.
func DecodeRamps(ramps []*wire.TargetRamp, now time.Time) []warmup.State {
	ramps = ramps[:min(len(ramps), maxRamps)]
	list := make([]warmup.State, 0, len(ramps))
	for _, m := range ramps {
		list = append(list, warmup.NewState(m.GetTarget(), m.GetBornMs(), m.GetEpisode(), m.GetRound(), m.GetShare(), ageTime(m.GetRoundMs(), now), m.GetEverywhere(), m.GetGood(), m.GetBad()).WithCareful(m.GetCareful()))
	}
	return list
}

// rampsExchange is the state of the exchange of ramps with one control VM.
type rampsExchange struct {
	sent, sending uint64 // versions of the own observations that it has, and gets now
}

// request adds to a watch what this process has observed since the last one.
func (x *rampsExchange) request(r *wire.WatchRequest, p *warmup.Register, now time.Time) {
	if p == nil {
		return
	}
	if r.RampsSince == nil {
		r.RampsSince = new(uint64)
	}
	states, version := p.ObservedSince(x.sent)
	r.Ramps, x.sending = EncodeRamps(states, now), version
}

// receive merges the ramps of a response. A control VM that has started again gets all
// observations once more.
func (x *rampsExchange) receive(r *wire.WatchRequest, resp *wire.WatchResponse, p *warmup.Register, now time.Time) {
	if p == nil {
		return
	}
	x.sent = x.sending
	if r.GetEpoch() != "" && r.GetEpoch() != resp.GetEpoch() {
		x.sent = 0
	}
	*r.RampsSince = resp.GetRampsVersion()
	p.MergeTotals(DecodeRamps(resp.GetRamps(), now), now)
}
