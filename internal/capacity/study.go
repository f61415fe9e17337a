package capacity

import (
	"context"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// Sizes of the target, docs/design.md, section 1.
const (
	targetNodes     = 370
	targetWorkers   = 850
	targetProcesses = targetNodes + targetWorkers
	targetCustomers = 24_000
	targetRequests  = 2400      // per second
	targetTokens    = 1_100_000 // per second
	targetChanges   = 1200      // of the configuration, per day
)

// Options configures Run.
type Options struct {
	// Binary is the program that real processes are started from; required.
	Binary string
	// Folder holds the files of the run; the system's temporary one when empty.
	Folder string
	// Only names the groups to run; all but "full", "loaded", "replicas", "repair" and "snapshots" when empty.
	Only []string
}

// group is one set of measurements.
type group struct {
	name string
	// named groups run only when Options.Only names them: they take long, or
	// refine what another group measures.
	named bool
	run   func(ctx context.Context, o Options, s *series) error
}

func groups() []group {
	return []group{
		{name: "roster", run: rosterGroup},
		{name: "manifest", run: manifestGroup},
		{name: "missed", run: missedGroup},
		{name: "ledger", run: ledgerGroup},
		{name: "routing", run: routingGroup},
		{name: "admission", run: admissionGroup},
		{name: "metrics", run: metricsGroup},
		{name: "shares", run: sharesGroup},
		{name: "nodes", run: nodesGroup},
		{name: "config", run: configGroup},
		{name: "history", run: historyGroup},
		{name: "commits", run: commitsGroup},
		{name: "leases", run: leasesGroup},
		{name: "requests", run: requestsGroup},
		{name: "full", named: true, run: fullGroup},
		{name: "loaded", named: true, run: loadedGroup},
		{name: "replicas", named: true, run: replicasGroup},
		{name: "repair", named: true, run: repairGroup},
		{name: "snapshots", named: true, run: snapshotsGroup},
	}
}

// Groups returns the names that Options.Only may hold.
func Groups() []string {
	var names []string
	for _, g := range groups() {
		names = append(names, g.name)
	}
	return names
}

func (o *Options) check() error {
	if o.Folder == "" {
		o.Folder = os.TempDir()
	}
	for _, name := range o.Only {
		if !slices.Contains(Groups(), name) {
			return errors.Errorf("no group %q; there are %s", name, strings.Join(Groups(), ", "))
		}
	}
	return nil
}

// wants reports whether a group is to run.
func (o *Options) wants(g group) bool {
	if len(o.Only) == 0 {
		return !g.named
	}
	return slices.Contains(o.Only, g.name)
}

// Run measures the groups one after the other, so that none disturbs another.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &Report{Busy: make(map[string]float64), Seconds: make(map[string]float64)}
	for _, g := range groups() {
		if !o.wants(g) {
			continue
		}
		klog.InfoS("Measuring", "group", g.name)
		busy, total := machineTimes()
		began := time.Now()
		s := newSeries(g.name)
		err := g.run(ctx, o, s)
		runtime.GC()
		r.Measurements = append(r.Measurements, s.fitted()...)
		r.Seconds[g.name] = time.Since(began).Seconds()
		busyAfter, totalAfter := machineTimes()
		r.Busy[g.name] = (busyAfter - busy) / max(1, totalAfter-total)
		if err != nil {
			return r, errors.Wrapf(err, "measure %s", g.name)
		}
	}
	return r, nil
}
