package commands

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const ordersListed = 100

// ordersCommand groups the commands for orders that must not repeat.
type ordersCommand struct {
	out *output
}

func (c *ordersCommand) command() *cobra.Command {
	return newGroup(
		"orders", "List and settle orders that must not repeat",
		&ordersListCommand{out: c.out},
		&ordersSettleCommand{out: c.out},
	)
}

// ordersListCommand lists the orders that need an operator.
type ordersListCommand struct {
	out     *output
	cluster cluster
}

// orderRow is one order as JSON shows it.
type orderRow struct {
	Customer  string `json:"customer"`
	OrderID   string `json:"order_id"`
	State     string `json:"state"`
	Operation string `json:"operation"`
	Agent     string `json:"agent"`
	ClaimedAt string `json:"claimed_at"`
	Reason    string `json:"reason,omitempty"`
}

func newOrderRow(r *wire.OrderRecord) orderRow {
	return orderRow{
		Customer: r.GetCustomer(), OrderID: r.GetOrderId(), State: orderState(r.GetState()), Operation: r.GetOperation(),
		Agent: r.GetAgent(), ClaimedAt: clockTime(r.GetClaimedMs()), Reason: r.GetReason(),
	}
}

func orderState(s wire.OrderState) string {
	switch s {
	case wire.OrderState_ORDER_STATE_CLAIMED:
		return "claimed"
	case wire.OrderState_ORDER_STATE_DONE:
		return "done"
	case wire.OrderState_ORDER_STATE_NOT_RUN:
		return "not_run"
	case wire.OrderState_ORDER_STATE_FAILED:
		return "failed"
	}
	return "unknown"
}

func (c *ordersListCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List orders of unknown outcome and orders past their deadline",
		Example: "  cardamomline orders list",
		Args:    cobra.NoArgs,
		RunE:    c.run,
	}
	c.cluster.addFlag(cmd)
	return cmd
}

func (c *ordersListCommand) run(cmd *cobra.Command, _ []string) error {
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.Query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Unsettled{Unsettled: &wire.UnsettledQuery{Max: ordersListed}}})
	if err != nil {
		return err
	}
	rows := make([]orderRow, 0, len(resp.GetOrders()))
	t := newTable("customer", "order_id", "state", "operation", "agent", "claimed_at", "reason")
	for _, o := range resp.GetOrders() {
		r := newOrderRow(o)
		rows = append(rows, r)
		t.add(r.Customer, r.OrderID, r.State, r.Operation, r.Agent, r.ClaimedAt, r.Reason)
	}
	return c.out.write(cmd.OutOrStdout(), rows, t.write)
}

// ordersSettleCommand records an operator's decision on an order.
type ordersSettleCommand struct {
	out      *output
	cluster  cluster
	state    string
	reason   string
	operator string
}

func (c *ordersSettleCommand) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settle CUSTOMER ORDER-ID",
		Short: "Record what became of an order whose outcome is unknown",
		Long: `Record what became of an order whose outcome is unknown, after asking at the depot
or in the core service. A later request with the same order id is told this
outcome. After not_run the order may be sent again.`,
		Example: `  cardamomline orders settle depot-milford release-17 --state done --reason "barge 3 was sent"`,
		Args:    cobra.ExactArgs(2),
		RunE:    c.run,
	}
	c.cluster.addFlag(cmd)
	cmd.Flags().StringVar(&c.state, "state", "", "done, failed or not_run")
	cmd.Flags().StringVar(&c.reason, "reason", "", "how the outcome was found out")
	cmd.Flags().StringVar(&c.operator, "operator", "", "name to record; the user's by default")
	_ = cmd.MarkFlagRequired("state")
	_ = cmd.MarkFlagRequired("reason")
	return cmd
}

func (c *ordersSettleCommand) run(cmd *cobra.Command, args []string) error {
	states := map[string]wire.OrderState{
		"done": wire.OrderState_ORDER_STATE_DONE, "failed": wire.OrderState_ORDER_STATE_FAILED, "not_run": wire.OrderState_ORDER_STATE_NOT_RUN,
	}
	state, ok := states[c.state]
	if !ok {
		return &usageError{err: fmt.Errorf("--state is %q, expected done, failed or not_run", c.state)}
	}
	ctx, client, cancel, err := c.cluster.connect(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	res, err := client.Execute(ctx, &wire.Command{Kind: &wire.Command_SettleOrder{SettleOrder: &wire.SettleOrder{
		Customer: args[0], OrderId: args[1], State: state, Reason: c.reason, Operator: operatorName(c.operator),
	}}})
	if err != nil {
		return err
	}
	if err := refused(res); err != nil {
		return err
	}
	row := newOrderRow(res.GetOrder())
	return c.out.write(cmd.OutOrStdout(), row, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "Order %s of %s is recorded as %s.\n", row.OrderID, row.Customer, row.State)
		return err
	})
}
