package process

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/batching"
	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/control"
	"github.com/cardamomline/cardamomline/internal/directory"
	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/listener"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/stagelink"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/upstream"
	"github.com/cardamomline/cardamomline/internal/warmup"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// journalBytes is the log size at which a snapshot replaces the log. The log and two
	// snapshots have to fit on a small disk of 128 MB.
	journalBytes = 16 << 20
	// firstStartTimeout is the time after which the first start of the entire system goes on without
	// a control VM that doesn't respond. All of them start within a fraction of a second.
	firstStartTimeout = 2 * time.Second
	// openRetryInterval is the time between attempts to open the journal, which fails
	// while the disk is full or stalls.
	openRetryInterval = 300 * time.Millisecond
	// maxOrigins bounds the streams whose software versions a control VM stores, at some 100 bytes
	// each.
	maxOrigins = 300_000
)

// DirectoryOptions configures a control VM that serves gateways. An adapter provides its
// functions.
type DirectoryOptions struct {
	Name          string
	FailureDomain string // of this VM
	// FailureDomains names all that operators may evacuate, in addition to those of targets.
	FailureDomains []string
	Public         string // IP:port for targets and operators
	Internal       string // IP:port for other processes
	Admin          string // IP:port for metrics and health
	Seeds          []string
	DataFolder     string
	Heartbeat      time.Duration // of targets
	// Bootstrap is set when the entire system starts for the first time.
	Bootstrap bool
	// FaultTolerance is the number of control VMs that may fail at the same time.
	FaultTolerance int
	Decode         func(document []byte) (*catalog.Catalog, error)
	Handler        func(*directory.Directory) http.Handler
	Target         func(*upstream.Pool) batching.TargetClient
}

// NewDirectory returns the kernel of a control VM that serves gateways. It retries opening
// the journal until ctx ends.
func NewDirectory(ctx context.Context, o DirectoryOptions) (*kernel.Kernel, error) {
	k, t, m := kernel.New(), timer.NewService(), metrics.New("directory")
	k.Register(TimerComponent, t)
	k.Register(MetricsComponent, m)
	j, err := openJournal(ctx, t, o.DataFolder)
	if err != nil {
		return nil, err
	}
	isNew := o.Bootstrap && j.IsNew()
	link := control.NewTransport(nil)
	store := directory.NewStore()
	formWithout := time.Duration(0)
	if o.Bootstrap {
		formWithout = firstStartTimeout
	}
	node, err := replica.NewNode(replica.NodeOptions{
		Timer: t, Journal: j, Transport: link, HelloClient: link, StateMachine: store, Address: o.Internal, Peers: o.Seeds,
		FailureDomain: o.FailureDomain, Seed: seed(o.Name), JoinOnly: !o.Bootstrap, FormWithout: formWithout, SnapshotBytes: journalBytes,
	})
	if err != nil {
		return nil, err
	}
	client := control.NewHTTPClient(nil)
	table := discovery.NewTable(discovery.Options{HeartbeatTimeout: heartbeatTimeoutFactor * o.Heartbeat})
	follower := discovery.NewWatcher(discovery.WatcherOptions{
		Timers: t, HTTP: client, Process: o.Name, Self: o.Internal, Seeds: o.Seeds, Table: table,
	})
	evacuations := newEvacuations(m)
	store.OnEvacuations(func(revision uint64, domains []string) { evacuations.Adopt(revision, domains, t.Now()) })
	catalogs := newCatalogCache(store, o.Decode)
	var d *directory.Directory
	runner := batching.NewCollector(batching.Options{
		Timers: t, Table: table, Metrics: m, Catalog: func() *catalog.Catalog {
			if !d.KnowsEvacuations() {
				return nil // another collector runs the stages
			}
			return catalogs.newest()
		}, TargetClient: o.Target(newUpstream(t, m)), Evacuations: evacuations,
	})
	parts, limits, warmups := newQuarantine(o.Name, m), newLimits(o.Name, t, m), warmup.NewRegister()
	speeds := newSpeeds(m)
	origins := origin.NewRegister(maxOrigins)
	if isNew {
		origins.SetComplete(time.Time{}) // no stream has begun yet
	}
	d = directory.New(directory.Options{
		Timers: t, Node: node, Store: store, Table: table, Metrics: m, HTTP: client, Voters: 2*o.FaultTolerance + 1, CollectorUptime: runner.Uptime,
		Quarantine: parts, Limits: limits, Warmups: warmups, Speeds: speeds, Origins: origins,
	})
	d.SetFailureDomains(o.FailureDomains)
	mux := http.NewServeMux()
	mux.Handle(wire.DirectoryPathPrefix, d.Handler())
	stages := stagelink.NewServer(runner, t)
	mux.Handle(wire.BatchingPathPrefix, runner.Handler())
	mux.Handle(stagelink.Path, stages)
	mux.Handle(wire.ReplicaPathPrefix, control.ReplicaHandler(node))
	admin := listener.NewAdminMux(m, d.Ready)
	parts.RegisterAdminHandlers(admin, t.Now)
	limits.RegisterAdminHandlers(admin, t.Now)
	evacuations.RegisterAdminHandlers(admin, t.Now)
	warmups.RegisterAdminHandlers(admin, t.Now)
	speeds.RegisterAdminHandlers(admin)
	d.RegisterAdminHandlers(admin)
	k.Register(AdminComponent, listener.New(listener.Options{Address: o.Admin, Handler: admin}))
	k.Register(JournalComponent, &journalComponent{journal: j, done: make(chan struct{})})
	k.Register(TransportComponent, link)
	k.Register(NodeComponent, node)
	k.Register(WatcherComponent, follower)
	k.Register(ServerComponent, listener.New(listener.Options{Address: o.Internal, Handler: mux, MaxBodyBytes: control.MaxMessageBytes}))
	k.Register(StagesComponent, stages)
	k.Register(BatchingComponent, runner)
	k.Register(CallerServerComponent, listener.New(listener.Options{Address: o.Public, Handler: o.Handler(d)}))
	k.Register(DirectoryComponent, d)
	go exitWithNode(t, node)
	return k, nil
}

// exitWithNode terminates the process when its replica has failed, for instance after a
// write error. The restarted process reads the journal again.
func exitWithNode(t *timer.Service, node *replica.Node) {
	<-node.Done()
	if err := node.Err(); err != nil {
		klog.ErrorS(err, "Replica failed, process ends")
		<-t.After(exitDelay)
		os.Exit(1)
	}
}

// exitDelay is the time for the last log lines to be written.
const exitDelay = 20 * time.Millisecond

func openJournal(ctx context.Context, t *timer.Service, folder string) (*journal.Journal, error) {
	for logged := false; ; logged = true {
		j, err := journal.Open(journal.Options{Folder: filepath.Join(folder, "journal")})
		if err == nil {
			return j, nil
		}
		if !logged {
			klog.ErrorS(err, "Journal not opened", "folder", folder)
		}
		if sleepErr := t.Sleep(ctx, openRetryInterval); sleepErr != nil {
			return nil, errors.Wrapf(err, "data folder %s", folder)
		}
	}
}
