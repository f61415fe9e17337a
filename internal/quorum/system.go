package quorum

import (
	"fmt"
	"math/bits"
)

// System is a quorum system. Each replication quorum must intersect each election
// quorum; otherwise a new leader could lack committed entries.
type System interface {
	// Name returns a description of the system for a number of VMs.
	Name(vms int) string
	// Validate returns a *SizeError if the system isn't valid for a number of VMs.
	Validate(vms int) error
	replicates(vms int, alive set) bool
	elects(vms int, alive set) bool
}

// SizeError reports a number of VMs that a quorum system or layout doesn't support.
type SizeError struct {
	subject string
	vms     int
}

// VMs returns the unsupported number of VMs.
func (e *SizeError) VMs() int { return e.vms }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("%s can't have %d VMs", e.subject, e.vms) }

func count(s set) int { return bits.OnesCount32(uint32(s)) }

// Majority requires more than half of the VMs for replication and for election.
type Majority struct{}

// Name implements System.
func (Majority) Name(vms int) string { return fmt.Sprintf("majority %d of %d", vms/2+1, vms) }

// Validate implements System.
func (Majority) Validate(int) error { return nil }

func (Majority) replicates(vms int, alive set) bool { return count(alive) > vms/2 }

func (Majority) elects(vms int, alive set) bool { return count(alive) > vms/2 }

// Flexible requires ReplicationSize VMs for replication and enough VMs for election
// that the sum of both exceeds the number of VMs by one.
type Flexible struct {
	ReplicationSize int
}

func (u Flexible) election(vms int) int { return vms + 1 - u.ReplicationSize }

// Name implements System.
func (u Flexible) Name(vms int) string {
	return fmt.Sprintf("replicate %d, elect %d of %d", u.ReplicationSize, u.election(vms), vms)
}

// Validate implements System.
func (u Flexible) Validate(vms int) error {
	if u.ReplicationSize < 1 || u.ReplicationSize > vms {
		return &SizeError{subject: fmt.Sprintf("replication quorum of %d", u.ReplicationSize), vms: vms}
	}
	return nil
}

func (u Flexible) replicates(_ int, alive set) bool { return count(alive) >= u.ReplicationSize }

func (u Flexible) elects(vms int, alive set) bool { return count(alive) >= u.election(vms) }

// Grid arranges the VMs in rows, in the order of the layout. Replication requires a
// complete row and election a complete column, or vice versa, since each row
// intersects each column.
type Grid struct {
	Rows int
	// ByColumn replicates to a column and elects by a row.
	ByColumn bool
}

// Name implements System.
func (g Grid) Name(vms int) string {
	size := fmt.Sprintf("grid %d by %d", g.Rows, vms/g.Rows)
	if g.ByColumn {
		return size + ", replicate a column, elect a row"
	}
	return size + ", replicate a row, elect a column"
}

// Validate implements System.
func (g Grid) Validate(vms int) error {
	if g.Rows < 1 || vms%g.Rows != 0 {
		return &SizeError{subject: fmt.Sprintf("grid of %d rows", g.Rows), vms: vms}
	}
	return nil
}

func (g Grid) replicates(vms int, alive set) bool {
	if g.ByColumn {
		return g.hasColumn(vms, alive)
	}
	return g.hasRow(vms, alive)
}

func (g Grid) elects(vms int, alive set) bool {
	if g.ByColumn {
		return g.hasRow(vms, alive)
	}
	return g.hasColumn(vms, alive)
}

func (g Grid) hasRow(vms int, alive set) bool {
	columns := vms / g.Rows
	row := set(1<<columns - 1)
	for range g.Rows {
		if alive&row == row {
			return true
		}
		row <<= columns
	}
	return false
}

func (g Grid) hasColumn(vms int, alive set) bool {
	columns := vms / g.Rows
	var column set
	for r := range g.Rows {
		column |= 1 << (r * columns)
	}
	for range columns {
		if alive&column == column {
			return true
		}
		column <<= 1
	}
	return false
}

// ElectionQuorumsIntersect reports whether any two election quorums share a VM. If
// they don't, votes alone can't prevent two leaders in the same term.
func ElectionQuorumsIntersect(s System, l *Layout) bool {
	return noDisjointPair(l, func(a, b set) bool { return s.elects(l.Size(), a) && s.elects(l.Size(), b) })
}

// QuorumsIntersect reports whether each replication quorum shares a VM with each
// election quorum.
func QuorumsIntersect(s System, l *Layout) bool {
	return noDisjointPair(l, func(a, b set) bool { return s.replicates(l.Size(), a) && s.elects(l.Size(), b) })
}

// noDisjointPair reports whether both is false for every set and its complement. A
// superset of a quorum is a quorum, so checking complements covers all disjoint sets.
func noDisjointPair(l *Layout, both func(a, b set) bool) bool {
	for a := range l.all() + 1 {
		if both(a, l.all()&^a) {
			return false
		}
	}
	return true
}
