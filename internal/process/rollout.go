package process

import (
	"context"
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/timer"
)

const (
	rolloutPeriod = 50 * time.Millisecond
	// rolloutBound is the promise: in force everywhere within 4 s.
	rolloutBound = 4 * time.Second
)

// RolloutReport tells where a revision is in force.
type RolloutReport struct {
	took    time.Duration
	inForce []string
	behind  []string
}

// Duration returns the time until the last process had the revision, or the time waited.
func (r *RolloutReport) Duration() time.Duration { return r.took }

// UpToDate returns the processes that have the revision or a newer one.
func (r *RolloutReport) UpToDate() []string { return r.inForce }

// Outdated returns the live processes that did not confirm the revision.
func (r *RolloutReport) Outdated() []string { return r.behind }

// Rollout watches a revision come into force.
type Rollout struct {
	control *controlclient.Client
	timers  *timer.Service
}

// NewRollout returns a Rollout.
func NewRollout(c *controlclient.Client, ts *timer.Service) *Rollout {
	return &Rollout{control: c, timers: ts}
}

// Wait returns when the revision is in force at every live process, or after the
// promised bound with the names of those that did not confirm it.
func (r *Rollout) Wait(ctx context.Context, revision uint64) (*RolloutReport, error) {
	began := r.timers.Now()
	for {
		report := r.look(ctx, revision)
		report.took = r.timers.Since(began)
		if len(report.behind) == 0 && len(report.inForce) > 0 || report.took >= rolloutBound {
			return report, nil
		}
		if err := r.timers.Sleep(ctx, rolloutPeriod); err != nil {
			return nil, err
		}
	}
}

// look merges the views of all control VMs; each process counts with the newest
// revision that any of them has heard from it. A control VM counts as a process.
func (r *Rollout) look(ctx context.Context, revision uint64) *RolloutReport {
	newest := make(map[string]uint64)
	silent := make(map[string]bool)
	for i, s := range r.control.StatusAll(ctx) {
		name := "control VM " + r.control.Addresses()[i]
		if s == nil {
			newest[name] = 0
			continue
		}
		newest[name] = s.GetRevision()
		for _, p := range s.GetRoster() {
			n := p.GetProcess().GetName()
			newest[n] = max(newest[n], p.GetProcess().GetRevision())
			if roster.IsSilent(p) {
				silent[n] = true
			}
		}
	}
	report := &RolloutReport{}
	for name, have := range newest {
		switch {
		case have >= revision:
			report.inForce = append(report.inForce, name)
		case !silent[name]:
			report.behind = append(report.behind, name)
		}
	}
	slices.Sort(report.inForce)
	slices.Sort(report.behind)
	return report
}
