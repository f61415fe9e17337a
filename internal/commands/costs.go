package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/entry"
)

const (
	adminTimeout = 2 * time.Second
	// maxAdminAnswer bounds what is read of one admin page, in bytes.
	maxAdminAnswer = 16 << 20
)

// costsCommand adds up what the entries' requests cost.
type costsCommand struct {
	out     *output
	cluster cluster
}

func (c *costsCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "costs",
		Short: "Show the cost by stage and customer since the entries' start",
		Long: `Show the cost by stage and customer, added up over all entries since their start:
seconds that targets worked, tokens, and the seconds spent on attempts that led to
no answer.`,
		Example: "  cardamomline costs -o json",
		Args:    cobra.NoArgs,
		RunE:    c.run,
	}
	c.cluster.addFlag(cmd)
	return cmd
}

func (c *costsCommand) run(cmd *cobra.Command, _ []string) error {
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	sum := make(map[string]*entry.CostRow)
	var rows []*entry.CostRow
	for _, address := range adminAddresses(ctx, client) {
		var part []*entry.CostRow
		if _, err := getAdmin(ctx, address, "/costs", &part); err != nil {
			fmt.Fprintln(cmd.ErrOrStderr(), "cardamomline:", err)
			continue
		}
		for _, p := range part {
			key := p.Customer + "/" + p.Stage
			if sum[key] == nil {
				sum[key] = &entry.CostRow{Customer: p.Customer, Stage: p.Stage}
				rows = append(rows, sum[key])
			}
			sum[key].BusySeconds += p.BusySeconds
			sum[key].Tokens += p.Tokens
			sum[key].WastedSeconds += p.WastedSeconds
		}
	}
	slices.SortFunc(rows, func(a, b *entry.CostRow) int {
		return strings.Compare(a.Stage+"/"+a.Customer, b.Stage+"/"+b.Customer)
	})
	return c.out.write(cmd.OutOrStdout(), rows, func(w io.Writer) error {
		t := newTable("stage", "customer", "busy_s", "tokens", "wasted_s")
		for _, r := range rows {
			t.add(r.Stage, r.Customer, fmt.Sprintf("%.2f", r.BusySeconds), r.Tokens, fmt.Sprintf("%.2f", r.WastedSeconds))
		}
		return t.write(w)
	})
}

// adminAddresses returns the admin addresses of the entries that announced themselves.
func adminAddresses(ctx context.Context, client *controlclient.Client) []string {
	var addresses []string
	for _, s := range client.StatusAll(ctx) {
		for _, p := range s.GetRoster() {
			a := p.GetProcess().GetAdmin()
			if a != "" && !slices.Contains(addresses, a) {
				addresses = append(addresses, a)
			}
		}
	}
	return addresses
}

// getAdmin reads a JSON page of an admin server. It reports false when the page
// has no such item.
func getAdmin(ctx context.Context, address, path string, into any) (found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false, errors.Wrapf(err, "admin address %s", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, errors.Wrapf(err, "ask %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotFound:
		return false, nil
	case http.StatusOK:
	default:
		return false, errors.Errorf("%s answered %s to %s", address, resp.Status, path)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAdminAnswer)).Decode(into); err != nil {
		return false, errors.Wrapf(err, "answer of %s", address)
	}
	return true, nil
}
