package commands

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const historyLength = 20

// manifestShowCommand prints a revision of the manifest.
type manifestShowCommand struct {
	out      *output
	cluster  cluster
	revision uint64
}

func (c *manifestShowCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Print the manifest in force, or an earlier revision",
		Example: "  cardamomline manifest show --revision 41",
		Args:    cobra.NoArgs,
		RunE:    c.run,
	}
	c.cluster.addFlag(cmd)
	cmd.Flags().Uint64Var(&c.revision, "revision", 0, "revision to print; 0 is the newest")
	return cmd
}

func (c *manifestShowCommand) run(cmd *cobra.Command, _ []string) error {
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.Query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Manifest{Manifest: &wire.ManifestQuery{Revision: c.revision}}})
	if err != nil {
		return err
	}
	if !resp.GetFound() {
		return &refusalError{reason: "not_found", detail: "no such revision is kept", code: ExitNotFound}
	}
	m := resp.GetManifest()
	return c.out.write(cmd.OutOrStdout(), newRevisionRow(m, true), func(w io.Writer) error {
		_, err := w.Write(m.GetManifest())
		return err
	})
}

// revisionRow is one revision as JSON shows it.
type revisionRow struct {
	Revision     uint64 `json:"revision"`
	BaseRevision uint64 `json:"base_revision"`
	Operator     string `json:"operator"`
	ChangeID     string `json:"change_id"`
	AcceptedAt   string `json:"accepted_at"`
	Manifest     string `json:"manifest,omitempty"`
}

func newRevisionRow(m *wire.ManifestRecord, whole bool) revisionRow {
	r := revisionRow{
		Revision: m.GetRevision(), BaseRevision: m.GetBaseRevision(), Operator: m.GetOperator(), ChangeID: m.GetChangeId(),
		AcceptedAt: clockTime(m.GetAtMs()),
	}
	if whole {
		r.Manifest = string(m.GetManifest())
	}
	return r
}

func clockTime(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// manifestHistoryCommand lists the accepted revisions.
type manifestHistoryCommand struct {
	out     *output
	cluster cluster
	count   int32
}

func (c *manifestHistoryCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the accepted revisions, newest first",
		Example: "  cardamomline manifest history --count 5",
		Args:    cobra.NoArgs,
		RunE:    c.run,
	}
	c.cluster.addFlag(cmd)
	cmd.Flags().Int32Var(&c.count, "count", historyLength, "number of revisions")
	return cmd
}

func (c *manifestHistoryCommand) run(cmd *cobra.Command, _ []string) error {
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.Query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_History{History: &wire.HistoryQuery{Max: c.count}}})
	if err != nil {
		return err
	}
	rows := make([]revisionRow, 0, len(resp.GetHistory()))
	t := newTable("revision", "base", "accepted_at", "operator", "change_id")
	for _, m := range resp.GetHistory() {
		r := newRevisionRow(m, false)
		rows = append(rows, r)
		t.add(r.Revision, r.BaseRevision, r.AcceptedAt, r.Operator, r.ChangeID)
	}
	return c.out.write(cmd.OutOrStdout(), rows, t.write)
}
