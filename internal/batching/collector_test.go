package batching

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// recordingClient is a TargetClient that records what is released.
type recordingClient struct {
	mu       sync.Mutex
	released []string
}

func (c *recordingClient) Run(context.Context, *Call, time.Time) (CallOutcome, discovery.Notice) {
	return CallRejected{}, discovery.Notice{}
}

func (c *recordingClient) ReleaseResults(_ context.Context, _ Target, handles []string) (discovery.Notice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = append(c.released, handles...)
	return discovery.Notice{}, nil
}

func (c *recordingClient) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(slices.Values(c.released))
}

// Guards against results that were fetched and stay where memory is short, and against ones
// that are released where another attempt could use them.
func TestFetchedResultsAreReleasedWhereMemoryIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cat, err := catalog.New(catalog.Input{Version: 1, Services: []catalog.ServiceInput{{Name: "s", Batch: &invoicing}}})
		require.NoError(t, err)
		table := discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute})
		for _, id := range []string{"full", "free"} {
			table.Announce(&wire.RegisteredTarget{Id: id, Service: "s", Address: id + ":1", State: wire.TargetState_TARGET_STATE_READY, BornMs: 1, Sequence: 1}, time.Now())
		}
		m, client := metrics.New("test"), &recordingClient{}
		r := NewCollector(Options{Timers: timer.NewService(), Table: table, TargetClient: client, Metrics: m, Catalog: func() *catalog.Catalog { return cat }})
		r.service("s").update(func(s *Scheduler) { s.workers["full"].resultBytes = invoicing.ResultBytes })
		results := []*wire.PieceResult{{Handle: "full/1", Target: "full"}, {Handle: "free/1", Target: "free"}}
		_, err = r.FreeResults(t.Context(), &wire.FreeResultsRequest{Results: results, Fetched: true})
		require.NoError(t, err)
		time.Sleep(2 * releaseDelay)
		require.Equal(t, []string{"full/1"}, client.list())
		_, err = r.FreeResults(t.Context(), &wire.FreeResultsRequest{Results: results[1:]})
		require.NoError(t, err)
		time.Sleep(2 * releaseDelay)
		require.Equal(t, []string{"free/1", "full/1"}, client.list())
		require.NoError(t, r.Stop(t.Context()))
		require.NoError(t, m.Close())
	})
}
