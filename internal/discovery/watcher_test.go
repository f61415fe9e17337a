package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against gateways that go back to a collector which was suspended or started
// again, while another one knows how the targets stand: two collectors then fill the
// targets' memory against each other.
func TestGatewaysStayWithTheLongestCollector(t *testing.T) {
	f := NewWatcher(WatcherOptions{Timers: timer.NewService(), Table: NewTable(Options{HeartbeatTimeout: time.Minute})})
	for _, address := range []string{"10.0.0.3:1", "10.0.0.1:1", "10.0.0.2:1"} {
		f.sources[address] = &source{}
	}
	hear := func(address string, collecting time.Duration) {
		f.answered(address, f.sources[address], &wire.WatchResponse{CatalogVersion: 1, CollectingMs: uint32(collecting.Milliseconds())})
	}
	hear("10.0.0.1:1", 0)
	hear("10.0.0.2:1", 0)
	hear("10.0.0.3:1", 0)
	require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, f.Collectors(), "by address at first")
	hear("10.0.0.2:1", 5*time.Second)
	require.Equal(t, "10.0.0.2:1", f.Collectors()[0])
	hear("10.0.0.1:1", time.Millisecond)
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.1:1", "10.0.0.3:1"}, f.Collectors(), "one that has just begun")
	hear("10.0.0.1:1", 5*time.Second+collectsSlack/2)
	require.Equal(t, "10.0.0.1:1", f.Collectors()[0], "as long as each other: by address")
	f.sources["10.0.0.1:1"].working = false
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.3:1"}, f.Collectors())
}
