package commands

import (
	"bytes"
	"io"
	"os"

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
	compare  string
	cost     string
	plot     string
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
	f.StringVar(&c.compare, "compare", "", "file of an earlier run to print side by side")
	f.StringVar(&c.cost, "cost", "", "Markdown file to write the page on cost to")
	f.StringVar(&c.plot, "plot", "", "SVG or PNG file to draw latencies in")
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
	ctx, stop := untilSignal(cmd.Context())
	defer stop()
	run, err := load.NewRunner(load.Options{Mix: mix}).Run(ctx)
	if err != nil {
		return err
	}
	if err := c.writeFiles(run); err != nil {
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

// writeFiles writes the files that the flags name.
func (c *loadCommand) writeFiles(run *report.Run) error {
	if c.write != "" {
		if err := run.Write(c.write); err != nil {
			return err
		}
	}
	if c.cost != "" {
		var page bytes.Buffer
		report.CostPage(&page, run)
		if err := os.WriteFile(c.cost, page.Bytes(), 0o644); err != nil {
			return errors.Wrap(err, "write page on cost")
		}
	}
	if c.plot != "" {
		return report.Plot(c.plot, run)
	}
	return nil
}

func (c *loadCommand) print(cmd *cobra.Command, run *report.Run) error {
	return c.out.write(cmd.OutOrStdout(), run, func(w io.Writer) error {
		report.Table(w, run)
		if c.compare == "" {
			return nil
		}
		earlier, err := report.Read(c.compare)
		if err != nil {
			return err
		}
		report.Compare(w, earlier, run)
		return nil
	})
}
