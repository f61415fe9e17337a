package placement_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/agent"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/listener"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/placement"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	testManifest = `version: 1
classes: [{name: counter, priority: 0, deadline: 2s}]
customers: [{name: depot-milford, key: k, default_class: counter}]
models: [{name: bunker-7b, size: 8GB}, {name: stem-3b, size: 3GB}]
services:
  - {name: generators, kind: engine, operations: [{name: generate, idempotent: true, timeout: 4s}]}
pipelines:
  - name: quote-answer
    deadline: 6s
    default_class: counter
    stages: [{name: generate, service: generators, operation: generate, model: bunker-7b, expected: 600ms}]
  - name: stem-answer
    deadline: 6s
    default_class: counter
    stages: [{name: generate, service: generators, operation: generate, model: stem-3b, expected: 600ms}]
`
	readRate = 1_000_000_000
)

// site is a set of in-memory agents and engines with one roster that several
// control VMs share.
type site struct {
	t       *testing.T
	network *standin.MemoryNetwork
	timers  *timer.Service
	roster  *roster.Roster
	metrics *metrics.Metrics
	config  *configwatch.Watcher
	kernel  *kernel.Kernel
	store   *standin.Standin
	engines []*standin.Standin
	agents  []*agent.Agent
	fence   atomic.Uint64
	// confirmed is set if heartbeats get a response that a quorum confirmed.
	confirmed atomic.Bool
}

func onSite(t *testing.T, engines int, confirmed bool, test func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		ts := timer.NewService()
		s := &site{
			t: t, network: standin.NewMemoryNetwork(), timers: ts, roster: roster.New(roster.Options{Timer: ts, Epoch: "one"}),
			metrics: metrics.New("control"), config: configwatch.New(configwatch.Options{Timers: ts}), kernel: kernel.New(),
		}
		s.confirmed.Store(confirmed)
		require.NoError(t, s.config.Apply(&wire.ManifestRecord{Revision: 1, Manifest: []byte(testManifest)}))
		s.kernel.Register("metrics", closer{s.metrics})
		s.store = s.standin(standin.Options{Name: "weights", Kind: standin.KindWeightStore, ReadRate: readRate})
		for i := range engines {
			s.addEngine(i)
		}
		require.NoError(t, s.kernel.Start(context.Background()))
		test(s)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.kernel.Stop(ctx)
		for _, e := range append(s.engines, s.store) {
			e.Die()
		}
	})
}

type closer struct{ m *metrics.Metrics }

func (c closer) Stop(context.Context) error { return c.m.Close() }
func (c closer) Done() <-chan struct{}      { return nil }

func (s *site) standin(o standin.Options) *standin.Standin {
	o.Listen, o.Open, o.Timer = o.Name+":1", s.network.Listen, s.timers
	o.Client = &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}}
	target, err := standin.New(o)
	require.NoError(s.t, err)
	require.NoError(s.t, target.Start(context.Background()))
	return target
}

// addEngine adds an engine without models that ignores fencing tokens.
func (s *site) addEngine(i int) {
	name := fmt.Sprintf("engine-%d", i+1)
	target := s.standin(standin.Options{
		Name: name, Service: "generators", Kind: standin.KindEngine,
		Engine: standin.EngineOptions{WeightStore: "http://weights:1", ModelBytes: 8 * readRate},
	})
	s.engines = append(s.engines, target)
	a, err := agent.New(agent.Options{
		Timers: s.timers, Control: s, Config: s.config, Metrics: s.metrics, Name: "agent-" + name, TargetName: name, Service: "generators",
		TargetURL: "http://" + target.Address(), Address: "agent-" + name + ":1", FailureDomain: []string{"milford", "swansea"}[i%2], Dial: s.network.Dial,
	})
	require.NoError(s.t, err)
	l, err := s.network.Listen("agent-" + name + ":1")
	require.NoError(s.t, err)
	s.agents = append(s.agents, a)
	s.kernel.Register("server-"+name, listener.New(listener.Options{Listener: l, Handler: a.Handler()}))
	s.kernel.Register("agent-"+name, a)
}

// Heartbeat implements agent.Control.
func (s *site) Heartbeat(_ context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	return &wire.HeartbeatResponse{WantTarget: s.roster.Announce(r), Revision: 1, Confirmed: s.confirmed.Load(), Fence: s.fence.Load()}, nil
}

// controlVM is one control VM's view of leadership, which may be outdated.
type controlVM struct {
	s     *site
	leads atomic.Bool
	token atomic.Uint64
}

func (v *controlVM) Leading() (uint64, bool) { return 1, v.leads.Load() }

func (v *controlVM) GrantFence(context.Context) (uint64, error) {
	fence := v.s.fence.Add(1)
	v.token.Store(fence)
	return fence, nil
}

func (v *controlVM) Confirm(context.Context) error  { return nil }
func (v *controlVM) Manifest() *wire.ManifestRecord { return v.s.config.Current().Record() }
func (v *controlVM) Drains() []string               { return nil }

func (s *site) startRunner(leads bool) *controlVM {
	v := &controlVM{s: s}
	v.leads.Store(leads)
	r, err := placement.NewRunner(placement.Options{
		Timers: s.timers, Leader: v, Roster: s.roster, Metrics: s.metrics, Scope: "placement", Dial: s.network.Dial,
		Limits: placement.Limits{ReadRate: readRate},
	})
	require.NoError(s.t, err)
	require.NoError(s.t, r.Start(context.Background()))
	s.t.Cleanup(func() { _ = r.Stop(context.Background()) })
	return v
}

// copies returns the number of engines that report the model.
func (s *site) copies(model string) int {
	n := 0
	for _, t := range s.roster.Targets("generators") {
		for _, m := range t.GetModels() {
			if m == model && !t.GetSilent() {
				n++
			}
		}
	}
	return n
}

// orders returns the orders that reached the engine with the token.
func orders(e *standin.Standin, token uint64) (list []standin.EngineOrderRecord) {
	for _, o := range e.Account(0).EngineOrders {
		if o.Fence == token {
			list = append(list, o)
		}
	}
	return list
}

// Guards against engines that start without models and never get them, against
// reads above the limit of the weight store, and against further orders after all
// models are loaded.
func TestEnginesWithoutModelsGetThem(t *testing.T) {
	onSite(t, 3, true, func(s *site) {
		v := s.startRunner(true)
		time.Sleep(70 * time.Second)
		require.Equal(t, 2, s.copies("bunker-7b"))
		require.Equal(t, 2, s.copies("stem-3b"))
		reads := s.store.Account(0).Attempts
		require.Len(t, reads, 4)
		for i := 1; i < len(reads); i++ {
			require.GreaterOrEqual(t, reads[i].StartMS, reads[i-1].EndMS, "two reads at once")
		}
		sent := 0
		for _, e := range s.engines {
			sent += len(orders(e, v.token.Load()))
		}
		require.Equal(t, 4, sent)

		s.engines[0].Die()
		time.Sleep(5 * time.Second)
		require.NoError(t, s.engines[0].Start(context.Background()))
		time.Sleep(60 * time.Second)
		require.GreaterOrEqual(t, s.copies("bunker-7b"), 2)
		require.GreaterOrEqual(t, s.copies("stem-3b"), 2)
		v.leads.Store(false)
	})
}

// Guards against a former leader, unaware that it was replaced, whose orders run on
// engines that ignore tokens, and against one that continues after it received a
// newer token.
func TestDeposedLeaderIsRefused(t *testing.T) {
	onSite(t, 2, true, func(s *site) {
		old := s.startRunner(true)
		time.Sleep(70 * time.Second)
		require.Equal(t, 2, s.copies("bunker-7b"))
		before := len(orders(s.engines[0], old.token.Load()))

		s.fence.Add(1) // another leader's token, which no agent has heard yet
		s.engines[0].Die()
		time.Sleep(1500 * time.Millisecond)
		require.NoError(t, s.engines[0].Start(context.Background()))
		time.Sleep(60 * time.Second)
		require.Len(t, orders(s.engines[0], old.token.Load()), before, "an order of the former leader reached the engine")
		require.Equal(t, int64(1), s.metrics.Totals()["placement_deposed"], "the former leader continues")
		require.Equal(t, 1, s.copies("bunker-7b"))

		next := s.startRunner(true)
		time.Sleep(60 * time.Second)
		require.NotEmpty(t, orders(s.engines[0], next.token.Load()))
		require.Equal(t, 2, s.copies("bunker-7b"))
	})
}

// Guards against reads of a former leader that continue in parallel with those of
// the next one and together exceed the limit of the weight store.
func TestNewerTokenEndsRunningLoads(t *testing.T) {
	onSite(t, 2, true, func(s *site) {
		s.startRunner(true)
		time.Sleep(6500 * time.Millisecond)
		require.Len(t, s.store.Account(0).Attempts, 1)
		s.startRunner(true) // the first one goes on to believe that it leads
		time.Sleep(70 * time.Second)
		require.Equal(t, 2, s.copies("bunker-7b"))
		reads := s.store.Account(0).Attempts
		require.Equal(t, standin.StateCanceled, reads[0].State)
		for i := 1; i < len(reads); i++ {
			require.GreaterOrEqual(t, reads[i].StartMS, reads[i-1].EndMS, "two reads at once")
		}
	})
}

// Guards against a load that counts as failed and is delayed by a growing backoff
// because an agent has not received the token yet.
func TestOrderWaitsUntilTheAgentKnowsTheToken(t *testing.T) {
	onSite(t, 1, false, func(s *site) {
		v := s.startRunner(true)
		time.Sleep(7 * time.Second)
		require.Empty(t, orders(s.engines[0], v.token.Load()))
		require.Positive(t, s.metrics.Totals()["agent_engine_order_refusals/fence_not_learned"])
		s.confirmed.Store(true)
		time.Sleep(11 * time.Second)
		require.Equal(t, 1, s.copies("bunker-7b"))
		require.Zero(t, s.metrics.Totals()["placement_order_failures/load_model"])
	})
}

// saturate keeps all slots of the engines that have the model busy for d.
func (s *site) saturate(model string, d time.Duration) {
	ctx, cancel := context.WithTimeout(s.t.Context(), d)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}}
	var wg sync.WaitGroup
	for _, t := range s.roster.Targets("generators") {
		if !slices.Contains(t.GetModels(), model) {
			continue
		}
		for i := range t.GetSlots() {
			body, err := json.Marshal(standin.StageRequest{Attempt: fmt.Sprintf("%s-%d", t.GetName(), i), Request: "r", Customer: "depot-milford", Model: model, Input: "x", MaxTokens: 1_000_000})
			require.NoError(s.t, err)
			wg.Go(func() {
				r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.GetName()+":1/v1/stage/generate", bytes.NewReader(body))
				if resp, err := client.Do(r); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
		}
	}
	wg.Wait()
}

// Guards against a busy model that gets no further copy although the engines
// report their load, against a copy loaded for a short burst, and against a copy
// that is unloaded in the pause after the load.
func TestBusyModelGetsAnotherCopy(t *testing.T) {
	onSite(t, 4, true, func(s *site) {
		v := s.startRunner(true)
		time.Sleep(60 * time.Second)
		require.Equal(t, 2, s.copies("bunker-7b"))
		s.saturate("bunker-7b", 3*time.Second)
		time.Sleep(30 * time.Second)
		require.Equal(t, 2, s.copies("bunker-7b"), "a burst of 3 s cost a load")
		s.saturate("bunker-7b", 30*time.Second)
		require.Equal(t, 3, s.copies("bunker-7b"))
		require.Equal(t, 2, s.copies("stem-3b"))
		time.Sleep(5 * time.Minute)
		require.Equal(t, 3, s.copies("bunker-7b"))
		v.leads.Store(false)
	})
}
