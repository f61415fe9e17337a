package gateway

import (
	"time"

	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/speed"
)

// targetSpeed is the speed of one incarnation of a target.
type targetSpeed struct {
	r   *speed.Register
	key incarnationKey
}

// Speed implements routing.Speed.
func (s targetSpeed) Speed() float64 { return s.r.Speed(s.key.target, s.key.bornMs) }

// Observe implements routing.Speed.
func (s targetSpeed) Observe(latency float64, now time.Time) {
	s.r.Observe(s.key.target, s.key.bornMs, latency, now)
}

// addSpeeds adds the speeds to the targets of a service.
func (g *Gateway) addSpeeds(list []routing.Target) {
	for i, t := range list {
		if r, ok := g.o.Table.Target(t.Name); ok && incarnation(r) == t.Incarnation {
			list[i].Speed = targetSpeed{r: g.o.Speeds, key: incarnationKey{target: t.Name, bornMs: r.GetBornMs()}}
		}
	}
}
