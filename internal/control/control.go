// Package control is the role of a control VM.
//
// It puts the replicated log, the ledger behind it and the roster together and
// serves them to the other processes by twirp. Commands and quorum-confirmed
// reads are forwarded to the leader; heartbeats, roster polls and configuration
// polls are answered by whichever control VM is asked.
//
// # Usage
//
//	c, err := control.New(control.Options{Timers: ts, Node: node, Ledger: led, Roster: ros, ...})
//	mux.Handle("/", c.Handler())
package control

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// confirmPeriod is how often a control VM asks the quorum for the current
	// revision, and confirmBound how old the answer may be to be passed on.
	confirmPeriod = 250 * time.Millisecond
	confirmBound  = 2 * time.Second

	// appliedPeriod is how often a control VM looks whether it has applied a revision
	// that is not confirmed yet, so that its pollers don't wait for confirmPeriod.
	appliedPeriod = 20 * time.Millisecond

	// peerPollWait is how long a peer holds a poll of its roster without news, and
	// peerPause the time between two polls, in which changes come together.
	peerPollWait = 500 * time.Millisecond
	peerPause    = 20 * time.Millisecond

	// rosterWarmUp is the time after its start in which a control VM may not have
	// heard all processes, whose heartbeats come every second.
	rosterWarmUp = 2500 * time.Millisecond

	forwardTimeout = 900 * time.Millisecond
	proposeTimeout = 900 * time.Millisecond
	dialTimeout    = 300 * time.Millisecond
	idlePerHost    = 128

	// maxChain bounds the deltas kept for readers that missed changes. At 1,200
	// changes a day it spans three days.
	maxChain = 4096

	// expirePeriod and retention bound the finished orders and waiting requests.
	expirePeriod = 10 * time.Second
	expireBatch  = 2000
)

// Options holds what a Control needs.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Node runs the replicated log; required.
	Node *replica.Node
	// Ledger is the state machine behind the log; required.
	Ledger *ledger.Ledger
	// Roster is the membership; required.
	Roster *roster.Roster
	// Metrics receives counters and histograms; required.
	Metrics *metrics.Metrics
	// Name is the name of this process, Address its own IP:port.
	Name    string
	Address string
	// Peers are the addresses of all control VMs, this one included.
	Peers []string
	// Retention is how long final outcomes are kept; 7 days when zero.
	Retention time.Duration
	// Wall replaces the wall clock in tests.
	WallClock func() time.Time
	// Dial replaces the network dialer towards the other control VMs.
	Dial Dialer
}

func (o *Options) check() error {
	if o.Timers == nil || o.Node == nil || o.Ledger == nil || o.Roster == nil || o.Metrics == nil {
		return errors.New("control: a required part is missing")
	}
	if o.WallClock == nil {
		o.WallClock = o.Timers.Now
	}
	if o.Retention == 0 {
		o.Retention = 7 * 24 * time.Hour
	}
	return nil
}

// confirmation is what a quorum last vouched for.
type confirmation struct {
	revision uint64
	fence    uint64
	drains   []string
	at       time.Time
}

// Control serves the other processes of the system.
type Control struct {
	o         Options
	http      *http.Client
	confirmed atomic.Pointer[confirmation]
	leaving   atomic.Bool
	// inTouch tells that the last confirmation was fresh when it was last looked at.
	inTouch atomic.Bool

	mu      sync.Mutex
	changed chan struct{}
	leaders map[string]wire.Control
	// chain holds deltas to the next revision by base revision, up to chained.
	chain   map[uint64]*wire.ManifestRecord
	chained uint64

	clock logClock
	// created is the origin of the monotonic time that clock reads.
	created time.Time
	started time.Time
	// stopping ends the polls that wait, which would hold up the server's stop.
	stopping chan struct{}
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a Control, or an error that names what is missing.
func New(o Options) (*Control, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return &Control{
		o:        o,
		http:     NewHTTPClient(o.Dial),
		created:  o.Timers.Now(),
		changed:  make(chan struct{}),
		leaders:  make(map[string]wire.Control),
		chain:    make(map[uint64]*wire.ManifestRecord),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
	}, nil
}

// Handler returns the HTTP handler of the twirp services.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.ControlPathPrefix, wire.NewControlServer(&service{c: c}))
	mux.Handle(wire.ReplicaPathPrefix, wire.NewReplicaServer(&replicaService{node: c.o.Node}))
	return mux
}

// Ready reports whether this control VM is in touch with a quorum, and why not.
func (c *Control) Ready() (ok bool, why string) {
	switch {
	case c.leaving.Load():
		return false, "leaving"
	case c.fresh() == nil:
		return false, "no quorum confirmed the current revision"
	}
	return true, ""
}

// Start implements kernel.Starter.
func (c *Control) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.started = c.o.Timers.Now()
	var wg sync.WaitGroup
	wg.Go(func() { c.o.Timers.Every(ctx, confirmPeriod, c.confirm) })
	wg.Go(func() { c.o.Timers.Every(ctx, appliedPeriod, c.confirmApplied) })
	wg.Go(func() { c.o.Timers.Every(ctx, observePeriod, func(context.Context) { c.clock.observe(c.reading()) }) })
	wg.Go(func() { c.o.Timers.Every(ctx, expirePeriod, c.expire) })
	for _, peer := range c.o.Peers {
		if peer != c.o.Address {
			wg.Go(func() { c.pullRoster(ctx, peer) })
		}
	}
	go func() {
		wg.Wait()
		close(c.done)
	}()
	return nil
}

// Stop implements kernel.Stopper. A leader hands over first, while this VM still
// answers and forwards the calls that wait for the new leader.
func (c *Control) Stop(ctx context.Context) error {
	c.leaving.Store(true)
	c.handOver(ctx)
	close(c.stopping)
	c.cancel()
	<-c.done
	return nil
}

func (c *Control) handOver(ctx context.Context) {
	if c.o.Node.Status().Role != replica.Leader {
		return
	}
	if err := c.o.Node.TransferLeadership(ctx); err != nil {
		klog.InfoS("Leadership not handed over, an election follows", "err", err)
		return
	}
	klog.InfoS("Leadership handed over", "leader", c.o.Node.Status().LeaderAddress)
}

// Done implements kernel.Stopper.
func (c *Control) Done() <-chan struct{} { return c.done }

// confirm asks the leader, under a quorum's confirmation, for what is current.
func (c *Control) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	asked := c.o.Timers.Now()
	resp, err := c.query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Revision{Revision: &wire.RevisionQuery{}}})
	if err != nil {
		c.noteLostTouch()
		return
	}
	c.inTouch.Store(true)
	next := &confirmation{revision: resp.GetRevision(), fence: resp.GetFence(), at: asked, drains: resp.GetDrains()}
	c.o.Roster.SetDrains(next.drains)
	old := c.confirmed.Swap(next)
	if newest, ok := c.o.Ledger.Manifest(0); ok {
		c.mu.Lock()
		c.extendChain(newest)
		c.mu.Unlock()
	}
	if old == nil || old.revision != next.revision || !slices.Equal(old.drains, next.drains) {
		c.wakePolls()
	}
}

// noteLostTouch ends the waiting polls once the confirmation is too old: their
// processes may reach a control VM that is in touch with a quorum.
func (c *Control) noteLostTouch() {
	if c.fresh() == nil && c.inTouch.Swap(false) {
		c.wakePolls()
	}
}

// confirmApplied confirms at once what this VM has applied since the last time.
func (c *Control) confirmApplied(ctx context.Context) {
	last := c.confirmed.Load()
	if last != nil && c.o.Ledger.Revision() > last.revision {
		c.confirm(ctx)
	}
}

// fresh returns the last confirmation, or nil when it is too old to pass on.
func (c *Control) fresh() *confirmation {
	last := c.confirmed.Load()
	if last == nil || c.o.Timers.Since(last.at) > confirmBound {
		return nil
	}
	return last
}

// wakePolls lets every waiting poll look again.
func (c *Control) wakePolls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Control) waitChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// expire removes old final outcomes; only the leader proposes it.
func (c *Control) expire(ctx context.Context) {
	if c.o.Node.Status().Role != replica.Leader {
		return
	}
	_, now, err := c.stamp(ctx)
	if err != nil {
		return
	}
	before := now - c.o.Retention.Milliseconds()
	cmd := &wire.Command{Kind: &wire.Command_Expire{Expire: &wire.Expire{BeforeMs: before, Max: expireBatch}}}
	_, _ = c.propose(ctx, cmd)
}

// propose stamps a command with the log's time and commits it.
func (c *Control) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd = c.shorten(cmd)
	term, now, err := c.stamp(ctx)
	if err != nil {
		return nil, err
	}
	cmd.AtMs = now
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	began := c.o.Timers.Now()
	answer, err := c.o.Node.ProposeInTerm(ctx, term, data)
	if err != nil {
		return nil, err
	}
	c.o.Metrics.ObserveStage("commit_seconds", "commit", "command", c.o.Timers.Since(began))
	result, ok := answer.(*wire.Result)
	if !ok {
		return nil, errors.Errorf("state machine answered a %T", answer)
	}
	c.noteResult(cmd, result)
	return result, nil
}

// shorten returns a change of the manifest as a delta on the newest revision, so
// that neither the log nor its followers carry megabytes for one customer.
func (c *Control) shorten(cmd *wire.Command) *wire.Command {
	change, ok := cmd.GetKind().(*wire.Command_ApplyManifest)
	if !ok {
		return cmd
	}
	a := change.ApplyManifest
	newest, ok := c.o.Ledger.Manifest(0)
	if !ok || newest.GetRevision() != a.GetBaseRevision() {
		return cmd
	}
	r := delta.DiffRecord(newest, &wire.ManifestRecord{Manifest: a.GetManifest()}, newest.GetRevision())
	if r.GetDelta() == nil {
		return cmd
	}
	return &wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{
		BaseRevision: a.GetBaseRevision(), ChangeId: a.GetChangeId(), Operator: a.GetOperator(), Delta: r.GetDelta(),
	}}}
}

// noteResult wakes polls as soon as this control VM, being the leader, has
// applied a change that other processes wait for.
func (c *Control) noteResult(cmd *wire.Command, result *wire.Result) {
	switch cmd.GetKind().(type) {
	case *wire.Command_ApplyManifest:
		if result.GetRefusal() == "" && !result.GetRepeated() {
			klog.InfoS("Configuration accepted", "revision", result.GetRevision(), "operator", cmd.GetApplyManifest().GetOperator())
		}
		c.wakePolls()
	case *wire.Command_SetDrain:
		klog.InfoS("Drain set", "target", cmd.GetSetDrain().GetTarget(), "draining", cmd.GetSetDrain().GetDraining())
		c.wakePolls()
	}
}

// pullRoster follows the roster of one peer by long polls, so that a change
// reaches the entries at this VM at once. An empty answer is passed on as well: by
// it the peer vouches for the processes that it hears.
func (c *Control) pullRoster(ctx context.Context, peer string) {
	client := wire.NewControlProtobufClient("http://"+peer, c.http)
	var since uint64
	var epoch string
	for ctx.Err() == nil {
		asked := c.o.Timers.Now()
		// Only the leader places models, by the load of all engines.
		loads := c.o.Node.Status().Role == replica.Leader
		callCtx, cancel := context.WithTimeout(ctx, peerPollWait+forwardTimeout)
		resp, err := client.Roster(callCtx, &wire.RosterRequest{
			Since: since, Epoch: epoch, WaitMs: peerPollWait.Milliseconds(), Process: c.o.Name, Peer: true, Loads: loads,
		})
		cancel()
		if err != nil {
			_ = c.o.Timers.Sleep(ctx, peerPollWait)
			continue
		}
		if c.o.Timers.Since(asked) <= peerPollWait+forwardTimeout {
			// An answer that waited while this process was paused tells an old silence.
			c.o.Roster.Merge(resp)
			c.o.Roster.MergeLoads(resp.GetLoads())
			since, epoch = resp.GetVersion(), resp.GetEpoch()
		}
		_ = c.o.Timers.Sleep(ctx, peerPause)
	}
}

// leader returns a client for the leader's address.
func (c *Control) leader(address string) wire.Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.leaders[address]
	if !ok {
		l = wire.NewControlProtobufClient("http://"+address, c.http)
		c.leaders[address] = l
	}
	return l
}
