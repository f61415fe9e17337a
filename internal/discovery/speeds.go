package discovery

import (
	"time"

	"github.com/cardamomline/cardamomline/internal/speed"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// maxSpeeds bounds the targets whose speeds are read from one message.
const maxSpeeds = 2048

// EncodeSpeedSums returns the message form of sums.
func EncodeSpeedSums(sums []speed.Sums) []*wire.TargetSpeedSums {
	list := make([]*wire.TargetSpeedSums, 0, len(sums))
	for _, s := range sums {
		list = append(list, &wire.TargetSpeedSums{Target: s.Target(), BornMs: s.BornMs(), Weight: float32(s.Weight()), Sum: float32(s.Sum()), Square: float32(s.Square())})
	}
	return list
}

// DecodeSpeedSums returns the sums of a message.
func DecodeSpeedSums(sums []*wire.TargetSpeedSums) []speed.Sums {
	sums = sums[:min(len(sums), maxSpeeds)]
	list := make([]speed.Sums, 0, len(sums))
	for _, m := range sums {
		list = append(list, speed.NewSums(m.GetTarget(), m.GetBornMs(), float64(m.GetWeight()), float64(m.GetSum()), float64(m.GetSquare())))
	}
	return list
}

// EncodeSpeeds returns the message form of published speeds.
func EncodeSpeeds(values []speed.Value) []*wire.TargetSpeed {
	list := make([]*wire.TargetSpeed, 0, len(values))
	for _, v := range values {
		list = append(list, &wire.TargetSpeed{Target: v.Target(), BornMs: v.BornMs(), Steps: v.Steps()})
	}
	return list
}

// DecodeSpeeds returns the published speeds of a message.
func DecodeSpeeds(speeds []*wire.TargetSpeed) []speed.Value {
	speeds = speeds[:min(len(speeds), maxSpeeds)]
	list := make([]speed.Value, 0, len(speeds))
	for _, m := range speeds {
		list = append(list, speed.NewValue(m.GetTarget(), m.GetBornMs(), m.GetSteps()))
	}
	return list
}

// requestSpeeds adds to a watch of a control VM what it needs of the own observations. Sums that
// are lost with a watch are replaced by later ones.
func requestSpeeds(address string, r *wire.WatchRequest, p *speed.Register, now time.Time) {
	if p == nil {
		return
	}
	if r.SpeedsSince == nil {
		r.SpeedsSince = new(uint64)
	}
	r.SpeedSums = EncodeSpeedSums(p.Sums(address, now))
}

// receiveSpeeds takes the published speeds of a response over.
func receiveSpeeds(address string, r *wire.WatchRequest, resp *wire.WatchResponse, p *speed.Register, now time.Time) {
	if p == nil {
		return
	}
	*r.SpeedsSince = resp.GetSpeedsVersion()
	p.MergeValues(address, resp.GetEpoch(), DecodeSpeeds(resp.GetSpeeds()), now)
}
