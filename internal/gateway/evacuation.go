package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// evacuatedRetry is the time after which a caller may come back that was refused because all
// targets of a service are evacuated. An operator needs seconds to revoke that; callers have few
// seconds in all.
const evacuatedRetry = time.Second

// adoptEvacuations takes the evacuations from an answer to a watch, if they are newer.
func (g *Gateway) adoptEvacuations(w *wire.WatchResponse) {
	if !g.o.Evacuations.Adopt(w.GetEvacuationRevision(), w.GetEvacuatedDomains(), g.o.Timers.Now()) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncPools()
}

// evacuatedServices returns the services that have targets, all of which are in evacuated
// domains. Targets that leave don't count. Services that the catalog dropped are among them, because
// requests that came before still need them; g.mu is held.
func (g *Gateway) evacuatedServices(c *catalog.Catalog, now time.Time) map[string]bool {
	if g.o.Evacuations.Len() == 0 {
		return nil
	}
	services := map[string]bool{}
	for _, name := range append(c.Services(), slices.Collect(maps.Keys(g.pools))...) {
		staying, evacuated := 0, 0
		for _, l := range g.o.Table.Live(name, now) {
			if l.Leaving() {
				continue
			}
			staying++
			if g.o.Evacuations.Contains(l.Record().GetFailureDomain()) {
				evacuated++
			}
		}
		services[name] = staying > 0 && evacuated == staying
	}
	return services
}

// refuseEvacuated refuses a request if all targets of its service, or of the service of a stage,
// are evacuated. Without this, its stages would be run in vain. It reports whether it has done so.
func (x *exchange) refuseEvacuated() bool {
	evacuated := x.evacuatedService()
	if evacuated == "" {
		return false
	}
	x.lastErr = "all targets of service " + evacuated + " are evacuated"
	x.refuse("targets_evacuated", evacuatedRetry)
	return true
}

// evacuatedService returns a service that the request needs and that has no targets outside
// evacuated domains, or "".
func (x *exchange) evacuatedService() string {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if x.g.evacuated[x.service] {
		return x.service
	}
	for i, stage := range x.route.Stages() {
		if x.pieces(i) > 0 && x.g.evacuated[stage.Service] {
			return stage.Service
		}
	}
	return ""
}
