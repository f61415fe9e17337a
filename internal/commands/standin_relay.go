package commands

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/relay"
)

// relayCommand forwards connections between processes and cuts them.
type relayCommand struct {
	settings string
}

func (c *relayCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Forward connections between processes, to cut them for tests",
		Long: "Forward connections between processes, to cut them for tests.\n\n" +
			"Switched by HTTP on the admin address: POST /v1/cut and /v1/silence with\n" +
			`{"from": [NAMES], "to": [NAMES]}, POST /v1/heal, GET /v1/links.`,
		Example: "  cardamomline standin relay --settings relay.yaml",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.run(cmd) },
	}
	cmd.Flags().StringVar(&c.settings, "settings", "", "YAML file with the admin address, links and sources")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func (c *relayCommand) run(cmd *cobra.Command) error {
	config, err := relay.Load(c.settings)
	if err != nil {
		return &inputError{err: err}
	}
	ctx, stop := untilSignal(cmd.Context())
	defer stop()
	r := relay.New(config)
	k := kernel.New()
	k.Register("relay", r)
	if err := k.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "relay http://%s\n", r.AdminAddress())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), standinStopTime)
	defer cancel()
	return k.Stop(stopCtx)
}
