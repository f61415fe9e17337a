package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/routing"
)

// droppedPoolTime is the least time for which the pool of a service is kept that the catalog no longer
// has. Requests that came under an earlier catalog wait for their stages and are sent again by it.
const droppedPoolTime = time.Minute

// servicePool is the pool of a service, with the definition that the service had last.
type servicePool struct {
	*routing.Pool
	service  *catalog.Service
	listedAt time.Time // when a catalog last had the service
}

// syncPools brings the targets of all services up to date; g.mu is held.
func (g *Gateway) syncPools() {
	c := g.catalog.Load()
	if c == nil {
		return
	}
	now := g.o.Timers.Now()
	g.dropPaces()
	g.listPools(c, now)
	g.syncCold(now)
	mixed := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(g.pools)) {
		p := g.pools[name]
		list := g.targets(name, g.ramps.of(p.service, now), now)
		if g.o.Speeds != nil && p.service.Engine() != nil {
			g.addSpeeds(list)
		}
		p.Sync(list, now)
		mixed[name] = slices.ContainsFunc(list, func(t routing.Target) bool { return t.Software != list[0].Software })
	}
	g.mixed = mixed
	g.weights = g.weigh(c, now)
	g.evacuated = g.evacuatedServices(c, now)
}

// listPools adds the pools of the services that take requests, and drops those of services that a
// catalog had before; g.mu is held.
func (g *Gateway) listPools(c *catalog.Catalog, now time.Time) {
	for _, name := range c.Services() {
		service, _ := c.Service(name)
		p := g.pools[name]
		if p == nil && service.Batch() != nil && !service.TakesRequests() {
			continue
		}
		if p == nil {
			p = &servicePool{Pool: routing.NewPool(routing.Options{Service: name, FailureDomain: g.o.FailureDomain, Seed: g.o.Seed, Health: health(service)})}
			g.pools[name] = p
		}
		p.service, p.listedAt = service, now
	}
	for name, p := range g.pools {
		if now.Sub(p.listedAt) >= droppedPoolTime && !p.isInUse(now) {
			delete(g.pools, name)
			delete(g.states, name)
		}
	}
}

// isInUse reports whether a target has a request in hand.
func (p *servicePool) isInUse(now time.Time) bool {
	for _, t := range p.Status(now) {
		if t.InFlight > 0 {
			return true
		}
	}
	return false
}

func (g *Gateway) tickPools() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Timers.Now()
	if g.o.Warmups != nil {
		g.o.Warmups.Tick(now)
		g.o.Metrics.Gauge("warming_targets", float64(g.o.Warmups.Active()))
	}
	for service, p := range g.pools {
		p.Tick(now)
		g.logStates(service, p.Status(now))
	}
}

func (g *Gateway) pool(service string) *routing.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.pools[service]; p != nil {
		return p.Pool
	}
	return nil
}
