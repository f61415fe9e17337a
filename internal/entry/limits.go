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
	sharePeriod  = 250 * time.Millisecond
	shareTimeout = 500 * time.Millisecond
	// shareCallsPerSecond bounds the calls to sharers. A call takes about 0.5 KB
	// here and as much at the sharer, of the 5 KB/s that control may use.
	shareCallsPerSecond = 4
)

// limits keeps this entry's shares of the limits of customers up to date.
type limits struct {
	e      *Entry
	holder *sharing.ShareTracker
	sharer *sharing.Allocator
	wake   chan struct{}
	calls  *http.Client

	mu        sync.Mutex
	addresses map[string]string // admin addresses of the ready entries

	// allowed is how many calls may be made now; only the loop uses it.
	allowed float64
	filled  time.Time
}

func newLimits(e *Entry) *limits {
	dial := e.o.DialAdmin
	return &limits{
		e: e, holder: sharing.NewShareTracker(e.o.Name), sharer: sharing.NewAllocator(e.o.Name), wake: make(chan struct{}, 1),
		calls: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true}},
	}
}

// enter admits a request within the customer's share at this entry, or returns
// why not.
func (l *limits) enter(c *manifest.Customer, now time.Time) *callError {
	limit := sharing.Amount{Concurrent: c.MaxConcurrent(), Rate: c.Rate()}
	share, ask := l.holder.RecordArrival(c.Name(), limit, now)
	refusal, ok := l.e.customers.Acquire(c.Name(), admission.CustomerLimits{MaxConcurrent: share.Concurrent, Rate: share.Rate}, now)
	l.holder.RecordDecision(c.Name(), ok)
	if ask || !ok {
		l.wakeUp()
	}
	if ok {
		return nil
	}
	return &callError{reason: string(refusal.Reason), detail: limitDetail(refusal.Reason, c, share)}
}

func (l *limits) leave(c *manifest.Customer, now time.Time) {
	l.e.customers.Release(c.Name(), now)
	l.holder.RecordCompletion(c.Name())
}

func (l *limits) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// limitDetail names the customer's limit and what part of it this entry may use.
func limitDetail(reason admission.Reason, c *manifest.Customer, s sharing.Share) string {
	what := fmt.Sprintf("this entry's share of the customer's rate of %g requests a second is used up; the share is %.3g a second", c.Rate(), s.Rate)
	if reason == admission.ReasonCustomerConcurrency {
		what = fmt.Sprintf("this entry's share of the customer's max_concurrent of %d is used up; the share is %d", c.MaxConcurrent(), s.Concurrent)
	}
	if s.Ready == 0 {
		return what + ", because this entry doesn't know the other entries yet"
	}
	if s.Allocator == "" {
		return fmt.Sprintf("%s, the limit divided by %d ready entries", what, s.Ready)
	}
	return fmt.Sprintf("%s, granted by %s by demand", what, s.Allocator)
}

// run sends the reports that are due, until ctx ends. No request waits for it.
func (l *limits) run(ctx context.Context) {
	ticker := l.e.o.Timers.Subscribe(sharePeriod)
	defer ticker.Stop()
	var reports sync.WaitGroup
	defer l.calls.CloseIdleConnections()
	defer reports.Wait()
	l.filled = l.e.o.Timers.Now()
	var changed <-chan struct{}
	var usable, known bool
	for {
		select {
		case <-ticker.C():
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		if now := l.usable(); !known || now != usable || isClosed(changed) {
			known, usable = l.e.rosterKnown.Load(), now
			changed = l.follow(known, usable)
		}
		l.report(ctx, &reports)
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

// usable reports whether this entry counts as ready in the view of the others.
func (l *limits) usable() bool {
	ready, _ := l.e.Ready()
	return ready
}

// follow takes the ready entries over, if they are known, and returns a channel
// that is closed at the next change of the roster.
func (l *limits) follow(known, usable bool) <-chan struct{} {
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
	l.holder.SetMembers(names, usable)
	l.sharer.SetMembers(members, l.e.o.Timers.Now())
	return changed
}

// readyEntries returns the entries that are ready, sorted by name, this one by
// its own knowledge, and the admin addresses of the others.
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

// report sends what is due, in one call for each sharer.
func (l *limits) report(ctx context.Context, reports *sync.WaitGroup) {
	now := l.e.o.Timers.Now()
	l.allowed = min(l.allowed+now.Sub(l.filled).Seconds()*shareCallsPerSecond, shareCallsPerSecond)
	l.filled = now
	byOwner := make(map[string][]sharing.PendingReport)
	for _, d := range l.holder.PendingReports(now, int(l.allowed)) {
		d.Entry.Incarnation = l.e.incarnation
		d.Revision = l.e.o.Config.Revision()
		byOwner[d.Owner] = append(byOwner[d.Owner], d)
	}
	for owner, due := range byOwner {
		if owner == l.e.o.Name {
			l.reportHere(due, now)
			continue
		}
		l.allowed--
		reports.Go(func() { l.reportTo(ctx, owner, due, now) })
	}
}

func (l *limits) reportHere(due []sharing.PendingReport, now time.Time) {
	for _, d := range due {
		if g, ok := l.sharer.Report(d.Report, now); ok {
			l.holder.ApplyGrant(d, g, now)
		} else {
			l.holder.RecordReportFailure(d, true, now)
		}
	}
}

func (l *limits) reportTo(ctx context.Context, owner string, due []sharing.PendingReport, sent time.Time) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	l.mu.Lock()
	address := l.addresses[owner]
	l.mu.Unlock()
	req := &wire.ShareRequest{Entry: l.e.o.Name, Incarnation: l.e.incarnation, Revision: due[0].Revision, Sequence: due[0].Sequence}
	for _, d := range due {
		// All demands of a call share the lowest sequence; each is of another customer.
		req.Demands = append(req.Demands, demandMessage(d))
	}
	l.e.o.Metrics.Count("limit_reports", 1)
	resp, err := wire.NewSharingProtobufClient("http://"+address, l.calls).Share(ctx, req)
	now := l.e.o.Timers.Now()
	if err != nil || len(resp.GetGrants()) != len(due) {
		l.e.o.Metrics.Count("limit_report_failures", 1)
		for _, d := range due {
			l.holder.RecordReportFailure(d, false, now)
		}
		return
	}
	for i, g := range resp.GetGrants() {
		if g.GetRefused() {
			l.holder.RecordReportFailure(due[i], true, now)
			continue
		}
		l.holder.ApplyGrant(due[i], newGrant(g), sent)
	}
}

func demandMessage(d sharing.PendingReport) *wire.ShareDemand {
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
		g, ok := l.sharer.Report(sharing.Report{
			Entry:    sharing.Member{Name: r.GetEntry(), Incarnation: r.GetIncarnation()},
			Customer: d.GetCustomer(), Sequence: r.GetSequence(), Revision: r.GetRevision(),
			Limit:        sharing.Amount{Concurrent: int(d.GetLimitConcurrent()), Rate: d.GetLimitRate()},
			Demand:       sharing.Amount{Concurrent: int(d.GetConcurrent()), Rate: d.GetRate()},
			CurrentShare: sharing.Amount{Concurrent: int(d.GetHeldConcurrent()), Rate: d.GetHeldRate()},
			Ended:        d.GetEnded(),
		}, now)
		resp.Grants = append(resp.Grants, grantMessage(g, ok))
	}
	return resp, nil
}

func grantMessage(g sharing.Grant, ok bool) *wire.ShareGrant {
	if !ok {
		return &wire.ShareGrant{Refused: true}
	}
	return &wire.ShareGrant{
		Concurrent: uint32(g.Concurrent), Rate: g.Rate,
		LifetimeMs: uint32(g.Lifetime.Milliseconds()), RenewMs: uint32(g.Renew.Milliseconds()),
	}
}
