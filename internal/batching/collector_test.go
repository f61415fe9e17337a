package batching

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/stagelink"
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

// noticeClient is a TargetClient whose targets answer calls with notices and no result.
type noticeClient struct {
	recordingClient
	notices map[string]discovery.Notice
	calls   map[string][]time.Duration // since began, by target
	began   time.Time
}

func (c *noticeClient) Run(_ context.Context, call *Call, now time.Time) (CallOutcome, discovery.Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call.Target.ID] = append(c.calls[call.Target.ID], now.Sub(c.began))
	return CallRejected{}, c.notices[call.Target.ID]
}

// Guards against stage calls and releases at a target that leaves, has asked for a pause or has
// named a limit, by its answers alone: it announces itself as ready all the while. Stages that can only run at
// paused targets are rejected at once.
func TestCollectorLeavesTargetsAloneThatSaySo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cat, err := catalog.New(catalog.Input{Version: 1, Services: []catalog.ServiceInput{{Name: "s", Batch: &invoicing}}})
		require.NoError(t, err)
		table := discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute})
		client := &noticeClient{began: time.Now(), calls: map[string][]time.Duration{}, notices: map[string]discovery.Notice{
			"leaving": discovery.NewNotice(true, 0), "paused": discovery.NewNotice(false, 3*time.Second),
			// Both a call and a release may follow a pause.
			"limited": discovery.NewNotice(false, 0).WithLimit(pacing.RequestRate{PerSecond: 0.5}),
		}}
		m := metrics.New("test")
		r := NewCollector(Options{Timers: timer.NewService(), Table: table, TargetClient: client, Metrics: m, Catalog: func() *catalog.Catalog { return cat }})
		var wg sync.WaitGroup
		for n := range 120 {
			for _, id := range []string{"leaving", "paused", "limited"} {
				table.Announce(&wire.RegisteredTarget{Id: id, Service: "s", Address: id + ":1", State: wire.TargetState_TARGET_STATE_READY, BornMs: 1, Sequence: uint64(n + 1)}, time.Now())
			}
			wg.Go(func() {
				startedAt := time.Now()
				resp, err := r.RunStage(t.Context(), &wire.RunStageRequest{RequestId: "r", Service: "s", Pieces: 1, ResultBytes: 1, ObjectiveLeftMs: 900, DeadlineLeftMs: 1000})
				require.NoError(t, err)
				require.NotEqual(t, wire.StageOutcome_STAGE_OUTCOME_DONE, resp.GetOutcome())
				if left := 3*time.Second - startedAt.Sub(client.began); left > 1500*time.Millisecond && startedAt.Sub(client.began) > 200*time.Millisecond {
					require.Less(t, time.Since(startedAt), 100*time.Millisecond, "rejected at once")
				}
			})
			r.release([]Result{{Handle: "paused/1", Target: "paused"}})
			time.Sleep(50 * time.Millisecond)
			if now := time.Since(client.began); now > 300*time.Millisecond && now < 2900*time.Millisecond {
				require.LessOrEqual(t, len(client.list()), 2, "released in the pause")
			}
		}
		wg.Wait()
		require.NoError(t, r.Stop(t.Context()))
		require.NoError(t, m.Close())
		require.Len(t, client.calls["leaving"], 1)
		calls := client.calls["paused"]
		require.GreaterOrEqual(t, len(calls), 2, "used again after the pause")
		for i, at := range calls[1:] {
			require.GreaterOrEqual(t, at-calls[i], 3*time.Second)
		}
		calls = client.calls["limited"]
		require.GreaterOrEqual(t, len(calls), 2, "used within its limit")
		for i, at := range calls[1:] {
			require.GreaterOrEqual(t, at-calls[i], 3*time.Second)
		}
	})
}

// slowClient is a TargetClient whose calls take a time.
type slowClient struct {
	recordingClient
	takes time.Duration
}

func (c *slowClient) Run(ctx context.Context, call *Call, _ time.Time) (CallOutcome, discovery.Notice) {
	select {
	case <-time.After(c.takes):
	case <-ctx.Done():
		return CallFailed{Reason: "broken off"}, discovery.Notice{}
	}
	o := CallCompleted{}
	for i := range call.Pieces {
		o.Outcomes, o.Handles = append(o.Outcomes, PieceDone), append(o.Handles, fmt.Sprint(call.ID, "/", i))
	}
	return o, discovery.Notice{}
}

// Guards against a planned stop that breaks off the running calls of stages: their results fill
// the memory of their targets in vain, and the stages run again. Stages that wait for a call go
// to another collector at once, and the stop doesn't outlast its context.
func TestStoppingCollectorEndsItsCalls(t *testing.T) {
	for name, c := range map[string]struct {
		stop    time.Duration
		outcome wire.StageOutcome
	}{"in time": {5 * time.Second, wire.StageOutcome_STAGE_OUTCOME_DONE}, "too late": {100 * time.Millisecond, wire.StageOutcome_STAGE_OUTCOME_FAILED}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cat, err := catalog.New(catalog.Input{Version: 1, Services: []catalog.ServiceInput{{Name: "s", Batch: &invoicing}}})
				require.NoError(t, err)
				table := discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute})
				table.Announce(&wire.RegisteredTarget{Id: "a", Service: "s", Address: "a:1", State: wire.TargetState_TARGET_STATE_READY, BornMs: 1, Sequence: 1}, time.Now())
				m := metrics.New("test")
				r := NewCollector(Options{Timers: timer.NewService(), Table: table, TargetClient: &slowClient{takes: 400 * time.Millisecond}, Metrics: m, Catalog: func() *catalog.Catalog { return cat }})
				run := func() *wire.RunStageResponse {
					resp, err := r.RunStage(t.Context(), &wire.RunStageRequest{RequestId: "r", Service: "s", Pieces: 1, ResultBytes: 1, ObjectiveLeftMs: 2000, DeadlineLeftMs: 3000})
					require.NoError(t, err)
					return resp
				}
				running, waiting := make(chan *wire.RunStageResponse, 1), make(chan *wire.RunStageResponse, 1)
				go func() { running <- run() }()
				time.Sleep(150 * time.Millisecond) // the call begins after 100 ms
				go func() { waiting <- run() }()
				synctest.Wait()
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), c.stop)
				defer cancel()
				require.NoError(t, r.Stop(ctx))
				require.LessOrEqual(t, time.Since(began), min(c.stop, time.Second))
				require.Equal(t, c.outcome, (<-running).GetOutcome())
				require.Equal(t, stagelink.ReasonStopping, (<-waiting).GetReason())
				require.Equal(t, stagelink.ReasonStopping, run().GetReason())
				require.NoError(t, m.Close())
			})
		})
	}
}
