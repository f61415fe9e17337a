// Package directory implements the role of a control VM for gateways: it receives the
// announcements of targets, stores the replicated catalog of routes and the evacuated failure
// domains, and distributes all of them to watchers.
//
// Targets are soft state that processes exchange. The catalog and the orders on failure domains are
// committed by a majority of the control VMs before they are acknowledged, and each read of the
// catalog is confirmed by a majority after the read started, so that no clock is involved.
//
// # Usage
//
//	d := directory.New(directory.Options{Timers: ts, Node: node, Store: store, Table: table, ...})
//	mux.Handle(wire.DirectoryPathPrefix, d.Handler())
//	err := d.StoreCatalog(ctx, version, document)
//	version, document, err := d.ReadCatalog(ctx)
//	err := d.Evacuate(ctx, "milford", true)
package directory

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/quarantine"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/speed"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/warmup"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// confirmInterval is the interval at which a quorum confirms the newest version, and
	// maxConfirmationAge the age up to which a confirmation is passed on.
	confirmInterval    = 200 * time.Millisecond
	maxConfirmationAge = 600 * time.Millisecond
	// leaderTimeout limits one call to the leader; an operator's call ends after 1 s.
	leaderTimeout = 700 * time.Millisecond
	// leaderRetryDelay is the delay between attempts while no leader is known.
	leaderRetryDelay = 30 * time.Millisecond
	// maxWatchWait limits how long a watch is held open.
	maxWatchWait = 2 * time.Second
	// changeDelay is how long changes of targets that become ready are collected for a
	// watcher. At a restart of a deployment thousands come within a second.
	changeDelay = 100 * time.Millisecond
	// watcherTimeout is how long a watcher counts as active after its last watch. A target
	// that is draining or gone gets its response once all active watchers are notified.
	watcherTimeout = 1500 * time.Millisecond
	// notifyTimeout limits the wait for the watchers; a target waits 1 s for its response.
	notifyTimeout = 500 * time.Millisecond
	// countDelay is the time after its start in which a control VM gets a watch from every
	// gateway. Until then it doesn't say how many there are.
	countDelay = 2 * time.Second
	// membersCacheTime is how long a list of the gateways is used.
	membersCacheTime = 100 * time.Millisecond
	// recordTimeout limits the wait for the record of a target that leaves. A VM that has
	// restarted gets the records from the others within two round trips.
	recordTimeout = 300 * time.Millisecond
	// memberCheckInterval is the interval at which the leader checks the members, and
	// replaceTimeout the time without activity after which a member that isn't needed is
	// removed.
	memberCheckInterval = 250 * time.Millisecond
	replaceTimeout      = 1500 * time.Millisecond
	// speedInterval is the interval at which the speeds of targets are estimated.
	speedInterval = 500 * time.Millisecond
	// expireInterval is the interval at which old targets are removed.
	expireInterval = 10 * time.Second
)

// UnconfirmedError reports that no quorum confirmed the newest catalog.
type UnconfirmedError struct {
	cause error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("no quorum confirmed the newest catalog: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.cause }

// Options configures a Directory. All fields except CollectorUptime are required.
type Options struct {
	Timers  *timer.Service
	Node    *replica.Node
	Store   *Store
	Table   *discovery.Table
	Metrics *metrics.Metrics
	// HTTP is the client for connections to other control VMs.
	HTTP *http.Client
	// Voters is the number of voters required by the configured fault tolerance.
	Voters int
	// CollectorUptime returns how long this VM has been collecting the pieces of stages.
	CollectorUptime func() time.Duration
	// Quarantine holds the parts of prompts that crash engines.
	Quarantine *quarantine.Register
	// Limits holds the limits that targets name.
	Limits *pacing.Register
	// Warmups holds the ramps of targets.
	Warmups *warmup.Register
	// Speeds holds the speeds of targets.
	Speeds *speed.Register
	// Origins holds the software versions that began streams.
	Origins *origin.Register
}

// confirmation holds the newest versions confirmed by a quorum.
type confirmation struct {
	versions
	requestedAt time.Duration // boot clock, before the quorum was asked
}

// isRecent reports whether the confirmation may be passed on.
func (c *confirmation) isRecent() bool {
	return timer.SinceBoot()-c.requestedAt <= maxConfirmationAge
}

// watcher is the state of a watching process.
type watcher struct {
	since     uint64
	lastWatch time.Time
	gatewayID uint64 // 0 for a control VM
}

// memberCache is a list of the gateways that watch this VM.
type memberCache struct {
	ids    []uint64 // sorted
	digest uint64   // 0 if there are none
	at     time.Time
}

// Directory serves targets and the catalog. It is safe for concurrent use.
type Directory struct {
	o             Options
	confirmed     atomic.Pointer[confirmation]
	everConfirmed atomic.Bool
	knownRevision atomic.Uint64 // highest revision of the evacuations that the leader has named
	mu            sync.Mutex
	domains       []string // failure domains that the settings name
	watchers      map[string]watcher
	members       memberCache
	watchReceived chan struct{} // closed at the next watch
	confirmations chan struct{} // closed when the stored versions become confirmed
	inactiveSince map[string]time.Time
	versionSeen   map[softwareVersion]time.Time // by the leader: when a version last had a target
	onlySince     map[softwareVersion]time.Time // by the leader: when a version became the only one
	additions     singleflight.Group            // of software versions
	patches       patchCache
	// lastLeader is the leader's address at the last member check.
	lastLeader string
	startedAt  time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	done       chan struct{}
}

// New returns a Directory.
func New(o Options) *Directory {
	ctx, cancel := context.WithCancel(context.Background())
	return &Directory{
		o: o, watchers: map[string]watcher{}, watchReceived: make(chan struct{}), confirmations: make(chan struct{}), inactiveSince: map[string]time.Time{},
		startedAt: o.Timers.Now(), ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
}

// Start implements kernel.Starter.
func (d *Directory) Start(context.Context) error {
	d.wg.Go(d.keepConfirmed)
	d.wg.Go(func() { d.o.Timers.Every(d.ctx, memberCheckInterval, d.maintainMembers) })
	d.wg.Go(func() {
		d.o.Timers.Every(d.ctx, expireInterval, func(context.Context) {
			d.o.Table.Expire(d.o.Timers.Now())
			d.o.Warmups.Expire(d.o.Timers.Now())
			d.o.Speeds.Keep(d.isCurrent)
		})
	})
	d.wg.Go(d.syncOrigins)
	d.wg.Go(func() { d.o.Timers.Every(d.ctx, versionInterval, d.removeVersions) })
	d.wg.Go(func() {
		d.o.Timers.Every(d.ctx, speedInterval, func(context.Context) { d.o.Speeds.Tick(d.o.Timers.Now()) })
	})
	return nil
}

// isCurrent reports whether an incarnation of a target hasn't ended.
func (d *Directory) isCurrent(target string, bornMs int64) bool {
	r, ok := d.o.Table.Target(target)
	return ok && r.GetBornMs() == bornMs
}

// Ready reports whether a quorum has confirmed this VM's catalog as the newest one, and the
// reason if not.
func (d *Directory) Ready() (ok bool, reason string) {
	if failure := d.o.Node.Status().StorageFailure; failure != "" {
		return false, failure
	}
	if !d.isConfirmed(d.o.Store.versions()) {
		return false, "no quorum has confirmed the catalog"
	}
	return true, ""
}

// Stop implements kernel.Stopper. It transfers leadership first, so that the other VMs need
// no election.
func (d *Directory) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if err := d.o.Node.TransferLeadership(ctx); err != nil {
		klog.InfoS("Leadership transfer failed", "cause", err.Error())
	}
	d.cancel()
	d.wg.Wait()
	close(d.done)
	return nil
}

// Done implements kernel.Stopper.
func (d *Directory) Done() <-chan struct{} { return d.done }

// Handler returns the twirp server for gateways and other control VMs.
func (d *Directory) Handler() http.Handler { return wire.NewDirectoryServer(&service{d: d}) }

// Announce processes the announcement of a target. If the target is draining or gone,
// Announce returns after all watchers were notified, or after notifyTimeout.
func (d *Directory) Announce(ctx context.Context, r *wire.RegisteredTarget) {
	if !d.o.Table.Announce(r, d.o.Timers.Now()) {
		return
	}
	klog.InfoS("Target announced", "target", r.GetId(), "service", r.GetService(), "address", r.GetAddress(),
		"software", r.GetSoftware(), "state", r.GetState().String(), "born_ms", r.GetBornMs(), "sequence", r.GetSequence())
	if r.GetState() != wire.TargetState_TARGET_STATE_READY {
		d.notifyWatchers(ctx)
	}
}

// Leave marks a target as gone and notifies the watchers like Announce. If the call doesn't
// name the incarnation, Leave waits until this VM knows the target: the record of an unnamed
// end would be replaced by the one of the target as soon as another VM sends it.
func (d *Directory) Leave(ctx context.Context, id string, bornMs int64) {
	if bornMs == 0 {
		d.awaitRecord(ctx, id)
	}
	if d.o.Table.Leave(id, bornMs, d.o.Timers.Now()) {
		klog.InfoS("Target left", "target", id, "born_ms", bornMs)
	}
	d.notifyWatchers(ctx)
}

// awaitRecord waits until the table has a record of a target, or for recordTimeout.
func (d *Directory) awaitRecord(ctx context.Context, id string) {
	expired := d.o.Timers.After(recordTimeout)
	for {
		changed := d.o.Table.Changed()
		if d.o.Table.Knows(id) {
			return
		}
		select {
		case <-changed:
		case <-expired:
			klog.InfoS("Target leaves that this VM doesn't know", "target", id)
			return
		case <-ctx.Done():
			return
		}
	}
}

// notifyWatchers waits until every watcher has requested the changes after the newest one,
// which it does once it has processed that one.
func (d *Directory) notifyWatchers(ctx context.Context) {
	version := d.o.Table.Version()
	expired := d.o.Timers.After(notifyTimeout)
	for {
		d.mu.Lock()
		notified := d.allNotified(version)
		watched := d.watchReceived
		d.mu.Unlock()
		if notified {
			return
		}
		select {
		case <-watched:
		case <-expired:
			klog.InfoS("Watchers not notified in time", "version", version)
			return
		case <-ctx.Done():
			return
		}
	}
}

func (d *Directory) allNotified(version uint64) bool {
	now := d.o.Timers.Now()
	for name, w := range d.watchers {
		if now.Sub(w.lastWatch) > watcherTimeout {
			delete(d.watchers, name)
			continue
		}
		if w.since < version {
			return false
		}
	}
	return true
}

// StoreCatalog commits a validated catalog. It returns nil once a quorum stores a catalog
// with this version or a higher one. After an error the change may still become active
// later.
func (d *Directory) StoreCatalog(ctx context.Context, version uint64, document []byte) error {
	startedAt := d.o.Timers.Now()
	err := d.storeCatalog(ctx, version, document)
	klog.InfoS("Catalog change processed", "version", version, "bytes", len(document), "took_ms", d.o.Timers.Since(startedAt).Milliseconds(), "acknowledged", err == nil)
	return err
}

func (d *Directory) storeCatalog(ctx context.Context, version uint64, document []byte) error {
	cmd := &wire.StoreCatalogCommand{Version: version, Document: document}
	for {
		if stored, _ := d.o.Store.Newest(); stored >= version {
			return nil
		}
		_, err := d.storeAtLeader(ctx, cmd)
		if err == nil {
			return nil
		}
		if sleepErr := d.o.Timers.Sleep(ctx, leaderRetryDelay); sleepErr != nil {
			return &UnconfirmedError{cause: err}
		}
	}
}

func (d *Directory) storeAtLeader(ctx context.Context, cmd *wire.StoreCatalogCommand) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if client := d.leaderClient(); client != nil {
		resp, err := client.StoreCatalog(ctx, &wire.StoreCatalogRequest{Command: cmd})
		return resp.GetVersion(), err
	}
	return d.propose(ctx, cmd)
}

// propose commits a command on this replica. It fails unless this replica is the leader.
func (d *Directory) propose(ctx context.Context, cmd *wire.StoreCatalogCommand) (uint64, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return 0, errors.Wrap(err, "encode command")
	}
	result, err := d.o.Node.Propose(ctx, data)
	if err != nil {
		return 0, err
	}
	stored, ok := result.(uint64)
	if !ok {
		return 0, errors.Errorf("unexpected store result %v", result)
	}
	klog.InfoS("Catalog committed", "version", cmd.GetVersion(), "held", stored, "bytes", len(cmd.GetDocument()))
	return stored, nil
}

// leaderClient returns a client for the leader, or nil if this VM is the leader or no
// leader is known.
func (d *Directory) leaderClient() wire.Directory {
	s := d.o.Node.Status()
	if s.Role == replica.Leader || s.LeaderAddress == "" {
		return nil
	}
	return wire.NewDirectoryProtobufClient("http://"+s.LeaderAddress, d.o.HTTP)
}

// ReadCatalog returns the newest catalog after a quorum has confirmed it. The error is an
// *UnconfirmedError. The version is 0 if there is no catalog.
func (d *Directory) ReadCatalog(ctx context.Context) (version uint64, document []byte, err error) {
	for {
		r, err := d.readAtLeader(ctx)
		if err == nil {
			return r.GetVersion(), r.GetDocument(), nil
		}
		if sleepErr := d.o.Timers.Sleep(ctx, leaderRetryDelay); sleepErr != nil {
			return 0, nil, &UnconfirmedError{cause: err}
		}
	}
}

func (d *Directory) readAtLeader(ctx context.Context) (*wire.ReadCatalogResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	stored, document := d.o.Store.Newest()
	client := d.leaderClient()
	if client == nil {
		if err := d.o.Node.Barrier(ctx); err != nil {
			return nil, err
		}
		c := d.o.Store.contents()
		return &wire.ReadCatalogResponse{Version: c.catalog, Document: c.document, EvacuationRevision: c.evacuations, SoftwareRevision: c.software}, nil
	}
	r, err := client.ReadCatalog(ctx, &wire.ReadCatalogRequest{KnownVersion: stored})
	if err != nil {
		return nil, err
	}
	d.learnRevision(r.GetEvacuationRevision())
	if r.GetVersion() == stored {
		r.Document = document
	}
	return r, nil
}

// keepConfirmed renews the confirmation until the Directory stops. Without one it asks more
// often: after an outage gateways wait for it.
func (d *Directory) keepConfirmed() {
	for {
		d.confirm(d.ctx)
		interval := confirmInterval
		if !d.isConfirmed(d.o.Store.versions()) {
			interval = leaderRetryDelay
		}
		if err := d.o.Timers.Sleep(d.ctx, interval); err != nil {
			return
		}
	}
}

// confirm requests the newest versions, confirmed by a quorum.
func (d *Directory) confirm(ctx context.Context) {
	startedAt := timer.SinceBoot()
	r, err := d.readAtLeader(ctx)
	if err != nil {
		return // Watch reports the missing confirmation by the age of the last one.
	}
	stored := d.o.Store.versions()
	before := d.isConfirmed(stored)
	d.confirmed.Store(&confirmation{versions: versions{catalog: r.GetVersion(), evacuations: r.GetEvacuationRevision(), software: r.GetSoftwareRevision()}, requestedAt: startedAt})
	if !d.isConfirmed(stored) {
		return
	}
	d.everConfirmed.Store(true)
	if !before {
		d.mu.Lock()
		defer d.mu.Unlock()
		close(d.confirmations)
		d.confirmations = make(chan struct{})
	}
}

// nextConfirmation returns a channel that is closed when the stored versions become
// confirmed.
func (d *Directory) nextConfirmation() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmations
}

// isConfirmed reports whether a recent confirmation shows the stored versions as the newest
// ones.
func (d *Directory) isConfirmed(stored versions) bool {
	last := d.confirmed.Load()
	return last != nil && stored.atLeast(last.versions) && last.isRecent()
}

// maintainMembers removes inactive members that aren't needed: voters that were replaced by
// another VM, and learners that never caught up.
func (d *Directory) maintainMembers(ctx context.Context) {
	s := d.o.Node.Status()
	failing := 0.0
	if s.StorageFailure != "" {
		failing = 1
	}
	d.o.Metrics.Gauge("journal_failing", failing)
	d.o.Metrics.Gauge("replica_log_bytes", float64(s.LogBytes))
	if s.LeaderAddress != d.lastLeader {
		klog.InfoS("Leader changed", "leader", s.LeaderAddress, "before", d.lastLeader, "term", s.Term, "role", s.Role.String(), "members", len(s.Members))
		d.lastLeader = s.LeaderAddress
	}
	if s.Role != replica.Leader {
		clear(d.inactiveSince)
		return
	}
	now := d.o.Timers.Now()
	voters := 0
	for _, m := range s.Members {
		if !m.Member.GetLearner() {
			voters++
		}
		if m.Active {
			delete(d.inactiveSince, m.Member.GetId())
		} else if _, ok := d.inactiveSince[m.Member.GetId()]; !ok {
			d.inactiveSince[m.Member.GetId()] = now
		}
	}
	for _, m := range s.Members {
		since, silent := d.inactiveSince[m.Member.GetId()]
		if !silent || now.Sub(since) < replaceTimeout || !m.Member.GetLearner() && voters <= d.o.Voters {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
		err := d.o.Node.RemoveMember(ctx, m.Member.GetId())
		cancel()
		klog.InfoS("Silent member removed", "member", m.Member.GetId(), "address", m.Member.GetAddress(), "voters", voters, "silent_ms", now.Sub(since).Milliseconds(), "error", fmt.Sprint(err))
		return
	}
}

// service is the twirp service of a Directory.
type service struct {
	d *Directory
}

// Watch implements wire.Directory.
func (s *service) Watch(ctx context.Context, r *wire.WatchRequest) (*wire.WatchResponse, error) {
	s.d.recordWatcher(r)
	s.d.o.Quarantine.Merge(discovery.DecodeParts(r.GetParts(), s.d.o.Timers.Now()), s.d.o.Timers.Now())
	s.d.o.Table.MergeLeavers(r.GetLeaving(), s.d.o.Timers.Now())
	s.d.o.Limits.Merge(discovery.DecodeLimits(r.GetLimits(), s.d.o.Timers.Now()), s.d.o.Timers.Now())
	s.d.o.Warmups.MergeObserved(r.GetProcess(), discovery.DecodeRamps(r.GetRamps(), s.d.o.Timers.Now()), s.d.o.Timers.Now())
	s.d.o.Speeds.MergeSums(r.GetProcess(), discovery.DecodeSpeedSums(r.GetSpeedSums()), s.d.o.Timers.Now())
	wait := s.d.o.Timers.After(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWatchWait))
	var collected <-chan time.Time // set once there are changes to send
	for {
		partsChanged, limitsChanged, rampsChanged, speedsChanged := s.d.o.Quarantine.Changed(), s.d.o.Limits.Changed(), s.d.o.Warmups.Changed(), s.d.o.Speeds.Changed()
		tableChanged, leaving, storeChanged, confirmed := s.d.o.Table.Changed(), s.d.o.Table.Leaving(), s.d.o.Store.Changed(), s.d.nextConfirmation()
		switch w := s.d.o.Table.ChangesSince(r.GetEpoch(), r.GetSince(), s.d.o.Timers.Now()); {
		case w.GetFull() || s.d.hasCatalogFor(r) || s.d.hasEvacuationsFor(r) || slices.ContainsFunc(w.GetTargets(), isLeaving):
			return s.d.response(r), nil
		case (len(w.GetTargets()) > 0 || s.d.hasPartsFor(r) || s.d.hasLimitsFor(r) || s.d.hasRampsFor(r) || s.d.hasSpeedsFor(r)) && collected == nil:
			collected = s.d.o.Timers.After(changeDelay)
		}
		if collected != nil {
			tableChanged, partsChanged, limitsChanged, rampsChanged, speedsChanged = nil, nil, nil, nil, nil
		}
		select {
		case <-tableChanged:
		case <-leaving:
		case <-partsChanged:
		case <-limitsChanged:
		case <-rampsChanged:
		case <-speedsChanged:
		case <-storeChanged:
		case <-collected:
			return s.d.response(r), nil
		case <-confirmed:
			// A process that starts uses its first catalog only once it is confirmed.
			return s.d.response(r), nil
		case <-wait:
			return s.d.response(r), nil
		case <-s.d.ctx.Done():
			return nil, twirp.NewError(twirp.Unavailable, "this control VM is stopping")
		case <-ctx.Done():
			return nil, twirp.WrapError(twirp.NewError(twirp.Canceled, "watch ended"), ctx.Err())
		}
	}
}

func isLeaving(t *wire.RegisteredTarget) bool {
	return t.GetState() != wire.TargetState_TARGET_STATE_READY
}

// hasCatalogFor reports whether there is a newer catalog than a watcher has, of which it has not been
// notified.
func (d *Directory) hasCatalogFor(r *wire.WatchRequest) bool {
	version, _ := d.o.Store.Newest()
	switch {
	case r.GetPeer() || version <= r.GetCatalogVersion():
		return false
	case r.GetWithoutCatalog():
		return r.NotifiedCatalogVersion != nil && version > r.GetNotifiedCatalogVersion()
	}
	return true
}

// hasPartsFor reports whether parts of prompts have changed since a gateway's last watch.
func (d *Directory) hasPartsFor(r *wire.WatchRequest) bool {
	if r.GetPeer() || r.PartsSince == nil {
		return false
	}
	return d.o.Quarantine.Version() > d.partsSince(r)
}

// hasLimitsFor reports whether limits of targets have changed since a gateway's last watch.
func (d *Directory) hasLimitsFor(r *wire.WatchRequest) bool {
	if r.GetPeer() || r.LimitsSince == nil {
		return false
	}
	return d.o.Limits.Version() > d.limitsSince(r)
}

// hasRampsFor reports whether ramps of targets have changed since a gateway's last watch.
func (d *Directory) hasRampsFor(r *wire.WatchRequest) bool {
	if r.GetPeer() || r.RampsSince == nil {
		return false
	}
	return d.o.Warmups.Version() > d.rampsSince(r)
}

// rampsSince returns the version of the ramps that a watcher has; 0 if it has those of an earlier
// process of this VM.
func (d *Directory) rampsSince(r *wire.WatchRequest) uint64 {
	if r.GetEpoch() != d.o.Table.Epoch() {
		return 0
	}
	return r.GetRampsSince()
}

// hasSpeedsFor reports whether speeds of targets have changed since a gateway's last watch.
func (d *Directory) hasSpeedsFor(r *wire.WatchRequest) bool {
	if r.GetPeer() || r.SpeedsSince == nil {
		return false
	}
	return d.o.Speeds.Version() > d.speedsSince(r)
}

// speedsSince returns the version of the speeds that a watcher has; 0 if it has those of an earlier
// process of this VM.
func (d *Directory) speedsSince(r *wire.WatchRequest) uint64 {
	if r.GetEpoch() != d.o.Table.Epoch() {
		return 0
	}
	return r.GetSpeedsSince()
}

// limitsSince returns the version of the limits that a watcher has; 0 if it has those of an
// earlier process of this VM.
func (d *Directory) limitsSince(r *wire.WatchRequest) uint64 {
	if r.GetEpoch() != d.o.Table.Epoch() {
		return 0
	}
	return r.GetLimitsSince()
}

// partsSince returns the version of the parts that a watcher has; 0 if it has those of an
// earlier process of this VM.
func (d *Directory) partsSince(r *wire.WatchRequest) uint64 {
	if r.GetEpoch() != d.o.Table.Epoch() {
		return 0
	}
	return r.GetPartsSince()
}

func (d *Directory) recordWatcher(r *wire.WatchRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := watcher{since: r.GetSince(), lastWatch: d.o.Timers.Now()}
	if r.GetEpoch() == "" {
		w.since = 0
	}
	if !r.GetPeer() {
		w.gatewayID = pacing.MemberID(r.GetProcess())
	}
	d.watchers[r.GetProcess()] = w
	close(d.watchReceived)
	d.watchReceived = make(chan struct{})
}

// gateways returns the gateways that watch this VM. There are none if it has just started and
// doesn't know all of them.
func (d *Directory) gateways() memberCache {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Timers.Now()
	if now.Sub(d.startedAt) < countDelay {
		return memberCache{}
	}
	if !d.members.at.IsZero() && now.Sub(d.members.at) < membersCacheTime {
		return d.members
	}
	d.members = memberCache{at: now}
	for _, w := range d.watchers {
		if w.gatewayID != 0 && now.Sub(w.lastWatch) <= watcherTimeout {
			d.members.ids = append(d.members.ids, w.gatewayID)
		}
	}
	slices.Sort(d.members.ids)
	d.members.digest = digest(d.members.ids)
	return d.members
}

// digest identifies a list of gateways; 0 if it is empty.
func digest(ids []uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, id := range ids {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, id))
	}
	return max(d.Sum64(), 1)
}

// response returns the changes that a watcher doesn't have yet.
func (d *Directory) response(r *wire.WatchRequest) *wire.WatchResponse {
	w := d.o.Table.ChangesSince(r.GetEpoch(), r.GetSince(), d.o.Timers.Now())
	d.o.Table.AddHeard(w, r.GetHeardFormat(), d.o.Timers.Now())
	for _, m := range d.o.Node.Status().Members {
		w.Control = append(w.Control, m.Member.GetAddress())
	}
	if r.GetPeer() {
		return w
	}
	records, partsVersion := d.o.Quarantine.ChangesSince(d.partsSince(r))
	w.Parts, w.PartsVersion = discovery.EncodeParts(records, d.o.Timers.Now()), partsVersion
	statements, limitsVersion := d.o.Limits.ChangesSince(d.limitsSince(r))
	w.Limits, w.LimitsVersion = discovery.EncodeLimits(statements, d.o.Timers.Now()), limitsVersion
	states, rampsVersion := d.o.Warmups.ChangesSince(d.rampsSince(r))
	w.Ramps, w.RampsVersion = discovery.EncodeRamps(states, d.o.Timers.Now()), rampsVersion
	if r.SpeedsSince != nil {
		values, speedsVersion := d.o.Speeds.ChangesSince(d.speedsSince(r))
		w.Speeds, w.SpeedsVersion = discovery.EncodeSpeeds(values), speedsVersion
	}
	stored := d.o.Store.contents()
	w.CatalogVersion, w.EvacuationRevision = stored.catalog, stored.evacuations
	if d.o.CollectorUptime != nil {
		w.CollectingMs = uint32(d.o.CollectorUptime().Milliseconds())
	}
	w.Confirmed = d.isConfirmed(stored.versions)
	if w.Confirmed {
		m := d.gateways()
		w.Gateways, w.GatewaysDigest = uint32(len(m.ids)), m.digest
		if m.digest != r.GetGatewaysDigest() {
			w.GatewayIds = m.ids
		}
	}
	if stored.catalog > r.GetCatalogVersion() && !r.GetWithoutCatalog() {
		w.Catalog = stored.document
	}
	if stored.evacuations > r.GetEvacuationRevision() {
		w.EvacuatedDomains = stored.domains
	}
	return w
}

// StoreCatalog implements wire.Directory.
func (s *service) StoreCatalog(ctx context.Context, r *wire.StoreCatalogRequest) (*wire.StoreCatalogResponse, error) {
	stored, err := s.d.propose(ctx, r.GetCommand())
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	return &wire.StoreCatalogResponse{Version: stored}, nil
}

// ReadCatalog implements wire.Directory.
func (s *service) ReadCatalog(ctx context.Context, r *wire.ReadCatalogRequest) (*wire.ReadCatalogResponse, error) {
	if err := s.d.o.Node.Barrier(ctx); err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	stored := s.d.o.Store.contents()
	resp := &wire.ReadCatalogResponse{Version: stored.catalog, EvacuationRevision: stored.evacuations, SoftwareRevision: stored.software}
	if stored.catalog > r.GetKnownVersion() {
		resp.Document = stored.document
	}
	return resp, nil
}
