package agent

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// announce sends heartbeats. The description of the target travels only when a
// control VM asks for it, which keeps a heartbeat small.
func (a *Agent) announce(ctx context.Context) {
	ticker := a.o.Timers.Subscribe(heartbeatPeriod)
	defer ticker.Stop()
	describe := true
	for {
		describe = a.heartbeat(ctx, describe)
		select {
		case <-ticker.C():
		case <-a.wake:
		case <-ctx.Done():
			return
		}
	}
}

// heartbeat sends one heartbeat and reports whether the next one must describe the target.
func (a *Agent) heartbeat(ctx context.Context, describe bool) bool {
	r := a.newHeartbeat(describe)
	resp, err := a.o.Control.Heartbeat(ctx, r)
	if err != nil {
		a.o.Metrics.Count("agent_heartbeat_failures", 1)
		return true
	}
	a.accept(resp)
	if resp.GetWantTarget() && !describe {
		a.Wake()
	}
	return resp.GetWantTarget()
}

func (a *Agent) newHeartbeat(describe bool) *wire.HeartbeatRequest {
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
			Leaving:       a.isLeaving(),
			Ready:         ready,
		},
		TargetName:    a.o.TargetName,
		TargetVersion: a.infoVersion.Load(),
		Load:          a.loadReport(),
	}
	info := a.info.Load()
	if !describe || info == nil {
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
		Leaving:       a.isLeaving(),
		Ready:         ready,
		Version:       a.infoVersion.Load(),
	}
	return r
}

func (a *Agent) accept(resp *wire.HeartbeatResponse) {
	a.o.Config.Confirm(resp.GetRevision(), resp.GetConfirmed())
	if resp.GetConfirmed() {
		a.fence.learn(resp.GetFence())
	}
	if a.draining.Swap(resp.GetDraining()) != resp.GetDraining() {
		klog.InfoS("Drain changed", "target", a.o.TargetName, "draining", resp.GetDraining())
		a.infoVersion.Add(1)
		a.Wake()
	}
}

// watchTarget keeps the target's description and load report current.
func (a *Agent) watchTarget(ctx context.Context) {
	var described, cached time.Time
	a.o.Timers.Every(ctx, loadPeriod, func(ctx context.Context) {
		if a.o.Timers.Since(described) >= infoPeriod || a.info.Load() == nil {
			a.describe(ctx)
			described = a.o.Timers.Now()
		}
		a.sampleLoad(ctx)
		if a.o.Timers.Since(cached) >= cachePeriod {
			a.readCacheEvents(ctx)
			cached = a.o.Timers.Now()
		}
	})
}

func (a *Agent) describe(ctx context.Context) {
	var info targetInfo
	err := a.target.get(ctx, "/v1/info", &info)
	if ctx.Err() != nil {
		return
	}
	old := a.info.Load()
	if err != nil {
		if old != nil {
			klog.ErrorS(err, "Target stopped answering", "target", a.o.TargetName)
			a.setInfo(nil)
		}
		return
	}
	if old == nil || old.Kind != info.Kind || old.Slots != info.Slots || old.ChecksFencing != info.ChecksFencing || !slices.Equal(old.Models, info.Models) {
		klog.InfoS("Target described", "target", a.o.TargetName, "kind", info.Kind, "slots", info.Slots)
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
	a.load.Store(&loadSample{load: load, at: a.o.Timers.Now()})
}
