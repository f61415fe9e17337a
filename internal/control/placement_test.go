package control_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/agent"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/control"
	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/listener"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const placementManifest = `version: 1
classes: [{name: counter, priority: 0, deadline: 2s}]
customers: [{name: depot-milford, key: k, default_class: counter}]
models: [{name: bunker-7b, size: 4GB}]
services:
  - {name: generators, kind: engine, operations: [{name: generate, idempotent: true, timeout: 4s}]}
pipelines:
  - name: quote-answer
    deadline: 6s
    default_class: counter
    stages: [{name: generate, service: generators, operation: generate, model: bunker-7b, expected: 600ms}]
`

// engine is a stand-in engine that ignores fencing tokens, with its agent.
type engine struct {
	*standin.Standin
	address string
}

// addEngine starts an engine without models. Its agent uses the given VMs.
func (c *cluster) addEngine(name, domain string, vms ...*vm) *engine {
	target, err := standin.New(standin.Options{
		Name: name, Service: "generators", Kind: standin.KindEngine, Listen: name + ":1", Open: c.network.Listen, Timer: c.timers,
		Client: &http.Client{Transport: &directTransport{c: c}}, Engine: standin.EngineOptions{ModelLoad: 4 * time.Second},
	})
	require.NoError(c.t, err)
	require.NoError(c.t, target.Start(context.Background()))
	client, m := c.client("agent-"+name, vms...), metrics.New("agent")
	watcher := configwatch.New(configwatch.Options{Timers: c.timers, Source: client, Process: "agent-" + name})
	a, err := agent.New(agent.Options{
		Timers: c.timers, Control: client, Config: watcher, Metrics: m, Name: "agent-" + name, TargetName: name, Service: "generators",
		TargetURL: "http://" + target.Address(), Address: "agent-" + name + ":1", FailureDomain: domain, Dial: c.network.Dial,
	})
	require.NoError(c.t, err)
	l, err := c.network.Listen("agent-" + name + ":1")
	require.NoError(c.t, err)
	k := kernel.New()
	k.Register("metrics", metricsStopper{m})
	k.Register("server", listener.New(listener.Options{Listener: l, Handler: a.Handler()}))
	k.Register("config", watcher)
	k.Register("agent", a)
	require.NoError(c.t, k.Start(context.Background()))
	c.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = k.Stop(ctx)
		target.Die()
	})
	return &engine{Standin: target, address: "agent-" + name + ":1"}
}

// sendEngineOrder sends an engine order with a fencing token, like the leader that holds
// the token.
func (c *cluster) sendEngineOrder(e *engine, fence uint64) string {
	client := wire.NewAgentProtobufClient("http://"+e.address, &http.Client{Transport: &directTransport{c: c}})
	resp, err := client.EngineOrder(c.context(time.Second), &wire.EngineOrderRequest{
		Fence: fence, Scope: control.PlacementScope, Action: standin.ActionUnloadModel, Model: "bunker-7b",
	})
	require.NoError(c.t, err)
	return resp.GetRefusal()
}

// targetsWithModel returns the engines that have loaded the model, as listed in the VM's
// roster.
func targetsWithModel(v *vm) (names []string) {
	for _, t := range v.roster.Targets("generators") {
		if slices.Contains(t.GetModels(), "bunker-7b") {
			names = append(names, t.GetName())
		}
	}
	return names
}

// Guards against engines that remain without models when the leader crashes or is
// partitioned, against a leader that doesn't receive the load that agents report to other
// VMs, and against orders of a former leader that reach an engine which ignores fencing
// tokens.
func TestPlacementOutlivesTheLeader(t *testing.T) {
	runWithCluster(t, func(c *cluster) {
		old := c.leader()
		followers := c.others(old)
		_, err := c.client("operator", c.vms...).Execute(c.context(5*time.Second), &wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{
			ChangeId: "one", Operator: "ann", Manifest: []byte(placementManifest),
		}}})
		require.NoError(c.t, err)
		var engines []*engine
		for i, domain := range []string{"milford", "milford", "swansea"} {
			engines = append(engines, c.addEngine(fmt.Sprintf("engine-%d", i+1), domain, followers[i%2], followers[(i+1)%2]))
		}
		time.Sleep(25 * time.Second)
		require.Equal(t, []string{"engine-1", "engine-2", "engine-3"}, targetsWithModel(old))
		for i := range engines {
			_, at, ok := old.roster.Load(fmt.Sprintf("agent-engine-%d", i+1))
			require.True(t, ok && time.Since(at) < 3*time.Second, "the leader has no load report of engine-%d", i+1)
		}
		fence := old.ledger.Fence(control.PlacementScope)

		old.partitioned.Store(true)
		engines[0].Die()
		time.Sleep(2 * time.Second)
		require.NoError(t, engines[0].Start(context.Background()))
		time.Sleep(20 * time.Second)
		next := c.leader()
		require.Greater(t, next.ledger.Fence(control.PlacementScope), fence)
		require.Equal(t, []string{"engine-1", "engine-2", "engine-3"}, targetsWithModel(next))
		for _, e := range engines {
			before := len(e.Account(0).EngineOrders)
			require.Equal(t, "stale_fence", c.sendEngineOrder(e, fence))
			require.Len(t, e.Account(0).EngineOrders, before, "the former leader's order reached %s", e.Name())
		}
	})
}
