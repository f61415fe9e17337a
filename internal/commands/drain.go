package commands

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// drainCommand stops new work for a target, or allows it again.
type drainCommand struct {
	out      *output
	cluster  cluster
	undo     bool
	operator string
}

// drainResult is the result as JSON shows it.
type drainResult struct {
	Target   string `json:"target"`
	Draining bool   `json:"draining"`
}

func (c *drainCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "drain TARGET",
		Short: "Stop new work for a target; running work ends",
		Long: `Stop new work for a target. The agent and the entries learn of it within 3 s;
running work ends. With --undo the target takes new work again.`,
		Example: "  cardamomline drain generators-2\n  cardamomline drain generators-2 --undo",
		Args:    cobra.ExactArgs(1),
		RunE:    c.run,
	}
	c.cluster.addFlag(cmd)
	cmd.Flags().BoolVar(&c.undo, "undo", false, "let the target take new work again")
	cmd.Flags().StringVar(&c.operator, "operator", "", "name to record; the user's by default")
	return cmd
}

func (c *drainCommand) run(cmd *cobra.Command, args []string) error {
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	res, err := client.Execute(ctx, &wire.Command{Kind: &wire.Command_SetDrain{SetDrain: &wire.SetDrain{
		Target: args[0], Draining: !c.undo, Operator: operatorName(c.operator),
	}}})
	if err != nil {
		return err
	}
	if err := refused(res); err != nil {
		return err
	}
	result := drainResult{Target: args[0], Draining: !c.undo}
	return c.out.write(cmd.OutOrStdout(), result, func(w io.Writer) error {
		if result.Draining {
			_, err := fmt.Fprintf(w, "%s gets no new work within 3 s.\n", result.Target)
			return err
		}
		_, err := fmt.Fprintf(w, "%s takes new work again.\n", result.Target)
		return err
	})
}
