package commands

import (
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// manifestCheckCommand checks manifest files without a server.
type manifestCheckCommand struct {
	out *output
}

func (c *manifestCheckCommand) command() *cobra.Command {
	checker := &check{
		out:     c.out,
		columns: []string{"classes", "customers", "models", "services", "pipelines"},
		load:    c.load,
	}
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check manifest files and report every fault",
		Long: `Check manifest files and report every fault with file, line and column.

It needs no server, so that a build pipeline can run it before a change is
applied. The exit code is 2 when a file can't be used.`,
		Example: `  cardamomline manifest check examples/harbwr.yaml
  cardamomline manifest check --output json build/*.yaml`,
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: completeYAML,
		RunE:              checker.run,
	}
}

func (c *manifestCheckCommand) load(path string) ([]any, error) {
	m, err := manifest.Load(path)
	if err != nil {
		return nil, err
	}
	return []any{len(m.Classes()), len(m.Customers()), len(m.Models()), len(m.Services()), len(m.Pipelines())}, nil
}
