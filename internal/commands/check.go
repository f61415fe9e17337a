package commands

import (
	"fmt"
	"io"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
)

// check reads files, writes what it found and fails when a file has faults.
type check struct {
	out     *output
	columns []string // names of the details of a file, in snake case
	load    func(path string) (details []any, err error)
}

// checkedFile is the result for one file as JSON shows it.
type checkedFile struct {
	File    string         `json:"file"`
	OK      bool           `json:"ok"`
	Error   string         `json:"error,omitempty"`
	Faults  []fault        `json:"faults,omitempty"`
	Omitted int            `json:"faults_omitted,omitempty"`
	Details map[string]any `json:"details,omitempty"`
}

// fault is one fault of a file as JSON shows it.
type fault struct {
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Path     string `json:"path"`
	Found    string `json:"found"`
	Expected string `json:"expected"`
}

// checkError reports that files have faults.
type checkError struct {
	bad   int
	total int
}

// Error implements error.
func (e *checkError) Error() string {
	return fmt.Sprintf("%d of %d files can't be used", e.bad, e.total)
}

// ExitCode implements exitCoder.
func (e *checkError) ExitCode() int { return ExitUsage }

func (c *check) run(cmd *cobra.Command, paths []string) error {
	t := newTable(append([]string{"file", "result"}, c.columns...)...)
	results := make([]checkedFile, 0, len(paths))
	var failures []error
	for _, path := range paths {
		details, err := c.load(path)
		if err != nil {
			failures = append(failures, err)
		}
		result := c.result(path, details, err)
		results = append(results, result)
		t.add(append([]any{path, result.summary()}, details...)...)
	}
	err := c.out.write(cmd.OutOrStdout(), results, func(w io.Writer) error {
		if err := t.write(w); err != nil {
			return err
		}
		for _, failure := range failures {
			fmt.Fprintln(w, failure)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(failures) > 0 {
		return &checkError{bad: len(failures), total: len(paths)}
	}
	return nil
}

func (c *check) result(path string, details []any, err error) checkedFile {
	f := checkedFile{File: path, OK: err == nil}
	var faults *strictyaml.Errors
	switch {
	case err == nil:
		f.Details = make(map[string]any, len(details))
		for i, d := range details {
			f.Details[c.columns[i]] = d
		}
	case errors.As(err, &faults):
		f.Omitted = faults.Dropped()
		for _, one := range faults.List() {
			f.Faults = append(f.Faults, fault{Line: one.Line(), Column: one.Column(), Path: one.Path(), Found: one.Found(), Expected: one.Expected()})
		}
	default:
		f.Error = err.Error()
	}
	return f
}

func (f *checkedFile) summary() string {
	switch n := len(f.Faults) + f.Omitted; {
	case f.OK:
		return "ok"
	case f.Error != "":
		return "unreadable"
	case n == 1:
		return "1 fault"
	default:
		return strconv.Itoa(n) + " faults"
	}
}

// completeYAML completes the names of YAML files.
func completeYAML(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return []string{"yaml", "yml"}, cobra.ShellCompDirectiveFilterFileExt
}
