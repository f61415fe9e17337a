package explain_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/tools/txtar"

	"github.com/cardamomline/cardamomline/internal/explain"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// pause is a time between two events of a timeline.
type pause time.Duration

// timelines are events and pauses, by the name of their text in the archive.
var timelines = map[string][]any{
	"pipeline": {
		explain.NewAccepted("branch-salto", "quote-answer", "counter", 6*time.Second), pause(3 * time.Millisecond),
		explain.NewAdmitted(3 * time.Millisecond),
		explain.NewDispatched("encode", "encoder-2", "uy-sur-a", "a1"), pause(9 * time.Millisecond),
		explain.NewFinished("encode", "encoder-2", 9*time.Millisecond),
		explain.NewDispatched("generate", "engine-4", "uy-sur-b", "a2"), pause(1250 * time.Millisecond),
		explain.NewMoved("generate", "engine-4", "engine-7", time.Second),
		explain.NewDispatched("generate", "engine-7", "uy-sur-a", "a3"), pause(20 * time.Millisecond),
		explain.NewRetried("generate", "engine-7", "connection_lost"),
		explain.NewDispatched("generate", "engine-1", "uy-sur-c", "a4"), pause(600 * time.Millisecond),
		explain.NewFinished("generate", "engine-1", 600*time.Millisecond),
		explain.NewTold("done", ""),
	},
	"order": {
		explain.NewAccepted("depot-milford", "release_fuel", "counter", 2*time.Second),
		explain.NewAdmitted(0), pause(4 * time.Millisecond),
		explain.NewClaimed("r17", "orders-core-1", "a1"),
		explain.NewDispatched("release_fuel", "orders-core-1", "milford", "a1"), pause(2 * time.Second),
		explain.NewSettled("r17", "unknown", "agent_unreachable"),
		explain.NewTold("unknown", "agent_unreachable"),
	},
	"refused": {
		explain.NewAccepted("depot-milford", "release_fuel", "counter", 2*time.Second),
		explain.NewRefused("no_quorum", "Fewer than two of the three control VMs answer."),
		explain.NewTold("not_run", "no_quorum"),
	},
}

// Guards against a timeline that a manager can't follow: each event must be there
// with its time, in plain words.
func TestTimelines(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/timelines.txtar")
	require.NoError(t, err)
	want := map[string]string{}
	for _, f := range archive.Files {
		want[f.Name] = string(f.Data)
	}
	for name, timeline := range timelines {
		synctest.Test(t, func(t *testing.T) {
			r := explain.New(explain.Options{Timer: timer.NewService()})
			for _, item := range timeline {
				switch i := item.(type) {
				case pause:
					time.Sleep(time.Duration(i))
				case explain.Event:
					r.Record(name, i)
				}
			}
			s, ok := r.Find(name)
			require.True(t, ok)
			require.Equal(t, want[name], s.Render(time.UTC))
		})
	}
	order := &wire.OrderRecord{
		Customer: "depot-milford", OrderId: "r17", Service: "orders-core", Operation: "release_fuel", Agent: "agent-orders-core-1",
		State: wire.OrderState_ORDER_STATE_UNKNOWN, Reason: "agent_unreachable",
		Events: []*wire.OrderEvent{{AtMs: 1_000, Text: "Claimed by entry-1 for attempt a1 at agent-orders-core-1."}, {AtMs: 3_250, Text: "Attempt a1 was recorded as unknown (agent_unreachable)."}},
	}
	require.Equal(t, want["order-record"], explain.Order(order, time.UTC))
	waiting := &wire.WaitingRecord{
		Id: "w5", Customer: "branch-salto", Pipeline: "certificate-summary", State: wire.WaitingState_WAITING_STATE_LEASED, Holder: "entry-2",
		DeadlineMs: 600_000, LeaseUntilMs: 75_000,
		Events: []*wire.OrderEvent{{AtMs: 0, Text: "Accepted from branch-salto for pipeline certificate-summary."}, {AtMs: 65_000, Text: "Taken up by entry-2."}},
	}
	require.Equal(t, want["waiting-record"], explain.Waiting(waiting, time.UTC))
}

// Guards against records that grow without bound, and against a request that
// loses its beginning or its end.
func TestRecorderIsBounded(t *testing.T) {
	r := explain.New(explain.Options{Requests: 3, Events: 4})
	for i := range 5 {
		r.Record(fmt.Sprintf("r%d", i), explain.NewAdmitted(0))
	}
	_, ok := r.Find("r1")
	require.False(t, ok)
	for i := range 20 {
		r.Record("r4", explain.NewRetried("encode", fmt.Sprintf("encoder-%d", i), "busy"))
	}
	_, ok = r.Find("r2")
	require.True(t, ok)
	s, ok := r.Find("r4")
	require.True(t, ok)
	text := s.Render(time.UTC)
	require.Contains(t, text, "admitted at once")
	require.Contains(t, text, "encoder-0 ")
	require.Contains(t, text, "(17 events left out)\n")
	require.Contains(t, text, "encoder-19")
	require.NotContains(t, text, "encoder-17 ")
}
