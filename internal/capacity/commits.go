package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	commitTime = 3 * time.Second
	// mostReplicas is the number of VMs that may be dedicated to control.
	mostReplicas = 7
)

// commitsGroup measures claims through three replicas by the number of callers
// that wait for one at a time.
func commitsGroup(ctx context.Context, o Options, s *series) error {
	f, err := newFleet(ctx, o, 3)
	if err != nil {
		return err
	}
	defer f.stop()
	var next atomic.Int64
	for _, callers := range []int{1, 8, 32, 128} {
		q := func(name, unit string) quantity { return quantity{name, unit, "callers", 128} }
		if err := f.measureClaims(ctx, s, q, float64(callers), callers, &next); err != nil {
			return err
		}
	}
	return nil
}

// measureClaims lets callers claim for a time, and adds what that used.
func (f *fleet) measureClaims(ctx context.Context, s *series, q func(name, unit string) quantity, size float64, callers int, next *atomic.Int64) error {
	leader, follower, err := f.pair(ctx)
	if err != nil {
		return err
	}
	before, err := f.read(leader, follower)
	if err != nil {
		return err
	}
	took := f.claims(ctx, callers, next)
	after, err := f.read(leader, follower)
	if err != nil {
		return err
	}
	if len(took) == 0 {
		return errors.New("no claim was answered")
	}
	n := float64(len(took))
	s.add(q("claims", "1/s"), size, n/after.at.Sub(before.at).Seconds())
	s.add(q("latency of a claim, p50", "ms"), size, median(took))
	s.add(q("latency of a claim, p99", "ms"), size, quantile(took, 0.99))
	s.add(q("processor of the leader for a claim", "µs"), size, float64(after.time[leader]-before.time[leader])/n/1000)
	s.add(q("processor of a follower for a claim", "µs"), size, float64(after.time[follower]-before.time[follower])/n/1000)
	return nil
}

// claims returns the latencies of all claims in milliseconds.
func (f *fleet) claims(ctx context.Context, callers int, next *atomic.Int64) []float64 {
	ctx, cancel := context.WithTimeout(ctx, commitTime)
	defer cancel()
	var mu sync.Mutex
	var all []float64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				began := time.Now()
				if _, err := f.client.Execute(ctx, claim(int(next.Add(1)))); err != nil {
					continue
				}
				mu.Lock()
				all = append(all, float64(time.Since(began))/million)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return all
}

// replicasGroup measures the claims of 32 callers by the number of control VMs.
func replicasGroup(ctx context.Context, o Options, s *series) error {
	for _, n := range []int{3, 5, 7} {
		if err := replicasAt(ctx, o, s, n); err != nil {
			return errors.Wrapf(err, "%d replicas", n)
		}
	}
	return nil
}

func replicasAt(ctx context.Context, o Options, s *series, n int) error {
	const callers = 32
	f, err := newFleet(ctx, o, n)
	if err != nil {
		return err
	}
	defer f.stop()
	q := func(name, unit string) quantity { return quantity{name, unit, "replicas", mostReplicas} }
	var next atomic.Int64
	return f.measureClaims(ctx, s, q, float64(n), callers, &next)
}
