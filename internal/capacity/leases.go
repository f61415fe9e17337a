package capacity

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// leasePeriod is how often an entry asks for waiting requests.
const leasePeriod = 500 * time.Millisecond

// leasesGroup measures what entries cost the control VMs that ask for waiting
// requests while there are none.
func leasesGroup(ctx context.Context, o Options, s *series) error {
	f, err := newFleet(ctx, o, 3)
	if err != nil {
		return err
	}
	defer f.stop()
	leader, follower, err := f.pair(ctx)
	if err != nil {
		return err
	}
	for _, entries := range []int{40, 120, 370} {
		before, err := f.read(leader, follower)
		if err != nil {
			return err
		}
		written, err := writtenBytes(f.children[leader].pid())
		if err != nil {
			return err
		}
		asked, failed := f.askLeases(ctx, entries)
		after, err := f.read(leader, follower)
		if err != nil {
			return err
		}
		total, err := writtenBytes(f.children[leader].pid())
		if err != nil {
			return err
		}
		size := float64(entries)
		q := func(name, unit string) quantity { return quantity{name, unit, "entries", targetNodes} }
		seconds := after.at.Sub(before.at).Seconds()
		s.add(q("requests for leases", "1/s"), size, float64(asked)/seconds)
		s.add(q("failed requests for leases", "requests"), size, float64(failed))
		s.add(q("processor of the leader", "% of a core"), size, after.share(before, leader))
		s.add(q("processor of a follower", "% of a core"), size, after.share(before, follower))
		s.add(q("writes to the disk of the leader", "bytes/s"), size, (total-written)/seconds)
	}
	return nil
}

// askLeases lets entries ask for a time; no request waits.
func (f *fleet) askLeases(ctx context.Context, entries int) (asked, failed int64) {
	ctx, cancel := context.WithTimeout(ctx, measureTime)
	defer cancel()
	var n, bad atomic.Int64
	var wg sync.WaitGroup
	for i := range entries {
		wg.Go(func() {
			pause(ctx, leasePeriod*time.Duration(i)/time.Duration(entries))
			ticker := time.NewTicker(leasePeriod)
			defer ticker.Stop()
			for ctx.Err() == nil {
				_, err := f.client.Execute(ctx, &wire.Command{Kind: &wire.Command_LeaseWaiting{LeaseWaiting: &wire.LeaseWaiting{
					Entry: fmt.Sprintf("entry-%04d", i), Max: 16, LeaseMs: 6000,
				}}})
				n.Add(1)
				if err != nil && ctx.Err() == nil {
					bad.Add(1)
				}
				select {
				case <-ticker.C:
				case <-ctx.Done():
				}
			}
		})
	}
	wg.Wait()
	return n.Load(), bad.Load()
}

// writtenBytes returns the bytes that a process has sent to the disk.
func writtenBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, errors.Wrapf(err, "writes of process %d", pid)
	}
	for line := range strings.Lines(string(data)) {
		if n, ok := strings.CutPrefix(line, "write_bytes: "); ok {
			return strconv.ParseFloat(strings.TrimSpace(n), 64)
		}
	}
	return 0, errors.Errorf("process %d: no write_bytes in /proc", pid)
}
