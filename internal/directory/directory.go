// Package directory is what a control VM does for gateways: it takes the
// announcements of targets, keeps the replicated catalog of routes, and tells
// both to whoever watches.
//
// Targets are soft state, told from process to process. The catalog is committed
// by a majority of the control VMs before it is acknowledged, and a read of it is
// confirmed by a majority after it was asked for, so that no clock is involved.
//
// # Usage
//
//	d := directory.New(directory.Options{Timers: ts, Node: node, Store: store, Table: table, ...})
//	mux.Handle(wire.DirectoryPathPrefix, d.Handler())
//	err := d.StoreCatalog(ctx, version, document)
//	version, document, err := d.ReadCatalog(ctx)
package directory

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// confirmPeriod is how often the newest version is confirmed by a quorum, and
	// confirmBound the age up to which a confirmation is passed on.
	confirmPeriod = 200 * time.Millisecond
	confirmBound  = 600 * time.Millisecond
	// leaderTimeout bounds one call to the leader; an operator's call ends after 1 s.
	leaderTimeout = 700 * time.Millisecond
	// leaderPause is the time before the next try while no leader is known.
	leaderPause = 30 * time.Millisecond
	// maxWatchWait bounds how long a watch is held.
	maxWatchWait = 2 * time.Second
	// heardWindow is the age up to which an announcement is passed on as news;
	// a watcher asks again within half of it.
	heardWindow = 1500 * time.Millisecond
	// watcherAge is the time since its last watch after which a watcher no longer
	// delays the answer to a target that leaves.
	watcherAge = 1500 * time.Millisecond
	// tellTimeout bounds that delay; a target waits 1 s for its answer.
	tellTimeout = 500 * time.Millisecond
	// memberPeriod is how often the leader looks at the members, and replaceAfter
	// the silence after which a member that isn't needed is removed.
	memberPeriod = 250 * time.Millisecond
	replaceAfter = 1500 * time.Millisecond
	// expirePeriod is how often old targets are forgotten.
	expirePeriod = 10 * time.Second
)

// UnconfirmedError reports that no quorum could be asked for the newest catalog.
type UnconfirmedError struct {
	cause error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("the newest catalog can't be determined: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.cause }

// Options holds what a Directory needs; all are required.
type Options struct {
	Timers  *timer.Service
	Node    *replica.Node
	Store   *Store
	Table   *discovery.Table
	Metrics *metrics.Metrics
	// HTTP opens the connections to other control VMs.
	HTTP *http.Client
	// Voters is the number of voters that the losses to be borne require.
	Voters int
	// Collecting returns for how long this VM has collected the pieces of stages.
	CollectorUptime func() time.Duration
}

// confirmation is the newest version that a quorum has confirmed.
type confirmation struct {
	version uint64
	at      time.Duration // of the boot clock, before the quorum was asked
}

// watcher is what a Directory knows of a process that watches.
type watcher struct {
	since uint64
	at    time.Time
}

// Directory serves targets and the catalog. It is safe for concurrent use.
type Directory struct {
	o         Options
	confirmed atomic.Pointer[confirmation]
	mu        sync.Mutex
	watchers  map[string]watcher
	watched   chan struct{} // closed at the next watch
	silent    map[string]time.Time
	// leaderSeen is the leader's address when the members were last looked at.
	leaderSeen string
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	done       chan struct{}
}

// New returns a Directory.
func New(o Options) *Directory {
	ctx, cancel := context.WithCancel(context.Background())
	return &Directory{
		o: o, watchers: map[string]watcher{}, watched: make(chan struct{}), silent: map[string]time.Time{},
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
}

// Start implements kernel.Starter.
func (d *Directory) Start(context.Context) error {
	d.wg.Go(func() { d.o.Timers.Every(d.ctx, confirmPeriod, d.confirm) })
	d.wg.Go(func() { d.o.Timers.Every(d.ctx, memberPeriod, d.maintainMembers) })
	d.wg.Go(func() {
		d.o.Timers.Every(d.ctx, expirePeriod, func(context.Context) { d.o.Table.Expire(d.o.Timers.Now()) })
	})
	return nil
}

// Ready reports whether this VM is sure of the newest catalog, and why not.
func (d *Directory) Ready() (ok bool, why string) {
	if version, _ := d.o.Store.Newest(); !d.isConfirmed(version) {
		return false, "no quorum has confirmed the catalog"
	}
	return true, ""
}

// Stop implements kernel.Stopper. It hands leadership over first, so that the
// other VMs need no election.
func (d *Directory) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if err := d.o.Node.TransferLeadership(ctx); err != nil {
		klog.InfoS("Leadership not handed over", "cause", err.Error())
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

// Announce takes what a target said of itself. It returns once the processes that
// watch were told of a target that leaves, or after tellTimeout.
func (d *Directory) Announce(ctx context.Context, r *wire.RegisteredTarget) {
	if !d.o.Table.Announce(r, d.o.Timers.Now()) {
		return
	}
	klog.InfoS("Target announced", "target", r.GetId(), "service", r.GetService(), "address", r.GetAddress(),
		"state", r.GetState().String(), "born_ms", r.GetBornMs(), "sequence", r.GetSequence())
	if r.GetState() != wire.TargetState_TARGET_STATE_READY {
		d.tell(ctx)
	}
}

// Leave takes the end of a target; see Announce.
func (d *Directory) Leave(ctx context.Context, id string, bornMs int64) {
	if d.o.Table.Leave(id, bornMs, d.o.Timers.Now()) {
		klog.InfoS("Target left", "target", id, "born_ms", bornMs)
	}
	d.tell(ctx)
}

// tell waits until every process that watches has asked for what follows the
// newest change, which it does once it has taken that.
func (d *Directory) tell(ctx context.Context) {
	version := d.o.Table.Version()
	expired := d.o.Timers.After(tellTimeout)
	for {
		d.mu.Lock()
		told := d.allTold(version)
		watched := d.watched
		d.mu.Unlock()
		if told {
			return
		}
		select {
		case <-watched:
		case <-expired:
			klog.InfoS("Watchers not told in time", "version", version)
			return
		case <-ctx.Done():
			return
		}
	}
}

func (d *Directory) allTold(version uint64) bool {
	now := d.o.Timers.Now()
	for name, w := range d.watchers {
		if now.Sub(w.at) > watcherAge {
			delete(d.watchers, name)
			continue
		}
		if w.since < version {
			return false
		}
	}
	return true
}

// StoreCatalog commits a checked catalog. It returns nil once a quorum holds a
// catalog with this version or a higher one; otherwise the change may or may not
// take effect later.
func (d *Directory) StoreCatalog(ctx context.Context, version uint64, document []byte) error {
	began := d.o.Timers.Now()
	err := d.storeCatalog(ctx, version, document)
	klog.InfoS("Catalog ordered", "version", version, "bytes", len(document), "took_ms", d.o.Timers.Since(began).Milliseconds(), "acknowledged", err == nil)
	return err
}

func (d *Directory) storeCatalog(ctx context.Context, version uint64, document []byte) error {
	cmd := &wire.StoreCatalogCommand{Version: version, Document: document}
	for {
		if held, _ := d.o.Store.Newest(); held >= version {
			return nil
		}
		_, err := d.storeAtLeader(ctx, cmd)
		if err == nil {
			return nil
		}
		if sleepErr := d.o.Timers.Sleep(ctx, leaderPause); sleepErr != nil {
			return &UnconfirmedError{cause: err}
		}
	}
}

func (d *Directory) storeAtLeader(ctx context.Context, cmd *wire.StoreCatalogCommand) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if client := d.leader(); client != nil {
		resp, err := client.StoreCatalog(ctx, &wire.StoreCatalogRequest{Command: cmd})
		return resp.GetVersion(), err
	}
	return d.propose(ctx, cmd)
}

// propose commits a command at this replica, which fails unless it leads.
func (d *Directory) propose(ctx context.Context, cmd *wire.StoreCatalogCommand) (uint64, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return 0, errors.Wrap(err, "encode command")
	}
	result, err := d.o.Node.Propose(ctx, data)
	if err != nil {
		return 0, err
	}
	held, ok := result.(uint64)
	if !ok {
		return 0, errors.Errorf("the store answered %v", result)
	}
	klog.InfoS("Catalog committed", "version", cmd.GetVersion(), "held", held, "bytes", len(cmd.GetDocument()))
	return held, nil
}

// leader returns a client for another VM that leads, or nil when this one leads
// or none is known.
func (d *Directory) leader() wire.Directory {
	s := d.o.Node.Status()
	if s.Role == replica.Leader || s.LeaderAddress == "" {
		return nil
	}
	return wire.NewDirectoryProtobufClient("http://"+s.LeaderAddress, d.o.HTTP)
}

// ReadCatalog returns the newest catalog after a quorum has confirmed it. The
// error is an *UnsureError. The version is 0 when there is none.
func (d *Directory) ReadCatalog(ctx context.Context) (version uint64, document []byte, err error) {
	for {
		r, err := d.readAtLeader(ctx)
		if err == nil {
			return r.GetVersion(), r.GetDocument(), nil
		}
		if sleepErr := d.o.Timers.Sleep(ctx, leaderPause); sleepErr != nil {
			return 0, nil, &UnconfirmedError{cause: err}
		}
	}
}

func (d *Directory) readAtLeader(ctx context.Context) (*wire.ReadCatalogResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	held, document := d.o.Store.Newest()
	client := d.leader()
	if client == nil {
		if err := d.o.Node.Barrier(ctx); err != nil {
			return nil, err
		}
		held, document = d.o.Store.Newest()
		return &wire.ReadCatalogResponse{Version: held, Document: document}, nil
	}
	r, err := client.ReadCatalog(ctx, &wire.ReadCatalogRequest{KnownVersion: held})
	if err != nil {
		return nil, err
	}
	if r.GetVersion() == held {
		r.Document = document
	}
	return r, nil
}

// confirm asks a quorum for the newest version.
func (d *Directory) confirm(ctx context.Context) {
	began := timer.SinceBoot()
	r, err := d.readAtLeader(ctx)
	if err != nil {
		return // nothing is confirmed; Watch says so by the age of the last confirmation
	}
	d.confirmed.Store(&confirmation{version: r.GetVersion(), at: began})
}

// isConfirmed says whether the version held here was the newest one a short time ago.
func (d *Directory) isConfirmed(held uint64) bool {
	last := d.confirmed.Load()
	return last != nil && held >= last.version && timer.SinceBoot()-last.at <= confirmBound
}

// maintainMembers removes members that are silent and not needed: a voter that was
// replaced by another VM, or a learner that never caught up.
func (d *Directory) maintainMembers(ctx context.Context) {
	s := d.o.Node.Status()
	if s.LeaderAddress != d.leaderSeen {
		klog.InfoS("Leader changed", "leader", s.LeaderAddress, "before", d.leaderSeen, "term", s.Term, "role", s.Role.String(), "members", len(s.Members))
		d.leaderSeen = s.LeaderAddress
	}
	if s.Role != replica.Leader {
		clear(d.silent)
		return
	}
	now := d.o.Timers.Now()
	voters := 0
	for _, m := range s.Members {
		if !m.Member.GetLearner() {
			voters++
		}
		if m.Active {
			delete(d.silent, m.Member.GetId())
		} else if _, ok := d.silent[m.Member.GetId()]; !ok {
			d.silent[m.Member.GetId()] = now
		}
	}
	for _, m := range s.Members {
		since, silent := d.silent[m.Member.GetId()]
		if !silent || now.Sub(since) < replaceAfter || !m.Member.GetLearner() && voters <= d.o.Voters {
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
	s.d.noteWatcher(r)
	wait := s.d.o.Timers.After(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWatchWait))
	for {
		tableChanged, catalogChanged := s.d.o.Table.Changed(), s.d.o.Store.Changed()
		w := s.d.answer(r)
		if w.GetFull() || len(w.GetTargets()) > 0 || len(w.GetCatalog()) > 0 {
			return w, nil
		}
		select {
		case <-tableChanged:
		case <-catalogChanged:
		case <-wait:
			return s.d.answer(r), nil
		case <-s.d.ctx.Done():
			return nil, twirp.NewError(twirp.Unavailable, "this control VM is stopping")
		case <-ctx.Done():
			return nil, twirp.WrapError(twirp.NewError(twirp.Canceled, "watch ended"), ctx.Err())
		}
	}
}

func (d *Directory) noteWatcher(r *wire.WatchRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := r.GetSince()
	if r.GetEpoch() == "" {
		since = 0
	}
	d.watchers[r.GetProcess()] = watcher{since: since, at: d.o.Timers.Now()}
	close(d.watched)
	d.watched = make(chan struct{})
}

// answer returns what a watcher doesn't know yet.
func (d *Directory) answer(r *wire.WatchRequest) *wire.WatchResponse {
	w := d.o.Table.ChangesSince(r.GetEpoch(), r.GetSince(), heardWindow, d.o.Timers.Now())
	for _, m := range d.o.Node.Status().Members {
		w.Control = append(w.Control, m.Member.GetAddress())
	}
	if r.GetPeer() {
		return w
	}
	version, document := d.o.Store.Newest()
	w.CatalogVersion = version
	if d.o.CollectorUptime != nil {
		w.CollectingMs = uint32(d.o.CollectorUptime().Milliseconds())
	}
	w.Confirmed = d.isConfirmed(version)
	if version > r.GetCatalogVersion() {
		w.Catalog = document
	}
	return w
}

// StoreCatalog implements wire.Directory.
func (s *service) StoreCatalog(ctx context.Context, r *wire.StoreCatalogRequest) (*wire.StoreCatalogResponse, error) {
	held, err := s.d.propose(ctx, r.GetCommand())
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	return &wire.StoreCatalogResponse{Version: held}, nil
}

// ReadCatalog implements wire.Directory.
func (s *service) ReadCatalog(ctx context.Context, r *wire.ReadCatalogRequest) (*wire.ReadCatalogResponse, error) {
	if err := s.d.o.Node.Barrier(ctx); err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	version, document := s.d.o.Store.Newest()
	resp := &wire.ReadCatalogResponse{Version: version}
	if version > r.GetKnownVersion() {
		resp.Document = document
	}
	return resp, nil
}
