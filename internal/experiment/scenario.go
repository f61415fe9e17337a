package experiment

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/process"
	"github.com/cardamomline/cardamomline/internal/settings"
	"github.com/cardamomline/cardamomline/internal/standin"
)

// fault is something that goes wrong during a scenario. It is sealed.
type fault interface{ isFault() }

// slowTarget makes the first target of a kind slower by a factor.
type slowTarget struct {
	kind   standin.Kind
	factor float64
}

// failingStage makes a share of the calls of all targets of a kind fail.
type failingStage struct {
	kind  standin.Kind
	share float64
}

// lostDomain crashes all agents and targets of a failure domain.
type lostDomain struct{ domain string }

// rollingRestart stops each process gracefully and starts it again, one after the other.
type rollingRestart struct{}

// silentTargets makes the open connections of all targets of a kind go silent.
type silentTargets struct{ kind standin.Kind }

// lostLeader crashes the leading control VM.
type lostLeader struct{}

func (slowTarget) isFault()     {}
func (failingStage) isFault()   {}
func (lostDomain) isFault()     {}
func (rollingRestart) isFault() {}
func (silentTargets) isFault()  {}
func (lostLeader) isFault()     {}

// Scenario is one load with one fault.
type Scenario struct {
	name string
	// load is the arrival rate as a share of what the engines can serve.
	load float64
	// burst adds long summaries, so many at once, in the middle of the run.
	burst int
	fault fault
	// kept marks a step of a Ceiling; see there.
	kept float64
}

const (
	steadyLoad   = 0.7
	overloadLoad = 2.0
	burstSize    = 60
	slowFactor   = 10
	failingShare = 0.5
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{name: "steady", load: steadyLoad},
		{name: "summary-burst", load: steadyLoad, burst: burstSize},
		{name: "slow-target", load: steadyLoad, fault: slowTarget{kind: standin.KindEngine, factor: slowFactor}},
		{name: "failing-stage", load: steadyLoad, fault: failingStage{kind: standin.KindReranker, share: failingShare}},
		{name: "lost-domain", load: steadyLoad, fault: lostDomain{domain: "domain-b"}},
		{name: "rolling-restart", load: steadyLoad, fault: rollingRestart{}},
		{name: "silent-connections", load: steadyLoad, fault: silentTargets{kind: standin.KindEngine}},
		{name: "burst-and-lost-leader", load: steadyLoad, burst: burstSize, fault: lostLeader{}},
		{name: "overload", load: overloadLoad},
	}
}

// inject makes the fault happen and returns when it has; a rolling restart takes
// until all processes are back or the context ends.
func inject(ctx context.Context, d *process.DevCluster, f fault) {
	switch f := f.(type) {
	case slowTarget:
		for _, m := range targets(d, f.kind)[:1] {
			_ = m.Standin().SetFaults(standin.Faults{Slow: f.factor})
		}
	case failingStage:
		for i, m := range targets(d, f.kind) {
			_ = m.Standin().SetFaults(standin.Faults{Errors: f.share, Seed: uint64(i)})
		}
	case lostDomain:
		for _, m := range d.Processes() {
			if m.Standin() != nil && m.FailureDomain() == f.domain {
				m.Standin().Die()
				go m.Crash()
			}
		}
	case rollingRestart:
		restartAll(ctx, d)
	case silentTargets:
		for _, m := range targets(d, f.kind) {
			m.Standin().Silence()
		}
	case lostLeader:
		crashLeader(ctx, d)
	}
}

func targets(d *process.DevCluster, kind standin.Kind) []*process.DevProcess {
	var list []*process.DevProcess
	for _, m := range d.Processes() {
		if m.Standin() != nil && m.Standin().Kind() == kind {
			list = append(list, m)
		}
	}
	return list
}

// restartStop bounds the graceful stop of one process.
const restartStop = 10 * time.Second

func restartAll(ctx context.Context, d *process.DevCluster) {
	for _, m := range d.Processes() {
		if ctx.Err() != nil {
			return
		}
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), restartStop)
		err := m.Stop(stopCtx)
		cancel()
		if err == nil {
			err = m.Start(context.WithoutCancel(ctx))
		}
		if err != nil {
			klog.ErrorS(err, "Restart failed", "process", m.Name())
		}
	}
}

func crashLeader(ctx context.Context, d *process.DevCluster) {
	leader, err := d.LeaderAddress(ctx)
	if err != nil {
		return
	}
	for _, m := range d.Processes() {
		if m.Role() == settings.RoleControl && m.Address() == leader {
			m.Crash()
		}
	}
}
