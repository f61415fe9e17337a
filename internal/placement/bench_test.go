package placement

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// BenchmarkPlan plans for 850 engines and 6 models in three states: nothing to do,
// all engines empty, and empty engines with a load in flight.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		name    string
		loaded  bool
		reading int
	}{{"settled", true, 0}, {"empty", false, 0}, {"waiting", false, 1}} {
		s := &State{Sizes: map[string]int64{}}
		for i := range 6 {
			m := fmt.Sprintf("model-%d", i)
			s.Sizes[m] = 8_000_000_000
			s.Needs = append(s.Needs, Need{Key: Key{Service: "generators", Model: m}, Copies: 100})
		}
		for i := range 850 {
			e := Engine{Name: fmt.Sprintf("engine-%03d", i), Service: "generators", Domain: fmt.Sprintf("domain-%d", i%4), Usable: true}
			if c.loaded {
				e.Models = []string{fmt.Sprintf("model-%d", i%6)}
			}
			s.Engines = append(s.Engines, e)
		}
		for range c.reading {
			s.Orders = append(s.Orders, InFlight{Order: Order{Engine: "engine-000", Action: Load, Model: "model-0"}, Reading: true})
		}
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				Plan(s, testStart)
			}
		})
	}
}

// leader is a Leader that always leads in term 1 and has a fixed manifest.
type leader struct{ record *wire.ManifestRecord }

func (l leader) Leading() (uint64, bool)                    { return 1, true }
func (l leader) GrantFence(context.Context) (uint64, error) { return 1, nil }
func (l leader) Confirm(context.Context) error              { return nil }
func (l leader) Manifest() *wire.ManifestRecord             { return l.record }
func (l leader) Drains() []string                           { return nil }

// manifestOf returns a manifest whose pipelines need the given number of models.
func manifestOf(models int) []byte {
	var list, pipelines strings.Builder
	for i := range models {
		fmt.Fprintf(&list, "{name: model-%d, size: 8GB},", i)
		fmt.Fprintf(&pipelines, "  - {name: pipeline-%d, deadline: 6s, default_class: counter, stages: [{name: generate, service: generators, operation: generate, model: model-%d, expected: 600ms}]}\n", i, i)
	}
	return []byte("version: 1\nclasses: [{name: counter, priority: 0, deadline: 2s}]\ncustomers: [{name: depot, key: k, default_class: counter}]\nmodels: [" +
		list.String() + "]\nservices:\n  - {name: generators, kind: engine, operations: [{name: generate, idempotent: true, timeout: 4s}]}\npipelines:\n" + pipelines.String())
}

// BenchmarkPass runs the pass that the leader executes once a second, with 370
// entries, 850 busy engines and 6 models in the roster.
func BenchmarkPass(b *testing.B) {
	ts, m := timer.NewService(), metrics.New("control")
	ros := roster.New(roster.Options{Timer: ts, Epoch: "one", HeartbeatTimeout: time.Hour})
	for i := range 370 {
		ros.Announce(&wire.HeartbeatRequest{Process: &wire.ProcessInfo{Name: fmt.Sprintf("entry-%d", i), Role: "entry", Incarnation: "one", Ready: true}})
	}
	for i := range 850 {
		name := fmt.Sprintf("engine-%d", i)
		ros.Announce(&wire.HeartbeatRequest{
			Process:    &wire.ProcessInfo{Name: "agent-" + name, Role: "agent", Incarnation: "one", Ready: true},
			TargetName: name, TargetVersion: 1, Load: &wire.LoadReport{Running: 4, Slots: 8},
			Target: &wire.TargetInfo{
				Name: name, Kind: "engine", Service: "generators", Models: []string{fmt.Sprintf("model-%d", i%6)}, Slots: 8,
				AgentAddress: "127.0.0.1:1", Incarnation: "one", FailureDomain: fmt.Sprintf("domain-%d", i%4), Version: 1, Ready: true,
			},
		})
	}
	r, err := NewRunner(Options{
		Timers: ts, Leader: leader{&wire.ManifestRecord{Revision: 1, Manifest: manifestOf(6)}}, Roster: ros, Metrics: m, Scope: "placement",
	})
	require.NoError(b, err)
	r.pass(b.Context())
	require.NotNil(b, r.manifest)
	r.term.startedAt = r.term.startedAt.Add(-takeoverDelay)
	b.ReportAllocs()
	for b.Loop() {
		r.pass(b.Context())
	}
	s, ok := r.state()
	require.True(b, ok)
	require.Len(b, s.Engines, 850)
	require.Empty(b, s.Orders, "an order was sent")
	r.term.end()
	require.NoError(b, m.Close())
}
