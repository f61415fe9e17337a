// Package commands holds the command line of cardamomline.
//
// Each command is a small type that declares its flags and calls a package that
// knows nothing of the command line. To add a command, write such a type in a
// file of its own and list it in newRoot, or in its group.
//
// # Usage
//
//	os.Exit(commands.Execute(os.Args[1:]))
package commands

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/settings"
	"github.com/cardamomline/cardamomline/internal/strictyaml"
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

const exitCodeHelp = `Exit codes: 0 done, 1 failed, 2 bad flags, arguments, settings or manifest,
3 another change was faster, 4 not found, 5 accepted but not yet in force everywhere.`

// commander is implemented by every command.
type commander interface {
	command() *cobra.Command
}

// exitCoder is implemented by errors that have an exit code of their own.
type exitCoder interface {
	ExitCode() int
}

// usageError reports flags or arguments that were refused before the command ran.
type usageError struct {
	err error
}

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() + "; see --help" }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

// ExitCode implements exitCoder.
func (e *usageError) ExitCode() int { return ExitUsage }

// inputError reports a file named by the operator that can't be used.
type inputError struct {
	err error
}

// Error implements error.
func (e *inputError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *inputError) Unwrap() error { return e.err }

// ExitCode implements exitCoder.
func (e *inputError) ExitCode() int { return ExitUsage }

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	root := newRoot()
	root.SetArgs(args)
	ran := false
	trackRun(root, &ran)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	if !ran {
		err = &usageError{err: err}
	}
	fmt.Fprintln(os.Stderr, errorText(err))
	return exitCode(err)
}

func newRoot() *cobra.Command {
	out := &output{}
	root := &cobra.Command{
		Use:           "cardamomline",
		Short:         "Serve multi-stage model pipelines",
		Long:          "Serve multi-stage model pipelines and the plain services beside them.\n\n" + exitCodeHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	out.addFlag(root)
	addCommands(
		root,
		&roleCommand{role: settings.RoleEntry, short: "Run an entry: the caller API", long: "Run an entry. It has no disk; many run behind the platform's balancer."},
		&roleCommand{role: settings.RoleAgent, short: "Run the agent beside a target", long: "Run the agent beside a target. Entries reach the target only through it."},
		&roleCommand{role: settings.RoleControl, short: "Run a control VM", long: "Run a control VM, which holds part of the replicated state in its data folder."},
		&platformCommand{},
		&devCommand{},
		&standinCommand{},
		&loadCommand{out: out},
		&experimentCommand{out: out},
		&manifestCommand{out: out},
		&settingsCommand{out: out},
		&statusCommand{out: out},
		&membersCommand{out: out},
		&costsCommand{out: out},
		&drainCommand{out: out},
		&explainCommand{out: out},
		&ordersCommand{out: out},
		&capacityCommand{out: out},
	)
	return root
}

func addCommands(parent *cobra.Command, list ...commander) {
	for _, c := range list {
		parent.AddCommand(c.command())
	}
}

// newGroup returns a command that only holds other commands.
func newGroup(use, short string, list ...commander) *cobra.Command {
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs, // refuses an unknown command
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	addCommands(group, list...)
	return group
}

// trackRun sets ran when a command is run. Errors before that are cobra's and
// mean bad flags or arguments.
func trackRun(c *cobra.Command, ran *bool) {
	if run := c.RunE; run != nil {
		c.RunE = func(cmd *cobra.Command, args []string) error {
			*ran = true
			return run(cmd, args)
		}
	}
	for _, child := range c.Commands() {
		trackRun(child, ran)
	}
}

// errorText returns the message for an error. Faults in files start with the
// file name, so that editors and terminals can jump to them.
func errorText(err error) string {
	var faults *strictyaml.Errors
	if errors.As(err, &faults) {
		return faults.Error()
	}
	return "cardamomline: " + err.Error()
}

func exitCode(err error) int {
	var coder exitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	var faults *strictyaml.Errors
	if errors.As(err, &faults) {
		return ExitUsage
	}
	return ExitFailure
}
