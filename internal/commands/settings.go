package commands

import (
	"github.com/spf13/cobra"
)

// settingsCommand groups the commands for the settings of processes.
type settingsCommand struct {
	out *output
}

func (c *settingsCommand) command() *cobra.Command {
	return newGroup(
		"settings", "Check the settings of processes",
		&settingsCheckCommand{out: c.out},
	)
}
