package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/process"
	"github.com/cardamomline/cardamomline/internal/settings"
)

const defaultStopTimeout = 30 * time.Second

// roleCommand runs one process of the role that its settings must name.
type roleCommand struct {
	role        settings.Role
	short       string
	long        string
	settings    string
	stopTimeout time.Duration
}

func (c *roleCommand) command() *cobra.Command {
	role := string(c.role)
	cmd := &cobra.Command{
		Use:     role,
		Short:   c.short,
		Long:    c.long,
		Example: "  cardamomline " + role + " --settings examples/settings/" + role + "-1.yaml",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.run(cmd.Context()) },
	}
	cmd.Flags().StringVar(&c.settings, "settings", "", "settings file of this process (YAML)")
	cmd.Flags().DurationVar(&c.stopTimeout, "stop-timeout", defaultStopTimeout, "longest time to wait for running requests after SIGTERM or SIGHUP")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func (c *roleCommand) run(ctx context.Context) error {
	s, err := settings.Load(c.settings)
	if err != nil {
		return err
	}
	if s.Role() != c.role {
		return errors.Errorf("%s: role is %s, but the command is %s", c.settings, s.Role(), c.role)
	}
	process.SetNodeGCPercent(s.Role())
	k, err := process.New(s, process.Options{})
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	return process.Run(ctx, k, s.Name(), c.stopTimeout)
}

// untilSignal returns a context that ends at SIGTERM, at an interrupt, or at SIGHUP unless it is
// ignored, as under nohup.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	signals := []os.Signal{syscall.SIGTERM, syscall.SIGINT}
	if !signal.Ignored(syscall.SIGHUP) {
		signals = append(signals, syscall.SIGHUP)
	}
	return signal.NotifyContext(ctx, signals...)
}
