package commands

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against a status that shows processes on an old revision because the control
// VM it believes hears them only through others, or because of an earlier incarnation.
func TestStatusShowsTheNewestRevisionHeard(t *testing.T) {
	view := func(confirmed bool, incarnation string, revision uint64) *wire.StatusResponse {
		return &wire.StatusResponse{Confirmed: confirmed, Roster: []*wire.RosterChange{{
			Process: &wire.ProcessInfo{Name: "agent-1", Role: "agent", Incarnation: incarnation, Revision: revision},
		}}}
	}
	result := newStatusResult([]string{"a", "b", "c", "d"}, []*wire.StatusResponse{
		view(true, "new", 7), view(false, "new", 8), view(false, "old", 9), nil,
	})
	require.Len(t, result.Processes, 1)
	require.Equal(t, uint64(8), result.Processes[0].Revision)
}
