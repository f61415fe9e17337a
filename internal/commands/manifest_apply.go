package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/process"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// manifestApplyCommand puts a manifest into force.
type manifestApplyCommand struct {
	out      *output
	cluster  cluster
	base     int64
	changeID string
	operator string
	wait     bool
}

// applyResult is the result as JSON shows it.
type applyResult struct {
	Revision uint64   `json:"revision"`
	ChangeID string   `json:"change_id"`
	Repeated bool     `json:"repeated"`
	InForce  []string `json:"in_force,omitempty"`
	Behind   []string `json:"behind,omitempty"`
	Millis   int64    `json:"millis,omitempty"`
}

func (c *manifestApplyCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a manifest into force",
		Long: `Put a manifest into force. The change is accepted only when no other change came
after the base revision. A change that is sent again with the same change id gets
its first answer again and is never applied twice.

With --wait the command returns when the revision is in force at every live
process, or names those that did not confirm it within 4 s (exit code 5).`,
		Example: `  cardamomline manifest apply harbwr.yaml --wait
  cardamomline manifest apply harbwr.yaml --base 41 --change-id build-1187`,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeYAML,
		RunE:              c.run,
	}
	c.cluster.addFlag(cmd)
	cmd.Flags().Int64Var(&c.base, "base", -1, "revision that the change is based on; the current one when negative")
	cmd.Flags().StringVar(&c.changeID, "change-id", "", "identity of the change, for sending it again; random when empty")
	cmd.Flags().StringVar(&c.operator, "operator", "", "name to record; the user's by default")
	cmd.Flags().BoolVar(&c.wait, "wait", false, "wait until the revision is in force everywhere")
	return cmd
}

func (c *manifestApplyCommand) run(cmd *cobra.Command, args []string) error {
	if _, err := manifest.Load(args[0]); err != nil {
		return err
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return errors.Wrap(err, "read manifest")
	}
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	result, err := c.apply(ctx, client, data)
	if err != nil {
		return err
	}
	if c.wait {
		if err := c.rollout(ctx, client, result); err != nil {
			return err
		}
	}
	if err := c.out.write(cmd.OutOrStdout(), result, func(w io.Writer) error { return result.text(w) }); err != nil {
		return err
	}
	if len(result.Behind) > 0 {
		return &refusalError{reason: "partial", detail: "not confirmed by " + strings.Join(result.Behind, ", "), code: ExitPartial}
	}
	return nil
}

func (c *manifestApplyCommand) apply(ctx context.Context, client *controlclient.Client, data []byte) (*applyResult, error) {
	base := uint64(max(c.base, 0))
	if c.base < 0 {
		current, err := client.Query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Revision{Revision: &wire.RevisionQuery{}}})
		if err != nil {
			return nil, err
		}
		base = current.GetRevision()
	}
	if c.changeID == "" {
		c.changeID = attempt.NewID()
	}
	res, err := client.Execute(ctx, &wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{
		BaseRevision: base, ChangeId: c.changeID, Manifest: data, Operator: operatorName(c.operator),
	}}})
	if err != nil {
		return nil, errors.Wrapf(err, "change %s may or may not be accepted; send it again with --change-id %s --base %d", c.changeID, c.changeID, base)
	}
	if err := refused(res); err != nil {
		return nil, err
	}
	return &applyResult{Revision: res.GetRevision(), ChangeID: c.changeID, Repeated: res.GetRepeated()}, nil
}

func (c *manifestApplyCommand) rollout(ctx context.Context, client *controlclient.Client, result *applyResult) error {
	report, err := process.NewRollout(client, c.cluster.timers).Wait(ctx, result.Revision)
	if err != nil {
		return err
	}
	result.InForce, result.Behind, result.Millis = report.UpToDate(), report.Outdated(), report.Duration().Milliseconds()
	return nil
}

func (r *applyResult) text(w io.Writer) error {
	verb := "accepted"
	if r.Repeated {
		verb = "was accepted before"
	}
	if _, err := fmt.Fprintf(w, "Revision %d %s (change %s).\n", r.Revision, verb, r.ChangeID); err != nil {
		return err
	}
	if len(r.InForce) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "In force at %d processes after %d ms.\n", len(r.InForce), r.Millis)
	return err
}
