package commands

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/standin"
)

// standinStopTime bounds the time that calls in flight have at the end.
const standinStopTime = 10 * time.Second

// standinCommand serves the stand-ins of a settings file.
type standinCommand struct {
	settings string
	accounts string
}

func (c *standinCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Serve stand-ins for engines, pools, services and the weight store",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.run(cmd) },
	}
	cmd.Flags().StringVar(&c.settings, "settings", "", "YAML file with a list of stand-ins")
	cmd.Flags().StringVar(&c.accounts, "accounts", "", "address that serves the accounts of all stand-ins, also of dead ones")
	_ = cmd.MarkFlagRequired("settings")
	addCommands(cmd, &relayCommand{})
	return cmd
}

func (c *standinCommand) run(cmd *cobra.Command) error {
	settings, err := standin.LoadSettings(c.settings)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(cmd.Context())
	defer stop()
	k := kernel.New()
	var all []*standin.Standin
	for _, o := range settings.Standins {
		s, err := standin.New(o)
		if err != nil {
			return err
		}
		k.Register(o.Name, s)
		all = append(all, s)
	}
	if c.accounts != "" {
		k.Register("accounts", standin.NewAccounts(c.accounts, all...))
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	for _, s := range all {
		fmt.Fprintf(cmd.OutOrStdout(), "%s http://%s\n", s.Name(), s.Address())
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), standinStopTime)
	defer cancel()
	return k.Stop(stopCtx)
}
