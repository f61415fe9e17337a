// Package quorum compares the availability and commit latency of quorum systems by
// enumerating all failures of a kind.
//
// It is stateless and does no I/O. The replica package uses majorities; this package
// shows how other quorum systems would perform for a placement of VMs.
//
// # Usage
//
//	l, err := quorum.Spread("7 VMs, 2 regions", []int{2, 2}, []int{2, 1})
//	rows, err := quorum.Study(l, quorum.Systems(l.Size()), quorum.Latency{Within: 200 * time.Microsecond, Between: 20 * time.Millisecond})
//	fmt.Println(quorum.Header())
//	for _, r := range rows {
//		fmt.Println(r.Cells())
//	}
package quorum

import (
	"fmt"
	"strconv"
	"time"
)

// Failure is a kind of failure set.
type Failure struct {
	// VMs and Domains are the numbers of VMs and failure domains that fail
	// simultaneously.
	VMs, Domains int
	// Partitioned means that the regions can't reach each other.
	Partitioned bool
}

// String returns a description of the failure.
func (f Failure) String() string {
	text := ""
	switch {
	case f.VMs > 0:
		text = plural(f.VMs, "VM")
	case f.Domains > 0:
		text = plural(f.Domains, "failure domain")
	}
	switch {
	case f.Partitioned && text == "":
		return "region cut"
	case f.Partitioned:
		return "region cut and " + text
	case text == "":
		return "none"
	}
	return text
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// Row contains the results for a quorum system in a layout under all failure sets of
// one kind.
type Row struct {
	layout                  string
	system                  string
	safeElections           bool
	failure                 Failure
	sets                    int
	replicates              float64
	elects                  float64
	serves                  float64
	bestCommit, worstCommit time.Duration
}

// Failure returns the kind of failure set.
func (r Row) Failure() Failure { return r.failure }

// System returns the name of the quorum system.
func (r Row) System() string { return r.system }

// Sets returns the number of failure sets.
func (r Row) Sets() int { return r.sets }

// Replicates returns the fraction of failure sets and leader placements in which the
// leader is alive and reaches a replication quorum.
func (r Row) Replicates() float64 { return r.replicates }

// Elects returns the fraction of failure sets in which the VMs of some partition form
// an election quorum.
func (r Row) Elects() float64 { return r.elects }

// Serves returns the fraction of failure sets and leader placements in which the
// leader can replicate, or a new leader can be elected and replicate.
func (r Row) Serves() float64 { return r.serves }

// BestCommit returns the commit latency without failures for the best leader
// placement. It excludes the time for syncs.
func (r Row) BestCommit() time.Duration { return r.bestCommit }

// WorstCommit returns the commit latency without failures for the worst leader
// placement. It excludes the time for syncs.
func (r Row) WorstCommit() time.Duration { return r.worstCommit }

// Header returns the column titles for Row.Cells.
func Header() []string {
	return []string{"layout", "quorum system", "elections overlap", "failure", "sets", "replicates", "elects", "serves", "commit best", "commit worst"}
}

// Cells returns the row as formatted table cells.
func (r Row) Cells() []string {
	return []string{
		r.layout, r.system, strconv.FormatBool(r.safeElections), r.failure.String(), strconv.Itoa(r.sets),
		percent(r.replicates), percent(r.elects), percent(r.serves), r.bestCommit.String(), r.worstCommit.String(),
	}
}

func percent(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }

// Systems returns the quorum systems for a number of VMs: the majority, all flexible
// quorums that differ from it, and all grids with more than one row and column.
func Systems(vms int) []System {
	systems := []System{Majority{}}
	for n := 1; n <= vms; n++ {
		if n != vms/2+1 || 2*n != vms+1 {
			systems = append(systems, Flexible{ReplicationSize: n})
		}
	}
	for rows := 2; rows < vms; rows++ {
		if vms%rows == 0 {
			systems = append(systems, Grid{Rows: rows}, Grid{Rows: rows, ByColumn: true})
		}
	}
	return systems
}

// Failures returns the kinds of failure sets of a layout: up to all but one VM and up
// to all but one failure domain. For several regions it adds a network partition
// between them, alone and together with the failure of one VM or failure domain.
func Failures(l *Layout) []Failure {
	var failures []Failure
	for n := 1; n < l.Size(); n++ {
		failures = append(failures, Failure{VMs: n})
	}
	for n := 1; n < len(l.domains()); n++ {
		failures = append(failures, Failure{Domains: n})
	}
	if len(l.regions()) > 1 {
		failures = append(failures, Failure{Partitioned: true}, Failure{Partitioned: true, VMs: 1}, Failure{Partitioned: true, Domains: 1})
	}
	return failures
}

// Analyze returns a row for each system and kind of failure. It returns a *SizeError
// if a system isn't valid for the number of VMs.
func Analyze(l *Layout, systems []System, t Latency) ([]Row, error) {
	var rows []Row
	for _, s := range systems {
		if err := s.Validate(l.Size()); err != nil {
			return nil, err
		}
		best, worst := commitLatency(l, s, t)
		for _, f := range Failures(l) {
			r := Row{layout: l.name, system: s.Name(l.Size()), safeElections: ElectionQuorumsIntersect(s, l), failure: f, bestCommit: best, worstCommit: worst}
			r.compute(l, s)
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (r *Row) compute(l *Layout, s System) {
	var replicates, elects, serves int
	failed := failureSets(l, r.failure)
	for _, f := range failed {
		partitions := []set{l.all()}
		if r.failure.Partitioned {
			partitions = l.regions()
		}
		result := evaluate(l, s, partitions, l.all()&^f)
		replicates += result.replicating
		if result.elects {
			elects++
		}
		serves += result.serving
	}
	r.sets = len(failed)
	placements := float64(r.sets * l.Size())
	r.replicates = float64(replicates) / placements
	r.elects = float64(elects) / float64(r.sets)
	r.serves = float64(serves) / placements
}

// outcome counts the leader placements that remain available under one failure set.
type outcome struct {
	replicating int
	serving     int
	elects      bool
}

func evaluate(l *Layout, s System, partitions []set, alive set) outcome {
	var result outcome
	canRecover := false
	for _, partition := range partitions {
		reachable := partition & alive
		replicates := s.replicates(l.Size(), reachable)
		elects := s.elects(l.Size(), reachable)
		result.elects = result.elects || elects
		canRecover = canRecover || elects && replicates
		if replicates {
			result.replicating += count(reachable)
		}
	}
	result.serving = result.replicating
	if canRecover {
		result.serving = l.Size()
	}
	return result
}

func failureSets(l *Layout, f Failure) []set {
	switch {
	case f.VMs > 0:
		var singles []set
		for i := range l.vms {
			singles = append(singles, 1<<i)
		}
		return combinations(singles, f.VMs)
	case f.Domains > 0:
		return combinations(l.domains(), f.Domains)
	}
	return []set{0}
}

// combinations returns the unions of all combinations of n sets.
func combinations(sets []set, n int) []set {
	if n == 0 {
		return []set{0}
	}
	var all []set
	for i, s := range sets {
		for _, u := range combinations(sets[i+1:], n-1) {
			all = append(all, s|u)
		}
	}
	return all
}

// commitLatency returns the commit latency for the best and worst leader placement.
func commitLatency(l *Layout, s System, t Latency) (best, worst time.Duration) {
	for leader := range l.vms {
		d := commitLatencyFrom(l, s, t, leader)
		if leader == 0 || d < best {
			best = d
		}
		worst = max(worst, d)
	}
	return best, worst
}

// commitLatencyFrom returns the time until the leader has received responses from a
// replication quorum.
func commitLatencyFrom(l *Layout, s System, t Latency, leader int) time.Duration {
	for _, limit := range []time.Duration{0, 2 * t.IntraRegion, 2 * t.InterRegion} {
		var responded set
		for i := range l.vms {
			if l.roundTrip(t, leader, i) <= limit {
				responded |= 1 << i
			}
		}
		if s.replicates(l.Size(), responded) {
			return limit
		}
	}
	return 2 * max(t.IntraRegion, t.InterRegion)
}
