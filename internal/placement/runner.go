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
	// takeoverPause is how long a new leader watches before it gives orders. By
	// then its roster holds every process that lives, and a predecessor that lost
	// its quorum has stepped down and ended its loads.
	takeoverPause = 5 * time.Second
	// loadBound is the age above which a load report says nothing any more.
	loadBound = 5 * time.Second
	// callTimeout bounds the commit of a token and the confirmation of leadership.
	callTimeout = 900 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// maxOrders bounds the orders in flight, and with them goroutines and connections.
	maxOrders = 64
	// orderSlack and loadFactor bound an order: an engine may wait for the weight
	// store behind readers that the planner doesn't know.
	orderSlack = 30 * time.Second
	loadFactor = 4
	// learnPause is the pause before an order is sent again to an agent that has
	// not heard the token yet; it learns it with a heartbeat, once a second.
	learnPause = time.Second
	learnTries = 5
)

// Refusals of Agent.EngineOrder.
const (
	refusedStale      = "stale_fence"
	refusedNotLearned = "fence_not_learned"
)

// Leader is the replicated log as the runner sees it.
type Leader interface {
	// Leading returns the term in which this VM leads. It doesn't block.
	Leading() (term uint64, ok bool)
	// GrantFence commits a new fencing token of the scope placement.
	GrantFence(ctx context.Context) (uint64, error)
	// Confirm returns nil after a quorum has confirmed that this VM still leads.
	Confirm(ctx context.Context) error
	// Manifest returns the newest committed manifest, or nil.
	Manifest() *wire.ManifestRecord
	// Drains returns the names of the drained targets.
	Drains() []string
}

// Options holds what a Runner needs.
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
		return errors.New("placement: a required part is missing")
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	o.Limits = o.Limits.withDefaults()
	return nil
}

// Runner gives the orders of Plan while this control VM leads.
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

// NewRunner returns a Runner, or an error that names what is missing.
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

// Stop implements kernel.Stopper. Orders in flight end without an answer.
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

// pass plans once, when this VM leads.
func (r *Runner) pass(ctx context.Context) {
	if !r.lead(ctx) {
		return
	}
	s, ok := r.state()
	if !ok || r.o.Timers.Since(r.term.began) < takeoverPause {
		return
	}
	r.o.Metrics.Gauge("placement_orders_in_flight", float64(len(s.Orders)))
	r.o.Metrics.Gauge("placement_models_short", float64(short(s)))
	orders := r.term.plan(s, r.o.Timers.Now())
	orders = orders[:min(len(orders), max(0, maxOrders-len(s.Orders)))]
	if len(orders) == 0 || !r.confirm(ctx) {
		return
	}
	for _, o := range orders {
		r.send(r.term, o, s.Limits.LoadTime(s.Sizes[o.Model]))
	}
}

// lead reports whether this VM leads and holds the token of the term.
func (r *Runner) lead(ctx context.Context) bool {
	number, ok := r.o.Leader.Leading()
	if r.term != nil && (!ok || r.term.number != number) {
		klog.InfoS("Placement ended", "term", r.term.number, "fence", r.term.fence)
		r.term.depose()
		r.term = nil
		// The next leader reports these.
		r.o.Metrics.Gauge("placement_orders_in_flight", 0)
		r.o.Metrics.Gauge("placement_models_short", 0)
	}
	if !ok {
		return false
	}
	if r.term == nil {
		r.begin(ctx, number)
	}
	return r.term != nil && !r.term.isDeposed()
}

func (r *Runner) begin(ctx context.Context, number uint64) {
	grantCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fence, err := r.o.Leader.GrantFence(grantCtx)
	if err != nil {
		r.o.Metrics.Count("placement_grant_failures", 1)
		return
	}
	klog.InfoS("Placement began", "term", number, "fence", fence)
	r.term = newTerm(ctx, number, fence, r.o.Timers.Now())
}

func (r *Runner) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.o.Leader.Confirm(ctx) == nil
}

// state collects what Plan decides by; it returns false without a manifest.
func (r *Runner) state() (*State, bool) {
	m := r.current()
	if m == nil {
		return nil, false
	}
	now := r.o.Timers.Now()
	s := &State{Limits: r.o.Limits, Sizes: make(map[string]int64)}
	for _, model := range m.Models() {
		s.Sizes[model.Name()] = model.Size()
	}
	busy := r.engines(m, s)
	s.Needs = needs(m)
	r.term.observe(s.Engines, now)
	r.term.levels.update(demanded(s.Needs, s.Engines, busy), r.o.Limits.QuietTime, now)
	r.term.fill(s)
	for i := range s.Needs {
		s.Needs[i].Copies = s.Wanted[s.Needs[i].Key]
	}
	return s, true
}

// current returns the parsed manifest in force.
func (r *Runner) current() *manifest.Manifest {
	record := r.o.Leader.Manifest()
	if record.GetRevision() == r.revision {
		return r.manifest
	}
	m, err := manifest.ParseNext(r.manifest, "manifest", record.GetManifest())
	r.revision, r.manifest = record.GetRevision(), nil
	if err != nil {
		klog.ErrorS(err, "Placement can't read the manifest", "revision", r.revision)
		return nil
	}
	r.manifest = m
	return m
}

// engines adds the engines of the roster to the state and returns their load.
func (r *Runner) engines(m *manifest.Manifest, s *State) map[string]Busy {
	drains := r.o.Leader.Drains()
	busy := make(map[string]Busy)
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
		if ok && r.o.Timers.Since(at) <= loadBound {
			busy[t.GetName()] = Busy{Slots: int(t.GetSlots()), Work: int(max(l.GetQueued()+l.GetRunning(), l.GetInFlight()))}
		}
	}
	return busy
}

// needs returns the models that stages need, in the order of the manifest.
func needs(m *manifest.Manifest) []Need {
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

// short returns how many needed models have fewer than MinCopies loaded copies.
func short(s *State) int {
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

// send gives an order to the engine's agent and notes its answer later.
func (r *Runner) send(t *term, o Order, loadTime time.Duration) {
	t.begin(o)
	r.o.Metrics.CountReason("placement_orders", string(o.Reason))
	klog.InfoS("Engine order", "action", o.Action, "model", o.Model, "engine", o.Engine, "reason", o.Reason, "fence", t.fence)
	r.orders.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, loadFactor*loadTime+orderSlack)
		defer cancel()
		resp, err := r.call(ctx, t, o)
		if err == nil && resp.GetRefusal() == refusedStale {
			klog.InfoS("Placement deposed by a newer token", "fence", t.fence, "newer", resp.GetFence(), "engine", o.Engine)
			r.o.Metrics.Count("placement_deposed", 1)
			t.depose()
		}
		if err != nil || !resp.GetAccepted() {
			r.o.Metrics.CountReason("placement_order_failures", string(o.Action))
			klog.InfoS("Engine order failed", "action", o.Action, "model", o.Model, "engine", o.Engine, "refusal", resp.GetRefusal(), "err", err)
		}
		t.finish(o, resp, err, loadTime, r.o.Timers.Now())
	})
}

// call sends an order, again after a pause while the agent has not heard the token.
func (r *Runner) call(ctx context.Context, t *term, o Order) (*wire.EngineOrderResponse, error) {
	agent := wire.NewAgentProtobufClient("http://"+o.Address, r.http)
	req := &wire.EngineOrderRequest{Fence: t.fence, Scope: r.o.Scope, Action: string(o.Action), Model: o.Model}
	for try := 1; ; try++ {
		resp, err := agent.EngineOrder(ctx, req)
		if err != nil || resp.GetRefusal() != refusedNotLearned || try == learnTries {
			return resp, err
		}
		if err := r.o.Timers.Sleep(ctx, learnPause); err != nil {
			return nil, err
		}
	}
}
