package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	repairTime = 90 * time.Second
	// repairClaims callers claim once in each repairPace: 100 claims per second,
	// four times what the target needs.
	repairClaims = 10
	repairPace   = 100 * time.Millisecond
)

// repairGroup measures how long a control VM that returns with an empty disk
// takes to become a voter again, by the number of kept orders, and what callers
// that claim meanwhile notice.
func repairGroup(ctx context.Context, o Options, s *series) error {
	for _, n := range []int{250_000, 500_000, 1_000_000, 2_000_000} {
		if err := repairAt(ctx, o, s, n); err != nil {
			return errors.Wrapf(err, "%d orders", n)
		}
	}
	return nil
}

func repairAt(ctx context.Context, o Options, s *series, orders int) error {
	size := float64(orders)
	f, err := newSeededFleet(ctx, o, 3, func(f *fleet) error {
		data, err := f.seedOrders(orders)
		s.add(byOrders("snapshot", "MB"), size, float64(len(data))/million)
		return err
	})
	if err != nil {
		return err
	}
	defer f.stop()
	leader, follower, err := f.pair(ctx)
	if err != nil {
		return err
	}
	lost := slices.IndexFunc([]int{0, 1, 2}, func(i int) bool { return controlName(i) == follower })
	f.end(follower)
	if err := os.RemoveAll(f.dataFolder(lost)); err != nil {
		return errors.Wrap(err, "empty the disk")
	}
	idle, _, err := memory(f.children[leader].pid())
	if err != nil {
		return err
	}
	claims := f.claimAtPace(ctx, orders, repairClaims, repairPace)
	began := time.Now()
	if err := f.startControl(ctx, lost); err != nil {
		return err
	}
	leaderPeak, err := f.waitForVoter(ctx, leader, f.controls[lost])
	took := time.Since(began)
	answered := claims.stop()
	answered.add(s, size, took)
	if err != nil {
		return err
	}
	_, peak, err := memory(f.children[follower].pid())
	s.add(byOrders("time until it is a voter", "s"), size, took.Seconds())
	s.add(byOrders("memory of the leader before", "MB"), size, idle/million)
	s.add(byOrders("highest memory of the leader", "MB"), size, leaderPeak/million)
	s.add(byOrders("peak memory of the repaired VM", "MB"), size, peak/million)
	return err
}

// snapshotsGroup measures what callers notice of the snapshots that all replicas
// take while they claim, by the number of kept orders.
func snapshotsGroup(ctx context.Context, o Options, s *series) error {
	for _, n := range []int{250_000, 1_000_000} {
		if err := snapshotsAt(ctx, o, s, n); err != nil {
			return errors.Wrapf(err, "%d orders", n)
		}
	}
	return nil
}

func snapshotsAt(ctx context.Context, o Options, s *series, orders int) error {
	// 500 claims a second are the goal; 10,000 entries take 20 s.
	const callers, pace, lasts = 50, 100 * time.Millisecond, 45 * time.Second
	f, err := newSeededFleet(ctx, o, 3, func(f *fleet) error {
		_, err := f.seedOrders(orders)
		return err
	})
	if err != nil {
		return err
	}
	defer f.stop()
	if _, _, err := f.pair(ctx); err != nil {
		return err
	}
	claims := f.claimAtPace(ctx, orders, callers, pace)
	pause(ctx, lasts)
	answered := claims.stop()
	answered.add(s, float64(orders), lasts)
	return nil
}

// seedOrders gives all control VMs the same snapshot with finished orders.
func (f *fleet) seedOrders(n int) ([]byte, error) {
	l := ledger.New(ledger.Options{})
	now := time.Now().UnixMilli()
	for i := range n {
		for j, c := range []*wire.Command{claim(i), done(i)} {
			c.AtMs = now // the leader expires old orders
			data, err := proto.Marshal(c)
			if err != nil {
				return nil, err
			}
			l.Apply(uint64(2*i+j+1), data)
		}
	}
	data, err := l.Snapshot()
	if err != nil {
		return nil, err
	}
	snapshot := &wire.SnapshotRequest{Index: uint64(2 * n), SnapshotTerm: 1, Members: &wire.MemberList{}, Data: data}
	for i, a := range f.controls {
		snapshot.Members.Members = append(snapshot.Members.Members, &wire.Member{Id: fmt.Sprintf("member-%d", i+1), Address: a, FailureDomain: "domain-a"})
	}
	for i, m := range snapshot.Members.Members {
		state := journal.State{Cluster: "capacity", Member: m.Id, Term: 1}
		if err := saveJournal(filepath.Join(f.dataFolder(i), "journal"), journal.Batch{State: &state, Snapshot: snapshot}); err != nil {
			return nil, errors.Wrapf(err, "journal of %s", controlName(i))
		}
	}
	return data, nil
}

func saveJournal(folder string, b journal.Batch) error {
	j, err := journal.Open(journal.Options{Folder: folder})
	if err != nil {
		return err
	}
	return errors.Join(j.Save([]journal.Batch{b}), j.Close())
}

// waitForVoter waits until the leader lists exactly one member at an address, as a
// voter with the newest log, and returns the leader's highest memory on the way.
func (f *fleet) waitForVoter(ctx context.Context, leader, address string) (peak float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, repairTime)
	defer cancel()
	var last []*wire.MemberStatus
	for {
		now, _, err := memory(f.children[leader].pid())
		if err != nil {
			return peak, err
		}
		peak = max(peak, now)
		for _, s := range f.client.StatusAll(ctx) {
			if s.GetMemberId() != "" && s.GetMemberId() == s.GetLeaderId() {
				last = s.GetMembers()
			}
		}
		if isVoter(last, address) {
			return peak, nil
		}
		select {
		case <-ctx.Done():
			return peak, errors.Errorf("%s is no voter after %v: %v", address, repairTime, last)
		case <-time.After(readyPause):
		}
	}
}

// isVoter says whether the only member at an address is a voter that joined after
// the cluster was seeded.
func isVoter(members []*wire.MemberStatus, address string) bool {
	var at []*wire.Member
	for _, m := range members {
		if m.GetMember().GetAddress() == address {
			at = append(at, m.GetMember())
		}
	}
	return len(at) == 1 && !at[0].GetLearner() && len(at[0].GetId()) > len("member-0")
}

// byOrders is a quantity that grows with the kept orders.
func byOrders(name, unit string) quantity { return quantity{name, unit, "orders", 1e6} }

// claimRun is a number of callers that claim at a fixed pace.
type claimRun struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	last   time.Time
	result claimResult
}

// claimResult is what the callers noticed; times are in milliseconds.
type claimResult struct {
	latencies  []float64
	longestGap float64
	failed     float64
}

func (r claimResult) add(s *series, orders float64, lasted time.Duration) {
	s.add(byOrders("answered claims", "1/s"), orders, float64(len(r.latencies))/lasted.Seconds())
	s.add(byOrders("latency of a claim, p50", "ms"), orders, median(r.latencies))
	s.add(byOrders("latency of a claim, p99", "ms"), orders, quantile(r.latencies, 0.99))
	s.add(byOrders("longest time without an answered claim", "ms"), orders, r.longestGap)
	s.add(byOrders("claims that failed", ""), orders, r.failed)
}

func (f *fleet) claimAtPace(ctx context.Context, first, callers int, pace time.Duration) *claimRun {
	ctx, cancel := context.WithCancel(ctx)
	r := &claimRun{cancel: cancel, last: time.Now()}
	for caller := range callers {
		r.wg.Go(func() {
			tick := time.NewTicker(pace)
			defer tick.Stop()
			for i := first + caller; ctx.Err() == nil; i += callers {
				began := time.Now()
				_, err := f.client.Execute(ctx, claim(i))
				r.note(ctx, began, err)
				select {
				case <-ctx.Done():
				case <-tick.C:
				}
			}
		})
	}
	return r
}

func (r *claimRun) note(ctx context.Context, began time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.result.latencies = append(r.result.latencies, float64(time.Since(began))/million)
		r.gap()
	case ctx.Err() == nil:
		r.result.failed++
	}
}

func (r *claimRun) gap() {
	now := time.Now()
	r.result.longestGap = max(r.result.longestGap, float64(now.Sub(r.last))/million)
	r.last = now
}

// stop ends the callers and returns what they noticed.
func (r *claimRun) stop() claimResult {
	r.mu.Lock()
	r.gap()
	r.mu.Unlock()
	r.cancel()
	r.wg.Wait()
	return r.result
}
