// Package process puts the parts of each role together in a kernel.
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

// Names under which the parts of a process find each other.
const (
	TimerComponent = "timer"
	MetricsPart    = "metrics"
	AdminPart      = "admin"
	ServerPart     = "server"
	ConfigPart     = "config"
	EntryPart      = "entry"
	AgentPart      = "agent"
	ControlPart    = "control"
	NodeComponent  = "node"
	RosterPart     = "roster"
	LinkPart       = "transport"
	JournalPart    = "journal"
	// PlacementPart decides which models engines load.
	PlacementPart = "placement"
)

// dialTimeout bounds the opening of a connection from a source address of its own.
const dialTimeout = 300 * time.Millisecond

// Options changes how a process is put together.
type Options struct {
	// Listener replaces listening on the address of the settings, so that a
	// process can run on a free port that its peers know already.
	Listener net.Listener
	// Admin replaces listening on the admin address.
	Admin net.Listener
	// NoAdmin leaves out the admin server.
	NoAdmin bool
}

// builder collects what the parts of one process share.
type builder struct {
	s *settings.Settings
	o Options
	k *kernel.Kernel
	t *timer.Service
	m *metrics.Metrics
}

// New returns the kernel of the process that the settings describe.
func New(s *settings.Settings, o Options) (*kernel.Kernel, error) {
	b := &builder{s: s, o: o, k: kernel.New(), t: timer.NewService(), m: metrics.New(string(s.Role()))}
	b.k.Register(TimerComponent, b.t)
	b.k.Register(MetricsPart, b.m)
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

// nodeGCPercent is the collector's headroom on entries and agents, in percent of
// what is live. Half the default keeps a node with 24,000 customers closer to the
// 64 MB that control may use, for somewhat more processor time.
const nodeGCPercent = 50

// SetNodeGCPercent lowers the collector's headroom in the process of a node. GOGC goes
// first. It is not for dev, where all roles share one process.
func SetNodeGCPercent(role settings.Role) {
	if role != settings.RoleControl && os.Getenv("GOGC") == "" {
		debug.SetGCPercent(nodeGCPercent)
	}
}

// Run starts the process, waits for ctx and stops the parts in reverse order.
// A part that has not ended after stopTimeout is given up.
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

// notify returns a function that tells the part with the name of a new
// configuration. The part is looked up then, because it is made after its watcher.
func notify[T any](k *kernel.Kernel, name string, tell func(T, *configwatch.Config)) func(*configwatch.Config) {
	return func(cfg *configwatch.Config) {
		part, err := kernel.Lookup[T](k, name)
		if err != nil {
			klog.ErrorS(err, "Configuration not passed on", "part", name)
			return
		}
		tell(part, cfg)
	}
}

// dial returns a dialer that opens connections from the source address of the
// settings, or nil, which leaves each part its own dialer, when there is none.
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

// admin and server are registered before the part that they serve: they stop
// after it, so that callers are told why while it ends its work.
func (b *builder) admin(ready listener.ReadyFunc) *http.ServeMux {
	mux := listener.NewAdminMux(b.m, ready)
	if !b.o.NoAdmin {
		b.k.Register(AdminPart, listener.New(listener.Options{Address: b.s.Admin(), Listener: b.o.Admin, Handler: mux}))
	}
	return mux
}

func (b *builder) entry() error {
	client, err := b.client()
	if err != nil {
		return err
	}
	watcher := configwatch.New(configwatch.Options{
		Timers: b.t, Source: client, Process: b.s.Name(), OnChange: notify(b.k, EntryPart, (*entry.Entry).Reconfigure),
	})
	e, err := entry.New(entry.Options{
		Timers: b.t, Control: client, Config: watcher, Metrics: b.m, Name: b.s.Name(), Region: b.s.Region(),
		FailureDomain: b.s.FailureDomain(), Address: b.s.Advertise(), Admin: b.s.Admin(), Seed: seed(b.s.Name()), Dial: b.dial(),
	})
	if err != nil {
		return err
	}
	e.RegisterAdminHandlers(b.admin(e.Ready))
	b.k.Register(ServerPart, listener.New(listener.Options{Address: b.s.Listen(), Listener: b.o.Listener, Handler: e.Handler()}))
	b.k.Register(ConfigPart, watcher)
	b.k.Register(EntryPart, e)
	return nil
}

func (b *builder) agent() error {
	client, err := b.client()
	if err != nil {
		return err
	}
	watcher := configwatch.New(configwatch.Options{
		Timers: b.t, Source: client, Process: b.s.Name(), SkipParsing: true, OnChange: notify(b.k, AgentPart, (*agent.Agent).Reconfigure),
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
	b.k.Register(ServerPart, listener.New(listener.Options{Address: b.s.Listen(), Listener: b.o.Listener, Handler: a.Handler()}))
	b.k.Register(ConfigPart, watcher)
	b.k.Register(AgentPart, a)
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
	own := b.s.Placement()
	runner, err := placement.NewRunner(placement.Options{
		Timers: b.t, Leader: c.Placement(), Roster: ros, Metrics: b.m, Scope: control.PlacementScope, Dial: b.dial(),
		Limits: placement.Limits{ReadRate: own.ReadRate(), EngineReadRate: own.EngineReadRate(), EngineMemory: own.EngineMemory()},
	})
	if err != nil {
		return err
	}
	b.admin(c.Ready)
	// The journal's folder is locked until it is closed, after the node has stopped.
	b.k.Register(JournalPart, &journalPart{journal: j, done: make(chan struct{})})
	b.k.Register(LinkPart, link)
	b.k.Register(NodeComponent, node)
	b.k.Register(RosterPart, ros)
	b.k.Register(ServerPart, listener.New(listener.Options{Address: b.s.Listen(), Listener: b.o.Listener, Handler: c.Handler()}))
	b.k.Register(ControlPart, c)
	b.k.Register(PlacementPart, runner)
	return nil
}

// journalPart closes the journal when the kernel stops.
type journalPart struct {
	journal *journal.Journal
	done    chan struct{}
}

// Stop implements kernel.Stopper.
func (p *journalPart) Stop(context.Context) error {
	defer close(p.done)
	if err := p.journal.Close(); err != nil {
		return errors.Wrap(err, "close journal")
	}
	return nil
}

// Done implements kernel.Stopper.
func (p *journalPart) Done() <-chan struct{} { return p.done }

// seed differs between processes and between starts, so that processes don't
// choose in step after a common restart.
func seed(name string) uint64 {
	return maphash.String(maphash.MakeSeed(), name)
}
