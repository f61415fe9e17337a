package commands

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/capacity"
	"github.com/cardamomline/cardamomline/internal/quorum"
)

// capacityCommand measures how cost grows with size.
type capacityCommand struct {
	out    *output
	only   []string
	folder string
	// placement prints the comparison of placements and measures nothing.
	placement bool
}

func (c *capacityCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how cost grows with size, and work out the figures at the target size",
		Long: "Measure on this machine how cost grows with size, and work out the figures at\n" +
			"the target size of docs/design.md by least squares. It starts processes of this\n" +
			"program on loopback, takes a few minutes, and ends what it started.",
		Example: "  cardamomline capacity --only nodes,requests\n" +
			"  cardamomline capacity --output json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return c.run(cmd) },
	}
	f := cmd.Flags()
	f.StringSliceVar(&c.only, "only", nil, "groups to measure: "+strings.Join(capacity.Groups(), ", ")+"; all but full, loaded, replicas, repair and snapshots when empty")
	f.StringVar(&c.folder, "folder", "", "folder for the files of the run; the system's temporary one when empty")
	f.BoolVar(&c.placement, "placement", false, "only compare placements of the control VMs by enumerated failures; table only")
	return cmd
}

func (c *capacityCommand) run(cmd *cobra.Command) error {
	if c.placement {
		return c.comparePlacements(cmd.OutOrStdout())
	}
	binary, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "path of this program")
	}
	ctx, stop := untilSignal(cmd.Context())
	defer stop()
	r, err := capacity.Run(ctx, capacity.Options{Binary: binary, Folder: c.folder, Only: c.only})
	if r == nil {
		return &usageError{err: err}
	}
	// What was measured before a failure is still printed.
	if writeErr := c.out.write(cmd.OutOrStdout(), r, func(w io.Writer) error { return c.table(w, r) }); err == nil {
		err = writeErr
	}
	return err
}

func (c *capacityCommand) comparePlacements(w io.Writer) error {
	rows, err := capacity.Placement()
	if err != nil {
		return err
	}
	t := newTable(quorum.Header()...)
	for _, r := range rows {
		var cells []any
		for _, cell := range r.Cells() {
			cells = append(cells, cell)
		}
		t.add(cells...)
	}
	return t.write(w)
}

func (c *capacityCommand) table(w io.Writer, r *capacity.Report) error {
	t := newTable("group", "quantity", "unit", "grows_with", "sizes", "values", "slope", "intercept", "residual", "target", "at_target")
	for _, m := range r.Measurements {
		t.add(m.Group, m.Quantity, m.Unit, m.GrowsWith, figures(m.Sizes), figures(m.Values), figure(m.Slope), figure(m.Intercept), figure(m.Residual), figure(m.Target), figure(m.AtTarget))
	}
	if err := t.write(w); err != nil {
		return err
	}
	for _, g := range capacity.Groups() {
		if s, ok := r.Seconds[g]; ok {
			fmt.Fprintf(w, "%s: %.0f s, cores busy %.0f%%\n", g, s, 100*r.Busy[g])
		}
	}
	return nil
}

func figures(all []float64) string {
	var b []string
	for _, v := range all {
		b = append(b, figure(v))
	}
	return strings.Join(b, " ")
}

// figure shows four significant digits.
func figure(v float64) string {
	const digits = 4
	s := strconv.FormatFloat(v, 'g', digits, 64)
	if f, err := strconv.ParseFloat(s, 64); err == nil {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return s
}
