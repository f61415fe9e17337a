package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/sharing"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	shareReportPeriod = 250 * time.Millisecond
	shareCallTimeout  = 500 * time.Millisecond
	// shareCallsPerSecond limits the calls to allocators. A call takes about 0.5 KB here
	// and as much at the allocator, of the 5 KB/s budgeted for control traffic.
	shareCallsPerSecond = 4
)

// limits keeps this entry's shares of the customers' limits up to date.
type limits struct {
	e         *Entry
	tracker   *sharing.ShareTracker
	allocator *sharing.Allocator
	reportNow chan struct{}
	client    *http.Client

	mu        sync.Mutex
	addresses map[string]string // admin addresses of the ready entries

	// availableCalls is the number of calls that may be made now; only the run loop uses
	// it.
	availableCalls float64
	lastRefill     time.Time
}

func newLimits(e *Entry) *limits {
	dial := e.o.DialAdmin
	return &limits{
		e: e, tracker: sharing.NewShareTracker(e.o.Name), allocator: sharing.NewAllocator(e.o.Name), reportNow: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true}},
	}
}

// admit admits a request within the customer's share at this entry, or returns the reason
// for its rejection.
func (l *limits) admit(c *manifest.Customer, now time.Time) *callError {
	limit := sharing.Amount{Concurrent: c.MaxConcurrent(), Rate: c.Rate()}
	share, ask := l.tracker.RecordArrival(c.Name(), limit, now)
	refusal, ok := l.e.customers.Acquire(c.Name(), admission.CustomerLimits{MaxConcurrent: share.Concurrent, Rate: share.Rate}, now)
	l.tracker.RecordDecision(c.Name(), ok)
	if ask || !ok {
		l.triggerReport()
	}
	if ok {
		return nil
	}
	return &callError{reason: string(refusal.Reason), detail: limitDetail(refusal.Reason, c, share)}
}

func (l *limits) release(c *manifest.Customer, now time.Time) {
	l.e.customers.Release(c.Name(), now)
	l.tracker.RecordCompletion(c.Name())
}

func (l *limits) triggerReport() {
	select {
	case l.reportNow <- struct{}{}:
	default:
	}
}

// limitDetail describes the customer's limit and this entry's share of it.
func limitDetail(reason admission.Reason, c *manifest.Customer, s sharing.Share) string {
	detail := fmt.Sprintf("this entry's share of the customer's rate of %g requests a second is used up; the share is %.3g a second", c.Rate(), s.Rate)
	if reason == admission.ReasonCustomerConcurrency {
		detail = fmt.Sprintf("this entry's share of the customer's max_concurrent of %d is used up; the share is %d", c.MaxConcurrent(), s.Concurrent)
	}
	if s.Ready == 0 {
		return detail + ", because this entry doesn't know the other entries yet"
	}
	if s.Allocator == "" {
		return fmt.Sprintf("%s, the limit divided by %d ready entries", detail, s.Ready)
	}
	return fmt.Sprintf("%s, granted by %s by demand", detail, s.Allocator)
}

// run sends due reports until ctx ends. It runs in the background: requests never wait for
// a report.
func (l *limits) run(ctx context.Context) {
	ticker := l.e.o.Timers.Subscribe(shareReportPeriod)
	defer ticker.Stop()
	var reports sync.WaitGroup
	defer l.client.CloseIdleConnections()
	defer reports.Wait()
	l.lastRefill = l.e.o.Timers.Now()
	var changed <-chan struct{}
	var usable, known bool
	for {
		select {
		case <-ticker.C():
		case <-l.reportNow:
		case <-ctx.Done():
			return
		}
		if now := l.isReady(); !known || now != usable || isClosed(changed) {
			known, usable = l.e.rosterKnown.Load(), now
			changed = l.updateMembers(known, usable)
		}
		l.sendDueReports(ctx, &reports)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// isReady reports whether other entries count this entry as ready.
func (l *limits) isReady() bool {
	ready, _ := l.e.Ready()
	return ready
}

// updateMembers applies the list of ready entries, if it is known, and returns a channel
// that is closed at the next change of the roster.
func (l *limits) updateMembers(known, usable bool) <-chan struct{} {
	changed := l.e.roster.Changed()
	if !known {
		return changed
	}
	members, addresses := l.e.readyEntries()
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	l.mu.Lock()
	l.addresses = addresses
	l.mu.Unlock()
	if !usable {
		members = nil
	}
	l.tracker.SetMembers(names, usable)
	l.allocator.SetMembers(members, l.e.o.Timers.Now())
	return changed
}

// readyEntries returns the ready entries, sorted by name, and the admin addresses of the
// others. This entry is included according to its own state rather than the roster.
func (e *Entry) readyEntries() ([]sharing.Member, map[string]string) {
	var members []sharing.Member
	if ready, _ := e.Ready(); ready {
		members = append(members, sharing.Member{Name: e.o.Name, Incarnation: e.incarnation})
	}
	addresses := make(map[string]string)
	for _, info := range e.otherEntries() {
		if !info.GetReady() {
			continue
		}
		members = append(members, sharing.Member{Name: info.GetName(), Incarnation: info.GetIncarnation()})
		addresses[info.GetName()] = info.GetAdmin()
	}
	slices.SortFunc(members, func(a, b sharing.Member) int { return strings.Compare(a.Name, b.Name) })
	return members, addresses
}

// sendDueReports sends the due reports, in one call for each allocator.
func (l *limits) sendDueReports(ctx context.Context, reports *sync.WaitGroup) {
	now := l.e.o.Timers.Now()
	l.availableCalls = min(l.availableCalls+now.Sub(l.lastRefill).Seconds()*shareCallsPerSecond, shareCallsPerSecond)
	l.lastRefill = now
	byOwner := make(map[string][]sharing.PendingReport)
	for _, d := range l.tracker.PendingReports(now, int(l.availableCalls)) {
		d.Entry.Incarnation = l.e.incarnation
		d.Revision = l.e.o.Config.Revision()
		byOwner[d.Owner] = append(byOwner[d.Owner], d)
	}
	for owner, due := range byOwner {
		if owner == l.e.o.Name {
			l.reportLocally(due, now)
			continue
		}
		l.availableCalls--
		reports.Go(func() { l.reportRemote(ctx, owner, due, now) })
	}
}

func (l *limits) reportLocally(due []sharing.PendingReport, now time.Time) {
	for _, d := range due {
		if g, ok := l.allocator.Report(d.Report, now); ok {
			l.tracker.ApplyGrant(d, g, now)
		} else {
			l.tracker.RecordReportFailure(d, true, now)
		}
	}
}

func (l *limits) reportRemote(ctx context.Context, owner string, due []sharing.PendingReport, sent time.Time) {
	ctx, cancel := context.WithTimeout(ctx, shareCallTimeout)
	defer cancel()
	l.mu.Lock()
	address := l.addresses[owner]
	l.mu.Unlock()
	req := &wire.ShareRequest{Entry: l.e.o.Name, Incarnation: l.e.incarnation, Revision: due[0].Revision, Sequence: due[0].Sequence}
	for _, d := range due {
		// All demands of a call share the lowest sequence number; each demand is for a
		// different customer.
		req.Demands = append(req.Demands, newShareDemand(d))
	}
	l.e.o.Metrics.Count("limit_reports", 1)
	resp, err := wire.NewSharingProtobufClient("http://"+address, l.client).Share(ctx, req)
	now := l.e.o.Timers.Now()
	if err != nil || len(resp.GetGrants()) != len(due) {
		l.e.o.Metrics.Count("limit_report_failures", 1)
		for _, d := range due {
			l.tracker.RecordReportFailure(d, false, now)
		}
		return
	}
	for i, g := range resp.GetGrants() {
		if g.GetRefused() {
			l.tracker.RecordReportFailure(due[i], true, now)
			continue
		}
		l.tracker.ApplyGrant(due[i], newGrant(g), sent)
	}
}

func newShareDemand(d sharing.PendingReport) *wire.ShareDemand {
	return &wire.ShareDemand{
		Customer: d.Customer, Concurrent: uint32(d.Demand.Concurrent), Rate: d.Demand.Rate,
		HeldConcurrent: uint32(d.CurrentShare.Concurrent), HeldRate: d.CurrentShare.Rate,
		LimitConcurrent: uint32(d.Limit.Concurrent), LimitRate: d.Limit.Rate, Ended: d.Ended,
	}
}

func newGrant(g *wire.ShareGrant) sharing.Grant {
	return sharing.Grant{
		Amount:   sharing.Amount{Concurrent: int(g.GetConcurrent()), Rate: g.GetRate()},
		Lifetime: time.Duration(g.GetLifetimeMs()) * time.Millisecond,
		Renew:    time.Duration(g.GetRenewMs()) * time.Millisecond,
	}
}

// Share implements wire.Sharing.
func (l *limits) Share(_ context.Context, r *wire.ShareRequest) (*wire.ShareResponse, error) {
	now := l.e.o.Timers.Now()
	resp := &wire.ShareResponse{Revision: l.e.o.Config.Revision()}
	for _, d := range r.GetDemands() {
		g, ok := l.allocator.Report(sharing.Report{
			Entry:    sharing.Member{Name: r.GetEntry(), Incarnation: r.GetIncarnation()},
			Customer: d.GetCustomer(), Sequence: r.GetSequence(), Revision: r.GetRevision(),
			Limit:        sharing.Amount{Concurrent: int(d.GetLimitConcurrent()), Rate: d.GetLimitRate()},
			Demand:       sharing.Amount{Concurrent: int(d.GetConcurrent()), Rate: d.GetRate()},
			CurrentShare: sharing.Amount{Concurrent: int(d.GetHeldConcurrent()), Rate: d.GetHeldRate()},
			Ended:        d.GetEnded(),
		}, now)
		resp.Grants = append(resp.Grants, newShareGrant(g, ok))
	}
	return resp, nil
}

func newShareGrant(g sharing.Grant, ok bool) *wire.ShareGrant {
	if !ok {
		return &wire.ShareGrant{Refused: true}
	}
	return &wire.ShareGrant{
		Concurrent: uint32(g.Concurrent), Rate: g.Rate,
		LifetimeMs: uint32(g.Lifetime.Milliseconds()), RenewMs: uint32(g.Renew.Milliseconds()),
	}
}
