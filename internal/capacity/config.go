package capacity

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const configChanges = 5

// configGroup measures what a change of one customer costs a control VM, an
// entry and an agent, by the number of customers.
func configGroup(ctx context.Context, o Options, s *series) error {
	for _, n := range []int{2000, 8000, 24_000} {
		if err := configAt(ctx, o, s, n); err != nil {
			return errors.Wrapf(err, "%d customers", n)
		}
	}
	return nil
}

func configAt(ctx context.Context, o Options, s *series, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newObserved(ctx, o, manifestText(n, 5))
	if err != nil {
		return err
	}
	defer f.stop()
	leader, err := f.leader(ctx)
	if err != nil {
		return err
	}
	pause(ctx, settleTime)
	return f.changeCustomers(ctx, s, n, leader)
}

// changeCustomers changes one customer a few times. What the processes use
// while nothing changes is taken off.
func (f *observed) changeCustomers(ctx context.Context, s *series, n int, leader string) error {
	entry, agent := f.entry, f.agent
	names := []string{leader, entry.name, agent.name}
	size := float64(n)
	q := func(name, unit string) quantity { return quantity{name, unit, "customers", targetCustomers} }
	before, err := f.read(names...)
	if err != nil {
		return err
	}
	idleBytes := map[string]float64{entry.name: entry.relay.total(), agent.name: agent.relay.total()}
	pause(ctx, settleTime)
	middle, err := f.read(names...)
	if err != nil {
		return err
	}
	rest := middle.at.Sub(before.at)
	bytes := map[string]float64{}
	for _, x := range []*node{entry, agent} {
		idleBytes[x.name] = x.relay.total() - idleBytes[x.name]
		bytes[x.name] = x.relay.total()
	}
	var accepted []float64
	began := time.Now()
	for i := range configChanges {
		at := time.Now()
		if _, err := f.apply(ctx, manifestText(n, 6+i%2)); err != nil {
			return err
		}
		accepted = append(accepted, float64(time.Since(at))/million)
		pause(ctx, settleTime/2)
	}
	pause(ctx, settleTime)
	after, err := f.read(names...)
	if err != nil {
		return err
	}
	lasted := time.Since(began)
	for _, x := range []role{{"the leader", leader}, {"an entry", entry.name}, {"an agent", agent.name}} {
		what, name := x.what, x.process
		resting := float64(middle.time[name]-before.time[name]) * float64(after.at.Sub(middle.at)) / float64(rest)
		s.add(q("processor of "+what+" for a change", "ms"), size, (float64(after.time[name]-middle.time[name])-resting)/configChanges/million)
		now, peak, err := memory(f.children[name].pid())
		if err != nil {
			return err
		}
		s.add(q("memory of "+what+" after changes", "MiB"), size, now/mebi)
		s.add(q("peak memory of "+what, "MiB"), size, peak/mebi)
	}
	for _, x := range []*node{entry, agent} {
		resting := idleBytes[x.name] * float64(lasted) / float64(rest)
		s.add(q("bytes of a change to "+x.name, "bytes"), size, (x.relay.total()-bytes[x.name]-resting)/configChanges)
	}
	s.add(q("time until a change is accepted", "ms"), size, median(accepted))
	return nil
}
