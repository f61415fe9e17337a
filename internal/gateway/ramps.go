package gateway

import (
	"maps"
	"time"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/warmup"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// presentTime is the time after a gateway's first sight of a service in which its targets count
// as present all along: after a restart of the control VMs it takes a few heartbeat periods until
// all of them are known.
const presentTime = 3 * time.Second

// ramps holds the ramps of the targets that this gateway knows. The Gateway's mu guards it.
type ramps struct {
	register *warmup.Register
	all      bool                 // of all services, not only those with cold targets
	sightAt  map[string]time.Time // first sight of targets, by service
	targets  map[incarnationKey]*warmup.Ramp
}

func newRamps(r *warmup.Register, all bool) *ramps {
	return &ramps{register: r, all: all, sightAt: map[string]time.Time{}, targets: map[incarnationKey]*warmup.Ramp{}}
}

// of returns the function that returns the ramp of a target of a service, or nil if the targets
// of the service don't warm up.
func (m *ramps) of(s *catalog.Service, now time.Time) func(*wire.RegisteredTarget) routing.Ramp {
	if m.register == nil || s.Cold() == nil && !m.all {
		delete(m.sightAt, s.Name())
		return nil
	}
	return func(r *wire.RegisteredTarget) routing.Ramp { return m.ramp(s.Name(), r, now) }
}

// ramp returns the ramp of a target, and begins it if the incarnation is new or cold.
func (m *ramps) ramp(service string, r *wire.RegisteredTarget, now time.Time) *warmup.Ramp {
	sight, ok := m.sightAt[service]
	if !ok {
		sight = now
		m.sightAt[service] = now
	}
	key := incarnationKey{target: r.GetId(), bornMs: r.GetBornMs()}
	p := m.targets[key]
	if p == nil {
		p = m.register.Ramp(key.target, key.bornMs)
		m.targets[key] = p
		if now.Sub(sight) > presentTime || r.GetWarmUpMs() > 0 {
			p.Begin(now)
		}
	}
	return p
}

// drop drops the ramps of incarnations that are gone.
func (m *ramps) drop(gone func(incarnationKey) bool) {
	maps.DeleteFunc(m.targets, func(k incarnationKey, _ *warmup.Ramp) bool { return gone(k) })
}
