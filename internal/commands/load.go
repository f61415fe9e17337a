package commands

import (
	"io"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/load"
	"github.com/cardamomline/cardamomline/internal/report"
)

// loadCommand sends a load and reports what it measured.
type loadCommand struct {
	mix      string
	entries  []string
	accounts []string
	out      *output
	write    string
}

func (c *loadCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send an open-loop load and check the promises against the stand-ins' accounts",
		Long: "Send an open-loop load and check the promises against the stand-ins' accounts.\n\n" +
			"Exit codes: 0 when all invariants hold, 1 when one is broken or the run failed.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return c.run(cmd) },
	}
	f := cmd.Flags()
	f.StringVar(&c.mix, "mix", "", "YAML file that describes the load")
	f.StringSliceVar(&c.entries, "entries", nil, "addresses of the entries, in place of those in the mix")
	f.StringSliceVar(&c.accounts, "accounts", nil, "URLs of the accounts, in place of those in the mix")
	f.StringVar(&c.write, "write", "", "file to write the run to as JSON")
	_ = cmd.MarkFlagRequired("mix")
	return cmd
}

func (c *loadCommand) run(cmd *cobra.Command) error {
	mix, err := load.ReadMix(c.mix)
	if err != nil {
		return err
	}
	if len(c.entries) > 0 {
		mix.Entries = c.entries
	}
	if len(c.accounts) > 0 {
		mix.Accounts = c.accounts
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	run, err := load.NewRunner(load.Options{Mix: mix}).Run(ctx)
	if err != nil {
		return err
	}
	if err := c.print(cmd, run); err != nil {
		return err
	}
	if n := len(run.Violations); n > 0 {
		return errors.Errorf("%d invariants are broken", n)
	}
	return nil
}

func (c *loadCommand) print(cmd *cobra.Command, run *report.Run) error {
	if c.write != "" {
		if err := run.Write(c.write); err != nil {
			return err
		}
	}
	return c.out.write(cmd.OutOrStdout(), run, func(w io.Writer) error {
		report.Table(w, run)
		return nil
	})
}
