package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Requirement P6: during a planned stop of the leading control VM, claims don't wait for an
// election timeout, and claims that reach the VM while it stops get a response.
func TestPlannedStopHandsOver(t *testing.T) {
	runWithCluster(t, func(c *cluster) {
		l := c.leader()
		client := c.client("entry-1", l, c.others(l)[0])
		claim := func(order string) {
			cmd := &wire.Command{Kind: &wire.Command_ClaimOrder{ClaimOrder: &wire.ClaimOrder{Customer: "depot", OrderId: order, Attempt: order, Agent: "a", Incarnation: "i"}}}
			r, err := client.Execute(c.context(time.Second), cmd)
			require.NoError(c.t, err)
			require.Empty(c.t, r.GetRefusal())
		}
		claim("before")
		time.Sleep(time.Second)
		term := l.node.Status().Term
		stopped := make(chan struct{})
		startedAt := time.Now()
		go func() {
			defer close(stopped)
			_ = l.kernel.Stop(context.Background())
			l.kernel = nil
		}()
		for i := range 20 {
			claim(fmt.Sprint("after-", i))
		}
		require.Less(c.t, time.Since(startedAt), 12*replica.TickPeriod, "one election timeout")
		<-stopped
		require.Equal(c.t, term+1, c.leader().node.Status().Term)
	})
}
