// Package entry implements the process that runs on an entry VM.
//
// An entry serves the caller API, admits requests and runs their stages at
// targets, which it reaches through agents. It stores non-idempotent orders and
// waiting requests in the replicated state of the control VMs. It has no disk, and
// its own state may be lost at any time.
//
// # Usage
//
//	e, err := entry.New(entry.Options{Timers: ts, Control: client, Config: watcher, Metrics: m, ...})
//	mux.Handle("/", e.Handler())
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/budget"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/explain"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	// role is the role in this entry's heartbeats.
	role = "entry"
	// shutdownNotice is how long a stopping entry reports not ready before it rejects new
	// requests, so that the load balancer can move callers to other entries.
	shutdownNotice = time.Second

	// maxConcurrentRequests limits the requests that one entry runs at once.
	maxConcurrentRequests = 4096
)

// Options configures an Entry.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Control is the client of the control VMs; required.
	Control *controlclient.Client
	// Config provides the active configuration; required.
	Config *configwatch.Watcher
	// Metrics receives counters and histograms; required.
	Metrics *metrics.Metrics
	// Name, Region and FailureDomain identify and locate the process.
	Name          string
	Region        string
	FailureDomain string
	// Address is the IP:port of the caller API, Admin that of the operators' pages.
	Address string
	Admin   string
	// Seed makes the choice of targets reproducible in tests.
	Seed uint64
	// Dial replaces the network dialer for connections to agents.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialAdmin replaces the network dialer for connections to other entries in tests.
	DialAdmin func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o *Options) check() error {
	if o.Timers == nil || o.Control == nil || o.Config == nil || o.Metrics == nil {
		return errors.New("entry: options Timers, Control, Config and Metrics are required")
	}
	if o.Name == "" {
		return errors.New("entry: name is required")
	}
	return nil
}

// Entry runs requests for callers.
type Entry struct {
	o           Options
	incarnation string
	roster      *roster.Roster
	attempts    *attempt.Client
	customers   *admission.CustomerLimiter
	limits      *limits
	records     *explain.Recorder
	estimator   *budget.Estimator
	retries     atomic.Pointer[budget.Retries]

	mu             sync.Mutex
	services       map[string]*serviceState
	policy         manifest.Policy
	activeRequests int
	idle           chan struct{}

	// rosterKnown is set once a control VM has returned the roster.
	rosterKnown atomic.Bool
	// waitingHint is set when a waiting request can be leased.
	waitingHint atomic.Bool
	// leaving makes the entry report not ready, closed makes it reject new requests.
	leaving      atomic.Bool
	closed       atomic.Bool
	cancel       context.CancelFunc
	done         chan struct{}
	heartbeatNow chan struct{}
	// background tracks work that continues after the response to the caller.
	background sync.WaitGroup
}

// New returns an Entry, or an error if a required option is missing.
func New(o Options) (*Entry, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	e := &Entry{
		o:            o,
		incarnation:  attempt.NewID(),
		roster:       roster.New(roster.Options{Timer: o.Timers, Epoch: attempt.NewID(), Follow: true}),
		attempts:     attempt.NewClient(attempt.ClientOptions{Timers: o.Timers, Dial: o.Dial}),
		customers:    admission.NewCustomerLimiter(),
		records:      explain.New(explain.Options{Timer: o.Timers}),
		estimator:    budget.NewEstimator(),
		services:     make(map[string]*serviceState),
		idle:         make(chan struct{}),
		heartbeatNow: make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
	e.limits = newLimits(e)
	e.retries.Store(budget.NewRetries(budget.RetryOptions{}))
	return e, nil
}

// Ready reports whether the entry accepts new requests, and if not, why.
func (e *Entry) Ready() (ok bool, reason string) {
	switch {
	case e.leaving.Load():
		return false, "leaving"
	case e.o.Config.Current() == nil:
		return false, "no configuration"
	case !e.o.Config.Confirmed():
		return false, "cut off from the control VMs"
	}
	return true, ""
}

// Start implements kernel.Starter.
func (e *Entry) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	var wg sync.WaitGroup
	if err := e.roster.Start(ctx); err != nil {
		return errors.Wrap(err, "roster")
	}
	wg.Go(func() { e.watchRoster(ctx) })
	wg.Go(func() { e.sendHeartbeats(ctx) })
	wg.Go(func() { e.runTicks(ctx) })
	wg.Go(func() { e.serveWaiting(ctx) })
	wg.Go(func() { e.limits.run(ctx) })
	go func() {
		wg.Wait()
		e.background.Wait()
		close(e.done)
	}()
	return nil
}

// Stop implements kernel.Stopper. The entry first reports not ready, then rejects new
// requests, and waits for the running ones until ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.Wake()
	_ = e.o.Timers.Sleep(ctx, shutdownNotice)
	e.closed.Store(true)
	err := e.waitIdle(ctx)
	e.cancel()
	<-e.done
	e.attempts.Close()
	if stopErr := e.roster.Stop(ctx); err == nil {
		err = stopErr
	}
	return err
}

// Done implements kernel.Stopper.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Wake triggers an immediate heartbeat, for instance after a configuration change.
func (e *Entry) Wake() {
	select {
	case e.heartbeatNow <- struct{}{}:
	default:
	}
}

// tryStartRequest counts a request as running. It returns false when too many are running.
func (e *Entry) tryStartRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.activeRequests >= maxConcurrentRequests {
		return false
	}
	e.activeRequests++
	return true
}

func (e *Entry) releaseRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests--
	if e.activeRequests == 0 {
		close(e.idle)
		e.idle = make(chan struct{})
	}
}

func (e *Entry) waitIdle(ctx context.Context) error {
	for {
		e.mu.Lock()
		active, idle := e.activeRequests, e.idle
		e.mu.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			klog.ErrorS(ctx.Err(), "Entry shut down with running requests", "entry", e.o.Name, "running", active)
			return errors.Wrapf(ctx.Err(), "entry %s: %d requests still running", e.o.Name, active)
		}
	}
}
