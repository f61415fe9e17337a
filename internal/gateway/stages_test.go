package gateway

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/stagelink"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// collectors is a CollectorList and a StageRunner. A collector in broken fails each stage, and
// one in lost loses its connection with the next stage.
type collectors struct {
	list   []string
	broken []string
	lost   []string
	silent []string // doesn't respond to watches
	asked  []string
	// fetched counts the messages that results have been fetched.
	fetched int
}

func (c *collectors) Collectors() []string { return c.list }

func (c *collectors) AvailabilityContext(address string) context.Context {
	if !slices.Contains(c.silent, address) {
		return context.Background()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (c *collectors) RespondedSince(address string, _ time.Time) bool {
	return !slices.Contains(c.silent, address)
}

func (c *collectors) RunStage(_ context.Context, address string, _ *wire.RunStageRequest) (*wire.RunStageResponse, error) {
	c.asked = append(c.asked, address)
	if i := slices.Index(c.lost, address); i >= 0 {
		c.lost = slices.Delete(c.lost, i, i+1)
		return nil, &stagelink.LinkError{}
	}
	if slices.Contains(c.broken, address) {
		// The watch of a collector that has ended breaks off as well, and it leaves the list.
		c.list = slices.DeleteFunc(slices.Clone(c.list), func(a string) bool { return a == address })
		c.silent = append(c.silent, address)
		return nil, &stagelink.LinkError{}
	}
	return &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_DONE}, nil
}

func (c *collectors) FreeResults(_ context.Context, _ string, r *wire.FreeResultsRequest) error {
	if r.GetFetched() {
		c.fetched++
	}
	return nil
}

// Guards against gateways that spread their stages over several collectors after one has
// failed, which then fill the memory of the targets against each other: all go to the next one
// in the list, whether the failed one has left the list already or not. Guards also against a
// stage that leaves a collector because one connection to it has ended.
func TestFailedCollectorIsFollowedByTheNextOne(t *testing.T) {
	for name, c := range map[string]struct {
		collectors collectors
		asked      []string
	}{
		"works":           {collectors: collectors{}, asked: []string{"a"}},
		"ended":           {collectors: collectors{broken: []string{"a"}}, asked: []string{"a", "b"}},
		"two ended":       {collectors: collectors{broken: []string{"a", "b"}}, asked: []string{"a", "b", "c"}},
		"connection lost": {collectors: collectors{lost: []string{"a"}}, asked: []string{"a", "a"}},
		"lost twice":      {collectors: collectors{lost: []string{"a", "a"}}, asked: []string{"a", "a", "b"}},
		"lost and silent": {collectors: collectors{lost: []string{"a"}, silent: []string{"a"}}, asked: []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.collectors.list = []string{"a", "b", "c"}
				client := newStageClient(t.Context(), timer.NewService(), &c.collectors, &c.collectors)
				startedAt := time.Now()
				_, err := client.run(t.Context(), &wire.RunStageRequest{})
				require.NoError(t, err)
				require.Equal(t, c.asked, c.collectors.asked)
				require.Zero(t, time.Since(startedAt))
			})
		})
	}
}

// Guards against a stream whose target fails after some events, and whose stages are then
// refused because its first event would come too late: its caller waits from the last event on.
func TestStreamThatGoesOnHasTimeFromItsLastEvent(t *testing.T) {
	began := time.Unix(1000, 0)
	cat, err := catalog.New(catalog.Input{
		Version: 1, Services: []catalog.ServiceInput{{Name: "engines"}},
		Routes: []catalog.RouteInput{{
			Name: "chat", Host: "h", Prefix: "/", Kind: catalog.Stream, Timeout: 20 * time.Second, ClientEventTimeout: 4 * time.Second,
			Split: []catalog.WeightedService{{Service: "engines", Weight: 1}},
		}},
	})
	require.NoError(t, err)
	x := &exchange{route: cat.Routes()[0], began: began, deadline: began.Add(20 * time.Second)}
	require.Equal(t, began.Add(4*time.Second), x.nextEventBy())
	x.started = true
	require.Equal(t, began.Add(4*time.Second), x.nextEventBy(), "only the header was passed on")
	x.eventAt = began.Add(9 * time.Second)
	require.Equal(t, began.Add(13*time.Second), x.nextEventBy())
	x.eventAt = began.Add(18 * time.Second)
	require.Equal(t, x.deadline, x.nextEventBy())
}

// Load pattern: engines without free slots fetch the results of stages late. Guards against
// results that are released before, so that the stages of every request run twice while the
// engines are busy.
func TestResultsAreHeldWhileEnginesFetchLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, list := timer.NewService(), &collectors{list: []string{"a"}}
		g := &Gateway{o: Options{Timers: ts}, startedAt: ts.Now()}
		in := &inputs{client: newStageClient(t.Context(), ts, list, list)}
		in.add(0, []*wire.PieceResult{{Handle: "h"}})
		in.last = []*wire.PieceResult{{Handle: "h"}}
		attempt := func() bool {
			x := &exchange{g: g}
			before := list.fetched
			x.awaitFetch(t.Context(), in, make(chan struct{}))
			require.Equal(t, x.released.Load(), list.fetched > before)
			return list.fetched > before
		}
		for i := range 2 * releaseWindow {
			require.True(t, attempt())
			if i%20 == 0 {
				require.False(t, g.release.recordMiss(ts.Now()), "results are also lost with their targets")
			}
		}
		held := false
		for range releaseWindow / 5 {
			held = held || g.release.recordMiss(ts.Now())
		}
		require.True(t, held)
		require.False(t, attempt())
		time.Sleep(holdTime)
		require.True(t, attempt())
		answered := make(chan struct{})
		close(answered)
		before := list.fetched
		(&exchange{g: g}).awaitFetch(t.Context(), in, answered)
		require.Equal(t, before, list.fetched, "results of an answer that has begun are given up in full")
	})
}

// Load pattern: all machines start again under load, and most callers return once. Guards
// against callers that return before the control VMs have a leader, and are refused again, and
// against a burst of all of them at one moment.
func TestCallersReturnWhenAStartedSystemServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := timer.NewService()
		g := &Gateway{o: Options{Timers: ts}, startedAt: ts.Now()}
		var earliest, latest time.Duration
		for ; g.sinceStart() < electionTime-unsureRetry; time.Sleep(time.Millisecond) {
			at := g.sinceStart() + g.catalogRetry()
			require.GreaterOrEqual(t, at, electionTime)
			require.LessOrEqual(t, at, electionTime+startupSpread)
			if earliest == 0 || at < earliest {
				earliest = at
			}
			latest = max(latest, at)
		}
		require.Greater(t, latest-earliest, startupSpread/2)
		time.Sleep(startupTime)
		require.Equal(t, unsureRetry, g.catalogRetry(), "no restart of all machines takes that long")
	})
}
