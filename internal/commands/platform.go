package commands

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/logging"
	"github.com/cardamomline/cardamomline/platform"
)

// platformCommand runs a process on the users' platform.
type platformCommand struct {
	settings string
}

func (c *platformCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a gateway or directory on the users' platform",
		Long: "Run a process on the users' platform. Its settings say whether it is a gateway, which serves callers, " +
			"or a directory, which keeps the catalog of routes and the targets.",
		Example: "  " + platform.SettingsPathEnv + "=/etc/cardamomline/local.toml cardamomline platform",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.run(cmd.Context()) },
	}
	cmd.Flags().StringVar(&c.settings, "settings", os.Getenv(platform.SettingsPathEnv), "settings file of the platform (TOML)")
	return cmd
}

func (c *platformCommand) run(ctx context.Context) error {
	hangups := platform.NotifyHangups()
	s, err := platform.LoadSettings(c.settings)
	if err != nil {
		return &inputError{err: err}
	}
	log := logging.Install(os.Stdout)
	defer func() { _ = log.Stop(ctx) }()
	return platform.Run(ctx, s, hangups)
}
