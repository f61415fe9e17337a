package batching

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/evacuation"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// askedClient counts reports among the calls.
type askedClient struct{ noticeClient }

func (c *askedClient) Report(_ context.Context, t Target) (TargetReport, discovery.Notice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls["report of "+t.ID] = append(c.calls["report of "+t.ID], time.Since(c.began))
	return TargetReport{FreeBytes: invoicing.ResultBytes}, discovery.Notice{}, nil
}

// Guards against stage calls, reports and releases at targets of an evacuated domain, against stages that
// wait for such a target until their deadline, and against targets that stay unused after the
// revocation.
func TestCollectorLeavesEvacuatedTargetsAlone(t *testing.T) {
	const settled = 2 * minRefreshInterval
	synctest.Test(t, func(t *testing.T) {
		cat, err := catalog.New(catalog.Input{Version: 1, Services: []catalog.ServiceInput{{Name: "s", Batch: &invoicing}}})
		require.NoError(t, err)
		table, set, m := discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}), evacuation.NewSet(), metrics.New("test")
		client := &askedClient{noticeClient{began: time.Now(), calls: map[string][]time.Duration{}}}
		r := NewCollector(Options{Timers: timer.NewService(), Table: table, TargetClient: client, Metrics: m, Evacuations: set, Catalog: func() *catalog.Catalog { return cat }})
		for _, domain := range []string{"milford", "swansea"} {
			table.Announce(&wire.RegisteredTarget{Id: domain, FailureDomain: domain, Service: "s", Address: domain + ":1", State: wire.TargetState_TARGET_STATE_READY, BornMs: 1, Sequence: 1}, time.Now())
		}
		var stages sync.WaitGroup
		run := func() (calls map[string]int) {
			client.mu.Lock()
			clear(client.calls)
			client.mu.Unlock()
			for n := range 40 {
				stages.Go(func() {
					_, err := r.RunStage(t.Context(), &wire.RunStageRequest{RequestId: fmt.Sprint(n), Service: "s", Pieces: 1, ResultBytes: 1, ObjectiveLeftMs: 900, DeadlineLeftMs: 1000})
					require.NoError(t, err)
				})
				r.release([]Result{{Handle: "milford/1", Target: "milford"}})
				time.Sleep(20 * time.Millisecond)
			}
			client.mu.Lock()
			defer client.mu.Unlock()
			calls = map[string]int{}
			for target, at := range client.calls {
				calls[target] = len(at)
			}
			return calls
		}
		calls := run()
		require.NotZero(t, calls["milford"])
		require.NotZero(t, calls["swansea"])
		require.NotZero(t, calls["report of milford"])
		set.Adopt(1, []string{"milford"}, time.Now())
		time.Sleep(settled)
		released := len(client.list())
		require.NotZero(t, released)
		calls = run()
		require.Zero(t, calls["milford"])
		require.Zero(t, calls["report of milford"])
		require.NotZero(t, calls["swansea"])
		require.Len(t, client.list(), released)
		// Stages are waiting when the last domain is evacuated.
		set.Adopt(2, []string{"milford", "swansea"}, time.Now())
		time.Sleep(settled)
		stages.Wait()
		at := time.Now()
		resp, err := r.RunStage(t.Context(), &wire.RunStageRequest{RequestId: "r", Service: "s", Pieces: 1, ResultBytes: 1, ObjectiveLeftMs: 900, DeadlineLeftMs: 1000})
		require.NoError(t, err)
		require.Equal(t, wire.StageOutcome_STAGE_OUTCOME_REFUSED, resp.GetOutcome())
		require.NotZero(t, resp.GetRetryAfterMs())
		require.Zero(t, time.Since(at))
		require.Empty(t, run())
		set.Adopt(3, nil, time.Now())
		time.Sleep(settled)
		require.NotZero(t, run()["milford"])
		require.NoError(t, r.Stop(t.Context()))
		stages.Wait()
		require.NoError(t, m.Close())
	})
}
