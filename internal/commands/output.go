package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

var outputFormats = []string{outputTable, outputJSON}

// output writes results as text for people or as JSON for programs. It is also
// the value of the --output flag.
type output struct {
	format string
}

// addFlag declares --output for a command and all commands below it.
func (o *output) addFlag(cmd *cobra.Command) {
	o.format = outputTable
	cmd.PersistentFlags().VarP(o, "output", "o", "output format: table or json")
	err := cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(outputFormats, cobra.ShellCompDirectiveNoFileComp))
	if err != nil {
		panic(err) // the flag is declared above
	}
}

// String implements pflag.Value.
func (o *output) String() string { return o.format }

// Set implements pflag.Value.
func (o *output) Set(s string) error {
	if !slices.Contains(outputFormats, s) {
		return errors.Errorf("must be one of %s", strings.Join(outputFormats, ", "))
	}
	o.format = s
	return nil
}

// Type implements pflag.Value.
func (o *output) Type() string { return "format" }

// write writes the result as JSON, or else calls text.
func (o *output) write(w io.Writer, result any, text func(w io.Writer) error) error {
	if o.format != outputJSON {
		return text(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(result); err != nil {
		return errors.Wrap(err, "write result")
	}
	return nil
}

// table is a header and rows of cells.
type table struct {
	header []string
	rows   [][]string
}

// newTable returns a table without rows. Columns are named in snake case.
func newTable(columns ...string) *table {
	t := &table{}
	for _, c := range columns {
		t.header = append(t.header, strings.ToUpper(strings.ReplaceAll(c, "_", " ")))
	}
	return t
}

// add appends a row; missing cells stay empty.
func (t *table) add(cells ...any) {
	row := make([]string, len(t.header))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// write writes the table with aligned columns and no spaces at the end of a line.
func (t *table) write(w io.Writer) error {
	const gap = 2 // spaces between columns
	var b bytes.Buffer
	tw := tabwriter.NewWriter(&b, 0, 0, gap, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "align table")
	}
	for line := range strings.Lines(b.String()) {
		if _, err := fmt.Fprintln(w, strings.TrimRight(line, " \n")); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return nil
}
