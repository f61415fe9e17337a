package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/examples"
	"github.com/cardamomline/cardamomline/internal/process"
)

const devStartTimeout = 30 * time.Second

// devCommand runs everything in one process.
type devCommand struct {
	example  string
	manifest string
	listen   string
	data     string
}

func (c *devCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run all roles and stand-ins in one process on loopback",
		Example: "  cardamomline dev\n" +
			"  cardamomline dev --example imanes --listen 127.0.0.1:8090",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return c.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	cmd.Flags().StringVar(&c.example, "example", "harbwr", "example manifest: harbwr or imanes")
	cmd.Flags().StringVar(&c.manifest, "manifest", "", "manifest file to use in place of an example")
	cmd.Flags().StringVar(&c.listen, "listen", "127.0.0.1:8080", "IP:port of the caller API")
	cmd.Flags().StringVar(&c.data, "data-folder", "", "folder to keep the state in; a temporary one when empty")
	return cmd
}

func (c *devCommand) run(ctx context.Context, w io.Writer) error {
	data, err := c.load()
	if err != nil {
		return err
	}
	folder := c.data
	if folder == "" {
		folder, err = os.MkdirTemp("", "cardamomline-dev-")
		if err != nil {
			return errors.Wrap(err, "temporary data folder")
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	d, err := process.NewDevCluster(process.DevOptions{Manifest: data, Listen: c.listen, DataFolder: folder})
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err := d.Start(startCtx); err != nil {
		_ = d.Stop(context.WithoutCancel(ctx))
		return err
	}
	_, _ = fmt.Fprintf(w, "cardamomline is ready: callers at http://%s, control VMs at %s, accounts at %s\n",
		d.EntryAddresses()[0], strings.Join(d.ControlAddresses(), ","), d.AccountsURL())
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), defaultStopTimeout)
	defer cancelStop()
	return d.Stop(stopCtx)
}

func (c *devCommand) load() ([]byte, error) {
	if c.manifest == "" {
		return examples.Manifest(c.example)
	}
	data, err := os.ReadFile(c.manifest)
	if err != nil {
		return nil, errors.Wrapf(err, "manifest %s", c.manifest)
	}
	return data, nil
}
