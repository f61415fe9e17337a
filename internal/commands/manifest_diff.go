package commands

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// manifestDiffCommand compares two manifest files without a server.
type manifestDiffCommand struct {
	out *output
}

// manifestChange is one change as JSON shows it.
type manifestChange struct {
	Change   string `json:"change"`
	Kind     string `json:"kind"`
	Name     string `json:"name,omitempty"`
	Within   string `json:"within,omitempty"`
	Field    string `json:"field,omitempty"`
	Old      string `json:"old,omitempty"`
	New      string `json:"new,omitempty"`
	Sentence string `json:"sentence"`
}

func (c *manifestDiffCommand) command() *cobra.Command {
	return &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show what changes from one manifest to another",
		Long: `Show what changes from one manifest file to another, one sentence a line.

The comparison is by meaning: comments, formatting, written-out defaults and the
order of customers make no difference. Customer keys are not shown.`,
		Example: `  cardamomline manifest diff harbwr.yaml harbwr-new.yaml
  cardamomline manifest diff --output json harbwr.yaml harbwr-new.yaml`,
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeYAML,
		RunE:              c.run,
	}
}

func (c *manifestDiffCommand) run(cmd *cobra.Command, args []string) error {
	before, err := manifest.Load(args[0])
	if err != nil {
		return &inputError{err: err}
	}
	after, err := manifest.Load(args[1])
	if err != nil {
		return &inputError{err: err}
	}
	changes := manifest.Diff(before, after)
	list := make([]manifestChange, 0, len(changes))
	for _, change := range changes {
		list = append(list, newManifestChange(change))
	}
	return c.out.write(cmd.OutOrStdout(), list, func(w io.Writer) error {
		return writeSentences(w, list)
	})
}

func writeSentences(w io.Writer, list []manifestChange) error {
	if len(list) == 0 {
		_, err := fmt.Fprintln(w, "no changes")
		return err
	}
	for _, change := range list {
		if _, err := fmt.Fprintln(w, change.Sentence); err != nil {
			return err
		}
	}
	return nil
}

func newManifestChange(change manifest.Change) manifestChange {
	item := change.Item()
	result := manifestChange{Kind: item.Kind(), Name: item.Name(), Within: item.Within(), Sentence: change.String()}
	switch t := change.(type) {
	case *manifest.Added:
		result.Change = "added"
	case *manifest.Removed:
		result.Change = "removed"
	case *manifest.Changed:
		result.Change = "changed"
		result.Field = t.Field()
		result.Old = t.Old()
		result.New = t.New()
	}
	return result
}
