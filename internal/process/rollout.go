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
	rolloutPollInterval = 50 * time.Millisecond
	// rolloutTimeout is the guaranteed limit: a revision is active everywhere within 4 s.
	rolloutTimeout = 4 * time.Second
)

// RolloutReport lists the processes in which a revision is active.
type RolloutReport struct {
	duration time.Duration
	upToDate []string
	outdated []string
}

// Duration returns the time until the last process had the revision, or the time waited.
func (r *RolloutReport) Duration() time.Duration { return r.duration }

// UpToDate returns the processes that have the revision or a newer one.
func (r *RolloutReport) UpToDate() []string { return r.upToDate }

// Outdated returns the live processes that did not confirm the revision.
func (r *RolloutReport) Outdated() []string { return r.outdated }

// Rollout monitors how a revision becomes active.
type Rollout struct {
	control *controlclient.Client
	timers  *timer.Service
}

// NewRollout returns a Rollout.
func NewRollout(c *controlclient.Client, ts *timer.Service) *Rollout {
	return &Rollout{control: c, timers: ts}
}

// Wait returns when the revision is active in every live process, or after the guaranteed
// limit with the names of those that did not confirm it.
func (r *Rollout) Wait(ctx context.Context, revision uint64) (*RolloutReport, error) {
	began := r.timers.Now()
	for {
		report := r.poll(ctx, revision)
		report.duration = r.timers.Since(began)
		if len(report.outdated) == 0 && len(report.upToDate) > 0 || report.duration >= rolloutTimeout {
			return report, nil
		}
		if err := r.timers.Sleep(ctx, rolloutPollInterval); err != nil {
			return nil, err
		}
	}
}

// poll merges the views of all control VMs. For each process it uses the newest revision
// that any control VM has received. Control VMs are included as processes.
func (r *Rollout) poll(ctx context.Context, revision uint64) *RolloutReport {
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
			report.upToDate = append(report.upToDate, name)
		case !silent[name]:
			report.outdated = append(report.outdated, name)
		}
	}
	slices.Sort(report.upToDate)
	slices.Sort(report.outdated)
	return report
}
