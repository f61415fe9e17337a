package replica_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against calls that are blocked while a large state is encoded for a snapshot.
func TestSnapshotIsEncodedInTheBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 1)
		l := c.leader()
		l.store.encodeDelay.Store(int64(10 * time.Second))
		startedAt := time.Now()
		for i := range 3 * c.snapshotEntries {
			_, err := l.node.Propose(t.Context(), fmt.Append(nil, i))
			require.NoError(t, err)
		}
		require.Less(t, time.Since(startedAt), 5*time.Second)
		c.stopAll()
	})
}
