// Package entry is the role of an entry VM.
//
// An entry serves the caller API, admits requests, runs their stages at targets
// behind agents, and keeps orders that must not repeat and requests that may
// wait in the replicated state of the control VMs. It has no disk, and all of
// its own state may be lost at any moment.
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
	// role is how entries name themselves to the control VMs.
	role = "entry"
	// leaveNotice is how long a stopping entry reports not ready before it
	// refuses new requests, so that the balancer has time to move callers.
	leaveNotice = time.Second

	// maxConcurrentRequests bounds the requests that one entry holds at once.
	maxConcurrentRequests = 4096
)

// Options holds what an Entry needs.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Control reaches the control VMs; required.
	Control *controlclient.Client
	// Config holds the configuration in force; required.
	Config *configwatch.Watcher
	// Metrics receives counters and histograms; required.
	Metrics *metrics.Metrics
	// Name, Region and FailureDomain say which process this is and where.
	Name          string
	Region        string
	FailureDomain string
	// Address is the IP:port of the caller API, Admin that of the operators' pages.
	Address string
	Admin   string
	// Seed makes target choice repeatable in tests.
	Seed uint64
	// Dial replaces the network dialer towards the agents.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialAdmin replaces the network dialer towards the other entries in tests.
	DialAdmin func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o *Options) check() error {
	if o.Timers == nil || o.Control == nil || o.Config == nil || o.Metrics == nil {
		return errors.New("entry: a required part is missing")
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

	mu       sync.Mutex
	services map[string]*serviceState
	policy   manifest.Policy
	active   int
	idle     chan struct{}

	// rosterKnown is set once a control VM has answered its roster.
	rosterKnown atomic.Bool
	// waitingHint tells that a waiting request can be leased.
	waitingHint atomic.Bool
	// leaving makes the entry report not ready, closed makes it refuse.
	leaving atomic.Bool
	closed  atomic.Bool
	cancel  context.CancelFunc
	done    chan struct{}
	wake    chan struct{}
	// background counts work that goes on after its caller was answered.
	background sync.WaitGroup
}

// New returns an Entry, or an error that names what is missing.
func New(o Options) (*Entry, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	e := &Entry{
		o:           o,
		incarnation: attempt.NewID(),
		roster:      roster.New(roster.Options{Timer: o.Timers, Epoch: attempt.NewID(), Follow: true}),
		attempts:    attempt.NewClient(attempt.ClientOptions{Timers: o.Timers, Dial: o.Dial}),
		customers:   admission.NewCustomerLimiter(),
		records:     explain.New(explain.Options{Timer: o.Timers}),
		estimator:   budget.NewEstimator(),
		services:    make(map[string]*serviceState),
		idle:        make(chan struct{}),
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
	}
	e.limits = newLimits(e)
	e.retries.Store(budget.NewRetries(budget.RetryOptions{}))
	return e, nil
}

// Ready reports whether the entry takes new requests, and why not.
func (e *Entry) Ready() (ok bool, why string) {
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
	wg.Go(func() { e.followRoster(ctx) })
	wg.Go(func() { e.announce(ctx) })
	wg.Go(func() { e.tick(ctx) })
	wg.Go(func() { e.serveWaiting(ctx) })
	wg.Go(func() { e.limits.run(ctx) })
	go func() {
		wg.Wait()
		e.background.Wait()
		close(e.done)
	}()
	return nil
}

// Stop implements kernel.Stopper. The entry first reports not ready, then
// refuses new requests, and lets the running ones end unless ctx ends first.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.Wake()
	_ = e.o.Timers.Sleep(ctx, leaveNotice)
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

// Wake sends the next heartbeat at once, for instance after a new configuration.
func (e *Entry) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// enter counts a request as running. It reports false when too many run.
func (e *Entry) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active >= maxConcurrentRequests {
		return false
	}
	e.active++
	return true
}

func (e *Entry) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.active == 0 {
		close(e.idle)
		e.idle = make(chan struct{})
	}
}

func (e *Entry) waitIdle(ctx context.Context) error {
	for {
		e.mu.Lock()
		active, idle := e.active, e.idle
		e.mu.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			klog.ErrorS(ctx.Err(), "Entry stopped with running requests", "entry", e.o.Name, "running", active)
			return errors.Wrapf(ctx.Err(), "entry %s: %d requests still running", e.o.Name, active)
		}
	}
}
