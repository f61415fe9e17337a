package process

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/control"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/gateway"
	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/listener"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/upstream"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Names of the parts of a gateway and of the control VM that serves gateways.
const (
	GatewayPart      = "gateway"
	WatcherComponent = "follower"
	DirectoryPart    = "directory"
	BatchingPart     = "batching"
	CallersPart      = "callers"
	ReadinessPart    = "readiness"
	DrainPart        = "drain"
)

const (
	// silenceFactor is the number of heartbeats that a target may miss. A heartbeat
	// may arrive seconds late.
	silenceFactor = 5
	// balancerNotice is the time in which the balancer finds out that a gateway
	// isn't ready: two checks, one a second.
	balancerNotice = 2200 * time.Millisecond
	// drainPeriod is how often a gateway that stops looks whether streams are left.
	drainPeriod = 20 * time.Millisecond
	// maxCallerConns bounds the connections of callers to one gateway, below its
	// descriptors.
	maxCallerConns = 3000
)

// GatewayOptions holds the settings of a gateway and what an adapter provides.
type GatewayOptions struct {
	Name          string
	FailureDomain string
	Callers       string // IP:port for callers
	Readiness     string // IP:port for the balancer
	Admin         string // IP:port for metrics and health
	Seeds         []string
	Heartbeat     time.Duration // of targets
	// RetryShare and RetryBurst bound the requests that this gateway sends again.
	RetryShare float64
	RetryBurst float64
	Codec      gateway.Codec
	Decode     func(document []byte) (*catalog.Catalog, error)
	// ReadinessHandler answers the balancer.
	ReadinessHandler func(listener.ReadyFunc) http.Handler
}

// NewGateway returns the kernel of a gateway.
func NewGateway(o GatewayOptions) *kernel.Kernel {
	k, t, m := kernel.New(), timer.NewService(), metrics.New("gateway")
	k.Register(TimerComponent, t)
	k.Register(MetricsPart, m)
	client := control.NewHTTPClient(nil)
	table := discovery.NewTable(discovery.Options{HeartbeatTimeout: silenceFactor * o.Heartbeat})
	var g *gateway.Gateway
	follower := discovery.NewWatcher(discovery.WatcherOptions{
		Timers: t, HTTP: client, Process: o.Name, Seeds: o.Seeds, Table: table,
		CatalogVersion: func() uint64 { return g.CatalogVersion() },
		OnResponse:     func(address string, w *wire.WatchResponse, began time.Time) { g.OnWatchResponse(address, w, began) },
	})
	g = gateway.New(gateway.Options{
		Timers: t, Codec: o.Codec, Table: table, Watcher: follower, Metrics: m, HTTP: client, DecodeCatalog: o.Decode, FailureDomain: o.FailureDomain,
		Upstream: newUpstream(t, m), Seed: seed(o.Name), RetryRatio: o.RetryShare, RetryBurst: o.RetryBurst,
	})
	k.Register(AdminPart, listener.New(listener.Options{Address: o.Admin, Handler: listener.NewAdminMux(m, g.Ready)}))
	k.Register(WatcherComponent, follower)
	k.Register(GatewayPart, g)
	k.Register(ReadinessPart, listener.New(listener.Options{Address: o.Readiness, Handler: o.ReadinessHandler(g.Ready)}))
	k.Register(CallersPart, listener.New(listener.Options{Address: o.Callers, Handler: g, MaxConns: maxCallerConns}))
	k.Register(DrainPart, &drainPart{timers: t, gateway: g, done: make(chan struct{})})
	return k
}

func newUpstream(t *timer.Service, m *metrics.Metrics) *upstream.Pool {
	return upstream.NewPool(upstream.Options{Timers: t, OnDial: func(string) { m.Count("target_connections", 1) }})
}

// drainPart tells the balancer that the gateway stops before its listener does.
type drainPart struct {
	timers  *timer.Service
	gateway *gateway.Gateway
	done    chan struct{}
}

// Stop implements kernel.Stopper. It returns when no stream is served any more.
func (p *drainPart) Stop(ctx context.Context) error {
	defer close(p.done)
	klog.InfoS("Gateway leaves the balancer", "in_flight", p.gateway.InFlight())
	p.gateway.Drain()
	if err := p.timers.Sleep(ctx, balancerNotice); err != nil {
		return err
	}
	p.gateway.RefuseStreams()
	for p.gateway.Streams() > 0 {
		if err := p.timers.Sleep(ctx, drainPeriod); err != nil {
			klog.InfoS("Gateway stops with streams under way", "streams", p.gateway.Streams())
			return err
		}
	}
	return nil
}

// Done implements kernel.Stopper.
func (p *drainPart) Done() <-chan struct{} { return p.done }
