package commands

import (
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/experiment"
)

// experimentCommand runs scenarios under several policies side by side.
type experimentCommand struct {
	out *output
	o   experiment.Options
}

func (c *experimentCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Run scenarios under several policies side by side",
		Long: `Run scenarios under several policies side by side: the same load, seeds, stand-ins
and faults for each. It writes a JSON file for each run, the table, and a plot
(attainment.svg) to the folder. With --ceiling it first measures, for a scenario beyond
capacity, how many of the interactive requests the targets can answer in time when an
even part of them is left out beforehand (14 more runs), and prints the attainment as a
share of that. The exit code is 1 when a run could not be made.`,
		Example: `  cardamomline experiment --example harbwr --folder out
  cardamomline experiment --example imanes --scenarios steady,overload --duration 30s --folder out
  cardamomline experiment --example harbwr --scenarios overload --ceiling --duration 16s --folder out`,
		Args: cobra.NoArgs,
		RunE: c.run,
	}
	f := cmd.Flags()
	f.StringVar(&c.o.Example, "example", "harbwr", "harbwr or imanes")
	f.StringSliceVar(&c.o.Scenarios, "scenarios", nil, "names of scenarios; all when empty")
	f.StringSliceVar(&c.o.Policies, "policies", nil, "policies; baseline and adaptive when empty")
	f.DurationVar(&c.o.Duration, "duration", 20*time.Second, "length of each run")
	f.Uint64Var(&c.o.Seed, "seed", 0, "seed of the arrivals; the mix's when 0")
	f.BoolVar(&c.o.Ceiling, "ceiling", false, "measure what capacity allows in scenarios beyond it")
	f.StringVar(&c.o.Folder, "folder", "out", "folder for the results")
	return cmd
}

func (c *experimentCommand) run(cmd *cobra.Command, _ []string) error {
	e, err := experiment.New(c.o)
	if err != nil {
		return &usageError{err: err}
	}
	ctx, stop := untilSignal(cmd.Context())
	defer stop()
	rows, err := e.Run(ctx)
	if err != nil {
		return err
	}
	if err := experiment.Plot(filepath.Join(c.o.Folder, "attainment.svg"), rows); err != nil {
		return err
	}
	return c.out.write(cmd.OutOrStdout(), rows, func(w io.Writer) error { return experiment.Table(w, rows) })
}
