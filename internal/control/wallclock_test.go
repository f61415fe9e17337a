package control_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against a leader whose wall clock is a year ahead or behind and that ends a lease
// or expires a retained order early, or never ends the lease of a crashed entry. The leases
// last 6 s, like those of the entry role.
func TestWrongWallClock(t *testing.T) {
	const year = 365 * 24 * time.Hour
	for _, offset := range []time.Duration{year, -year} {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			runWithCluster(t, func(c *cluster) {
				l := c.leader()
				client := c.client("entry-1", c.vms...)
				execute := func(cmd *wire.Command) *wire.Result {
					r, err := client.Execute(c.context(5*time.Second), cmd)
					require.NoError(c.t, err)
					require.Empty(c.t, r.GetRefusal())
					return r
				}
				lease := func(entry string) int {
					return len(execute(&wire.Command{Kind: &wire.Command_LeaseWaiting{LeaseWaiting: &wire.LeaseWaiting{Entry: entry, Max: 1, LeaseMs: 6000}}}).GetWaiting())
				}
				execute(&wire.Command{Kind: &wire.Command_ClaimOrder{ClaimOrder: &wire.ClaimOrder{Customer: "c", OrderId: "o", Attempt: "a", Agent: "g", Incarnation: "i"}}})
				execute(&wire.Command{Kind: &wire.Command_RecordOutcome{RecordOutcome: &wire.RecordOutcome{Customer: "c", OrderId: "o", Attempt: "a", State: wire.OrderState_ORDER_STATE_DONE}}})
				execute(&wire.Command{Kind: &wire.Command_SubmitWaiting{SubmitWaiting: &wire.SubmitWaiting{Id: "w", Customer: "c", Pipeline: "p", SubmissionId: "s"}}})
				require.Equal(c.t, 1, lease("entry-1"))
				startedAt := time.Now()
				l.clockOffset.Store(int64(offset))
				time.Sleep(2 * time.Second)
				require.Zero(c.t, lease("entry-2"), "lease ended early by the leader whose clock jumped")
				c.crash(l)
				next := c.leader()
				next.clockOffset.Store(int64(offset))
				time.Sleep(5*time.Second - time.Since(startedAt))
				require.Zero(c.t, lease("entry-2"), "lease ended early by the next leader")
				time.Sleep(8*time.Second - time.Since(startedAt))
				require.Equal(c.t, 1, lease("entry-2"), "the lease of a crashed entry never ends")
				time.Sleep(30 * time.Second)
				_, kept := next.ledger.Order("c", "o")
				require.True(c.t, kept, "the order was expired early")
			})
		})
	}
}

// Guards against a new leader that stamps before it has applied the newest entries of its
// predecessor, and so continues from an older entry: with a slow and then a fast clock in
// between, it would end a lease after 4 s instead of 6 s.
func TestNewLeaderStampsAfterTheNewestEntry(t *testing.T) {
	const year = 365 * 24 * time.Hour
	const writeDelay = 100 * time.Millisecond
	runWithCluster(t, func(c *cluster) {
		startedAt := time.Now()
		until := func(d time.Duration) { time.Sleep(d - time.Since(startedAt)) }
		l := c.leader()
		execute := func(v *vm, cmd *wire.Command) *wire.Result {
			r, err := c.client("entry", v).Execute(c.context(5*time.Second), cmd)
			require.NoError(c.t, err)
			return r
		}
		lease := func(v *vm, entry string) int {
			return len(execute(v, &wire.Command{Kind: &wire.Command_LeaseWaiting{LeaseWaiting: &wire.LeaseWaiting{Entry: entry, Max: 1, LeaseMs: 6000}}}).GetWaiting())
		}
		execute(l, &wire.Command{Kind: &wire.Command_SubmitWaiting{SubmitWaiting: &wire.SubmitWaiting{Id: "w", Customer: "c", Pipeline: "p", SubmissionId: "s"}}})
		for _, v := range c.vms {
			v.clockOffset.Store(int64(year))
			v.writeDelay.Store(int64(writeDelay))
		}
		l.clockOffset.Store(-int64(year))
		// The entry that the leader writes every 10 s is the last one that the others
		// observe as applied.
		until(19 * time.Second)
		// At 7/8 the log's time has then advanced by 7.9 s since 10 s, at 9/8 by 10.1 s.
		require.Equal(c.t, 1, lease(l, "entry-1"))
		l.partitioned.Store(true) // before the others receive the commit index
		var calls sync.WaitGroup
		for _, v := range c.others(l) {
			calls.Go(func() {
				execute(v, &wire.Command{Kind: &wire.Command_ClaimOrder{ClaimOrder: &wire.ClaimOrder{Customer: "c", OrderId: v.address, Attempt: "a", Agent: "g", Incarnation: "i"}}})
			})
		}
		calls.Wait()
		// The duration of the election depends on the schedule of the goroutines. By now the
		// next leader has applied the lease, and its time advances at 9/8 from there. Its
		// estimate for reads lags by the latency of a commit, at most two writes, and by the
		// interval of 20 ms at which applied entries are observed.
		leaseEnd := time.Since(startedAt) + (6*time.Second*8)/9 + 2*writeDelay + 20*time.Millisecond
		until(23500 * time.Millisecond)
		require.Zero(c.t, lease(c.leader(), "entry-2"), "lease ended early")
		until(leaseEnd)
		require.Equal(c.t, 1, lease(c.leader(), "entry-2"), "lease ended late")
	})
}
