package commands

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// membersCommand lists the members of the replicated log.
type membersCommand struct {
	out     *output
	cluster cluster
}

// memberRow is one member as JSON shows it. Answers and CaughtUp are yes, no, or
// unknown when no leader answers.
type memberRow struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Leader        bool   `json:"leader"`
	Answers       string `json:"answers"`
	CaughtUp      string `json:"caught_up"`
}

func (c *membersCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "members",
		Short: "List the control VMs that are members, or remove one that is gone",
		Long: `List the control VMs that are members of the replicated log. A voter counts for the
quorum; a learner copies the state and becomes a voter once it has caught up.`,
		Example: "  cardamomline members\n  cardamomline members remove 0b7e4c1a-52a5-4f0e-9f6d-6d5c3b1a2f10",
		Args:    cobra.NoArgs, // refuses an unknown command
		RunE:    c.run,
	}
	c.cluster.addFlag(cmd)
	addCommands(cmd, &membersRemoveCommand{out: c.out})
	return cmd
}

func (c *membersCommand) run(cmd *cobra.Command, _ []string) error {
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	rows, err := memberRows(client.StatusAll(ctx))
	if err != nil {
		return err
	}
	t := newTable("member", "address", "failure_domain", "role", "leader", "answers", "caught_up")
	for _, r := range rows {
		t.add(r.ID, r.Address, r.FailureDomain, r.Role, r.Leader, r.Answers, r.CaughtUp)
	}
	return c.out.write(cmd.OutOrStdout(), rows, t.write)
}

// memberRows prefers the view of a leader that a quorum has confirmed.
func memberRows(all []*wire.StatusResponse) ([]memberRow, error) {
	var best *wire.StatusResponse
	leads := false
	for _, s := range all {
		confirmedLeader := s.GetConfirmed() && isLeader(s)
		if s != nil && !leads && (confirmedLeader || best == nil || s.GetConfirmed() && !best.GetConfirmed()) {
			best, leads = s, confirmedLeader
		}
	}
	if best == nil {
		return nil, fmt.Errorf("no control VM answers")
	}
	rows := make([]memberRow, 0, len(best.GetMembers()))
	for _, m := range best.GetMembers() {
		row := memberRow{
			ID: m.GetMember().GetId(), Address: m.GetMember().GetAddress(), FailureDomain: m.GetMember().GetFailureDomain(),
			Role: "voter", Leader: m.GetMember().GetId() == best.GetLeaderId(), Answers: "unknown", CaughtUp: "unknown",
		}
		if m.GetMember().GetLearner() {
			row.Role = "learner"
		}
		if leads {
			row.Answers, row.CaughtUp = yesNo(m.GetActive()), yesNo(m.GetCaughtUp())
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// membersRemoveCommand removes a member that is gone.
type membersRemoveCommand struct {
	out     *output
	cluster cluster
}

// removalResult is the result as JSON shows it.
type removalResult struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

func (c *membersRemoveCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "remove ID",
		Short: "Remove a control VM that is gone for good",
		Long: `Remove a control VM that is gone for good, so that it no longer counts for the
quorum. It is refused for the leader, for a VM that still answers, while another
member change runs, and when fewer voters than a quorum would be reachable. A
removed VM that comes back joins again.`,
		Example: "  cardamomline members remove 0b7e4c1a-52a5-4f0e-9f6d-6d5c3b1a2f10",
		Args:    cobra.ExactArgs(1),
		RunE:    c.run,
	}
	c.cluster.addFlag(cmd)
	return cmd
}

func (c *membersRemoveCommand) run(cmd *cobra.Command, args []string) error {
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.RemoveMember(ctx, args[0])
	if err != nil {
		return err
	}
	if resp.GetRefusal() != "" {
		return &refusalError{reason: resp.GetRefusal(), detail: resp.GetDetail(), code: removalCode(resp.GetRefusal())}
	}
	result := removalResult{ID: args[0], Address: resp.GetMember().GetAddress()}
	return c.out.write(cmd.OutOrStdout(), result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s at %s is no longer a member.\n", result.ID, result.Address)
		return err
	})
}

func removalCode(refusal string) int {
	switch refusal {
	case replica.RemovalUnknownMember:
		return ExitNotFound
	case replica.RemovalChangeInProgress:
		return ExitConflict
	}
	return ExitFailure
}
