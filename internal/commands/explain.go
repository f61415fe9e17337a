package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/entry"
	"github.com/cardamomline/cardamomline/internal/explain"
	"github.com/cardamomline/cardamomline/internal/logbook"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// explainCommand tells in plain sentences what happened to a request.
type explainCommand struct {
	out      *output
	cluster  cluster
	customer string
	logs     []string
}

// explanation is one source's account of a request as JSON shows it.
type explanation struct {
	Source string `json:"source"`
	Text   string `json:"text"`
}

func (c *explainCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Tell in plain sentences what happened to a request",
		Long: `Tell in plain sentences what happened to a request: when it was accepted, which
stage ran where and for how long, what was tried again and why, why it was refused.

Entries keep the newest requests in memory. Waiting requests, and orders when
--customer is given and REQUEST is an order id, are told from the durable state.

On the users' platform, --logs names files with what the processes wrote; the lines
about the request are told in order of their times, and no process is asked.`,
		Example: `  cardamomline explain c3790060-5814-43cc-a0e2-fe4b70427486
  cardamomline explain release-17 --customer depot-milford
  cardamomline explain 5715123228e3e79e --logs gateway-1.log,directory-1.log`,
		Args: cobra.ExactArgs(1),
		RunE: c.run,
	}
	c.cluster.addFlag(cmd)
	cmd.Flags().StringSliceVar(&c.logs, "logs", nil, "log files of gateways and directories to tell it from")
	cmd.Flags().StringVar(&c.customer, "customer", "", "customer whose order id REQUEST is")
	return cmd
}

func (c *explainCommand) run(cmd *cobra.Command, args []string) error {
	if len(c.logs) > 0 {
		return c.fromLogs(cmd, args[0])
	}
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	var found []explanation
	if c.customer != "" {
		found, err = c.order(ctx, client, args[0])
	} else {
		found, err = c.request(ctx, client, args[0])
	}
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return &refusalError{reason: "not_found", detail: "no entry and no durable record knows " + args[0], code: ExitNotFound}
	}
	return c.out.write(cmd.OutOrStdout(), found, func(w io.Writer) error {
		for _, f := range found {
			if _, err := fmt.Fprintf(w, "%s:\n%s\n", f.Source, f.Text); err != nil {
				return err
			}
		}
		return nil
	})
}

// fromLogs tells what log files say of a request.
func (c *explainCommand) fromLogs(cmd *cobra.Command, request string) error {
	var entries []logbook.Entry
	for _, path := range c.logs {
		f, err := os.Open(path)
		if err != nil {
			return &inputError{err: err}
		}
		found, err := logbook.Read(strings.TrimSuffix(filepath.Base(path), ".log"), f, request)
		_ = f.Close() // it was only read
		if err != nil {
			return err
		}
		entries = append(entries, found...)
	}
	if len(entries) == 0 {
		return &refusalError{reason: "not_found", detail: "no log names " + request, code: ExitNotFound}
	}
	logbook.Sort(entries)
	var told []explanation
	for _, e := range entries {
		told = append(told, explanation{Source: e.Source(), Text: e.Sentence()})
	}
	return c.out.write(cmd.OutOrStdout(), told, func(w io.Writer) error {
		for _, e := range told {
			if _, err := fmt.Fprintln(w, e.Text); err != nil {
				return err
			}
		}
		return nil
	})
}

// order tells the durable record of an order, and what the entry that handled it
// last still remembers.
func (c *explainCommand) order(ctx context.Context, client *controlclient.Client, id string) ([]explanation, error) {
	resp, err := client.Query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Order{Order: &wire.OrderQuery{Customer: c.customer, OrderId: id}}})
	if err != nil {
		return nil, err
	}
	if !resp.GetFound() {
		return nil, nil
	}
	found := []explanation{{Source: "durable record", Text: explain.Order(resp.GetOrder(), time.UTC)}}
	return append(found, c.entries(ctx, client, resp.GetOrder().GetRequest())...), nil
}

func (c *explainCommand) request(ctx context.Context, client *controlclient.Client, id string) ([]explanation, error) {
	found := c.entries(ctx, client, id)
	resp, err := client.Query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Waiting{Waiting: &wire.WaitingQuery{Id: id, Operator: true}}})
	if err != nil && len(found) == 0 {
		return nil, err
	}
	if resp.GetFound() {
		found = append(found, explanation{Source: "durable record", Text: explain.Waiting(resp.GetWaiting(), time.UTC)})
	}
	return found, nil
}

func (c *explainCommand) entries(ctx context.Context, client *controlclient.Client, id string) []explanation {
	var found []explanation
	for _, address := range adminAddresses(ctx, client) {
		var r entry.TimelineRecord
		if ok, err := getAdmin(ctx, address, "/records/"+id, &r); err == nil && ok {
			found = append(found, explanation{Source: r.Entry, Text: r.Text})
		}
	}
	return found
}
