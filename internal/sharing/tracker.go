package sharing

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// windowTime is the time in which demand is counted; the last whole window
	// and the one under way count.
	windowTime = time.Second
	// quietTime is how long a customer has to be quiet before its share is given
	// back, or the time between reports when that is longer. It keeps a customer
	// with a call now and then from coming and going, at a report each time.
	quietTime = 3 * time.Second
	// retryPause is the time between a failed report and the next one.
	retryPause = 500 * time.Millisecond
)

// Share is what an entry may use of a customer's limits.
type Share struct {
	Amount
	// Sharer is the entry that granted the share; empty for a fallback.
	Allocator string
	// Ready is the number of ready entries.
	Ready int
}

// PendingReport is a report that an entry has to send.
type PendingReport struct {
	Report
	Owner string
}

// ShareTracker keeps the shares and the demand of the customers that are active at
// one entry.
type ShareTracker struct {
	name string

	mu        sync.Mutex
	names     []string
	ready     int // 0 before the entries are known
	usable    bool
	changes   uint64
	sequence  uint64
	customers map[string]*holding
}

// holding is the state of one active customer.
type holding struct {
	limit    Amount
	inFlight int
	window   time.Time
	now      counts
	before   counts
	busy     time.Time // last time at which it wasn't quiet

	grant Grant
	until time.Time
	owner string
	// ownerOf is the change of the members for which owner was chosen.
	ownerOf uint64
	granter string
	known   bool // the owner counts this entry
	asking  bool
	next    time.Time
}

// counts is what happened in one window.
type counts struct {
	arrivals int
	peak     int
	// refused counts calls that found the concurrent calls or the rate used up.
	refused int
}

// NewShareTracker returns a Holder that knows no entries. Before SetMembers it lets one
// call through at a time, because it can't tell its part of a limit.
func NewShareTracker(name string) *ShareTracker {
	return &ShareTracker{name: name, customers: map[string]*holding{}}
}

// SetMembers sets the names of the ready entries, sorted. With usable false, no
// grant is used and none is asked for: an entry that can't confirm its view may
// be missing in the view of the others.
func (h *ShareTracker) SetMembers(names []string, usable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Equal(names, h.names) {
		h.names = names
		h.changes++
	}
	h.usable = usable
	h.ready = len(names)
	if _, listed := slices.BinarySearch(names, h.name); !listed {
		h.ready++
	}
}

// RecordArrival counts a request and returns the share in force. It reports whether a
// report is to be sent now rather than at the next period.
func (h *ShareTracker) RecordArrival(customer string, limit Amount, now time.Time) (share Share, ask bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[customer]
	if c == nil {
		c = &holding{window: now, busy: now.Add(-quietTime)}
		h.customers[customer] = c
	}
	c.limit = limit
	c.roll(now)
	c.now.arrivals++
	return h.share(c, now), !c.known && !c.asking && !c.isQuiet() && !now.Before(c.next)
}

// RecordDecision tells whether the request that has just arrived was admitted.
func (h *ShareTracker) RecordDecision(customer string, admitted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[customer]
	if c == nil {
		return
	}
	if !admitted {
		c.now.refused++
		return
	}
	c.inFlight++
	c.now.peak = max(c.now.peak, c.inFlight)
}

// RecordCompletion ends a request that was admitted.
func (h *ShareTracker) RecordCompletion(customer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.customers[customer]; c != nil {
		c.inFlight = max(c.inFlight-1, 0)
	}
}

// Share returns the share in force of a customer.
func (h *ShareTracker) Share(customer string, limit Amount, now time.Time) Share {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[customer]
	if c == nil {
		c = &holding{limit: limit}
	}
	return h.share(c, now)
}

// Active returns for how many customers the holder keeps state.
func (h *ShareTracker) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.customers)
}

func (h *ShareTracker) share(c *holding, now time.Time) Share {
	if h.usable && now.Before(c.until) {
		return Share{Amount: c.grant.min(c.limit), Allocator: c.granter, Ready: h.ready}
	}
	if h.ready == 0 {
		return Share{Amount: atLeastMinimum(Amount{})}
	}
	return Share{Amount: Fallback(c.limit, h.ready), Ready: h.ready}
}

func (c *holding) roll(now time.Time) {
	passed := now.Sub(c.window)
	if passed < windowTime {
		return
	}
	c.before = c.now
	if passed >= 2*windowTime {
		c.before = counts{arrivals: 0, peak: c.inFlight}
	}
	c.now = counts{peak: c.inFlight}
	c.window = now
}

// isQuiet reports whether the customer needs no more than one call at a time,
// which an entry may run without a share.
func (c *holding) isQuiet() bool {
	return c.before.arrivals+c.now.arrivals <= 1 && c.before.refused+c.now.refused == 0 && max(c.before.peak, c.now.peak) <= 1
}

func (c *holding) isIdle() bool {
	return c.inFlight == 0 && c.before == counts{} && c.now == counts{}
}

// demand is the highest need of the two windows. A refused call would have run.
func (c *holding) demand() Amount {
	need := Amount{
		Concurrent: max(c.before.peak+c.before.refused, c.now.peak+c.now.refused),
		Rate:       float64(max(c.before.arrivals, c.now.arrivals)) / windowTime.Seconds(),
	}
	return need.min(c.limit)
}

// PendingReports returns the reports to send now, at most limit calls to other entries, and
// forgets idle customers. Customers that were refused go first. The caller ends
// each with Granted or Failed.
func (h *ShareTracker) PendingReports(now time.Time, calls int) []PendingReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.customers))
	for name, c := range h.customers {
		c.roll(now)
		if !c.isQuiet() {
			c.busy = now
		}
		if h.forget(name, c, now) || c.asking || !h.usable {
			continue
		}
		h.chooseOwner(name, c, now)
		if c.owner != "" && !now.Before(c.next) && (c.known || now.Sub(c.busy) < quietTime) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(h.customers[b].refused(), h.customers[a].refused()), strings.Compare(a, b))
	})
	return h.reports(names, calls, now)
}

func (c *holding) refused() int { return c.before.refused + c.now.refused }

// forget drops a customer that is idle and that no sharer counts.
func (h *ShareTracker) forget(name string, c *holding, now time.Time) bool {
	if !c.isIdle() || c.known || c.asking || now.Before(c.until) {
		return false
	}
	delete(h.customers, name)
	return true
}

func (h *ShareTracker) chooseOwner(name string, c *holding, now time.Time) {
	if c.ownerOf == h.changes && c.owner != "" {
		return
	}
	c.ownerOf = h.changes
	if owner := Owner(name, h.names); owner != c.owner {
		c.owner, c.known, c.next = owner, false, now
	}
}

// reports makes the reports of the customers, as long as they go to no more than
// the given number of other entries.
func (h *ShareTracker) reports(names []string, calls int, now time.Time) []PendingReport {
	var out []PendingReport
	called := map[string]bool{h.name: true}
	for _, name := range names {
		c := h.customers[name]
		if !called[c.owner] && len(called) > calls {
			continue
		}
		called[c.owner] = true
		h.sequence++
		d := PendingReport{Owner: c.owner, Report: Report{
			Entry: Member{Name: h.name}, Customer: name, Sequence: h.sequence, Limit: c.limit, Demand: c.demand(),
			Ended: now.Sub(c.busy) >= max(quietTime, c.grant.Renew),
		}}
		if d.Ended {
			c.until = time.Time{}
		}
		d.CurrentShare = h.share(c, now).Amount
		c.asking = true
		out = append(out, d)
	}
	return out
}

// ApplyGrant takes the answer to a report that was sent at a time.
func (h *ShareTracker) ApplyGrant(d PendingReport, g Grant, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[d.Customer]
	c.asking = false
	c.known = !d.Ended
	if d.Ended {
		return
	}
	c.grant, c.granter, c.until = g, d.Owner, sent.Add(g.Lifetime)
	c.next = sent.Add(g.Renew)
}

// RecordReportFailure tells that a report was refused or not answered. The grant in force
// holds until its end. A sharer that may have got the report counts this entry.
func (h *ShareTracker) RecordReportFailure(d PendingReport, refused bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[d.Customer]
	c.asking = false
	c.next = now.Add(retryPause)
	switch {
	case !refused:
		c.known = true
	case d.Ended:
		c.known = false
	}
}
