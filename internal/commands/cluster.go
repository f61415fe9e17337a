package commands

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
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

// connect returns a client of the control VMs and a context that bounds the
// command in time; cancel frees it.
func (c *cluster) connect(cmd *cobra.Command) (ctx context.Context, client *controlclient.Client, cancel context.CancelFunc, err error) {
	client, err = c.client()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel = context.WithTimeout(cmd.Context(), operatorTimeout)
	return ctx, client, cancel, nil
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

// refused returns the *refusalError of a result, or nil when it was accepted.
func refused(r *wire.Result) error {
	if r.GetRefusal() == "" {
		return nil
	}
	return &refusalError{reason: r.GetRefusal(), detail: r.GetDetail(), code: refusalCode(r.GetRefusal())}
}

func refusalCode(refusal string) int {
	switch refusal {
	case ledger.RefusedConflict, ledger.RefusedChangeReused:
		return ExitConflict
	case ledger.RefusedUnknownBase, ledger.RefusedOrderUnknown:
		return ExitNotFound
	}
	return ExitFailure
}

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
