package process

import (
	"context"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/budget"
	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/control"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/evacuation"
	"github.com/cardamomline/cardamomline/internal/gateway"
	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/listener"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/originlink"
	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/quarantine"
	"github.com/cardamomline/cardamomline/internal/speed"
	"github.com/cardamomline/cardamomline/internal/stagelink"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/upstream"
	"github.com/cardamomline/cardamomline/internal/warmup"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Names of the components of a gateway and of a control VM that serves gateways.
const (
	GatewayComponent      = "gateway"
	WatcherComponent      = "follower"
	DirectoryComponent    = "directory"
	BatchingComponent     = "batching"
	CallerServerComponent = "callers"
	ReadinessComponent    = "readiness"
	DrainComponent        = "drain"
	StagesComponent       = "stages"
	OriginsComponent      = "origins"
)

const (
	// heartbeatTimeoutFactor is the heartbeat timeout of targets, in heartbeat periods. A
	// heartbeat may arrive seconds late.
	heartbeatTimeoutFactor = 5
	// defaultStopTime is the time for a stop without a deadline.
	defaultStopTime = 7500 * time.Millisecond
	// drainPollInterval is how often a gateway that shuts down checks for active streams.
	drainPollInterval = 20 * time.Millisecond
	// maxCallerConns limits the connections of callers to one gateway. It is below the
	// limit of file descriptors.
	maxCallerConns = 3000
)

// GatewayOptions configures a gateway. An adapter provides its codec and functions.
type GatewayOptions struct {
	Name          string
	FailureDomain string
	Callers       string // IP:port for callers
	Readiness     string // IP:port for the balancer
	Admin         string // IP:port for metrics and health
	Seeds         []string
	Heartbeat     time.Duration // heartbeat period of the targets
	// Retries limits the requests that all gateways together send again.
	Retries budget.SharedOptions
	// Cold bounds the requests to cold targets.
	Cold pacing.ColdBounds
	// WarmUpAll makes the targets of all services warm up, not only those of services with cold
	// targets.
	WarmUpAll bool
	// LearnSpeeds makes the gateway use the speeds of engines that all gateways learn together.
	LearnSpeeds bool
	// BodyMemory bounds the memory for the bodies of requests, in bytes; 0 for no limit.
	BodyMemory int64
	Codec      gateway.Codec
	Decode     func(document []byte) (*catalog.Catalog, error)
	// ReadinessHandler returns the handler for the load balancer's checks.
	ReadinessHandler func(listener.ReadyFunc) http.Handler
}

// NewGateway returns the kernel of a gateway.
func NewGateway(o GatewayOptions) *kernel.Kernel {
	k, t, m := kernel.New(), timer.NewService(), metrics.New("gateway")
	k.Register(TimerComponent, t)
	k.Register(MetricsComponent, m)
	client := control.NewHTTPClient(nil)
	table := discovery.NewTable(discovery.Options{HeartbeatTimeout: heartbeatTimeoutFactor * o.Heartbeat})
	stages := stagelink.NewClient(stagelink.Options{Timers: t})
	parts, limits, warmups := newQuarantine(o.Name, m), newLimits(o.Name, t, m), newWarmups(m)
	var speeds *speed.Register
	if o.LearnSpeeds {
		speeds = newSpeeds(m)
	}
	evacuations := newEvacuations(m)
	var g *gateway.Gateway
	follower := discovery.NewWatcher(discovery.WatcherOptions{
		Timers: t, HTTP: client, Process: o.Name, Seeds: o.Seeds, Table: table, Quarantine: parts, Limits: limits, Evacuations: evacuations, Warmups: warmups, Speeds: speeds,
		CatalogVersion: func() uint64 { return g.KnownVersion() },
		OnCatalog:      func(d discovery.Document, began time.Time) { g.OnCatalog(d, began) },
		OnResponse:     func(address string, w *wire.WatchResponse, began time.Time) { g.OnWatchResponse(address, w, began) },
	})
	origins := originlink.NewClient(originlink.Options{Timers: t, HTTP: client, ControlVMs: follower.ControlVMs})
	g = gateway.New(gateway.Options{
		Timers: t, Codec: o.Codec, Table: table, Watcher: follower, Metrics: m, Stages: stages, DecodeCatalog: o.Decode, FailureDomain: o.FailureDomain,
		Upstream: newUpstream(t, m), Quarantine: parts, Limits: limits, Evacuations: evacuations, Warmups: warmups, WarmUpAll: o.WarmUpAll, Speeds: speeds, Seed: seed(o.Name), Retries: budget.NewSharedRetries(o.Retries), Cold: o.Cold,
		BodyMemory: o.BodyMemory, Origins: origins, UnknownSince: evacuations.TakenBackAt,
	})
	admin := listener.NewAdminMux(m, g.Ready)
	parts.RegisterAdminHandlers(admin, t.Now)
	limits.RegisterAdminHandlers(admin, t.Now)
	evacuations.RegisterAdminHandlers(admin, t.Now)
	warmups.RegisterAdminHandlers(admin, t.Now)
	if speeds != nil {
		speeds.RegisterAdminHandlers(admin)
	}
	k.Register(AdminComponent, listener.New(listener.Options{Address: o.Admin, Handler: admin}))
	k.Register(WatcherComponent, follower)
	k.Register(StagesComponent, stages)
	k.Register(OriginsComponent, origins)
	k.Register(GatewayComponent, g)
	k.Register(ReadinessComponent, listener.New(listener.Options{Address: o.Readiness, Handler: o.ReadinessHandler(g.Ready)}))
	k.Register(CallerServerComponent, listener.New(listener.Options{Address: o.Callers, Handler: g, MaxConns: maxCallerConns, MaxHeaderBytes: gateway.MaxHeaderBytes}))
	k.Register(DrainComponent, &drainComponent{timers: t, gateway: g, done: make(chan struct{})})
	return k
}

// newQuarantine returns a register that logs and counts the parts of prompts that it blocks.
func newQuarantine(name string, m *metrics.Metrics) *quarantine.Register {
	q := quarantine.NewRegister(name)
	q.OnChange(func(c quarantine.Change) {
		reason := "unblocked"
		if c.Blocked() {
			reason = "blocked"
		}
		if quarantine.IsRequest(c.Part()) {
			klog.InfoS("Request "+reason, "part", c.Part(), "crashes", c.Crashes(), "suspects", c.Others())
			m.CountReason("quarantined_requests", reason)
			return
		}
		klog.InfoS("Prompt part "+reason, "part", c.Part(), "crashes", c.Crashes(), "suspects", c.Others())
		m.CountReason("prompt_parts", reason)
	})
	return q
}

// newLimits returns a register that logs and counts the limits of targets.
func newLimits(name string, t *timer.Service, m *metrics.Metrics) *pacing.Register {
	r := pacing.NewRegister(name)
	r.OnChange(func(s pacing.Statement, part float64, senders int) {
		switch l := s.Limit().(type) {
		case pacing.RequestRate:
			klog.InfoS("Target names a limit", "target", s.Target(), "per_second", l.PerSecond, "part_per_second", part, "senders", senders,
				"age_ms", t.Since(s.ReceivedAt()).Milliseconds())
			m.CountReason("target_limits", "named")
		case pacing.Unlimited:
			klog.InfoS("Target no longer names a limit", "target", s.Target())
			m.CountReason("target_limits", "ended")
		}
	})
	r.OnCold(func(target string, reason pacing.ColdReason, left time.Duration, part float64, senders int) {
		if reason.Begins() {
			klog.InfoS("Target is cold", "target", target, "cause", reason, "left_ms", left.Milliseconds(), "part_per_second", part, "senders", senders)
		} else {
			klog.InfoS("Target is no longer cold", "target", target, "cause", reason, "left_ms", left.Milliseconds())
		}
		m.CountReason("cold_targets", string(reason))
	})
	return r
}

// newEvacuations returns a set that logs and counts the failure domains that are evacuated.
func newEvacuations(m *metrics.Metrics) *evacuation.Set {
	s, evacuated := evacuation.NewSet(), 0
	s.OnChange(func(c evacuation.Change) {
		change := "evacuated"
		if c.Evacuated {
			evacuated++
		} else {
			evacuated--
			change = "no longer evacuated"
		}
		klog.InfoS("Failure domain "+change, "domain", c.Domain, "revision", c.Revision, "evacuated_domains", evacuated)
		m.CountReason("evacuations", strings.ReplaceAll(change, " ", "_"))
		m.Gauge("evacuated_domains", float64(evacuated))
	})
	return s
}

// newWarmups returns a register that logs and counts the changes of targets' shares.
func newWarmups(m *metrics.Metrics) *warmup.Register {
	r := warmup.NewRegister()
	r.OnChange(func(e warmup.Event) {
		klog.InfoS("Target warms up", "target", e.Target, "change", e.Kind, "share", e.Share, "good", e.Good, "bad", e.Bad, "episode", e.Episode, "applies", e.Applies)
		m.CountReason("target_ramps", string(e.Kind))
	})
	return r
}

// newSpeeds returns a register that logs and counts the changes of targets' speeds.
func newSpeeds(m *metrics.Metrics) *speed.Register {
	r := speed.NewRegister()
	r.OnChange(func(target string, value float64) {
		klog.InfoS("Target speed", "target", target, "speed", value)
		m.Count("target_speed_changes", 1)
	})
	return r
}

func newUpstream(t *timer.Service, m *metrics.Metrics) *upstream.Pool {
	return upstream.NewPool(upstream.Options{Timers: t, OnDial: func(string) { m.Count("target_connections", 1) }})
}

// drainComponent makes a gateway report not ready to the load balancer before its listener
// stops.
type drainComponent struct {
	timers  *timer.Service
	gateway *gateway.Gateway
	done    chan struct{}
}

// Stop implements kernel.Stopper. It returns when no stream is active any more or nothing is
// passed on any more, which leaves the caller server the time to close its connections.
func (p *drainComponent) Stop(ctx context.Context) error {
	defer close(p.done)
	total := defaultStopTime
	if deadline, ok := ctx.Deadline(); ok {
		total = deadline.Sub(p.timers.Now())
	}
	p.gateway.BeginStop(total)
	select {
	case <-p.gateway.StreamsRefused():
	case <-ctx.Done():
		return ctx.Err()
	}
	ticker := p.timers.Subscribe(drainPollInterval)
	defer ticker.Stop()
	for p.gateway.Streams() > 0 {
		select {
		case <-ticker.C():
		case <-p.gateway.AllRefused():
			klog.InfoS("Gateway shutting down with active streams", "streams", p.gateway.Streams())
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Done implements kernel.Stopper.
func (p *drainComponent) Done() <-chan struct{} { return p.done }
