package sharing

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// windowDuration is the length of a demand window; demand is the maximum of the
	// last complete window and the current one.
	windowDuration = time.Second
	// idleTime is how long a customer must be idle before its share is released,
	// or the time between reports if that is longer. It prevents a customer with
	// occasional calls from releasing and acquiring its share with a report each
	// time.
	idleTime = 3 * time.Second
	// retryDelay is the delay between a failed report and the next one.
	retryDelay = 500 * time.Millisecond
)

// Share is the part of a customer's limits that an entry may use.
type Share struct {
	Amount
	// Allocator is the name of the entry that granted the share; empty for a
	// fallback.
	Allocator string
	// Ready is the number of ready entries.
	Ready int
}

// PendingReport is a report that is due to be sent.
type PendingReport struct {
	Report
	Owner string
}

// ShareTracker tracks the shares and the demand of the customers that are active at
// one entry.
type ShareTracker struct {
	name string

	mu             sync.Mutex
	names          []string
	ready          int // 0 until the entries are known
	grantsUsable   bool
	membersVersion uint64
	sequence       uint64
	customers      map[string]*customerState
}

// customerState is the state of one active customer.
type customerState struct {
	limit       Amount
	inFlight    int
	windowStart time.Time
	current     windowCounts
	previous    windowCounts
	lastBusy    time.Time // last time at which it was not idle

	grant       Grant
	grantExpiry time.Time
	allocator   string
	// allocatorVersion is the membership version for which owner was selected.
	allocatorVersion uint64
	grantedBy        string
	registered       bool // the owner counts this entry
	reporting        bool
	nextReport       time.Time
}

// windowCounts are the statistics of one window.
type windowCounts struct {
	arrivals int
	peak     int
	// rejected counts calls that exceeded the concurrency or the rate.
	rejected int
}

// NewShareTracker returns a ShareTracker without members. Before SetMembers it
// admits one call at a time, because its part of a limit is unknown.
func NewShareTracker(name string) *ShareTracker {
	return &ShareTracker{name: name, customers: map[string]*customerState{}}
}

// SetMembers sets the names of the ready entries, which must be sorted. With
// usable false, grants are neither used nor requested: an entry that cannot
// confirm its view may be missing in the views of the others.
func (h *ShareTracker) SetMembers(names []string, usable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Equal(names, h.names) {
		h.names = names
		h.membersVersion++
	}
	h.grantsUsable = usable
	h.ready = len(names)
	if _, listed := slices.BinarySearch(names, h.name); !listed {
		h.ready++
	}
}

// RecordArrival counts a request and returns the active share. ask is set if a
// report should be sent now rather than in the next period.
func (h *ShareTracker) RecordArrival(customer string, limit Amount, now time.Time) (share Share, ask bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[customer]
	if c == nil {
		c = &customerState{windowStart: now, lastBusy: now.Add(-idleTime)}
		h.customers[customer] = c
	}
	c.limit = limit
	c.advanceWindow(now)
	c.current.arrivals++
	return h.share(c, now), !c.registered && !c.reporting && !c.hasLowDemand() && !now.Before(c.nextReport)
}

// RecordDecision records whether the request that has just arrived was admitted.
func (h *ShareTracker) RecordDecision(customer string, admitted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[customer]
	if c == nil {
		return
	}
	if !admitted {
		c.current.rejected++
		return
	}
	c.inFlight++
	c.current.peak = max(c.current.peak, c.inFlight)
}

// RecordCompletion records the end of an admitted request.
func (h *ShareTracker) RecordCompletion(customer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.customers[customer]; c != nil {
		c.inFlight = max(c.inFlight-1, 0)
	}
}

// Share returns the active share of a customer.
func (h *ShareTracker) Share(customer string, limit Amount, now time.Time) Share {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[customer]
	if c == nil {
		c = &customerState{limit: limit}
	}
	return h.share(c, now)
}

// Active returns the number of customers with state.
func (h *ShareTracker) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.customers)
}

func (h *ShareTracker) share(c *customerState, now time.Time) Share {
	if h.grantsUsable && now.Before(c.grantExpiry) {
		return Share{Amount: c.grant.min(c.limit), Allocator: c.grantedBy, Ready: h.ready}
	}
	if h.ready == 0 {
		return Share{Amount: atLeastMinimum(Amount{})}
	}
	return Share{Amount: Fallback(c.limit, h.ready), Ready: h.ready}
}

func (c *customerState) advanceWindow(now time.Time) {
	passed := now.Sub(c.windowStart)
	if passed < windowDuration {
		return
	}
	c.previous = c.current
	if passed >= 2*windowDuration {
		c.previous = windowCounts{arrivals: 0, peak: c.inFlight}
	}
	c.current = windowCounts{peak: c.inFlight}
	c.windowStart = now
}

// hasLowDemand reports whether the customer needs at most one call at a time, which
// an entry may run without a grant.
func (c *customerState) hasLowDemand() bool {
	return c.previous.arrivals+c.current.arrivals <= 1 && c.previous.rejected+c.current.rejected == 0 && max(c.previous.peak, c.current.peak) <= 1
}

func (c *customerState) isIdle() bool {
	return c.inFlight == 0 && c.previous == windowCounts{} && c.current == windowCounts{}
}

// demand returns the maximum demand of the two windows. Rejected calls count,
// because they would have run.
func (c *customerState) demand() Amount {
	need := Amount{
		Concurrent: max(c.previous.peak+c.previous.rejected, c.current.peak+c.current.rejected),
		Rate:       float64(max(c.previous.arrivals, c.current.arrivals)) / windowDuration.Seconds(),
	}
	return need.min(c.limit)
}

// PendingReports returns the reports to send now, to at most the given number of
// other entries, and evicts idle customers. Customers with rejected calls go first.
// The caller must complete each report with ApplyGrant or RecordReportFailure.
func (h *ShareTracker) PendingReports(now time.Time, calls int) []PendingReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.customers))
	for name, c := range h.customers {
		c.advanceWindow(now)
		if !c.hasLowDemand() {
			c.lastBusy = now
		}
		if h.evictIdle(name, c, now) || c.reporting || !h.grantsUsable {
			continue
		}
		h.selectAllocator(name, c, now)
		if c.allocator != "" && !now.Before(c.nextReport) && (c.registered || now.Sub(c.lastBusy) < idleTime) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(h.customers[b].rejections(), h.customers[a].rejections()), strings.Compare(a, b))
	})
	return h.reports(names, calls, now)
}

func (c *customerState) rejections() int { return c.previous.rejected + c.current.rejected }

// evictIdle evicts a customer if it is idle and no allocator counts it.
func (h *ShareTracker) evictIdle(name string, c *customerState, now time.Time) bool {
	if !c.isIdle() || c.registered || c.reporting || now.Before(c.grantExpiry) {
		return false
	}
	delete(h.customers, name)
	return true
}

func (h *ShareTracker) selectAllocator(name string, c *customerState, now time.Time) {
	if c.allocatorVersion == h.membersVersion && c.allocator != "" {
		return
	}
	c.allocatorVersion = h.membersVersion
	if owner := Owner(name, h.names); owner != c.allocator {
		c.allocator, c.registered, c.nextReport = owner, false, now
	}
}

// reports returns the reports of the customers, limited to the given number of
// other entries.
func (h *ShareTracker) reports(names []string, calls int, now time.Time) []PendingReport {
	var out []PendingReport
	called := map[string]bool{h.name: true}
	for _, name := range names {
		c := h.customers[name]
		if !called[c.allocator] && len(called) > calls {
			continue
		}
		called[c.allocator] = true
		h.sequence++
		d := PendingReport{Owner: c.allocator, Report: Report{
			Entry: Member{Name: h.name}, Customer: name, Sequence: h.sequence, Limit: c.limit, Demand: c.demand(),
			Ended: now.Sub(c.lastBusy) >= max(idleTime, c.grant.Renew),
		}}
		if d.Ended {
			c.grantExpiry = time.Time{}
		}
		d.CurrentShare = h.share(c, now).Amount
		c.reporting = true
		out = append(out, d)
	}
	return out
}

// ApplyGrant applies the response to a report that was sent at the given time.
func (h *ShareTracker) ApplyGrant(d PendingReport, g Grant, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[d.Customer]
	c.reporting = false
	c.registered = !d.Ended
	if d.Ended {
		return
	}
	c.grant, c.grantedBy, c.grantExpiry = g, d.Owner, sent.Add(g.Lifetime)
	c.nextReport = sent.Add(g.Renew)
}

// RecordReportFailure records that a report was rejected or got no response. The
// active grant remains valid until it expires. An allocator that may have received
// the report counts this entry.
func (h *ShareTracker) RecordReportFailure(d PendingReport, refused bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[d.Customer]
	c.reporting = false
	c.nextReport = now.Add(retryDelay)
	switch {
	case !refused:
		c.registered = true
	case d.Ended:
		c.registered = false
	}
}
