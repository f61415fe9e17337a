// Package process assembles the components of each role in a kernel.
//
// # Usage
//
//	p, err := process.New(settings, process.Options{})
//	if err != nil {
//		return err
//	}
//	return process.Run(ctx, p, stopTimeout)
package process

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/agent"
	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/control"
	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/entry"
	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/listener"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/placement"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/settings"
	"github.com/cardamomline/cardamomline/internal/timer"
)

// Names of the components of a process.
const (
	TimerComponent     = "timer"
	MetricsComponent   = "metrics"
	AdminComponent     = "admin"
	ServerComponent    = "server"
	ConfigComponent    = "config"
	EntryComponent     = "entry"
	AgentComponent     = "agent"
	ControlComponent   = "control"
	NodeComponent      = "node"
	RosterComponent    = "roster"
	TransportComponent = "transport"
	JournalComponent   = "journal"
	// PlacementComponent decides which models engines load.
	PlacementComponent = "placement"
)

// dialTimeout limits the opening of a connection from the configured source address.
const dialTimeout = 300 * time.Millisecond

// Options overrides how a process is assembled.
type Options struct {
	// Listener replaces listening on the address of the settings, so that a process can
	// run on a free port that its peers already know.
	Listener net.Listener
	// Admin replaces listening on the admin address.
	Admin net.Listener
	// NoAdmin disables the admin server.
	NoAdmin bool
}

// builder holds what the components of one process share.
type builder struct {
	s *settings.Settings
	o Options
	k *kernel.Kernel
	t *timer.Service
	m *metrics.Metrics
}

// New returns the kernel of the process described by the settings.
func New(s *settings.Settings, o Options) (*kernel.Kernel, error) {
	b := &builder{s: s, o: o, k: kernel.New(), t: timer.NewService(), m: metrics.New(string(s.Role()))}
	b.k.Register(TimerComponent, b.t)
	b.k.Register(MetricsComponent, b.m)
	var err error
	switch s.Role() {
	case settings.RoleEntry:
		err = b.entry()
	case settings.RoleAgent:
		err = b.agent()
	case settings.RoleControl:
		err = b.control()
	default:
		err = errors.Errorf("settings of %s: no process has the role %q", s.Name(), s.Role())
	}
	if err != nil {
		return nil, err
	}
	return b.k, nil
}

// nodeGCPercent is the GC percentage of entries and agents. Half the default keeps a node
// with 24,000 customers closer to the limit of 64 MB for control, at the cost of somewhat
// more processor time.
const nodeGCPercent = 50

// SetNodeGCPercent sets the GC percentage in the process of an entry or agent. The
// environment variable GOGC takes precedence. It isn't used by dev, where all roles share
// one process.
func SetNodeGCPercent(role settings.Role) {
	if role != settings.RoleControl && os.Getenv("GOGC") == "" {
		debug.SetGCPercent(nodeGCPercent)
	}
}

// Run starts the process, waits for ctx and stops the components in reverse order. It
// stops waiting for a component after stopTimeout.
func Run(ctx context.Context, k *kernel.Kernel, name string, stopTimeout time.Duration) error {
	if err := k.Start(ctx); err != nil {
		return err
	}
	klog.InfoS("Process started", "name", name)
	<-ctx.Done()
	klog.InfoS("Process stopping", "name", name)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := k.Stop(stopCtx)
	klog.InfoS("Process stopped", "name", name)
	return err
}

// notify returns a function that notifies the named component of a new configuration. The
// component is looked up on each call, because it is created after its watcher.
func notify[T any](k *kernel.Kernel, name string, handle func(T, *configwatch.Config)) func(*configwatch.Config) {
	return func(cfg *configwatch.Config) {
		component, err := kernel.Lookup[T](k, name)
		if err != nil {
			klog.ErrorS(err, "Configuration change not delivered", "part", name)
			return
		}
		handle(component, cfg)
	}
}

// dial returns a dialer that connects from the source address of the settings. Without a
// source address it returns nil, so that each component uses its default dialer.
func (b *builder) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	source := b.s.Source()
	if !source.IsValid() {
		return nil
	}
	d := &net.Dialer{Timeout: dialTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
	return d.DialContext
}

func (b *builder) client() (*controlclient.Client, error) {
	return controlclient.New(controlclient.Options{Timers: b.t, Addresses: b.s.Control(), Process: b.s.Name(), Dial: b.dial()})
}

// The admin and server components are registered before the component that they serve, so
// that they stop after it and callers still get a reason while it finishes its work.
func (b *builder) admin(ready listener.ReadyFunc) *http.ServeMux {
	mux := listener.NewAdminMux(b.m, ready)
	if !b.o.NoAdmin {
		b.k.Register(AdminComponent, listener.New(listener.Options{Address: b.s.Admin(), Listener: b.o.Admin, Handler: mux}))
	}
	return mux
}

func (b *builder) entry() error {
	client, err := b.client()
	if err != nil {
		return err
	}
	watcher := configwatch.New(configwatch.Options{
		Timers: b.t, Source: client, Process: b.s.Name(), OnChange: notify(b.k, EntryComponent, (*entry.Entry).Reconfigure),
	})
	e, err := entry.New(entry.Options{
		Timers: b.t, Control: client, Config: watcher, Metrics: b.m, Name: b.s.Name(), Region: b.s.Region(),
		FailureDomain: b.s.FailureDomain(), Address: b.s.Advertise(), Admin: b.s.Admin(), Seed: seed(b.s.Name()), Dial: b.dial(),
	})
	if err != nil {
		return err
	}
	e.RegisterAdminHandlers(b.admin(e.Ready))
	b.k.Register(ServerComponent, listener.New(listener.Options{Address: b.s.Listen(), Listener: b.o.Listener, Handler: e.Handler()}))
	b.k.Register(ConfigComponent, watcher)
	b.k.Register(EntryComponent, e)
	return nil
}

func (b *builder) agent() error {
	client, err := b.client()
	if err != nil {
		return err
	}
	watcher := configwatch.New(configwatch.Options{
		Timers: b.t, Source: client, Process: b.s.Name(), SkipParsing: true, OnChange: notify(b.k, AgentComponent, (*agent.Agent).Reconfigure),
	})
	target := b.s.Target()
	a, err := agent.New(agent.Options{
		Timers: b.t, Control: client, Config: watcher, Metrics: b.m, Name: b.s.Name(), TargetName: target.Name(),
		Service: target.Service(), TargetURL: target.URL(), Address: b.s.Advertise(),
		Region: b.s.Region(), FailureDomain: b.s.FailureDomain(), Dial: b.dial(),
	})
	if err != nil {
		return err
	}
	b.admin(a.Ready)
	b.k.Register(ServerComponent, listener.New(listener.Options{Address: b.s.Listen(), Listener: b.o.Listener, Handler: a.Handler(), MaxBodyBytes: control.MaxMessageBytes}))
	b.k.Register(ConfigComponent, watcher)
	b.k.Register(AgentComponent, a)
	return nil
}

func (b *builder) control() error {
	j, err := journal.Open(journal.Options{Folder: filepath.Join(b.s.DataFolder(), "journal")})
	if err != nil {
		return errors.Wrapf(err, "data folder %s", b.s.DataFolder())
	}
	led := ledger.New(ledger.Options{})
	link := control.NewTransport(b.dial())
	node, err := replica.NewNode(replica.NodeOptions{
		Timer: b.t, Journal: j, Transport: link, HelloClient: link, StateMachine: led, Address: b.s.Advertise(),
		Peers: b.s.Peers(), FailureDomain: b.s.FailureDomain(), Seed: seed(b.s.Name()),
	})
	if err != nil {
		return err
	}
	ros := roster.New(roster.Options{Timer: b.t, Epoch: attempt.NewID()})
	c, err := control.New(control.Options{
		Timers: b.t, Node: node, Ledger: led, Roster: ros, Metrics: b.m, Name: b.s.Name(), Address: b.s.Advertise(), Peers: b.s.Peers(), Dial: b.dial(),
	})
	if err != nil {
		return err
	}
	limits := b.s.Placement()
	runner, err := placement.NewRunner(placement.Options{
		Timers: b.t, Leader: c.Placement(), Roster: ros, Metrics: b.m, Scope: control.PlacementScope, Dial: b.dial(),
		Limits: placement.Limits{ReadRate: limits.ReadRate(), EngineReadRate: limits.EngineReadRate(), EngineMemory: limits.EngineMemory()},
	})
	if err != nil {
		return err
	}
	b.admin(c.Ready)
	// The journal's folder is locked until the journal is closed, after the node has
	// stopped.
	b.k.Register(JournalComponent, &journalComponent{journal: j, done: make(chan struct{})})
	b.k.Register(TransportComponent, link)
	b.k.Register(NodeComponent, node)
	b.k.Register(RosterComponent, ros)
	b.k.Register(ServerComponent, listener.New(listener.Options{Address: b.s.Listen(), Listener: b.o.Listener, Handler: c.Handler(), MaxBodyBytes: control.MaxMessageBytes}))
	b.k.Register(ControlComponent, c)
	b.k.Register(PlacementComponent, runner)
	return nil
}

// journalComponent closes the journal when the kernel stops.
type journalComponent struct {
	journal *journal.Journal
	done    chan struct{}
}

// Stop implements kernel.Stopper.
func (p *journalComponent) Stop(context.Context) error {
	defer close(p.done)
	if err := p.journal.Close(); err != nil {
		return errors.Wrap(err, "close journal")
	}
	return nil
}

// Done implements kernel.Stopper.
func (p *journalComponent) Done() <-chan struct{} { return p.done }

// seed returns a value that differs between processes and between starts, so that
// processes don't make the same choices after a common restart.
func seed(name string) uint64 {
	return maphash.String(maphash.MakeSeed(), name)
}
