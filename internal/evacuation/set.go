package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Change is a change of one domain that a Set has adopted.
type Change struct {
	Domain    string
	Evacuated bool
	Revision  uint64
}

// Set is what one process knows of the evacuated domains. It is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	revision uint64
	domains  map[string]time.Time // when this process learned of the evacuation
	revoked  map[string]time.Time // when it learned of the revocation
	changed  chan struct{}
	onChange func(Change)
}

// NewSet returns a Set of revision 0, without domains.
func NewSet() *Set {
	return &Set{domains: map[string]time.Time{}, revoked: map[string]time.Time{}, changed: make(chan struct{})}
}

// OnChange sets the function that is called with each change, in the order of the revisions. It
// must not call the Set, and is set before the first Adopt.
func (s *Set) OnChange(f func(Change)) { s.onChange = f }

// Adopt replaces the set by that of a higher revision. It reports whether it has done so.
func (s *Set) Adopt(revision uint64, domains []string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return false
	}
	s.revision = revision
	for _, domain := range slices.Sorted(maps.Keys(s.domains)) {
		if !slices.Contains(domains, domain) {
			delete(s.domains, domain)
			s.revoked[domain] = now
			s.forgetOldestRevocation()
			s.report(domain, false)
		}
	}
	for _, domain := range domains {
		if _, ok := s.domains[domain]; !ok {
			s.domains[domain] = now
			delete(s.revoked, domain)
			s.report(domain, true)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (s *Set) report(domain string, evacuated bool) {
	if s.onChange != nil {
		s.onChange(Change{Domain: domain, Evacuated: evacuated, Revision: s.revision})
	}
}

func (s *Set) forgetOldestRevocation() {
	if len(s.revoked) <= maxRecords {
		return
	}
	oldest := ""
	for domain, at := range s.revoked {
		if oldest == "" || at.Before(s.revoked[oldest]) {
			oldest = domain
		}
	}
	delete(s.revoked, oldest)
}

// Contains reports whether a domain is evacuated.
func (s *Set) Contains(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.domains[domain]
	return ok
}

// TakenBackAt returns when this process learned that the evacuation of a domain was revoked; zero
// if the domain is evacuated or this process knows of no revocation.
func (s *Set) TakenBackAt(domain string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revoked[domain]
}

// Revision returns the revision of the set.
func (s *Set) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Len returns the number of evacuated domains.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.domains)
}

// Changed returns a channel that is closed when the next revision is adopted.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
