package commands

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// statusCommand shows the control VMs and all processes that announced themselves.
type statusCommand struct {
	out     *output
	cluster cluster
}

// controlRow is one control VM as JSON shows it.
type controlRow struct {
	Address   string `json:"address"`
	State     string `json:"state"`
	Leader    bool   `json:"leader"`
	Term      uint64 `json:"term"`
	Commit    uint64 `json:"commit"`
	Applied   uint64 `json:"applied"`
	Revision  uint64 `json:"revision"`
	Orders    uint64 `json:"orders"`
	Waiting   uint64 `json:"waiting"`
	Confirmed bool   `json:"confirmed"`
}

// processRow is one entry or agent as JSON shows it.
type processRow struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Target        string `json:"target,omitempty"`
	Service       string `json:"service,omitempty"`
	State         string `json:"state"`
	Revision      uint64 `json:"revision"`
	SilentMs      int64  `json:"silent_ms"`
}

// statusResult is the whole status as JSON shows it.
type statusResult struct {
	Controls  []controlRow `json:"controls"`
	Losable   int32        `json:"losable"`
	Processes []processRow `json:"processes"`
	Drains    []string     `json:"drains"`
}

func (c *statusCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the control VMs, entries and targets",
		Long: `Show the control VMs, entries and targets.

"May lose" is the number of further control VMs that may be lost before orders and
configuration changes stop. A repair is complete when it is back at its old value.`,
		Example: "  cardamomline status --control 127.0.0.1:7001,127.0.0.1:7002",
		Args:    cobra.NoArgs,
		RunE:    c.run,
	}
	c.cluster.addFlag(cmd)
	return cmd
}

func (c *statusCommand) run(cmd *cobra.Command, _ []string) error {
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	result := newStatusResult(client.Addresses(), client.StatusAll(ctx))
	return c.out.write(cmd.OutOrStdout(), result, result.text)
}

// isLeader reports whether a control VM says that it leads.
func isLeader(s *wire.StatusResponse) bool {
	return s.GetMemberId() != "" && s.GetLeaderId() == s.GetMemberId()
}

func newStatusResult(addresses []string, all []*wire.StatusResponse) *statusResult {
	result := &statusResult{Losable: -1}
	var best *wire.StatusResponse
	for i, s := range all {
		if s == nil {
			result.Controls = append(result.Controls, controlRow{Address: addresses[i], State: "does not answer"})
			continue
		}
		leader := isLeader(s)
		result.Controls = append(result.Controls, controlRow{
			Address: addresses[i], State: s.GetState(), Leader: leader, Term: s.GetTerm(), Commit: s.GetCommit(),
			Applied: s.GetApplied(), Revision: s.GetRevision(), Orders: s.GetOrders(), Waiting: s.GetWaiting(), Confirmed: s.GetConfirmed(),
		})
		if leader && s.GetConfirmed() {
			result.Losable = s.GetLosable()
		}
		if best == nil || s.GetConfirmed() && !best.GetConfirmed() {
			best = s
		}
	}
	result.Drains = best.GetDrains()
	revisions := heardRevisions(all)
	for _, p := range best.GetRoster() {
		row := newProcessRow(p)
		row.Revision = max(row.Revision, revisions[p.GetProcess().GetIncarnation()])
		result.Processes = append(result.Processes, row)
	}
	return result
}

// heardRevisions returns the newest revision that any control VM has heard of, by
// incarnation. Control VMs don't tell each other of a process's new revision.
func heardRevisions(all []*wire.StatusResponse) map[string]uint64 {
	revisions := make(map[string]uint64)
	for _, s := range all {
		for _, p := range s.GetRoster() {
			i := p.GetProcess().GetIncarnation()
			revisions[i] = max(revisions[i], p.GetProcess().GetRevision())
		}
	}
	return revisions
}

func newProcessRow(p *wire.RosterChange) processRow {
	info := p.GetProcess()
	row := processRow{
		Name: info.GetName(), Role: info.GetRole(), FailureDomain: info.GetFailureDomain(), Target: p.GetTarget().GetName(),
		Service: p.GetTarget().GetService(), Revision: info.GetRevision(), SilentMs: p.GetSilentMs(), State: "ready",
	}
	switch {
	case roster.IsSilent(p):
		row.State = "silent"
	case info.GetLeaving():
		row.State = "leaving"
	case !info.GetReady():
		row.State = "not ready"
	}
	return row
}

func (r *statusResult) text(w io.Writer) error {
	t := newTable("control_vm", "state", "leader", "term", "applied", "revision", "orders", "waiting")
	for _, c := range r.Controls {
		t.add(c.Address, c.State, c.Leader, c.Term, c.Applied, c.Revision, c.Orders, c.Waiting)
	}
	if err := t.write(w); err != nil {
		return err
	}
	losable := "unknown, no leader answers"
	if r.Losable >= 0 {
		losable = fmt.Sprint(r.Losable)
	}
	if _, err := fmt.Fprintf(w, "\nControl VMs that may be lost now: %s\n\n", losable); err != nil {
		return err
	}
	t = newTable("process", "role", "failure_domain", "target", "service", "state", "revision")
	for _, p := range r.Processes {
		t.add(p.Name, p.Role, p.FailureDomain, p.Target, p.Service, p.State, p.Revision)
	}
	return t.write(w)
}
