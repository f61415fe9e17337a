// Package gateway forwards the requests of callers to targets by the catalog.
//
// A request is decoded, its stages are run by the collectors on the control VMs,
// and a target of its service is chosen by the routing pool, which is the one of
// the entries. What may be repeated follows from the kind of the route. Every
// request ends with exactly one answer and one log line that says why.
//
// # Usage
//
//	g := gateway.New(gateway.Options{Timers: ts, Codec: codec, ...})
//	server := &http.Server{Handler: g}
//	ok, why := g.Ready()
package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/budget"
	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/evacuation"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/quarantine"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/speed"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/upstream"
	"github.com/cardamomline/cardamomline/internal/warmup"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// freshBound is the age up to which a confirmed catalog decides that a route
	// or key doesn't exist. A change is in force everywhere within 2 s.
	freshBound = 1800 * time.Millisecond
	// poolPeriod is how often targets that fell silent are looked for.
	poolPeriod = 500 * time.Millisecond
	// syncInterval is the shortest time between two updates of the pools. Each of them looks
	// at all targets, and at a restart of a deployment all of them change.
	syncInterval = 50 * time.Millisecond
	// engineOutlier is the multiple of the median latency above which an engine is
	// ejected. At 3, bursts of long prompts ejected half of the engines.
	engineOutlier = 6
	// stoppingRetry is the time after which a caller may return whose stream was refused by a
	// gateway that stops. It returns to another gateway, because the balancer has noticed the
	// stop by then, and can still be in time.
	stoppingRetry = 200 * time.Millisecond
	// unsureRetry is the time after which a caller may come back that was refused
	// because this gateway is not sure of the catalog.
	unsureRetry = 300 * time.Millisecond
	// startupTime is the time after the start in which the first catalog is expected: a
	// restart of all control VMs takes an election. catalogWait and catalogWaitShare limit
	// how long a request waits for it, the latter as a share of the caller's timeout.
	startupTime      = 3 * time.Second
	catalogWait      = 800 * time.Millisecond
	catalogWaitShare = 1.0 / 8
	// electionTime is the time from a start of all machines until there is a leader and its
	// catalog is confirmed. Callers that are refused before return after it, spread over
	// startupSpread, because most of them return only once.
	electionTime  = 800 * time.Millisecond
	startupSpread = 400 * time.Millisecond
)

// Options holds what a Gateway needs; all are required unless they say otherwise.
type Options struct {
	Timers   *timer.Service
	Codec    Codec
	Table    *discovery.Table
	Watcher  *discovery.Watcher
	Upstream *upstream.Pool
	Metrics  *metrics.Metrics
	// Stages sends stages to control VMs.
	Stages StageRunner
	// Quarantine holds the parts of prompts that crash engines.
	Quarantine *quarantine.Register
	// Limits holds the limits that targets name.
	Limits *pacing.Register
	// Evacuations holds the failure domains to whose targets nothing is sent. Without one, the
	// gateway has its own.
	Evacuations *evacuation.Set
	// Cold bounds the requests to cold targets.
	Cold pacing.ColdBounds
	// UnknownSince returns the time before which announcements of the targets in a failure domain
	// don't count, or zero. It may be nil.
	UnknownSince func(failureDomain string) time.Time
	// Warmups holds the ramps of targets, and WarmUpAll says that the targets of all services
	// warm up, not only those of services with cold targets.
	Warmups   *warmup.Register
	WarmUpAll bool
	// Speeds holds the speeds of engines; nil if they aren't used.
	Speeds *speed.Register
	// Decode reads the document of a catalog.
	DecodeCatalog func(document []byte) (*catalog.Catalog, error)
	// Domain is the failure domain of this VM.
	FailureDomain string
	// Seed of the random choices.
	Seed uint64
	// Retries limits the requests that are sent again.
	Retries *budget.SharedRetries
	// Origins stores which software versions began streams; nil if they are known here only.
	Origins OriginStore
	// BodyMemory bounds the memory for the bodies of all requests in hand, in bytes; 0 for no limit.
	BodyMemory int64
}

// Gateway is an http.Handler for callers. It is safe for concurrent use.
type Gateway struct {
	o       Options
	catalog atomic.Pointer[catalog.Catalog]
	// candidate is the newest catalog that isn't confirmed, before the first one is in force.
	candidate atomic.Pointer[catalog.Catalog]
	confirmed atomic.Int64 // boot clock at which the catalog was the newest, ns
	stopping  atomic.Bool
	closing   atomic.Bool  // streams are refused
	refusing  atomic.Bool  // all requests are refused
	streams   atomic.Int64 // being served
	stages    *stageClient
	times     *latencies
	patience  *patience
	mu        sync.Mutex
	pools     map[string]*servicePool
	paces     map[incarnationKey]*pacing.Pace
	ramps     *ramps
	gates     map[string]*pacing.Gate       // by service
	weights   map[string]map[string]float64 // by route and failure domain
	evacuated map[string]bool               // services whose targets are all in evacuated domains
	states    map[string]map[string]routing.TargetState
	inFlight  atomic.Int64
	bodies    bodyMemory
	release   earlyRelease
	crashes   *crashDetector
	begun     *origin.Register // streams that this gateway has passed on
	// mixed are the services whose targets run several software versions.
	mixed map[string]bool
	// storeFailed is when the version of a stream was last not stored in time, on the boot clock.
	storeFailed atomic.Int64
	// waiting ends when requests that haven't reached an engine end with a planned stop, and
	// serving when all requests do.
	waiting, serving           context.Context
	endWaiting, endAll         context.CancelFunc
	streamsRefused, allRefused chan struct{}
	// installed is closed with the first catalog.
	installed chan struct{}
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	done      chan struct{}
}

// New returns a Gateway.
func New(o Options) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	if o.Evacuations == nil {
		o.Evacuations = evacuation.NewSet()
	}
	g := &Gateway{
		o: o, pools: map[string]*servicePool{}, paces: map[incarnationKey]*pacing.Pace{}, ramps: newRamps(o.Warmups, o.WarmUpAll), gates: map[string]*pacing.Gate{}, states: map[string]map[string]routing.TargetState{}, ctx: ctx, cancel: cancel, done: make(chan struct{}), times: newLatencies(), patience: newPatience(),
		installed: make(chan struct{}), startedAt: o.Timers.Now(),
	}
	g.bodies.limit = o.BodyMemory
	g.begun = origin.NewRegister(maxOwnStreams)
	g.waiting, g.endWaiting = context.WithCancel(context.Background())
	g.serving, g.endAll = context.WithCancel(context.Background())
	g.streamsRefused, g.allRefused = make(chan struct{}), make(chan struct{})
	g.confirmed.Store(-int64(time.Hour))
	g.storeFailed.Store(-int64(time.Hour))
	g.crashes = newCrashDetector(g)
	g.stages = newStageClient(ctx, o.Timers, o.Watcher, o.Stages)
	return g
}

// Start implements kernel.Starter.
func (g *Gateway) Start(context.Context) error {
	g.wg.Go(g.followTargets)
	return nil
}

// Stop implements kernel.Stopper.
func (g *Gateway) Stop(context.Context) error {
	g.cancel()
	g.wg.Wait()
	g.stages.wg.Wait()
	g.endWaiting()
	g.endAll()
	close(g.done)
	return nil
}

// Done implements kernel.Stopper.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Drain makes the gateway report that it isn't ready.
func (g *Gateway) Drain() { g.stopping.Store(true) }

// RefuseStreams makes the gateway refuse streams, which may outlast its stop. Short
// requests are still served, because all other gateways may be stopping as well.
func (g *Gateway) RefuseStreams() { g.closing.Store(true) }

// InFlight returns the number of requests that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Streams returns the number of streams among them.
func (g *Gateway) Streams() int64 { return g.streams.Load() }

// Ready reports whether new callers may be sent here, and why not.
func (g *Gateway) Ready() (ok bool, why string) {
	switch {
	case g.stopping.Load():
		return false, "stopping"
	case g.catalog.Load() == nil:
		return false, "no catalog yet"
	}
	return true, ""
}

// CatalogVersion returns the version in force here, 0 before the first one.
func (g *Gateway) CatalogVersion() uint64 {
	if c := g.catalog.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// Catalog returns the catalog in force here, or nil.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// KnownVersion returns the highest version that this gateway has, which is in force or
// waits to be confirmed.
func (g *Gateway) KnownVersion() uint64 {
	if c := g.candidate.Load(); c != nil {
		return max(c.Version(), g.CatalogVersion())
	}
	return g.CatalogVersion()
}

// OnWatchResponse takes the catalog from an answer to a watch. A version that isn't
// higher than the one in force changes nothing, so that a gateway never goes back. The first
// catalog has to be confirmed, because a gateway that restarts doesn't know what was in force
// before: a control VM that is cut off or behind may still have keys that were withdrawn.
// After startupTime an unconfirmed one is better than none. The evacuations of a response are
// adopted before its catalog, so that the first catalog never sends anything to a domain that was
// evacuated while this gateway was down.
func (g *Gateway) OnWatchResponse(address string, w *wire.WatchResponse, began time.Time) {
	n := int(w.GetGateways())
	if g.o.Retries.SetMembers(n, g.o.Timers.Now()) {
		klog.InfoS("Gateways share the retry budget", "gateways", n, "from", address)
	}
	g.o.Quarantine.SetGateways(g.o.Retries.Members())
	g.adoptEvacuations(w)
	if len(w.GetCatalog()) > 0 {
		g.receive(address, w.GetCatalogVersion(), w.GetCatalog(), w.GetConfirmed())
	}
	if c := g.candidate.Load(); c != nil && (w.GetConfirmed() && w.GetCatalogVersion() == c.Version() || g.startupOver()) {
		g.install(address, c)
	}
	g.recordConfirmation(w.GetCatalogVersion(), w.GetConfirmed(), began)
}

// OnCatalog takes a document that was fetched, by the same rules.
func (g *Gateway) OnCatalog(d discovery.Document, began time.Time) {
	g.receive(d.Source(), d.Version(), d.Content(), d.Confirmed())
	g.recordConfirmation(d.Version(), d.Confirmed(), began)
}

// recordConfirmation records when a version was confirmed as the newest, if it is in force.
func (g *Gateway) recordConfirmation(version uint64, confirmed bool, began time.Time) {
	if !confirmed || version != g.CatalogVersion() {
		return
	}
	at := timer.SinceBoot() - g.o.Timers.Since(began)
	g.confirmed.Store(max(g.confirmed.Load(), int64(at)))
}

func (g *Gateway) startupOver() bool { return g.sinceStart() >= startupTime }

func (g *Gateway) sinceStart() time.Duration { return g.o.Timers.Since(g.startedAt) }

func (g *Gateway) receive(address string, version uint64, document []byte, confirmed bool) {
	if version <= g.KnownVersion() {
		return
	}
	c, err := g.o.DecodeCatalog(document)
	if err != nil {
		klog.ErrorS(err, "Catalog not readable", "version", version, "from", address)
		return
	}
	if g.catalog.Load() != nil || confirmed || g.startupOver() {
		g.install(address, c)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Version() > g.KnownVersion() {
		klog.InfoS("Catalog waits for its confirmation", "version", c.Version(), "from", address)
		g.candidate.Store(c)
	}
}

func (g *Gateway) install(address string, c *catalog.Catalog) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.candidate.Store(nil)
	if c.Version() <= g.CatalogVersion() {
		return
	}
	klog.InfoS("Catalog in force", "version", c.Version(), "before", g.CatalogVersion(), "from", address, "services", len(c.Services()))
	if g.catalog.Swap(c) == nil {
		close(g.installed)
	}
	g.syncPools()
}

// awaitCatalog returns the catalog in force. Shortly after the start it waits for the first
// one, so that the callers of a system that restarts aren't all sent away. It returns nil if
// there is none in time.
func (g *Gateway) awaitCatalog(ctx context.Context, callerTimeout time.Duration) *catalog.Catalog {
	if c := g.catalog.Load(); c != nil {
		return c
	}
	limit := min(catalogWait, startupTime-g.o.Timers.Since(g.startedAt))
	if callerTimeout > 0 {
		limit = min(limit, time.Duration(float64(callerTimeout)*catalogWaitShare))
	}
	if limit <= 0 || g.stopping.Load() {
		return nil
	}
	select {
	case <-g.installed:
	case <-g.o.Timers.After(limit):
	case <-ctx.Done():
	}
	return g.catalog.Load()
}

// catalogRetry returns the time after which a caller may come back that was refused because
// there is no catalog.
func (g *Gateway) catalogRetry() time.Duration {
	left := electionTime - g.sinceStart()
	if left <= 0 {
		return unsureRetry
	}
	return max(left, unsureRetry) + rand.N(startupSpread)
}

// isFresh says whether the catalog was the newest one a short time ago.
func (g *Gateway) isFresh() bool {
	return timer.SinceBoot()-time.Duration(g.confirmed.Load()) <= freshBound
}

// followTargets keeps the pools up to date with the table.
func (g *Gateway) followTargets() {
	ticker := g.o.Timers.Subscribe(poolPeriod)
	defer ticker.Stop()
	for {
		changed := g.o.Table.Changed()
		if c := g.candidate.Load(); c != nil && g.startupOver() {
			g.install("", c)
		}
		g.mu.Lock()
		g.syncPools()
		g.mu.Unlock()
		if err := g.o.Timers.Sleep(g.ctx, syncInterval); err != nil {
			return
		}
		select {
		case <-changed:
		case <-ticker.C():
			g.tickPools()
		case <-g.ctx.Done():
			return
		}
	}
}

// weigh returns for each route with stages how the targets that run them are spread
// over the failure domains, by the bytes of results. Requests that go on in the
// same proportion find their results near.
func (g *Gateway) weigh(c *catalog.Catalog, now time.Time) map[string]map[string]float64 {
	spread := map[string]map[string]float64{}
	weights := map[string]map[string]float64{}
	for _, r := range c.Routes() {
		if len(r.Stages()) == 0 {
			continue
		}
		w := map[string]float64{}
		for _, stage := range r.Stages() {
			if spread[stage.Service] == nil {
				spread[stage.Service] = g.spread(stage.Service, now)
			}
			for domain, share := range spread[stage.Service] {
				w[domain] += share * float64(stage.ResultBytes)
			}
		}
		weights[r.Name()] = w
	}
	return weights
}

// spread returns the share of a service's targets in each failure domain that isn't evacuated.
func (g *Gateway) spread(service string, now time.Time) map[string]float64 {
	share := map[string]float64{}
	targets := slices.DeleteFunc(g.targets(service, nil, now), func(t routing.Target) bool { return t.Evacuated })
	for _, t := range targets {
		share[t.FailureDomain] += 1 / float64(len(targets))
	}
	return share
}

// domainWeights returns the weights of a route, or nil.
func (g *Gateway) domainWeights(route string) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.weights[route]; len(w) > 0 {
		return w
	}
	return nil
}

// health returns the bounds by which targets of a service are ejected. The first
// event of an engine waits behind the prompts of others, so that its latency varies
// several times over without a fault.
func health(s *catalog.Service) routing.HealthOptions {
	if s.Engine() == nil {
		return routing.HealthOptions{}
	}
	return routing.HealthOptions{LatencyOutlierFactor: engineOutlier}
}

// targets returns the members of a service. When all of them are silent, the
// news of them is what is missing, and they count as present. ramp returns their ramps; nil for
// none.
func (g *Gateway) targets(service string, ramp func(*wire.RegisteredTarget) routing.Ramp, now time.Time) []routing.Target {
	live := g.o.Table.Live(service, now)
	allSilent := true
	for _, l := range live {
		allSilent = allSilent && l.Silent()
	}
	list := make([]routing.Target, 0, len(live))
	for _, l := range live {
		r := l.Record()
		list = append(list, routing.Target{
			Name: r.GetId(), Address: r.GetAddress(), Incarnation: incarnation(r), FailureDomain: r.GetFailureDomain(), Software: r.GetSoftware(),
			Slots: int(r.GetSlots()), Draining: l.Leaving(), HeartbeatTimedOut: l.Silent() && !allSilent, Paused: l.PausedUntil().After(now),
			Evacuated: g.o.Evacuations.Contains(r.GetFailureDomain()), Pacer: g.pace(r),
		})
		if ramp != nil {
			list[len(list)-1].Ramp = ramp(r)
		}
	}
	return list
}

// incarnationKey identifies one process of a target.
type incarnationKey struct {
	target string
	bornMs int64
}

// pace returns what paces the requests to a target; g.mu is held.
func (g *Gateway) pace(r *wire.RegisteredTarget) *pacing.Pace {
	key := incarnationKey{target: r.GetId(), bornMs: r.GetBornMs()}
	p := g.paces[key]
	if p == nil {
		p = g.o.Limits.Pace(key.target, key.bornMs)
		g.paces[key] = p
	}
	return p
}

// gate returns what admits requests to a service while all of its targets name limits.
func (g *Gateway) gate(service string) *pacing.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.gates[service]
	if gate == nil {
		gate = pacing.NewGate()
		g.gates[service] = gate
	}
	return gate
}

// dropPaces drops the paces and ramps of targets that are gone; g.mu is held.
func (g *Gateway) dropPaces() {
	gone := func(k incarnationKey) bool {
		r, ok := g.o.Table.Target(k.target)
		return !ok || r.GetBornMs() != k.bornMs
	}
	maps.DeleteFunc(g.paces, func(k incarnationKey, _ *pacing.Pace) bool { return gone(k) })
	if g.o.Speeds != nil {
		g.o.Speeds.Keep(func(target string, bornMs int64) bool { return !gone(incarnationKey{target: target, bornMs: bornMs}) })
	}
	g.ramps.drop(gone)
}

func incarnation(r *wire.RegisteredTarget) string {
	return time.UnixMilli(r.GetBornMs()).UTC().Format(time.RFC3339Nano)
}

// bornMs returns the start of a chosen target's process in Unix milliseconds.
func bornMs(c routing.Choice) int64 {
	born, err := time.Parse(time.RFC3339Nano, c.Incarnation)
	if err != nil {
		klog.ErrorS(err, "Incarnation not readable", "target", c.Target, "incarnation", c.Incarnation)
		return 0
	}
	return born.UnixMilli()
}

// recordNotice records what a target said of itself in an answer to a request that was sent at
// a time. No request is sent to it from now on if it leaves, or for the time that it asks for.
func (g *Gateway) recordNotice(c routing.Choice, n discovery.Notice, sentAt time.Time) {
	if l := n.Limit(); l != nil {
		g.o.Limits.Observe(pacing.NewStatement(c.Target, bornMs(c), l, sentAt, g.o.Timers.Now()))
	}
	if n.IsEmpty() {
		return
	}
	if !g.o.Table.RecordNotice(c.Target, bornMs(c), n, g.o.Timers.Now()) {
		return
	}
	klog.InfoS("Target takes no requests", "target", c.Target, "leaving", n.Leaving(), "pause_ms", n.Pause().Milliseconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncPools()
}

// takesNoRequests reports whether a target that was chosen has said since then that it leaves or
// wants a pause, or is in a failure domain that was evacuated.
func (g *Gateway) takesNoRequests(c routing.Choice) bool {
	return g.o.Table.HasLeft(c.Target, bornMs(c)) || g.o.Table.PauseLeft(c.Target, g.o.Timers.Now()) > 0 || g.o.Evacuations.Contains(c.FailureDomain)
}

// targetRetry returns the time after which a caller may come back that was refused because no
// target of a service takes its request: when the first one takes requests again, if all of
// them have asked for a pause or are at their limit. Targets in evacuated domains don't count.
func (g *Gateway) targetRetry(service string) time.Duration {
	return g.retryAfter(service, func(*wire.RegisteredTarget) bool { return true })
}

// retryAfter is targetRetry for the targets that fit a request.
func (g *Gateway) retryAfter(service string, fits func(*wire.RegisteredTarget) bool) time.Duration {
	now := g.o.Timers.Now()
	first := time.Duration(0)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evacuated[service] {
		return evacuatedRetry
	}
	for _, l := range g.o.Table.Live(service, now) {
		if !fits(l.Record()) || l.Leaving() || l.Silent() || g.o.Evacuations.Contains(l.Record().GetFailureDomain()) {
			continue
		}
		left := max(l.PausedUntil().Sub(now), g.pace(l.Record()).Wait(now))
		if left <= 0 {
			return fullRetry
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return max(first, fullRetry)
}

// logStates writes a line for each target whose state has changed; g.mu is held.
func (g *Gateway) logStates(service string, targets []routing.TargetStatus) {
	states := make(map[string]routing.TargetState, len(targets))
	before := g.states[service]
	for _, t := range targets {
		states[t.Name] = t.State
		if before[t.Name] != t.State {
			klog.InfoS("Target state", "service", service, "target", t.Name, "state", t.State, "before", before[t.Name], "cause", t.EjectionCause,
				"slowness", t.RelativeLatency, "failures", t.FailureRate, "in_flight", t.InFlight)
		}
	}
	for name, state := range before {
		if _, ok := states[name]; !ok {
			klog.InfoS("Target state", "service", service, "target", name, "state", "gone", "before", state)
		}
	}
	g.states[service] = states
}
