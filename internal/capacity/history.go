package capacity

import (
	"context"
	"time"
)

// historyGroup measures what stays in the memory and on the disk of the leader
// when changes of the configuration with the target number of customers follow
// each other.
func historyGroup(ctx context.Context, o Options, s *series) error {
	f, err := newFleet(ctx, o, 3)
	if err != nil {
		return err
	}
	defer f.stop()
	leader, _, err := f.pair(ctx)
	if err != nil {
		return err
	}
	applied := 0
	for _, changes := range []int{10, 40, 120} {
		before, err := f.read(leader)
		if err != nil {
			return err
		}
		began := time.Now()
		n := float64(changes - applied)
		for ; applied < changes; applied++ {
			if _, err := f.apply(ctx, manifestText(targetCustomers, 5+applied%2)); err != nil {
				return err
			}
		}
		after, err := f.read(leader)
		if err != nil {
			return err
		}
		now, peak, err := memory(f.children[leader].pid())
		if err != nil {
			return err
		}
		size := float64(changes)
		q := func(name, unit string) quantity { return quantity{name, unit, "changes", targetChanges} }
		s.add(q("memory of the leader", "MiB"), size, now/mebi)
		s.add(q("peak memory of the leader", "MiB"), size, peak/mebi)
		s.add(q("processor of the leader for a change", "ms"), size, float64(after.time[leader]-before.time[leader])/n/million)
		s.add(q("time for a change, one after the other", "ms"), size, float64(time.Since(began))/n/million)
	}
	return nil
}
