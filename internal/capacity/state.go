package capacity

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const incarnation = "8f14e45fceea167a8f14e45fceea167a"

// heartbeat returns that of process i, with the description of its target.
func heartbeat(i int, role string) *wire.HeartbeatRequest {
	name := fmt.Sprintf("%s-%04d", role, i)
	domain := fmt.Sprintf("domain-%d", i%4)
	// Nothing listens there, so that no call ever leaves this machine.
	const address = "127.0.0.1:1"
	r := &wire.HeartbeatRequest{Process: &wire.ProcessInfo{
		Name: name, Role: role, Incarnation: incarnation, Address: address,
		FailureDomain: domain, Region: "region-1", Revision: 1200, Ready: true,
	}}
	if role == "agent" {
		r.TargetName = fmt.Sprintf("engine-%04d", i)
		r.TargetVersion = 1
		r.Target = &wire.TargetInfo{
			Name: r.TargetName, Kind: "engine", Service: "generators", Models: []string{"model-7b"}, Slots: 8,
			AgentAddress: address, Incarnation: incarnation, FailureDomain: domain, Region: "region-1", Version: 1, Ready: true,
		}
	}
	return r
}

func rosterGroup(_ context.Context, _ Options, s *series) error {
	for _, n := range []int{50, 200, 600, 1220} {
		r := roster.New(roster.Options{Epoch: incarnation})
		size := float64(n)
		s.add(quantity{"memory of the roster", "bytes", "processes", targetProcesses}, size, heapOf(func() any {
			for i := range n {
				r.Announce(heartbeat(i, "agent"))
			}
			return r
		}))
		version := r.ChangesSince(0, "").GetVersion()
		same := heartbeat(0, "agent")
		same.Target = nil
		s.add(quantity{"time of an unchanged heartbeat", "ns", "processes", targetProcesses}, size, perCall(20_000, func(int) { r.Announce(same) }))
		s.add(quantity{"full list", "bytes", "processes", targetProcesses}, size, float64(proto.Size(r.ChangesSince(0, ""))))
		s.add(quantity{"time of a full list", "ns", "processes", targetProcesses}, size, perCall(20, func(int) { r.ChangesSince(0, "") }))
		s.add(quantity{"time of a delta of 1", "ns", "processes", targetProcesses}, size, perCall(2000, func(int) { r.ChangesSince(version-1, incarnation) }))
	}
	r := roster.New(roster.Options{Epoch: incarnation})
	for i := range targetProcesses {
		r.Announce(heartbeat(i, "agent"))
	}
	version := r.ChangesSince(0, "").GetVersion()
	for _, changes := range []uint64{1, 10, 100, 300} {
		q := quantity{"delta", "bytes", "changes", targetWorkers / 4}
		s.add(q, float64(changes), float64(proto.Size(r.ChangesSince(version-changes, incarnation))))
		q = quantity{"time of a delta", "ns", "changes", targetWorkers / 4}
		s.add(q, float64(changes), perCall(200, func(int) { _, _ = proto.Marshal(r.ChangesSince(version-changes, incarnation)) }))
	}
	return nil
}

func manifestGroup(_ context.Context, _ Options, s *series) error {
	for _, n := range []int{2000, 8000, 24_000} {
		data, next := manifestText(n, 5), manifestText(n, 6)
		parsed, err := manifest.Parse("manifest", data)
		if err != nil {
			return err
		}
		size := float64(n)
		q := func(name, unit string) quantity { return quantity{name, unit, "customers", targetCustomers} }
		s.add(q("manifest", "bytes"), size, float64(len(data)))
		earlier, later := record(1, data), record(2, next)
		s.add(q("delta of a change of one customer", "bytes"), size, float64(proto.Size(delta.DiffRecord(earlier, later, 1))))
		s.add(q("time to parse", "ms"), size, perCall(1, func(int) { _, _ = manifest.Parse("manifest", data) })/million)
		s.add(q("time to parse after a change of one customer", "ms"), size, perCall(1, func(int) { _, _ = manifest.ParseNext(parsed, "manifest", next) })/million)
		s.add(q("time to make a delta", "ms"), size, perCall(3, func(int) { delta.DiffRecord(earlier, later, 1) })/million)
		made := delta.DiffRecord(earlier, later, 1).GetDelta()
		s.add(q("time to apply a delta", "ms"), size, perCall(3, func(int) { _, _ = delta.Apply(data, made) })/million)
		s.add(q("memory of a parsed manifest", "bytes"), size, heapOf(func() any {
			m, _ := manifest.Parse("manifest", data)
			return m
		}))
	}
	return nil
}

// missedGroup measures what a reader gets that missed several revisions, each
// with a change of one customer at a random place.
func missedGroup(_ context.Context, _ Options, s *series) error {
	const draws = 21
	data := manifestText(targetCustomers, 5)
	random := rand.New(rand.NewPCG(1, 2))
	for _, missed := range []int{1, 2, 5, 20} {
		var all []float64
		for range draws {
			next := bytes.Clone(data)
			for range missed {
				at := bytes.Index(next, fmt.Appendf(nil, "customer-%05d-key, weight: ", random.IntN(targetCustomers-1)))
				next[at+len("customer-00000-key, weight: ")] = '9'
			}
			all = append(all, float64(proto.Size(delta.DiffRecord(record(1, data), record(2, next), 1))))
		}
		q := quantity{"answer to a reader, median", "bytes", "missed revisions", targetChanges / hoursOfDay}
		s.add(q, float64(missed), median(all))
	}
	return nil
}

// hoursOfDay turns changes per day into those of a cut between regions, which
// lasts an hour.
const hoursOfDay = 24

func record(revision uint64, data []byte) *wire.ManifestRecord {
	return &wire.ManifestRecord{Revision: revision, Manifest: data, ChangeId: incarnation, Operator: "capacity", AtMs: 1_800_000_000_000, BaseRevision: revision - 1}
}

// claim returns the command that claims order i, as an entry sends it.
func claim(i int) *wire.Command {
	return &wire.Command{AtMs: int64(i), Kind: &wire.Command_ClaimOrder{ClaimOrder: &wire.ClaimOrder{
		Customer: "depot-milford", OrderId: fmt.Sprintf("release-2026-%08d", i), BodyHash: make([]byte, 32), Attempt: fmt.Sprintf("%032x", i),
		Agent: "agent-orders-core-1", Incarnation: incarnation, AgentAddress: "10.20.30.40:7000", Service: "orders-core",
		Operation: "release_fuel", Entry: "entry-1", Request: fmt.Sprintf("%032x", i), DeadlineMs: int64(i) + 2000,
	}}}
}

func done(i int) *wire.Command {
	return &wire.Command{AtMs: int64(i), Kind: &wire.Command_RecordOutcome{RecordOutcome: &wire.RecordOutcome{
		Customer: "depot-milford", OrderId: fmt.Sprintf("release-2026-%08d", i), Attempt: fmt.Sprintf("%032x", i),
		State: wire.OrderState_ORDER_STATE_DONE, Result: []byte(`{"released":true,"litres":42000}`),
	}}}
}

func ledgerGroup(_ context.Context, _ Options, s *series) error {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		l := ledger.New(ledger.Options{})
		size := float64(n)
		q := func(name, unit string) quantity { return quantity{name, unit, "orders", 1e6} }
		var failed error
		s.add(q("memory of the ledger", "bytes"), size, heapOf(func() any {
			for i := range n {
				for j, c := range []*wire.Command{claim(i), done(i)} {
					data, err := proto.Marshal(c)
					if err != nil {
						failed = err
					}
					l.Apply(uint64(2*i+j+1), data)
				}
			}
			return l
		}))
		before := ownTime()
		data, err := l.Snapshot()
		if err != nil || failed != nil {
			return errors.Wrap(errors.Join(err, failed), "snapshot")
		}
		s.add(q("time of a snapshot", "ms"), size, float64(ownTime()-before)/million)
		s.add(q("snapshot", "bytes"), size, float64(len(data)))
		before = ownTime()
		if err := ledger.New(ledger.Options{}).Restore(uint64(2*n), data); err != nil {
			return err
		}
		s.add(q("time to restore", "ms"), size, float64(ownTime()-before)/million)
	}
	return nil
}

func routingGroup(_ context.Context, _ Options, s *series) error {
	now := time.Now()
	for _, n := range []int{48, 200, 850} {
		p := routing.NewPool(routing.Options{Service: "generators", FailureDomain: "domain-0", Seed: 1})
		var all []routing.Target
		var names []string
		for i := range n {
			t := heartbeat(i, "agent").GetTarget()
			all = append(all, routing.Target{Name: t.GetName(), Address: t.GetAgentAddress(), Incarnation: incarnation, FailureDomain: t.GetFailureDomain(), Models: t.GetModels(), Slots: 8})
			names = append(names, t.GetName())
		}
		size := float64(n)
		s.add(quantity{"memory of a pool", "bytes", "targets", targetWorkers}, size, heapOf(func() any {
			p.Sync(all, now)
			return p
		}))
		s.add(quantity{"time of a choice with its outcome", "ns", "targets", targetWorkers}, size, perCall(20_000, func(int) {
			if c, err := p.Pick(routing.Request{Model: "model-7b"}, now); err == nil {
				p.Finish(c, routing.Canceled{}, now)
			}
		}))
		s.add(quantity{"time to take over a list", "ns", "targets", targetWorkers}, size, perCall(50, func(int) { p.Sync(all, now) }))
		s.add(quantity{"time of a tick", "ns", "targets", targetWorkers}, size, perCall(200, func(int) { p.Tick(now) }))
		entries := make([]string, targetNodes)
		for i := range entries {
			entries[i] = fmt.Sprintf("entry-%04d", i)
		}
		s.add(quantity{"time to choose a subset of 48 among 370 entries", "ns", "targets", targetWorkers}, size, perCall(1, func(int) { routing.Subset(entries[0], entries, names, 48) }))
	}
	return nil
}

func admissionGroup(_ context.Context, _ Options, s *series) error {
	now := time.Now()
	for _, n := range []int{1000, 6000, 24_000} {
		limits := admission.CustomerLimits{MaxConcurrent: 64, Rate: 50}
		size := float64(n)
		gate := admission.NewCustomerLimiter()
		s.add(quantity{"memory of the customers' limits", "bytes", "active customers", targetCustomers}, size, heapOf(func() any {
			for i := range n {
				gate.Acquire(fmt.Sprintf("customer-%05d", i), limits, now)
			}
			return gate
		}))
		s.add(quantity{"time to enter and leave", "ns", "active customers", targetCustomers}, size, perCall(20_000, func(int) {
			gate.Acquire("customer-00000", limits, now)
			gate.Release("customer-00000", now)
		}))
		q := admission.NewQueue(admission.Options{Service: "generators", Slots: 8, MaxQueued: 2 * n})
		s.add(quantity{"memory of a queue with one waiting call of each", "bytes", "active customers", targetCustomers}, size, heapOf(func() any {
			for i := range n + 8 {
				q.Offer(admission.Request{Customer: fmt.Sprintf("customer-%05d", i), Deadline: now.Add(time.Hour), Expected: time.Millisecond}, now)
			}
			return q
		}))
	}
	return nil
}

func metricsGroup(_ context.Context, _ Options, s *series) error {
	for _, n := range []int{64, 2000, 24_000} {
		m := metrics.New("entry")
		size := float64(n)
		s.add(quantity{"memory of the histograms", "bytes", "customers seen", targetCustomers}, size, heapOf(func() any {
			for i := range n {
				m.Observe("request_seconds", fmt.Sprintf("customer-%05d", i), "counter", time.Millisecond)
			}
			return m
		}))
		if err := m.Close(); err != nil {
			return err
		}
	}
	return nil
}
