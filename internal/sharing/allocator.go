package sharing

import (
	"slices"
	"sync"
	"time"
)

const (
	// renewPeriod is the minimum time between two reports of an entry.
	renewPeriod = time.Second
	// renewPerEntry extends the time between reports with the number of entries, so
	// that an allocator responds to about five reports per second: one uses about
	// 0.5 KB of the 5 KB/s available for control traffic.
	renewPerEntry = 200 * time.Millisecond
	// gracePeriod is how long a grant remains valid after its renewal is due. It
	// covers two lost calls.
	gracePeriod = 2 * time.Second
	// maxViewLag is how long another entry may still act as the allocator after this
	// one does: an entry that cannot confirm its view for 3 s stops.
	maxViewLag = 3 * time.Second
)

// Member is a ready entry.
type Member struct {
	Name        string
	Incarnation string
}

// Report is an entry's demand for a part of one customer's limits.
type Report struct {
	Entry    Member
	Customer string
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	// Revision is the revision of the configuration that contains Limit.
	Revision uint64
	Limit    Amount
	Demand   Amount
	// CurrentShare is the share that the entry may use until the response arrives.
	CurrentShare Amount
	// Ended is set when the entry no longer needs a share.
	Ended bool
}

// Grant is the share that an entry may use.
type Grant struct {
	Amount
	// Lifetime starts at the time at which the entry sent its report.
	Lifetime time.Duration
	// Renew is the delay until the next report of the entry.
	Renew time.Duration
}

// Allocator allocates the limits of the customers that one entry is responsible for.
type Allocator struct {
	name string

	mu       sync.Mutex
	members  map[string]string // incarnations of the ready entries
	views    []membershipView
	accounts map[string]*customerAccount
	// recordCounts counts the records of each entry.
	recordCounts map[string]int
}

// membershipView is a set of ready entries that is valid from a point in time.
type membershipView struct {
	from  time.Time
	names []string
}

// customerAccount is the state of one customer at the allocator.
type customerAccount struct {
	since    time.Time // start of responsibility
	revision uint64
	limit    Amount
	records  map[string]*entryRecord
}

type entryRecord struct {
	incarnation string
	sequence    uint64
	demand      Amount
	activeShare Amount
	expiry      time.Time
}

// NewAllocator returns an Allocator that has no customers until SetMembers is called.
func NewAllocator(name string) *Allocator {
	return &Allocator{name: name, members: map[string]string{}, accounts: map[string]*customerAccount{}, recordCounts: map[string]int{}}
}

// SetMembers sets the ready entries. An entry that cannot confirm its view passes
// none, and then all reports are rejected.
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
		s.views = append(s.views, membershipView{from: now, names: names})
	}
	s.pruneViews(now)
	for customer, a := range s.accounts {
		if Owner(customer, names) == s.name {
			s.removeExpired(customer, a, now)
			continue
		}
		for entry := range a.records {
			s.removeRecord(customer, a, entry)
		}
	}
}

// removeExpired removes the records of entries that are no longer ready, once their
// shares have expired: an entry that is only partitioned uses its share until then.
func (s *Allocator) removeExpired(customer string, a *customerAccount, now time.Time) {
	for entry, r := range a.records {
		if !s.isMember(entry, r) && !now.Before(r.expiry) {
			s.removeRecord(customer, a, entry)
		}
	}
}

func (s *Allocator) isMember(entry string, r *entryRecord) bool {
	return s.members[entry] == r.incarnation
}

// warmUp returns how long a new allocator raises no share: grants of its
// predecessor, which are unknown to it, may be valid for that time.
func (s *Allocator) warmUp() time.Duration {
	widest := 0
	for _, v := range s.views {
		widest = max(widest, len(v.names))
	}
	return renewInterval(widest) + gracePeriod + maxViewLag
}

func (s *Allocator) pruneViews(now time.Time) {
	old := now.Add(-s.warmUp())
	for len(s.views) > 1 && !s.views[1].from.After(old) {
		s.views = s.views[1:]
	}
}

// responsibleSince returns the time since which this entry has been the allocator
// of the customer.
func (s *Allocator) responsibleSince(customer string) (since time.Time, ok bool) {
	for i := len(s.views) - 1; i >= 0 && Owner(customer, s.views[i].names) == s.name; i-- {
		since, ok = s.views[i].from, true
	}
	return since, ok
}

func renewInterval(entries int) time.Duration {
	return max(renewPeriod, time.Duration(entries)*renewPerEntry)
}

func (s *Allocator) removeRecord(customer string, a *customerAccount, entry string) {
	delete(a.records, entry)
	s.recordCounts[entry]--
	if s.recordCounts[entry] == 0 {
		delete(s.recordCounts, entry)
	}
	if len(a.records) == 0 {
		delete(s.accounts, customer)
	}
}

// Customers returns the number of customers with state.
func (s *Allocator) Customers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accounts)
}

// Report records a report and returns the share of the reporting entry. It returns
// false if this entry is not the allocator of the customer, if the reporting entry
// is not ready in this entry's view, or if the report is outdated.
func (s *Allocator) Report(r Report, now time.Time) (Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, rec := s.findOrCreate(r)
	if a == nil || rec.sequence >= r.Sequence {
		return Grant{}, false
	}
	if r.Ended {
		s.removeRecord(r.Customer, a, r.Entry.Name)
		return Grant{}, true
	}
	s.removeExpired(r.Customer, a, now)
	if r.Revision >= a.revision {
		a.revision, a.limit = r.Revision, r.Limit
	}
	rec.sequence, rec.demand = r.Sequence, r.Demand
	share := s.share(a, rec, r, now)
	renew := renewInterval(len(s.recordCounts))
	// The response may be lost, so until its next report the entry may use either
	// the old or the new share.
	rec.activeShare = r.CurrentShare.max(share)
	rec.expiry = now.Add(renew + gracePeriod)
	return Grant{Amount: share, Lifetime: renew + gracePeriod, Renew: renew}, true
}

// findOrCreate returns the account and the record for a report and creates them at
// the first report. It returns nil if this allocator is not responsible.
func (s *Allocator) findOrCreate(r Report) (*customerAccount, *entryRecord) {
	if incarnation, ok := s.members[r.Entry.Name]; !ok || incarnation != r.Entry.Incarnation {
		return nil, nil
	}
	since, ok := s.responsibleSince(r.Customer)
	if !ok {
		return nil, nil
	}
	a := s.accounts[r.Customer]
	if a == nil {
		a = &customerAccount{records: map[string]*entryRecord{}}
		s.accounts[r.Customer] = a
	}
	a.since = since
	rec := a.records[r.Entry.Name]
	if rec == nil {
		s.recordCounts[r.Entry.Name]++
	}
	if rec == nil || rec.incarnation != r.Entry.Incarnation {
		rec = &entryRecord{incarnation: r.Entry.Incarnation}
		a.records[r.Entry.Name] = rec
	}
	return a, rec
}

// share returns how much the reporting entry may use. Without free capacity, the
// entry retains its current share, up to its fallback, which it would also use
// without a response.
func (s *Allocator) share(a *customerAccount, rec *entryRecord, r Report, now time.Time) Amount {
	fallback := Fallback(a.limit, len(s.members))
	room := a.limit.minus(s.sumOfOthers(a, rec, fallback, now))
	share := s.fairShare(a, r.Entry.Name).min(room.max(r.CurrentShare.min(fallback)))
	if now.Sub(a.since) < s.warmUp() {
		share = share.min(r.CurrentShare)
	}
	return atLeastMinimum(share)
}

// sumOfOthers returns the sum of the shares of the other entries. A ready entry
// that has not reported in time uses its fallback; an entry that is no longer ready
// uses its share until the share expires.
func (s *Allocator) sumOfOthers(a *customerAccount, own *entryRecord, fallback Amount, now time.Time) Amount {
	var sum Amount
	for _, rec := range a.records {
		switch {
		case rec == own:
		case now.Before(rec.expiry):
			sum = sum.plus(rec.activeShare)
		default:
			sum = sum.plus(fallback)
		}
	}
	return sum
}

// fairShare returns the entry's share of the limit by demand.
func (s *Allocator) fairShare(a *customerAccount, entry string) Amount {
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
