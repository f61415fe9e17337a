// Package agent is the small process beside each target.
//
// It announces the target, forwards calls to it, reports its load, and enforces
// drain, cancellation, attempt identity and fencing in the place of a target
// that doesn't check them. Targets are reached only through their agent.
//
// An agent has no disk. Each start has a new random incarnation, and attempts
// are addressed to one incarnation, so a restarted agent refuses whatever was
// meant for the one before it. Engine orders are refused until a heartbeat
// answer, confirmed by a quorum, has named the current fencing token.
//
// # Usage
//
//	a, err := agent.New(agent.Options{Timers: ts, Control: client, Config: watcher, ...})
//	mux.Handle("/", a.Handler())
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	heartbeatPeriod = time.Second
	loadPeriod      = 100 * time.Millisecond
	infoPeriod      = 2 * time.Second
	cachePeriod     = 500 * time.Millisecond

	// leaveNotice is how long a leaving agent goes on answering refusals, so that
	// entries which have not heard of it yet are told the true reason.
	leaveNotice = 1500 * time.Millisecond

	// minAccepted and acceptFactor bound the attempts that an agent accepts at
	// once: enough for a queue of several batches, but no unbounded backlog.
	minAccepted  = 64
	acceptFactor = 16
)

// Control answers heartbeats; controlclient.Client is one.
type Control interface {
	Heartbeat(ctx context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error)
}

// Options holds what an Agent needs.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Control answers heartbeats; required.
	Control Control
	// Config holds the configuration in force; required.
	Config *configwatch.Watcher
	// Metrics receives counters and histograms; required.
	Metrics *metrics.Metrics
	// Name is the name of the agent's process, TargetName that of its target.
	Name       string
	TargetName string
	// Service is the service that the target belongs to.
	Service string
	// TargetURL is the base URL of the target.
	TargetURL string
	// Address is the IP:port under which entries reach this agent.
	Address string
	// Region and FailureDomain say where the VM is.
	Region        string
	FailureDomain string
	// Dial replaces the network dialer towards the target.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o *Options) check() error {
	switch {
	case o.Timers == nil, o.Control == nil, o.Config == nil, o.Metrics == nil:
		return errors.New("agent: a required part is missing")
	case o.TargetURL == "", o.TargetName == "", o.Address == "", o.Service == "":
		return errors.New("agent: target name, service, URL and own address are required")
	}
	return nil
}

// Agent is the process beside one target.
type Agent struct {
	o           Options
	incarnation string
	began       time.Time
	target      *target
	table       *table
	leaving     atomic.Bool
	draining    atomic.Bool
	load        atomic.Pointer[loadSample]
	cache       *cacheLog
	info        atomic.Pointer[targetInfo]
	infoVersion atomic.Uint64
	fence       fenceGuard
	wake        chan struct{}
	cancel      context.CancelFunc
	done        chan struct{}
	active      sync.WaitGroup
}

// loadSample is a load report with the time at which it was received.
type loadSample struct {
	load targetLoad
	at   time.Time
}

// New returns an Agent with a new incarnation, or an error that names what is missing.
func New(o Options) (*Agent, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return &Agent{
		o:           o,
		incarnation: attempt.NewID(),
		began:       o.Timers.Now(),
		target:      newTarget(o.TargetURL, o.Dial),
		table:       newTable(o.Timers.Now),
		cache:       &cacheLog{},
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
	}, nil
}

// Incarnation returns the random identity of this start.
func (a *Agent) Incarnation() string { return a.incarnation }

// clockMs returns the time since this incarnation began in milliseconds, never 0.
func (a *Agent) clockMs() int64 { return a.o.Timers.Since(a.began).Milliseconds() + 1 }

// Handler returns the HTTP handler of the data path and of the twirp service.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+attempt.Path, a.serveAttempt)
	mux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(&service{a: a}))
	return mux
}

// Ready reports whether the agent takes new work, and why not.
func (a *Agent) Ready() (ok bool, why string) {
	switch {
	case a.leaving.Load() || a.draining.Load():
		return false, "leaving"
	case a.o.Config.Current() == nil:
		return false, "no configuration"
	case a.info.Load() == nil:
		return false, "target does not answer"
	}
	return true, ""
}

// Start implements kernel.Starter.
func (a *Agent) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	var wg sync.WaitGroup
	wg.Go(func() { a.announce(ctx) })
	wg.Go(func() { a.watchTarget(ctx) })
	go func() {
		wg.Wait()
		close(a.done)
	}()
	return nil
}

// Stop implements kernel.Stopper. New attempts are refused at once, and running
// ones end whole unless ctx ends first.
func (a *Agent) Stop(ctx context.Context) error {
	a.leaving.Store(true)
	a.Wake()
	klog.InfoS("Agent leaving", "target", a.o.TargetName, "in_flight", a.table.inFlight())
	notice := a.o.Timers.After(leaveNotice)
	err := a.wait(ctx)
	select {
	case <-notice:
	case <-ctx.Done():
	}
	a.cancel()
	<-a.done
	return err
}

func (a *Agent) wait(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		a.active.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "agent of %s: %d attempts still running", a.o.TargetName, a.table.inFlight())
	}
}

// Done implements kernel.Stopper.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Reconfigure follows a newer configuration: the next heartbeat tells of it at once.
func (a *Agent) Reconfigure(*configwatch.Config) {
	a.Wake()
}

// Wake sends the next heartbeat at once, for instance after a new configuration.
func (a *Agent) Wake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Agent) isLeaving() bool {
	return a.leaving.Load() || a.draining.Load()
}

func (a *Agent) loadReport() *wire.LoadReport {
	s := a.load.Load()
	if s == nil {
		return &wire.LoadReport{InFlight: int32(a.table.inFlight())}
	}
	return &wire.LoadReport{
		Queued:       s.load.Queued,
		Running:      s.load.Running,
		Slots:        s.load.Slots,
		CachedTokens: s.load.CachedTokens,
		AgeMs:        s.load.AgeMs + a.o.Timers.Since(s.at).Milliseconds(),
		InFlight:     int32(a.table.inFlight()),
	}
}
