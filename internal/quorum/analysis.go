// Package quorum compares quorum systems by enumerating every failure of a kind.
//
// It holds no state and does no input or output. The replica uses majorities;
// this package shows what other systems would give for a placement of VMs.
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

// Failure names a kind of failure set.
type Failure struct {
	// VMs and Domains are the numbers that fail at the same time.
	VMs, Domains int
	// Cut says that the regions can't reach each other.
	Partitioned bool
}

// String describes the failure.
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

// Row says how a system fares in a layout under all failure sets of one kind.
type Row struct {
	layout        string
	system        string
	safeElections bool
	failure       Failure
	sets          int
	replicates    float64
	elects        float64
	serves        float64
	best, worst   time.Duration
}

// Failure returns the kind of failure set.
func (r Row) Failure() Failure { return r.failure }

// System returns the name of the system.
func (r Row) System() string { return r.system }

// Sets returns the number of failure sets.
func (r Row) Sets() int { return r.sets }

// Replicates returns the share of failure sets and places of the leader after
// which the leader is alive and reaches a replication quorum.
func (r Row) Replicates() float64 { return r.replicates }

// Elects returns the share of failure sets after which some VMs that reach each
// other hold an election quorum.
func (r Row) Elects() float64 { return r.elects }

// Serves returns the share of failure sets and places of the leader after which
// the leader replicates, or a new one can be elected and replicate.
func (r Row) Serves() float64 { return r.serves }

// BestCommit and WorstCommit return the commit latency without failures for the
// best and the worst place of the leader, without the time for syncs.
func (r Row) BestCommit() time.Duration { return r.best }

// WorstCommit returns the commit latency for the worst place of the leader.
func (r Row) WorstCommit() time.Duration { return r.worst }

// Header returns the column titles of Cells.
func Header() []string {
	return []string{"layout", "quorum system", "elections overlap", "failure", "sets", "replicates", "elects", "serves", "commit best", "commit worst"}
}

// Cells returns the row as text.
func (r Row) Cells() []string {
	return []string{
		r.layout, r.system, strconv.FormatBool(r.safeElections), r.failure.String(), strconv.Itoa(r.sets),
		percent(r.replicates), percent(r.elects), percent(r.serves), r.best.String(), r.worst.String(),
	}
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

// Systems returns the systems that exist for a number of VMs: majority, every
// unequal pair that differs from it, and every grid with more than one row and column.
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

// Failures returns the kinds of failure sets of a layout: up to all but one VM,
// up to all but one failure domain, and with several regions the cut between
// them, alone and together with one VM or one failure domain.
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

// Analyze returns a row for each system and kind of failure. It returns a
// *SizeError for a system that doesn't exist for the number of VMs.
func Analyze(l *Layout, systems []System, t Latency) ([]Row, error) {
	var rows []Row
	for _, s := range systems {
		if err := s.Validate(l.Size()); err != nil {
			return nil, err
		}
		best, worst := commitLatency(l, s, t)
		for _, f := range Failures(l) {
			r := Row{layout: l.name, system: s.Name(l.Size()), safeElections: ElectionQuorumsIntersect(s, l), failure: f, best: best, worst: worst}
			r.measure(l, s)
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (r *Row) measure(l *Layout, s System) {
	var replicates, elects, serves int
	failed := failureSets(l, r.failure)
	for _, f := range failed {
		parts := []set{l.all()}
		if r.failure.Partitioned {
			parts = l.regions()
		}
		o := survey(l, s, parts, l.all()&^f)
		replicates += o.replicating
		if o.elects {
			elects++
		}
		serves += o.serving
	}
	r.sets = len(failed)
	places := float64(r.sets * l.Size())
	r.replicates = float64(replicates) / places
	r.elects = float64(elects) / float64(r.sets)
	r.serves = float64(serves) / places
}

// outcome counts the places of the leader after one failure set.
type outcome struct {
	replicating int
	serving     int
	elects      bool
}

func survey(l *Layout, s System, parts []set, alive set) outcome {
	var o outcome
	recovers := false
	for _, part := range parts {
		reached := part & alive
		replicates := s.replicates(l.Size(), reached)
		elects := s.elects(l.Size(), reached)
		o.elects = o.elects || elects
		recovers = recovers || elects && replicates
		if replicates {
			o.replicating += count(reached)
		}
	}
	o.serving = o.replicating
	if recovers {
		o.serving = l.Size()
	}
	return o
}

func failureSets(l *Layout, f Failure) []set {
	switch {
	case f.VMs > 0:
		var singles []set
		for i := range l.vms {
			singles = append(singles, 1<<i)
		}
		return unions(singles, f.VMs)
	case f.Domains > 0:
		return unions(l.domains(), f.Domains)
	}
	return []set{0}
}

// unions returns the union of each choice of n of the sets.
func unions(sets []set, n int) []set {
	if n == 0 {
		return []set{0}
	}
	var all []set
	for i, s := range sets {
		for _, u := range unions(sets[i+1:], n-1) {
			all = append(all, s|u)
		}
	}
	return all
}

// commitLatency returns the commit latency for the best and the worst leader.
func commitLatency(l *Layout, s System, t Latency) (best, worst time.Duration) {
	for leader := range l.vms {
		d := commitFrom(l, s, t, leader)
		if leader == 0 || d < best {
			best = d
		}
		worst = max(worst, d)
	}
	return best, worst
}

// commitFrom returns the shortest time after which the VMs that have answered
// the leader hold a replication quorum.
func commitFrom(l *Layout, s System, t Latency, leader int) time.Duration {
	for _, limit := range []time.Duration{0, 2 * t.IntraRegion, 2 * t.InterRegion} {
		var answered set
		for i := range l.vms {
			if l.roundTrip(t, leader, i) <= limit {
				answered |= 1 << i
			}
		}
		if s.replicates(l.Size(), answered) {
			return limit
		}
	}
	return 2 * max(t.IntraRegion, t.InterRegion)
}
