package capacity

import (
	"context"

	"github.com/go-faster/errors"
)

// loadedGroup measures the memory of an entry and of an agent under streams and
// changes of the configuration at the same time, by the number of customers.
func loadedGroup(ctx context.Context, o Options, s *series) error {
	for _, n := range []int{1_000, 8_000, targetCustomers} {
		if err := loadedAt(ctx, o, s, n); err != nil {
			return errors.Wrapf(err, "%d customers", n)
		}
	}
	return nil
}

func loadedAt(ctx context.Context, o Options, s *series, customers int) error {
	const rate, changes = float64(targetTokens) / targetNodes / streamTokens, 3
	f, err := newFleet(ctx, o, 1)
	if err != nil {
		return err
	}
	defer f.stop()
	b, err := newBench(ctx, f, customers)
	if err != nil {
		return err
	}
	for i := range changes {
		done := make(chan results, 1)
		go func() { done <- b.run(ctx, loadTime, rate, b.stream(streamTokens)) }()
		pause(ctx, loadTime/2)
		_, err := f.apply(ctx, manifestText(customers, 6+i))
		r := <-done
		if err := errors.Join(err, r.check()); err != nil {
			return err
		}
	}
	q := func(name string) quantity { return quantity{name, "MiB", "customers", targetCustomers} }
	for _, x := range []role{{"an entry", "entry-1"}, {"an agent", "agent-engine"}} {
		now, peak, err := memory(f.children[x.process].pid())
		if err != nil {
			return err
		}
		s.add(q("under load: memory of "+x.what), float64(customers), now/mebi)
		s.add(q("under load: peak memory of "+x.what), float64(customers), peak/mebi)
	}
	return nil
}
