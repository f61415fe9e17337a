package agent

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// sendHeartbeats sends heartbeats until ctx ends. To keep them small, the target's
// description is included only when a control VM requests it.
func (a *Agent) sendHeartbeats(ctx context.Context) {
	ticker := a.o.Timers.Subscribe(heartbeatPeriod)
	defer ticker.Stop()
	includeTarget := true
	for {
		includeTarget = a.sendHeartbeat(ctx, includeTarget)
		select {
		case <-ticker.C():
		case <-a.heartbeatNow:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether the next one must include the
// target's description.
func (a *Agent) sendHeartbeat(ctx context.Context, includeTarget bool) bool {
	r := a.newHeartbeat(includeTarget)
	resp, err := a.o.Control.Heartbeat(ctx, r)
	if err != nil {
		a.o.Metrics.Count("agent_heartbeat_failures", 1)
		return true
	}
	a.applyHeartbeat(resp)
	if resp.GetWantTarget() && !includeTarget {
		a.Wake()
	}
	return resp.GetWantTarget()
}

func (a *Agent) newHeartbeat(includeTarget bool) *wire.HeartbeatRequest {
	ready, _ := a.Ready()
	r := &wire.HeartbeatRequest{
		Process: &wire.ProcessInfo{
			Name:          a.o.Name,
			Role:          "agent",
			Incarnation:   a.incarnation,
			Address:       a.o.Address,
			FailureDomain: a.o.FailureDomain,
			Region:        a.o.Region,
			Revision:      a.o.Config.Revision(),
			Leaving:       a.isDraining(),
			Ready:         ready,
		},
		TargetName:    a.o.TargetName,
		TargetVersion: a.infoVersion.Load(),
		Load:          a.loadReport(),
	}
	info := a.info.Load()
	if !includeTarget || info == nil {
		return r
	}
	r.Target = &wire.TargetInfo{
		Name:          a.o.TargetName,
		Kind:          info.Kind,
		Service:       a.o.Service,
		Models:        info.Models,
		ChecksFencing: info.ChecksFencing,
		Slots:         info.Slots,
		AgentAddress:  a.o.Address,
		Incarnation:   a.incarnation,
		FailureDomain: a.o.FailureDomain,
		Region:        a.o.Region,
		Leaving:       a.isDraining(),
		Ready:         ready,
		Version:       a.infoVersion.Load(),
	}
	return r
}

func (a *Agent) applyHeartbeat(resp *wire.HeartbeatResponse) {
	a.o.Config.Confirm(resp.GetRevision(), resp.GetConfirmed())
	if resp.GetConfirmed() {
		a.fencing.update(resp.GetFence())
	}
	if a.draining.Swap(resp.GetDraining()) != resp.GetDraining() {
		klog.InfoS("Drain state changed", "target", a.o.TargetName, "draining", resp.GetDraining())
		a.infoVersion.Add(1)
		a.Wake()
	}
}

// watchTarget periodically refreshes the target's description, load report and cache
// events.
func (a *Agent) watchTarget(ctx context.Context) {
	var refreshedAt, cachedAt time.Time
	a.o.Timers.Every(ctx, loadPeriod, func(ctx context.Context) {
		if a.o.Timers.Since(refreshedAt) >= infoPeriod || a.info.Load() == nil {
			a.refreshInfo(ctx)
			refreshedAt = a.o.Timers.Now()
		}
		a.sampleLoad(ctx)
		if a.o.Timers.Since(cachedAt) >= cachePeriod {
			a.readCacheEvents(ctx)
			cachedAt = a.o.Timers.Now()
		}
	})
}

func (a *Agent) refreshInfo(ctx context.Context) {
	var info targetInfo
	err := a.target.get(ctx, "/v1/info", &info)
	if ctx.Err() != nil {
		return
	}
	old := a.info.Load()
	if err != nil {
		if old != nil {
			klog.ErrorS(err, "Target does not respond", "target", a.o.TargetName)
			a.setInfo(nil)
		}
		return
	}
	if old == nil || old.Kind != info.Kind || old.Slots != info.Slots || old.ChecksFencing != info.ChecksFencing || !slices.Equal(old.Models, info.Models) {
		klog.InfoS("Target description updated", "target", a.o.TargetName, "kind", info.Kind, "slots", info.Slots)
		a.setInfo(&info)
	}
}

func (a *Agent) setInfo(info *targetInfo) {
	a.info.Store(info)
	a.infoVersion.Add(1)
	a.Wake()
}

func (a *Agent) sampleLoad(ctx context.Context) {
	var load targetLoad
	if err := a.target.get(ctx, "/v1/load", &load); err != nil {
		return
	}
	a.load.Store(&loadSample{load: load, receivedAt: a.o.Timers.Now()})
}
