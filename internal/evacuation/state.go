// Package evacuation keeps which failure domains are evacuated: nothing more is sent to their
// targets until the order is revoked.
//
// State is the part of the replicated state machine that applies the orders of operators. Each
// order that takes effect makes a new revision. Set is what one process knows: it only ever adopts
// a higher revision, so that responses of control VMs may arrive in any order. Neither of them uses
// the network or a clock.
//
// # Usage
//
//	result := state.Apply(evacuation.NewOrder("milford", true, revision))
//	set.Adopt(state.Revision(), state.Domains(), now)
//	if set.Contains(target.FailureDomain) {
//		// nothing may be sent to the target
//	}
package evacuation

import (
	"cmp"
	"maps"
	"slices"
)

// maxRecords limits the domains on which the last order is remembered. Deployments have a few
// domains; a domain that is evacuated is never dropped.
const maxRecords = 256

// Order evacuates a failure domain or revokes that.
type Order struct {
	domain        string
	evacuated     bool
	knownRevision uint64
}

// NewOrder returns an Order. knownRevision is the revision that was known when the order arrived.
func NewOrder(domain string, evacuated bool, knownRevision uint64) Order {
	return Order{domain: domain, evacuated: evacuated, knownRevision: knownRevision}
}

// Domain returns the failure domain.
func (o Order) Domain() string { return o.domain }

// Evacuated reports whether the order evacuates the domain; otherwise it revokes that.
func (o Order) Evacuated() bool { return o.evacuated }

// KnownRevision returns the revision that was known when the order arrived.
func (o Order) KnownRevision() uint64 { return o.knownRevision }

// Result is the result of an Order.
type Result struct {
	// Revision is the revision after the order.
	Revision uint64
	// Overtaken says that the order changed nothing, because an order on the same domain with a
	// different outcome has been applied since the known revision.
	Overtaken bool
}

// Record is the last order on a domain.
type Record struct {
	Domain    string
	Evacuated bool
	Revision  uint64 // that the order made
}

// State applies orders. It isn't safe for concurrent use.
type State struct {
	revision uint64
	floor    uint64 // highest revision of a dropped record
	records  map[string]Record
}

// NewState returns a State without orders.
func NewState() *State { return RestoreState(0, 0, nil) }

// RestoreState returns the State that a snapshot holds.
func RestoreState(revision, floor uint64, records []Record) *State {
	s := &State{revision: revision, floor: floor, records: make(map[string]Record, len(records))}
	for _, r := range records {
		s.records[r.Domain] = r
	}
	return s
}

// Apply applies an order. An order whose outcome already holds makes a new revision as well:
// otherwise an earlier order with the other outcome that is still on its way could undo it.
func (s *State) Apply(o Order) Result {
	last, ok := s.records[o.domain]
	if !ok {
		last.Revision = s.floor
	}
	if last.Evacuated != o.evacuated && last.Revision > o.knownRevision {
		return Result{Revision: s.revision, Overtaken: true}
	}
	s.revision++
	s.records[o.domain] = Record{Domain: o.domain, Evacuated: o.evacuated, Revision: s.revision}
	s.dropOldest()
	return Result{Revision: s.revision}
}

// dropOldest drops the oldest revocation if there are too many records.
func (s *State) dropOldest() {
	if len(s.records) <= maxRecords {
		return
	}
	for _, r := range s.Records() {
		if !r.Evacuated {
			s.floor = max(s.floor, r.Revision)
			delete(s.records, r.Domain)
			return
		}
	}
}

// HasOrder reports whether there is an order on a domain, which may be a revocation.
func (s *State) HasOrder(domain string) bool {
	_, ok := s.records[domain]
	return ok
}

// Revision returns the revision of the last order that took effect, 0 before the first one.
func (s *State) Revision() uint64 { return s.revision }

// Floor returns the highest revision of a record that was dropped.
func (s *State) Floor() uint64 { return s.floor }

// Records returns the last order on each domain, by revision.
func (s *State) Records() []Record {
	return slices.SortedFunc(maps.Values(s.records), func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
}

// Domains returns the evacuated domains, sorted.
func (s *State) Domains() []string {
	var list []string
	for domain, r := range s.records {
		if r.Evacuated {
			list = append(list, domain)
		}
	}
	slices.Sort(list)
	return list
}
