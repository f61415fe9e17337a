package sharing

import (
	"slices"
	"sync"
	"time"
)

const (
	// renewPeriod is the shortest time between two reports of an entry.
	renewPeriod = time.Second
	// renewPerEntry stretches the time between reports, so that a sharer answers
	// about five a second: one takes about 0.5 KB of the 5 KB/s that control may use.
	renewPerEntry = 200 * time.Millisecond
	// graceTime is how long a grant outlives the time of its renewal. It covers
	// two lost calls.
	graceTime = 2 * time.Second
	// viewLag is how long another entry may take itself for the sharer after this
	// one does: an entry that can't confirm its view for 3 s stops.
	viewLag = 3 * time.Second
)

// Member is a ready entry.
type Member struct {
	Name        string
	Incarnation string
}

// Report is what an entry needs of one customer's limits.
type Report struct {
	Entry    Member
	Customer string
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	// Revision is the configuration that Limit is from.
	Revision uint64
	Limit    Amount
	Demand   Amount
	// Held is the share that the entry may use until the answer arrives.
	CurrentShare Amount
	// Ended tells that the entry no longer needs a share.
	Ended bool
}

// Grant is the share that an entry may use.
type Grant struct {
	Amount
	// Lifetime counts from the time at which the entry sent its report.
	Lifetime time.Duration
	// Renew is the time after which the entry reports again.
	Renew time.Duration
}

// Allocator divides the limits of the customers that one entry is responsible for.
type Allocator struct {
	name string

	mu       sync.Mutex
	members  map[string]string // incarnations of the ready entries
	views    []view
	accounts map[string]*account
	// reporters counts the records of each entry.
	reporters map[string]int
}

// view is the ready entries from one time on.
type view struct {
	from  time.Time
	names []string
}

// account is what the sharer knows of one customer.
type account struct {
	since    time.Time // responsible since
	revision uint64
	limit    Amount
	records  map[string]*record
}

type record struct {
	incarnation string
	sequence    uint64
	demand      Amount
	inForce     Amount
	until       time.Time
}

// NewAllocator returns a Sharer that is responsible for nothing before SetMembers.
func NewAllocator(name string) *Allocator {
	return &Allocator{name: name, members: map[string]string{}, accounts: map[string]*account{}, reporters: map[string]int{}}
}

// SetMembers sets the ready entries. An entry that can't confirm its view passes
// none, and refuses all reports then.
func (s *Allocator) SetMembers(members []Member, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = make(map[string]string, len(members))
	names := make([]string, 0, len(members))
	for _, m := range members {
		s.members[m.Name] = m.Incarnation
		names = append(names, m.Name)
	}
	slices.Sort(names)
	if len(s.views) == 0 || !slices.Equal(s.views[len(s.views)-1].names, names) {
		s.views = append(s.views, view{from: now, names: names})
	}
	s.forgetViews(now)
	for customer, a := range s.accounts {
		if Owner(customer, names) == s.name {
			s.prune(customer, a, now)
			continue
		}
		for entry := range a.records {
			s.drop(customer, a, entry)
		}
	}
}

// prune drops the records of entries that are no longer ready, once their shares
// have ended: one that was only cut off uses its share until then.
func (s *Allocator) prune(customer string, a *account, now time.Time) {
	for entry, r := range a.records {
		if !s.isMember(entry, r) && !now.Before(r.until) {
			s.drop(customer, a, entry)
		}
	}
}

func (s *Allocator) isMember(entry string, r *record) bool {
	return s.members[entry] == r.incarnation
}

// warmUp is how long a new sharer raises no share: grants of the earlier one,
// which it doesn't know of, may be in force so long.
func (s *Allocator) warmUp() time.Duration {
	widest := 0
	for _, v := range s.views {
		widest = max(widest, len(v.names))
	}
	return renewTime(widest) + graceTime + viewLag
}

func (s *Allocator) forgetViews(now time.Time) {
	old := now.Add(-s.warmUp())
	for len(s.views) > 1 && !s.views[1].from.After(old) {
		s.views = s.views[1:]
	}
}

// responsibleSince returns since when this entry is the sharer of the customer.
func (s *Allocator) responsibleSince(customer string) (since time.Time, ok bool) {
	for i := len(s.views) - 1; i >= 0 && Owner(customer, s.views[i].names) == s.name; i-- {
		since, ok = s.views[i].from, true
	}
	return since, ok
}

func renewTime(entries int) time.Duration {
	return max(renewPeriod, time.Duration(entries)*renewPerEntry)
}

func (s *Allocator) drop(customer string, a *account, entry string) {
	delete(a.records, entry)
	s.reporters[entry]--
	if s.reporters[entry] == 0 {
		delete(s.reporters, entry)
	}
	if len(a.records) == 0 {
		delete(s.accounts, customer)
	}
}

// Customers returns for how many customers the sharer holds state.
func (s *Allocator) Customers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accounts)
}

// Report answers an entry's share. It reports false when this entry isn't the
// sharer, doesn't count the other one as ready, or the report is outdated.
func (s *Allocator) Report(r Report, now time.Time) (Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, rec := s.find(r)
	if a == nil || rec.sequence >= r.Sequence {
		return Grant{}, false
	}
	if r.Ended {
		s.drop(r.Customer, a, r.Entry.Name)
		return Grant{}, true
	}
	s.prune(r.Customer, a, now)
	if r.Revision >= a.revision {
		a.revision, a.limit = r.Revision, r.Limit
	}
	rec.sequence, rec.demand = r.Sequence, r.Demand
	share := s.share(a, rec, r, now)
	renew := renewTime(len(s.reporters))
	// The answer may get lost, so the entry may use either until it reports again.
	rec.inForce = r.CurrentShare.max(share)
	rec.until = now.Add(renew + graceTime)
	return Grant{Amount: share, Lifetime: renew + graceTime, Renew: renew}, true
}

// find returns the account and the record of a report, new ones at the first
// report, or nil when the report isn't for this sharer.
func (s *Allocator) find(r Report) (*account, *record) {
	if incarnation, ok := s.members[r.Entry.Name]; !ok || incarnation != r.Entry.Incarnation {
		return nil, nil
	}
	since, ok := s.responsibleSince(r.Customer)
	if !ok {
		return nil, nil
	}
	a := s.accounts[r.Customer]
	if a == nil {
		a = &account{records: map[string]*record{}}
		s.accounts[r.Customer] = a
	}
	a.since = since
	rec := a.records[r.Entry.Name]
	if rec == nil {
		s.reporters[r.Entry.Name]++
	}
	if rec == nil || rec.incarnation != r.Entry.Incarnation {
		rec = &record{incarnation: r.Entry.Incarnation}
		a.records[r.Entry.Name] = rec
	}
	return a, rec
}

// share decides how much the entry of a report may use. Without room, it may
// keep what it holds, up to its fallback, which it would use without an answer.
func (s *Allocator) share(a *account, rec *record, r Report, now time.Time) Amount {
	fallback := Fallback(a.limit, len(s.members))
	room := a.limit.minus(s.others(a, rec, fallback, now))
	share := s.target(a, r.Entry.Name).min(room.max(r.CurrentShare.min(fallback)))
	if now.Sub(a.since) < s.warmUp() {
		share = share.min(r.CurrentShare)
	}
	return atLeastMinimum(share)
}

// others sums the shares of the other entries. One that is ready but has not
// reported in time uses its fallback; one that is no longer ready uses its share
// until that ends.
func (s *Allocator) others(a *account, own *record, fallback Amount, now time.Time) Amount {
	var sum Amount
	for _, rec := range a.records {
		switch {
		case rec == own:
		case now.Before(rec.until):
			sum = sum.plus(rec.inForce)
		default:
			sum = sum.plus(fallback)
		}
	}
	return sum
}

// target is the entry's share of the limit by demand.
func (s *Allocator) target(a *account, entry string) Amount {
	names := make([]string, 0, len(a.records))
	for name, rec := range a.records {
		if s.isMember(name, rec) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	demands := make([]Amount, 0, len(names))
	for _, name := range names {
		demands = append(demands, a.records[name].demand.min(a.limit))
	}
	i, _ := slices.BinarySearch(names, entry)
	return Divide(a.limit, demands)[i]
}
