package placement

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	passPeriod = time.Second
	// takeoverDelay is the delay between taking over leadership and the first order.
	// By then the roster contains every running process, and a predecessor that lost
	// its quorum has stepped down and ended its loads.
	takeoverDelay = 5 * time.Second
	// maxLoadAge is the maximum age of a usable load report.
	maxLoadAge = 5 * time.Second
	// callTimeout is the timeout of the commit of a token and of the confirmation of
	// leadership.
	callTimeout = 900 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// maxOrders limits the orders in flight, and with them goroutines and
	// connections.
	maxOrders = 64
	// The timeout of an order is loadTimeFactor times the load time plus
	// orderTimeoutMargin: an engine may wait for the weight store behind readers
	// unknown to the planner.
	orderTimeoutMargin = 30 * time.Second
	loadTimeFactor     = 4
	// tokenRetryDelay is the delay before an order is sent again to an agent that
	// has not received the token yet; it receives it with a heartbeat, once a
	// second.
	tokenRetryDelay = time.Second
	tokenAttempts   = 5
)

// Refusals returned by Agent.EngineOrder.
const (
	refusedStale        = "stale_fence"
	refusedTokenUnknown = "fence_not_learned"
)

// Leader is the Runner's interface to the replicated log.
type Leader interface {
	// Leading returns the term in which this VM is the leader. It does not block.
	Leading() (term uint64, ok bool)
	// GrantFence commits a new fencing token of the scope placement.
	GrantFence(ctx context.Context) (uint64, error)
	// Confirm returns nil after a quorum has confirmed that this VM is still the
	// leader.
	Confirm(ctx context.Context) error
	// Manifest returns the latest committed manifest, or nil.
	Manifest() *wire.ManifestRecord
	// Drains returns the names of the drained targets.
	Drains() []string
}

// Options configures a Runner.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Leader is the replicated log; required.
	Leader Leader
	// Roster is the membership; required.
	Roster *roster.Roster
	// Metrics receives counters and gauges; required.
	Metrics *metrics.Metrics
	// Limits are the limits of the weight store and the engines; zero values
	// select the defaults.
	Limits Limits
	// Scope is the scope of the fencing token; required.
	Scope string
	// Dial replaces the network dialer towards the agents in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o *Options) check() error {
	if o.Timers == nil || o.Leader == nil || o.Roster == nil || o.Metrics == nil || o.Scope == "" {
		return errors.New("placement: a required option is missing")
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	o.Limits = o.Limits.withDefaults()
	return nil
}

// Runner sends the orders of Plan while this control VM is the leader.
type Runner struct {
	o      Options
	http   *http.Client
	cancel context.CancelFunc
	orders sync.WaitGroup
	done   chan struct{}

	// Used by the pass goroutine only.
	term     *term
	revision uint64
	manifest *manifest.Manifest
}

// NewRunner returns a Runner, or an error if a required option is missing.
func NewRunner(o Options) (*Runner, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return &Runner{
		o:    o,
		http: &http.Client{Transport: &http.Transport{DialContext: o.Dial, DisableCompression: true}},
		done: make(chan struct{}),
	}, nil
}

// Start implements kernel.Starter.
func (r *Runner) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
	return nil
}

// Stop implements kernel.Stopper. Orders in flight end without a response.
func (r *Runner) Stop(context.Context) error {
	r.cancel()
	<-r.done
	return nil
}

// Done implements kernel.Stopper.
func (r *Runner) Done() <-chan struct{} { return r.done }

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	defer r.http.CloseIdleConnections()
	defer r.orders.Wait()
	r.o.Timers.Every(ctx, passPeriod, r.pass)
}

// pass plans once and sends the orders if this VM is the leader.
func (r *Runner) pass(ctx context.Context) {
	if !r.ensureLeading(ctx) {
		return
	}
	s, ok := r.state()
	if !ok || r.o.Timers.Since(r.term.startedAt) < takeoverDelay {
		return
	}
	r.o.Metrics.Gauge("placement_orders_in_flight", float64(len(s.Orders)))
	r.o.Metrics.Gauge("placement_models_short", float64(underReplicated(s)))
	orders := r.term.plan(s, r.o.Timers.Now())
	orders = orders[:min(len(orders), max(0, maxOrders-len(s.Orders)))]
	if len(orders) == 0 || !r.confirm(ctx) {
		return
	}
	for _, o := range orders {
		r.send(r.term, o, s.Limits.LoadTime(s.Sizes[o.Model]))
	}
}

// ensureLeading reports whether this VM is the leader and has the fencing token of
// the term.
func (r *Runner) ensureLeading(ctx context.Context) bool {
	number, ok := r.o.Leader.Leading()
	if r.term != nil && (!ok || r.term.number != number) {
		klog.InfoS("Placement stopped", "term", r.term.number, "fence", r.term.fence)
		r.term.end()
		r.term = nil
		// The next leader reports these.
		r.o.Metrics.Gauge("placement_orders_in_flight", 0)
		r.o.Metrics.Gauge("placement_models_short", 0)
	}
	if !ok {
		return false
	}
	if r.term == nil {
		r.beginTerm(ctx, number)
	}
	return r.term != nil && !r.term.isEnded()
}

func (r *Runner) beginTerm(ctx context.Context, number uint64) {
	grantCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fence, err := r.o.Leader.GrantFence(grantCtx)
	if err != nil {
		r.o.Metrics.Count("placement_grant_failures", 1)
		return
	}
	klog.InfoS("Placement started", "term", number, "fence", fence)
	r.term = newTerm(ctx, number, fence, r.o.Timers.Now())
}

func (r *Runner) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.o.Leader.Confirm(ctx) == nil
}

// state collects the input of Plan; it returns false without a manifest.
func (r *Runner) state() (*State, bool) {
	m := r.activeManifest()
	if m == nil {
		return nil, false
	}
	now := r.o.Timers.Now()
	s := &State{Limits: r.o.Limits, Sizes: make(map[string]int64)}
	for _, model := range m.Models() {
		s.Sizes[model.Name()] = model.Size()
	}
	busy := r.engines(m, s)
	s.Needs = neededModels(m)
	r.term.observe(s.Engines, now)
	r.term.levels.update(requiredCopies(s.Needs, s.Engines, busy), r.o.Limits.QuietTime, now)
	r.term.addTo(s)
	for i := range s.Needs {
		s.Needs[i].Copies = s.Wanted[s.Needs[i].Key]
	}
	return s, true
}

// activeManifest returns the parsed active manifest, or nil.
func (r *Runner) activeManifest() *manifest.Manifest {
	record := r.o.Leader.Manifest()
	if record.GetRevision() == r.revision {
		return r.manifest
	}
	m, err := manifest.ParseNext(r.manifest, "manifest", record.GetManifest())
	r.revision, r.manifest = record.GetRevision(), nil
	if err != nil {
		klog.ErrorS(err, "Placement failed to parse the manifest", "revision", r.revision)
		return nil
	}
	r.manifest = m
	return m
}

// engines adds the engines of the roster to the state and returns their load.
func (r *Runner) engines(m *manifest.Manifest, s *State) map[string]EngineLoad {
	drains := r.o.Leader.Drains()
	busy := make(map[string]EngineLoad)
	for _, c := range r.o.Roster.Processes() {
		t := c.GetTarget()
		service, ok := m.Service(t.GetService())
		if !ok || service.Kind() != manifest.KindEngine {
			continue
		}
		s.Engines = append(s.Engines, Engine{
			Name: t.GetName(), Service: t.GetService(), Domain: t.GetFailureDomain(), Address: t.GetAgentAddress(), Models: t.GetModels(),
			Usable: t.GetReady() && !t.GetLeaving() && !t.GetSilent() && !slices.Contains(drains, t.GetName()),
		})
		l, at, ok := r.o.Roster.Load(c.GetProcess().GetName())
		if ok && r.o.Timers.Since(at) <= maxLoadAge {
			busy[t.GetName()] = EngineLoad{Slots: int(t.GetSlots()), Requests: int(max(l.GetQueued()+l.GetRunning(), l.GetInFlight()))}
		}
	}
	return busy
}

// neededModels returns the models that stages need, in the order of the manifest.
func neededModels(m *manifest.Manifest) []Need {
	var list []Need
	for _, p := range m.Pipelines() {
		for _, stage := range p.Stages() {
			k := Key{Service: stage.Service(), Model: stage.Model()}
			service, ok := m.Service(k.Service)
			if k.Model == "" || !ok || service.Kind() != manifest.KindEngine {
				continue
			}
			if !slices.ContainsFunc(list, func(n Need) bool { return n.Key == k }) {
				list = append(list, Need{Key: k})
			}
		}
	}
	return list
}

// underReplicated returns the number of needed models with fewer than MinCopies
// loaded copies.
func underReplicated(s *State) int {
	n := 0
	for _, need := range s.Needs {
		copies := 0
		for i := range s.Engines {
			e := &s.Engines[i]
			if e.Usable && e.Service == need.Service && e.has(need.Model) {
				copies++
			}
		}
		if copies < MinCopies {
			n++
		}
	}
	return n
}

// send sends an order to the engine's agent and records the response asynchronously.
func (r *Runner) send(t *term, o Order, loadTime time.Duration) {
	t.addOrder(o)
	r.o.Metrics.CountReason("placement_orders", string(o.Reason))
	klog.InfoS("Engine order", "action", o.Action, "model", o.Model, "engine", o.Engine, "reason", o.Reason, "fence", t.fence)
	r.orders.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, loadTimeFactor*loadTime+orderTimeoutMargin)
		defer cancel()
		resp, err := r.call(ctx, t, o)
		if err == nil && resp.GetRefusal() == refusedStale {
			klog.InfoS("Placement superseded by a newer fencing token", "fence", t.fence, "newer", resp.GetFence(), "engine", o.Engine)
			r.o.Metrics.Count("placement_deposed", 1)
			t.end()
		}
		if err != nil || !resp.GetAccepted() {
			r.o.Metrics.CountReason("placement_order_failures", string(o.Action))
			klog.InfoS("Engine order failed", "action", o.Action, "model", o.Model, "engine", o.Engine, "refusal", resp.GetRefusal(), "err", err)
		}
		t.recordOutcome(o, resp, err, loadTime, r.o.Timers.Now())
	})
}

// call sends an order, and retries it after a delay while the agent has not received
// the token.
func (r *Runner) call(ctx context.Context, t *term, o Order) (*wire.EngineOrderResponse, error) {
	agent := wire.NewAgentProtobufClient("http://"+o.Address, r.http)
	req := &wire.EngineOrderRequest{Fence: t.fence, Scope: r.o.Scope, Action: string(o.Action), Model: o.Model}
	for try := 1; ; try++ {
		resp, err := agent.EngineOrder(ctx, req)
		if err != nil || resp.GetRefusal() != refusedTokenUnknown || try == tokenAttempts {
			return resp, err
		}
		if err := r.o.Timers.Sleep(ctx, tokenRetryDelay); err != nil {
			return nil, err
		}
	}
}
