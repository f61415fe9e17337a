package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/pacing"
)

// minUnknownTime is the least time for which the limit of a target of unknown state is set. It
// is extended with each update of the pools, which is at most poolPeriod and syncInterval later.
const minUnknownTime = 2 * time.Second

// syncCold sets the limits of the targets that are cold; g.mu is held.
func (g *Gateway) syncCold(now time.Time) {
	var list []pacing.ColdTarget
	for _, name := range slices.Sorted(maps.Keys(g.pools)) {
		profile := g.pools[name].service.Cold()
		if profile == nil {
			continue
		}
		limit := pacing.NewColdLimit(profile.RequestRate, g.o.Cold)
		for _, l := range g.o.Table.Live(name, now) {
			until := coldUntil(l, *profile, g.unknownSince(l), now)
			if !until.After(now) {
				continue
			}
			key := incarnationKey{target: l.Record().GetId(), bornMs: l.Record().GetBornMs()}
			_, inUse := g.paces[key]
			list = append(list, pacing.NewColdTarget(key.target, key.bornMs, limit, until, inUse))
		}
	}
	g.o.Limits.SyncCold(list, now)
}

// unknownSince returns the time before which announcements of a target don't count, or zero.
func (g *Gateway) unknownSince(l discovery.LiveTarget) time.Time {
	if g.o.UnknownSince == nil {
		return time.Time{}
	}
	return g.o.UnknownSince(l.Record().GetFailureDomain())
}

// coldUntil returns until when a target counts as cold. Without an announcement that the target
// made after unknownSince its state is unknown, and it counts as cold for as long as a target that
// has just started. A zero unknownSince lets all announcements count.
func coldUntil(l discovery.LiveTarget, p catalog.ColdProfile, unknownSince, now time.Time) time.Time {
	until := l.ColdUntil()
	if unknownSince.IsZero() || l.AnnouncedSince(unknownSince) {
		return until
	}
	if unknown := now.Add(max(p.Duration, minUnknownTime)); unknown.After(until) {
		return unknown
	}
	return until
}
