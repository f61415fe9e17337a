// Package experiment runs the same load with the same faults under several
// policies and puts the results side by side.
//
// Each run has a system of its own in this process: three control VMs, two
// entries and the targets of an example manifest, on loopback.
//
// # Usage
//
//	e, err := experiment.New(experiment.Options{Example: "harbwr", Folder: "out"})
//	rows, err := e.Run(ctx)
//	experiment.Table(os.Stdout, rows)
//	err = experiment.Plot("out/attainment.svg", rows)
package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/examples"
	"github.com/cardamomline/cardamomline/internal/load"
	"github.com/cardamomline/cardamomline/internal/process"
	"github.com/cardamomline/cardamomline/internal/report"
	"github.com/cardamomline/cardamomline/internal/timer"
)

const (
	defaultDuration = 20 * time.Second
	startTimeout    = 30 * time.Second
	stopTimeout     = 20 * time.Second
	entries         = 2

	// engineTokens is the tokens per second that one stand-in engine generates
	// with a full batch: 8 requests share a step of 10 ms.
	engineTokens = 800
)

// sizes are the targets by service of each example, at the users' sizes.
var sizes = map[string]map[string]int{
	"harbwr": {
		"generators": 4, "encoders": 3, "retrievers": 3, "rerankers": 2, "orders-core": 3,
		"invoicing": 4, "barge-roster": 5, "port-notices": 5,
	},
	"imanes": {
		"generators": 4, "encoders": 2, "retrievers": 2, "rerankers": 2, "ledger-core": 3,
		"price-book": 3, "supplier-registry": 5, "branch-portal": 5,
	},
}

// Options configures an Experiment. Zero fields take the defaults.
type Options struct {
	// Example is harbwr or imanes.
	Example string
	// Scenarios are names of scenarios; all when empty.
	Scenarios []string
	// Policies are policies of the manifest; baseline and adaptive when empty.
	Policies []string
	// Duration is the length of each run; 20 s.
	Duration time.Duration
	// Seed determines the arrivals.
	Seed uint64
	// Ceiling adds the measured ceiling to scenarios beyond capacity.
	Ceiling bool
	// Folder receives a JSON file for each run; required.
	Folder string
}

func (o *Options) complete() error {
	if _, ok := sizes[o.Example]; !ok {
		return errors.Errorf("example %q: expected harbwr or imanes", o.Example)
	}
	if len(o.Policies) == 0 {
		o.Policies = []string{"baseline", "adaptive"}
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	for _, name := range o.Scenarios {
		if !slices.ContainsFunc(Scenarios(), func(s Scenario) bool { return s.name == name }) {
			return errors.Errorf("no scenario is named %q", name)
		}
	}
	if o.Folder == "" {
		return errors.New("no folder for the results")
	}
	return nil
}

// Row is the result of one run.
type Row struct {
	Scenario string      `json:"scenario"`
	Policy   string      `json:"policy"`
	Run      *report.Run `json:"run"`
	// Ceiling is nil when it wasn't measured.
	Ceiling *Ceiling `json:"ceiling,omitempty"`
}

// Experiment runs scenarios under policies.
type Experiment struct {
	o      Options
	timers *timer.Service
	mix    *load.Mix
}

// New returns an Experiment, or an error that names what is wrong with the options.
func New(o Options) (*Experiment, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	data, err := examples.Mix(o.Example)
	if err != nil {
		return nil, err
	}
	mix, err := load.ParseMix(o.Example, data)
	if err != nil {
		return nil, err
	}
	return &Experiment{o: o, timers: timer.NewService(), mix: mix}, nil
}

// Run runs all scenarios under all policies, one after the other.
func (e *Experiment) Run(ctx context.Context) ([]Row, error) {
	if err := os.MkdirAll(e.o.Folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "folder of the results")
	}
	var rows []Row
	for _, s := range Scenarios() {
		if len(e.o.Scenarios) > 0 && !slices.Contains(e.o.Scenarios, s.name) {
			continue
		}
		ceiling, err := e.ceilingOf(ctx, s)
		if err != nil {
			return rows, err
		}
		for _, policy := range e.o.Policies {
			run, err := e.run(ctx, s, policy)
			if err != nil {
				return rows, errors.Wrapf(err, "scenario %s under policy %s", s.name, policy)
			}
			name := fmt.Sprintf("%s-%s-%s.json", e.o.Example, s.name, policy)
			if err := run.Write(filepath.Join(e.o.Folder, name)); err != nil {
				return rows, err
			}
			rows = append(rows, Row{Scenario: s.name, Policy: policy, Run: run, Ceiling: ceiling})
		}
	}
	return rows, nil
}

func (e *Experiment) run(ctx context.Context, s Scenario, policy string) (*report.Run, error) {
	folder, err := os.MkdirTemp("", "cardamomline-experiment-")
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d, err := e.start(ctx, policy, folder)
	if err != nil {
		return nil, err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		_ = d.Stop(stopCtx)
	}()
	klog.InfoS("Scenario", "scenario", s.name, "policy", policy)
	faultCtx, cancel := context.WithCancel(ctx)
	injected := make(chan struct{})
	go func() {
		defer close(injected)
		if e.timers.Sleep(faultCtx, e.o.Duration/4) == nil {
			inject(faultCtx, d, s.fault)
		}
	}()
	run, err := load.NewRunner(load.Options{Mix: e.mixFor(s, d)}).Run(ctx)
	cancel()
	<-injected
	return run, err
}

// customerLimits are lifted, so that only the capacity of the targets limits a run.
var customerLimits = regexp.MustCompile(`max_concurrent: \d+, rate: \d+`)

var policyLine = regexp.MustCompile(`(?m)^policy: \w+`)

func (e *Experiment) start(ctx context.Context, policy, folder string) (*process.DevCluster, error) {
	data, err := examples.Manifest(e.o.Example)
	if err != nil {
		return nil, err
	}
	data = policyLine.ReplaceAll(data, []byte("policy: "+policy))
	data = customerLimits.ReplaceAll(data, []byte("max_concurrent: 2000, rate: 5000"))
	d, err := process.NewDevCluster(process.DevOptions{
		Manifest: data, Listen: "127.0.0.1:0", DataFolder: folder, Entries: entries, Targets: sizes[e.o.Example],
	})
	if err != nil {
		return nil, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return d, d.Start(startCtx)
}

// mixFor scales the example's mix to the load of the scenario.
func (e *Experiment) mixFor(s Scenario, d *process.DevCluster) *load.Mix {
	m := *e.mix
	m.Name = s.name
	if e.o.Seed != 0 {
		m.Seed = e.o.Seed
	}
	m.Entries = d.EntryAddresses()
	m.Accounts = []string{d.AccountsURL()}
	m.MaxRequests = 100_000
	m.MaxInFlight = 8000
	rate := s.load * e.capacity()
	if s.kept > 0 {
		m.Requests = thinned(m.Requests, s.kept)
	}
	m.Phases = []load.Phase{{Name: s.name, Duration: e.o.Duration, Rate: rate}}
	if s.burst == 0 {
		return &m
	}
	const burstTime = 2 * time.Second
	half := (e.o.Duration - burstTime) / 2
	m.Phases = []load.Phase{
		{Name: "before", Duration: half, Rate: rate},
		{Name: "burst", Duration: burstTime, Rate: rate + float64(s.burst), Burst: s.burst, Requests: waitingRequests(&m)},
		{Name: "after", Duration: half, Rate: rate},
	}
	return &m
}

func waitingRequests(m *load.Mix) []string {
	var names []string
	for _, r := range m.Requests {
		if r.Kind == load.KindWaiting {
			names = append(names, r.Name)
		}
	}
	return names
}

// capacity is the arrivals per second of the mix that the engines can serve.
func (e *Experiment) capacity() float64 {
	tokens, weights := 0, 0
	for _, r := range e.mix.Requests {
		weights += r.Weight
		switch r.Kind {
		case load.KindPipeline, load.KindStream, load.KindWaiting:
			tokens += r.Weight * r.Tokens
		}
	}
	perArrival := float64(tokens) / float64(weights)
	return float64(sizes[e.o.Example]["generators"]) * engineTokens / perArrival
}
