// Package commands holds the command line of cardamomline.
//
// Each command is a small type that declares its flags and calls a package that
// knows nothing of the command line.
//
// # Usage
//
//	os.Exit(commands.Execute(os.Args[1:]))
package commands

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/settings"
)

// Exit codes of every command.
const (
	ExitOK       = 0 // the command did what was asked
	ExitFailure  = 1 // the command failed
	ExitUsage    = 2 // bad flags, arguments, settings or manifest
	ExitConflict = 3 // a compare-and-set lost against another change
	ExitNotFound = 4 // the named item doesn't exist
	ExitPartial  = 5 // accepted, but not yet in force everywhere
)

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	root := newRoot()
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cardamomline:", err)
		return exitCode(err)
	}
	return ExitOK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cardamomline",
		Short:         "Serve multi-stage model pipelines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newRole(settings.RoleEntry, "Run an entry: the caller API", "Run an entry. It has no disk; many run behind the platform's balancer."),
		newRole(settings.RoleAgent, "Run the agent beside a target", "Run the agent beside a target. Entries reach the target only through it."),
		newRole(settings.RoleControl, "Run a control VM", "Run a control VM, which holds part of the replicated state in its data folder."),
		newDev(),
		newStandin(),
		newLoad(),
	)
	return root
}

func exitCode(error) int {
	return ExitFailure
}
