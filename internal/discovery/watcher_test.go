package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against gateways that return to a collector that was suspended or restarted while
// another collector knows the state of the targets. Two collectors would then compete for
// the targets' memory.
func TestGatewaysStayWithTheLongestCollector(t *testing.T) {
	w := NewWatcher(WatcherOptions{Timers: timer.NewService(), Table: NewTable(Options{HeartbeatTimeout: time.Minute})})
	for _, address := range []string{"10.0.0.3:1", "10.0.0.1:1", "10.0.0.2:1"} {
		w.controlVMs[address] = &controlVM{}
	}
	respond := func(address string, collecting time.Duration) {
		w.handleResponse(address, w.controlVMs[address], &wire.WatchResponse{CatalogVersion: 1, CollectingMs: uint32(collecting.Milliseconds())})
	}
	respond("10.0.0.1:1", 0)
	respond("10.0.0.2:1", 0)
	respond("10.0.0.3:1", 0)
	require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, w.Collectors(), "sorted by address before any of them collects")
	respond("10.0.0.2:1", 5*time.Second)
	require.Equal(t, "10.0.0.2:1", w.Collectors()[0])
	respond("10.0.0.1:1", time.Millisecond)
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.1:1", "10.0.0.3:1"}, w.Collectors(), "a collector that has just started")
	respond("10.0.0.1:1", 5*time.Second+collectorStartTolerance/2)
	require.Equal(t, "10.0.0.1:1", w.Collectors()[0], "equal within the tolerance: sorted by address")
	w.controlVMs["10.0.0.1:1"].responsive = false
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.3:1"}, w.Collectors())
}
