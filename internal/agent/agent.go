// Package agent implements the small process beside each target.
//
// An agent registers its target with the control VMs, forwards calls to it and
// reports its load. It enforces drain, cancellation, attempt identity and fencing
// on behalf of targets that don't check them. Targets are reached only through
// their agent.
//
// An agent has no disk. Each start has a new random incarnation, and attempts are
// addressed to one incarnation, so a restarted agent refuses attempts for the
// previous one. Engine orders are refused until a quorum-confirmed heartbeat
// response has contained the current fencing token.
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

	// shutdownNotice is how long an agent that shuts down keeps responding with refusals,
	// so that entries which don't know of the shutdown yet get the actual reason.
	shutdownNotice = 1500 * time.Millisecond

	// minAccepted and acceptFactor limit the attempts that an agent accepts at once:
	// enough to queue several batches, but no unbounded backlog.
	minAccepted  = 64
	acceptFactor = 16
)

// Control receives heartbeats. It is implemented by controlclient.Client.
type Control interface {
	Heartbeat(ctx context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error)
}

// Options configures an Agent.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Control receives heartbeats; required.
	Control Control
	// Config provides the active configuration; required.
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
	// Region and FailureDomain locate the VM.
	Region        string
	FailureDomain string
	// Dial replaces the network dialer for connections to the target.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o *Options) check() error {
	switch {
	case o.Timers == nil, o.Control == nil, o.Config == nil, o.Metrics == nil:
		return errors.New("agent: options Timers, Control, Config and Metrics are required")
	case o.TargetURL == "", o.TargetName == "", o.Address == "", o.Service == "":
		return errors.New("agent: options TargetName, Service, TargetURL and Address are required")
	}
	return nil
}

// Agent runs beside one target and forwards calls to it.
type Agent struct {
	o              Options
	incarnation    string
	startedAt      time.Time
	target         *target
	table          *table
	shuttingDown   atomic.Bool
	draining       atomic.Bool
	load           atomic.Pointer[loadSample]
	cache          *cacheLog
	info           atomic.Pointer[targetInfo]
	infoVersion    atomic.Uint64
	fencing        fenceGuard
	heartbeatNow   chan struct{}
	cancel         context.CancelFunc
	done           chan struct{}
	activeAttempts sync.WaitGroup
}

// loadSample is a load report with the time of its receipt.
type loadSample struct {
	load       targetLoad
	receivedAt time.Time
}

// New returns an Agent with a new incarnation, or an error if a required option is
// missing.
func New(o Options) (*Agent, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return &Agent{
		o:            o,
		incarnation:  attempt.NewID(),
		startedAt:    o.Timers.Now(),
		target:       newTarget(o.TargetURL, o.Dial),
		table:        newTable(o.Timers.Now),
		cache:        &cacheLog{},
		heartbeatNow: make(chan struct{}, 1),
		done:         make(chan struct{}),
	}, nil
}

// Incarnation returns the random id of this start of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// clockMs returns the time in milliseconds since this incarnation started; it is never 0.
func (a *Agent) clockMs() int64 { return a.o.Timers.Since(a.startedAt).Milliseconds() + 1 }

// Handler returns the HTTP handler of the data path and of the twirp service.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+attempt.Path, a.serveAttempt)
	mux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(&service{a: a}))
	return mux
}

// Ready reports whether the agent accepts new work, and if not, why.
func (a *Agent) Ready() (ok bool, reason string) {
	switch {
	case a.shuttingDown.Load() || a.draining.Load():
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
	wg.Go(func() { a.sendHeartbeats(ctx) })
	wg.Go(func() { a.watchTarget(ctx) })
	go func() {
		wg.Wait()
		close(a.done)
	}()
	return nil
}

// Stop implements kernel.Stopper. New attempts are refused immediately, and running ones
// may finish until ctx ends.
func (a *Agent) Stop(ctx context.Context) error {
	a.shuttingDown.Store(true)
	a.Wake()
	klog.InfoS("Agent shutting down", "target", a.o.TargetName, "in_flight", a.table.inFlight())
	notice := a.o.Timers.After(shutdownNotice)
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
		a.activeAttempts.Wait()
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

// Reconfigure reports a newer configuration with an immediate heartbeat.
func (a *Agent) Reconfigure(*configwatch.Config) {
	a.Wake()
}

// Wake triggers an immediate heartbeat, for instance after a configuration change.
func (a *Agent) Wake() {
	select {
	case a.heartbeatNow <- struct{}{}:
	default:
	}
}

func (a *Agent) isDraining() bool {
	return a.shuttingDown.Load() || a.draining.Load()
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
		AgeMs:        s.load.AgeMs + a.o.Timers.Since(s.receivedAt).Milliseconds(),
		InFlight:     int32(a.table.inFlight()),
	}
}
