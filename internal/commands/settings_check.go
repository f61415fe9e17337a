package commands

import (
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/settings"
)

// settingsCheckCommand checks settings files without starting a process.
type settingsCheckCommand struct {
	out *output
}

func (c *settingsCheckCommand) command() *cobra.Command {
	checker := &check{
		out:     c.out,
		columns: []string{"role", "name", "failure_domain", "listen"},
		load:    c.load,
	}
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files and report every fault",
		Long: `Check the settings files of processes and report every fault with file, line
and column. No process is started. The exit code is 2 when a file can't be used.`,
		Example: `  cardamomline settings check examples/settings/entry-1.yaml
  cardamomline settings check --output json examples/settings/*.yaml`,
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: completeYAML,
		RunE:              checker.run,
	}
}

func (c *settingsCheckCommand) load(path string) ([]any, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	return []any{s.Role(), s.Name(), s.FailureDomain(), s.Listen()}, nil
}
