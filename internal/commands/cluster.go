package commands

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/timer"
)

const (
	// controlVariable names the control VMs when --control is not given.
	controlVariable = "CARDAMOMLINE_CONTROL"
	// operatorTimeout bounds one operator command.
	operatorTimeout = 10 * time.Second
)

// cluster reaches the control VMs for the operators' commands.
type cluster struct {
	addresses []string
	timers    *timer.Service
}

func (c *cluster) addFlag(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&c.addresses, "control", nil, "control VMs as IP:port, by default from "+controlVariable)
	c.timers = timer.NewService()
}

func (c *cluster) client() (*controlclient.Client, error) {
	if len(c.addresses) == 0 && os.Getenv(controlVariable) != "" {
		c.addresses = strings.Split(os.Getenv(controlVariable), ",")
	}
	if len(c.addresses) == 0 {
		return nil, &usageError{err: errors.Errorf("no control VM is known: give --control or set %s", controlVariable)}
	}
	return controlclient.New(controlclient.Options{Timers: c.timers, Addresses: c.addresses, Process: "operator"})
}

// context bounds a command in time.
func (c *cluster) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), operatorTimeout)
}

// refusalError is a command that the replicated state refused.
type refusalError struct {
	reason string
	detail string
	code   int
}

// Error implements error.
func (e *refusalError) Error() string { return e.reason + ": " + e.detail }

// ExitCode implements exitCoder.
func (e *refusalError) ExitCode() int { return e.code }

// operatorName is who the state records as the author of a change.
func operatorName(flag string) string {
	if flag != "" {
		return flag
	}
	if u := os.Getenv("USER"); u != "" {
		return u
	}
	return "operator"
}
