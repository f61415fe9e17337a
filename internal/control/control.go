// Package control implements the role of a control VM.
//
// It combines the replicated log, the ledger that is its state machine and the roster, and
// serves them to the other processes over twirp. Commands and quorum-confirmed reads are
// forwarded to the leader. Heartbeats, roster polls and configuration polls are answered by
// the control VM that receives them.
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
	// confirmInterval is the interval at which a control VM requests the current revision
	// from the quorum. maxConfirmationAge is the age up to which the response is passed on.
	confirmInterval    = 250 * time.Millisecond
	maxConfirmationAge = 2 * time.Second

	// appliedCheckInterval is the interval at which a control VM checks whether it has
	// applied an unconfirmed revision, so that its pollers don't wait for confirmInterval.
	appliedCheckInterval = 20 * time.Millisecond

	// peerPollTimeout is how long a peer holds a roster poll without changes.
	// peerPollInterval is the delay between two polls, during which changes are batched.
	peerPollTimeout  = 500 * time.Millisecond
	peerPollInterval = 20 * time.Millisecond

	// rosterWarmUp is the time after startup during which a control VM may not have
	// received heartbeats from all processes, which send them every second.
	rosterWarmUp = 2500 * time.Millisecond

	forwardTimeout      = 900 * time.Millisecond
	proposeTimeout      = 900 * time.Millisecond
	dialTimeout         = 300 * time.Millisecond
	maxIdleConnsPerHost = 128

	// maxDeltas limits the deltas retained for readers that missed changes. At 1,200
	// changes a day it covers three days.
	maxDeltas = 4096

	// expireInterval is the interval at which finished orders and waiting requests that
	// exceed Options.Retention are removed, at most expireBatch of them per command.
	expireInterval = 10 * time.Second
	expireBatch    = 2000
)

// Options configures a Control.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Node runs the replicated log; required.
	Node *replica.Node
	// Ledger is the state machine behind the log; required.
	Ledger *ledger.Ledger
	// Roster holds the membership; required.
	Roster *roster.Roster
	// Metrics receives counters and histograms; required.
	Metrics *metrics.Metrics
	// Name is the name of this process, and Address its own IP:port.
	Name    string
	Address string
	// Peers are the addresses of all control VMs, including this one.
	Peers []string
	// Retention is how long final outcomes are retained. The default is 7 days.
	Retention time.Duration
	// WallClock replaces the wall clock in tests.
	WallClock func() time.Time
	// Dial replaces the network dialer for connections to the other control VMs.
	Dial Dialer
}

func (o *Options) check() error {
	if o.Timers == nil || o.Node == nil || o.Ledger == nil || o.Roster == nil || o.Metrics == nil {
		return errors.New("control: Timers, Node, Ledger, Roster and Metrics are required")
	}
	if o.WallClock == nil {
		o.WallClock = o.Timers.Now
	}
	if o.Retention == 0 {
		o.Retention = 7 * 24 * time.Hour
	}
	return nil
}

// confirmation is the state most recently confirmed by a quorum.
type confirmation struct {
	revision    uint64
	fence       uint64
	drains      []string
	requestedAt time.Time
}

// Control serves the other processes of the system.
type Control struct {
	o            Options
	httpClient   *http.Client
	confirmed    atomic.Pointer[confirmation]
	shuttingDown atomic.Bool
	// quorumReachable is set when the last confirmation was fresh at the last check.
	quorumReachable atomic.Bool

	mu            sync.Mutex
	changed       chan struct{}
	leaderClients map[string]wire.Control
	// deltas holds the delta from each base revision to the next one, up to deltasUpTo.
	deltas     map[uint64]*wire.ManifestRecord
	deltasUpTo uint64

	clock logClock
	// createdAt is the origin of the monotonic time used by clock.
	createdAt time.Time
	startedAt time.Time
	// stopping is closed to end pending long polls, which would delay the server's
	// shutdown.
	stopping chan struct{}
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a Control. It returns an error when a required option is missing.
func New(o Options) (*Control, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return &Control{
		o:             o,
		httpClient:    NewHTTPClient(o.Dial),
		createdAt:     o.Timers.Now(),
		changed:       make(chan struct{}),
		leaderClients: make(map[string]wire.Control),
		deltas:        make(map[uint64]*wire.ManifestRecord),
		stopping:      make(chan struct{}),
		done:          make(chan struct{}),
	}, nil
}

// Handler returns the HTTP handler of the twirp services.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.ControlPathPrefix, wire.NewControlServer(&service{c: c}))
	mux.Handle(wire.ReplicaPathPrefix, wire.NewReplicaServer(&replicaService{node: c.o.Node}))
	return mux
}

// Ready reports whether a quorum confirmed the current revision to this control VM
// recently, and the reason if not.
func (c *Control) Ready() (ok bool, reason string) {
	switch {
	case c.shuttingDown.Load():
		return false, "leaving"
	case c.o.Node.Status().StorageFailure != "":
		return false, c.o.Node.Status().StorageFailure
	case c.freshConfirmation() == nil:
		return false, "no quorum confirmed the current revision"
	}
	return true, ""
}

// Start implements kernel.Starter.
func (c *Control) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.startedAt = c.o.Timers.Now()
	var wg sync.WaitGroup
	wg.Go(func() { c.o.Timers.Every(ctx, confirmInterval, c.confirm) })
	wg.Go(func() { c.o.Timers.Every(ctx, appliedCheckInterval, c.confirmApplied) })
	wg.Go(func() {
		c.o.Timers.Every(ctx, observeInterval, func(context.Context) { c.clock.observe(c.readClocks()) })
	})
	wg.Go(func() { c.o.Timers.Every(ctx, expireInterval, c.expire) })
	for _, peer := range c.o.Peers {
		if peer != c.o.Address {
			wg.Go(func() { c.pollPeerRoster(ctx, peer) })
		}
	}
	go func() {
		wg.Wait()
		close(c.done)
	}()
	return nil
}

// Stop implements kernel.Stopper. A leader transfers leadership first, while this VM still
// responds and forwards the calls that wait for the new leader.
func (c *Control) Stop(ctx context.Context) error {
	c.shuttingDown.Store(true)
	c.transferLeadership(ctx)
	close(c.stopping)
	c.cancel()
	<-c.done
	return nil
}

func (c *Control) transferLeadership(ctx context.Context) {
	if c.o.Node.Status().Role != replica.Leader {
		return
	}
	if err := c.o.Node.TransferLeadership(ctx); err != nil {
		klog.InfoS("Leadership transfer failed, an election follows", "err", err)
		return
	}
	klog.InfoS("Leadership transferred", "leader", c.o.Node.Status().LeaderAddress)
}

// Done implements kernel.Stopper.
func (c *Control) Done() <-chan struct{} { return c.done }

// confirm requests the current revision, fence and drains from the leader, confirmed by a
// quorum.
func (c *Control) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	requestedAt := c.o.Timers.Now()
	resp, err := c.query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Revision{Revision: &wire.RevisionQuery{}}})
	if err != nil {
		c.notifyQuorumLoss()
		return
	}
	c.quorumReachable.Store(true)
	next := &confirmation{revision: resp.GetRevision(), fence: resp.GetFence(), requestedAt: requestedAt, drains: resp.GetDrains()}
	c.o.Roster.SetDrains(next.drains)
	old := c.confirmed.Swap(next)
	if newest, ok := c.o.Ledger.Manifest(0); ok {
		c.mu.Lock()
		c.addDeltas(newest)
		c.mu.Unlock()
	}
	if old == nil || old.revision != next.revision || !slices.Equal(old.drains, next.drains) {
		c.notifyPolls()
	}
}

// notifyQuorumLoss ends the pending polls once the confirmation is too old, because their
// processes may be able to reach a control VM that is connected to a quorum.
func (c *Control) notifyQuorumLoss() {
	if c.freshConfirmation() == nil && c.quorumReachable.Swap(false) {
		c.notifyPolls()
	}
}

// confirmApplied requests a confirmation immediately when this VM has applied a newer
// revision than the confirmed one.
func (c *Control) confirmApplied(ctx context.Context) {
	last := c.confirmed.Load()
	if last != nil && c.o.Ledger.Revision() > last.revision {
		c.confirm(ctx)
	}
}

// freshConfirmation returns the last confirmation, or nil when it is older than
// maxConfirmationAge.
func (c *Control) freshConfirmation() *confirmation {
	last := c.confirmed.Load()
	if last == nil || c.o.Timers.Since(last.requestedAt) > maxConfirmationAge {
		return nil
	}
	return last
}

// notifyPolls makes every pending poll check for changes.
func (c *Control) notifyPolls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Control) changes() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// expire removes old final outcomes. Only the leader proposes the command.
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

// propose commits a command with a timestamp in the log's time.
func (c *Control) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd = c.encodeAsDelta(cmd)
	term, now, err := c.stamp(ctx)
	if err != nil {
		return nil, err
	}
	cmd.AtMs = now
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	startedAt := c.o.Timers.Now()
	response, err := c.o.Node.ProposeInTerm(ctx, term, data)
	if err != nil {
		return nil, err
	}
	c.o.Metrics.ObserveStage("commit_seconds", "commit", "command", c.o.Timers.Since(startedAt))
	result, ok := response.(*wire.Result)
	if !ok {
		return nil, errors.Errorf("unexpected state machine result type %T", response)
	}
	c.handleResult(cmd, result)
	return result, nil
}

// encodeAsDelta returns a manifest change as a delta on the newest revision, so that
// neither the log nor its followers transfer megabytes for a change of one customer.
func (c *Control) encodeAsDelta(cmd *wire.Command) *wire.Command {
	change, ok := cmd.GetKind().(*wire.Command_ApplyManifest)
	if !ok {
		return cmd
	}
	apply := change.ApplyManifest
	newest, ok := c.o.Ledger.Manifest(0)
	if !ok || newest.GetRevision() != apply.GetBaseRevision() {
		return cmd
	}
	record := delta.DiffRecord(newest, &wire.ManifestRecord{Manifest: apply.GetManifest()}, newest.GetRevision())
	if record.GetDelta() == nil {
		return cmd
	}
	return &wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{
		BaseRevision: apply.GetBaseRevision(), ChangeId: apply.GetChangeId(), Operator: apply.GetOperator(), Delta: record.GetDelta(),
	}}}
}

// handleResult notifies pending polls as soon as this control VM, as the leader, has
// applied a change that other processes wait for.
func (c *Control) handleResult(cmd *wire.Command, result *wire.Result) {
	switch cmd.GetKind().(type) {
	case *wire.Command_ApplyManifest:
		if result.GetRefusal() == "" && !result.GetRepeated() {
			klog.InfoS("Configuration accepted", "revision", result.GetRevision(), "operator", cmd.GetApplyManifest().GetOperator())
		}
		c.notifyPolls()
	case *wire.Command_SetDrain:
		klog.InfoS("Drain set", "target", cmd.GetSetDrain().GetTarget(), "draining", cmd.GetSetDrain().GetDraining())
		c.notifyPolls()
	}
}

// pollPeerRoster follows the roster of one peer by long polls, so that a change reaches the
// entries connected to this VM immediately. Empty responses are merged as well, because
// they confirm the processes whose heartbeats the peer receives.
func (c *Control) pollPeerRoster(ctx context.Context, peer string) {
	client := wire.NewControlProtobufClient("http://"+peer, c.httpClient)
	var since uint64
	var epoch string
	for ctx.Err() == nil {
		requestedAt := c.o.Timers.Now()
		// Only the leader places models, based on the load of all engines.
		loads := c.o.Node.Status().Role == replica.Leader
		callCtx, cancel := context.WithTimeout(ctx, peerPollTimeout+forwardTimeout)
		resp, err := client.Roster(callCtx, &wire.RosterRequest{
			Since: since, Epoch: epoch, WaitMs: peerPollTimeout.Milliseconds(), Process: c.o.Name, Peer: true, Loads: loads,
		})
		cancel()
		if err != nil {
			_ = c.o.Timers.Sleep(ctx, peerPollTimeout)
			continue
		}
		if c.o.Timers.Since(requestedAt) <= peerPollTimeout+forwardTimeout {
			// A response that was delayed while this process was paused is discarded,
			// because the ages in it are outdated.
			c.o.Roster.Merge(resp)
			c.o.Roster.MergeLoads(resp.GetLoads())
			since, epoch = resp.GetVersion(), resp.GetEpoch()
		}
		_ = c.o.Timers.Sleep(ctx, peerPollInterval)
	}
}

// leaderClient returns a client for the leader's address.
func (c *Control) leaderClient(address string) wire.Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.leaderClients[address]
	if !ok {
		l = wire.NewControlProtobufClient("http://"+address, c.httpClient)
		c.leaderClients[address] = l
	}
	return l
}
