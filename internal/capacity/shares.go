package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/sharing"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	shareTick     = 250 * time.Millisecond
	shareWarmUp   = 120 * time.Second
	shareMeasured = 120 * time.Second
	// shareCalls is the entry's bound on calls per second, see internal/entry.
	shareCalls = 4
	// shareHeld is how long a request runs in the simulation.
	shareHeld = 3 * time.Second
	// shareSkew makes the largest of 24,000 customers send 13% of all requests.
	shareSkew = 1.05
)

// shareBelow is the rank from which on customers need at most 40% of shareLimit:
// 0.34% of all requests, 3 s each, at 370 entries.
const shareBelow = 30

// shareLimit is the limit of each customer, the manifest's default.
var shareLimit = sharing.Amount{Concurrent: 64, Rate: 50}

// shareBytes measures the bytes of one call from an entry to a sharer, in both
// directions, with headers of HTTP.
func shareBytes(ctx context.Context, customers int) (float64, error) {
	srv := httptest.NewServer(wire.NewSharingServer(fixedShares{}))
	defer srv.Close()
	c := &counter{}
	transport := &http.Transport{DialContext: c.dial, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := wire.NewSharingProtobufClient(srv.URL, &http.Client{Transport: transport})
	req := &wire.ShareRequest{Entry: "entry-0123", Incarnation: "0123456789abcdef0123456789abcdef", Sequence: 100_000, Revision: 1200}
	for i := range customers {
		req.Demands = append(req.Demands, &wire.ShareDemand{
			Customer: fmt.Sprintf("customer-%05d", i), Concurrent: 21, Rate: 16.5, HeldConcurrent: 21, HeldRate: 16.6, LimitConcurrent: 64, LimitRate: 50,
		})
	}
	const calls = 50
	for range calls {
		if _, err := client.Share(ctx, req); err != nil {
			return 0, err
		}
	}
	return c.total() / calls, nil
}

type fixedShares struct{}

// Share implements wire.Sharing.
func (fixedShares) Share(_ context.Context, r *wire.ShareRequest) (*wire.ShareResponse, error) {
	resp := &wire.ShareResponse{Revision: 1200}
	for range r.GetDemands() {
		resp.Grants = append(resp.Grants, &wire.ShareGrant{Concurrent: 21, Rate: 16.6, LifetimeMs: 3000, RenewMs: 1000})
	}
	return resp, nil
}

// sharingEntry is an entry of the simulation.
type sharingEntry struct {
	member  sharing.Member
	holder  *sharing.ShareTracker
	gate    *admission.CustomerLimiter
	sharer  *sharing.Allocator
	allowed float64
	// sent and answered count calls to and from other entries.
	sent, answered int
}

// shareFleet is entries that share limits without a network, at the target's
// requests for each entry.
type shareFleet struct {
	entries []*sharingEntry
	byName  map[string]*sharingEntry
	now     time.Time
	random  *rand.Rand
	zipf    *rand.Zipf
	ends    map[int64][]func()
	// offered and refused count requests of customers that need at most 40% of
	// their limit, largest the admitted requests of the largest customer.
	offered, refused, largest int
}

func newShareFleet(n int) *shareFleet {
	random := rand.New(rand.NewPCG(1, 2))
	f := &shareFleet{byName: map[string]*sharingEntry{}, now: time.Now(), random: random, zipf: rand.NewZipf(random, shareSkew, 1, targetCustomers-1), ends: map[int64][]func(){}}
	var names []string
	var members []sharing.Member
	for i := range n {
		m := sharing.Member{Name: fmt.Sprintf("entry-%04d", i), Incarnation: "1"}
		e := &sharingEntry{member: m, holder: sharing.NewShareTracker(m.Name), gate: admission.NewCustomerLimiter(), sharer: sharing.NewAllocator(m.Name)}
		f.entries, f.byName[m.Name] = append(f.entries, e), e
		names, members = append(names, m.Name), append(members, m)
	}
	for _, e := range f.entries {
		e.holder.SetMembers(names, true)
		e.sharer.SetMembers(members, f.now)
	}
	return f
}

// run lets time pass; every entry gets its part of the target's requests.
func (f *shareFleet) run(d time.Duration) {
	each := float64(targetRequests) / targetNodes * shareTick.Seconds()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(shareTick) {
		for _, stop := range f.ends[f.now.UnixNano()] {
			stop()
		}
		delete(f.ends, f.now.UnixNano())
		for _, e := range f.entries {
			e.allowed = min(e.allowed+shareTick.Seconds()*shareCalls, shareCalls)
			for n := each; n > 0; n-- {
				if f.random.Float64() < n {
					f.arrive(e)
				}
			}
			f.report(e)
		}
	}
}

func (f *shareFleet) arrive(e *sharingEntry) {
	rank := f.zipf.Uint64()
	name := fmt.Sprintf("customer-%05d", rank)
	share, ask := e.holder.RecordArrival(name, shareLimit, f.now)
	_, ok := e.gate.Acquire(name, admission.CustomerLimits{MaxConcurrent: share.Concurrent, Rate: share.Rate}, f.now)
	e.holder.RecordDecision(name, ok)
	f.count(rank, ok)
	if ask || !ok {
		f.report(e)
	}
	if !ok {
		return
	}
	at := f.now.Add(shareHeld).UnixNano()
	f.ends[at] = append(f.ends[at], func() {
		e.holder.RecordCompletion(name)
		e.gate.Release(name, f.now)
	})
}

func (f *shareFleet) count(rank uint64, ok bool) {
	switch {
	case rank == 0 && ok:
		f.largest++
	case rank >= shareBelow:
		f.offered++
		if !ok {
			f.refused++
		}
	}
}

func (f *shareFleet) report(e *sharingEntry) {
	var called []string
	for _, d := range e.holder.PendingReports(f.now, int(e.allowed)) {
		d.Entry = e.member
		to := f.byName[d.Owner]
		if to != e && !slices.Contains(called, d.Owner) {
			called = append(called, d.Owner)
			e.allowed--
			e.sent++
			to.answered++
		}
		if g, ok := to.sharer.Report(d.Report, f.now); ok {
			e.holder.ApplyGrant(d, g, f.now)
		} else {
			e.holder.RecordReportFailure(d, true, f.now)
		}
	}
}

func sharesGroup(ctx context.Context, _ Options, s *series) error {
	for _, n := range []int{1, 2, 4, 8} {
		bytes, err := shareBytes(ctx, n)
		if err != nil {
			return err
		}
		s.add(quantity{"bytes of a call to a sharer, both directions", "bytes", "customers in it", 1}, float64(n), bytes)
	}
	one, err := shareBytes(ctx, 1)
	if err != nil {
		return err
	}
	for _, n := range []int{37, 123, 370} {
		f := newShareFleet(n)
		f.run(shareWarmUp)
		for _, e := range f.entries {
			e.sent, e.answered = 0, 0
		}
		f.offered, f.refused, f.largest = 0, 0, 0
		f.run(shareMeasured)
		sum, busiest := 0, 0
		for _, e := range f.entries {
			sum += e.sent + e.answered
			busiest = max(busiest, e.sent+e.answered)
		}
		seconds := shareMeasured.Seconds()
		s.add(quantity{"requests refused to customers that need 40% of their limits or less", "of 1", "entries", targetNodes}, float64(n), float64(f.refused)/float64(f.offered))
		s.add(quantity{"requests admitted of the largest customer, limit 50", "1/s", "entries", targetNodes}, float64(n), float64(f.largest)/seconds)
		s.add(quantity{"bytes per second for shares, mean of the entries", "bytes/s", "entries", targetNodes}, float64(n), float64(sum)/float64(n)*one/seconds)
		s.add(quantity{"bytes per second for shares, busiest entry", "bytes/s", "entries", targetNodes}, float64(n), float64(busiest)*one/seconds)
	}
	for _, n := range []int{1000, 6000, 24_000} {
		holder := sharing.NewShareTracker("entry-0001")
		now := time.Now()
		s.add(quantity{"memory of the customers' shares", "bytes", "active customers", targetCustomers}, float64(n), heapOf(func() any {
			for i := range n {
				holder.RecordArrival(fmt.Sprintf("customer-%05d", i), sharing.Amount{Concurrent: 64, Rate: 50}, now)
			}
			return holder
		}))
	}
	return nil
}
