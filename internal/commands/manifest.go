package commands

import (
	"github.com/spf13/cobra"
)

// manifestCommand groups the commands for the manifest.
type manifestCommand struct {
	out *output
}

func (c *manifestCommand) command() *cobra.Command {
	return newGroup(
		"manifest", "Check, compare and apply manifests",
		&manifestCheckCommand{out: c.out},
		&manifestDiffCommand{out: c.out},
		&manifestApplyCommand{out: c.out},
		&manifestShowCommand{out: c.out},
		&manifestHistoryCommand{out: c.out},
	)
}
