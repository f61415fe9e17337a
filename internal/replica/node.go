// Package replica implements a log that is replicated to a majority of the control
// VMs, using the Raft algorithm.
//
// Core implements the algorithm as a deterministic step function. Node runs a Core:
// it generates the ticks, saves to the journal, sends messages, and applies committed
// entries to a state machine. Journal writes run in a separate goroutine, so that
// proposals that arrive during a sync share the next one.
//
// # Usage
//
//	n, err := replica.NewNode(replica.NodeOptions{
//		Timer: ts, Journal: j, Transport: t, HelloClient: t, StateMachine: ledger,
//		Address: "10.0.0.1:7001", Peers: peers, FailureDomain: "milford", Seed: seed,
//	})
//	if err := n.Start(ctx); err != nil {
//		return err
//	}
//	defer n.Stop(stopCtx)
//	result, err := n.Propose(ctx, data)
//	if err := n.Barrier(ctx); err == nil {
//		// reads of the state machine are now up to date
//	}
package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// TickPeriod is the interval between ticks.
	TickPeriod = 50 * time.Millisecond
	// defaultSnapshotEntries limits the entries replayed at a restart.
	defaultSnapshotEntries = 10_000
	// defaultSnapshotBytes limits the bytes replayed at a restart. Entries of
	// ordinary size reach 10,000 entries first; full manifests don't.
	defaultSnapshotBytes = 64 << 20
	// maxQueuedEvents limits the messages queued for the step loop. Further messages
	// are dropped, as by a network.
	maxQueuedEvents = 1 << 16
)

// StateMachine receives the committed commands. Its methods are called from one
// goroutine at a time.
type StateMachine interface {
	// Apply executes a command and returns its result. It is called in log order, once
	// for each index.
	Apply(index uint64, data []byte) any
	// BeginSnapshot returns a function that encodes the state after the last Apply.
	// The function is called in a separate goroutine, concurrently with Apply.
	BeginSnapshot() (encode func() ([]byte, error))
	// Restore replaces the state with a snapshot that was taken at an index.
	Restore(index uint64, data []byte) error
}

// Transport sends messages to other members.
type Transport interface {
	// Send must not block and may drop the envelope.
	Send(address string, e *wire.Envelope)
}

// HelloClient requests the identity of another control VM.
type HelloClient interface {
	Hello(ctx context.Context, address string, r *wire.HelloRequest) (*wire.HelloResponse, error)
}

// Journal stores batches durably. It is implemented by *journal.Journal.
type Journal interface {
	Contents() journal.Contents
	Save(batches []journal.Batch) error
}

// NodeOptions configures a Node.
type NodeOptions struct {
	Timer        *timer.Service
	Journal      Journal
	Transport    Transport
	HelloClient  HelloClient
	StateMachine StateMachine
	// Address is the address of this VM. Peers lists the addresses of the control VMs
	// including this one, in the same order on each VM; the first one forms the cluster.
	Address       string
	Peers         []string
	FailureDomain string
	// JoinOnly prevents the replica from forming a cluster, so that a replica that lost
	// its disk waits for the others instead of forming a new cluster.
	JoinOnly bool
	// FormWithout is the time after which the first peer forms the cluster without peers that
	// don't respond, if a majority does and is empty; 0 is never. It may be set only while it is
	// certain that no cluster has been formed: the peers that don't respond could hold one.
	FormWithout time.Duration
	// Seed determines the election timeouts.
	Seed uint64
	// NewID generates a random id. The default is uuid.NewString.
	NewID func() string
	// A snapshot is taken after SnapshotEntries entries, or after SnapshotBytes bytes
	// of entry data, whichever is reached first.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	Core            CoreOptions
}

func (o *NodeOptions) check() error {
	switch {
	case o.Timer == nil:
		return errors.New("replica: no timer service")
	case o.Journal == nil:
		return errors.New("replica: no journal")
	case o.Transport == nil:
		return errors.New("replica: no transport")
	case o.StateMachine == nil:
		return errors.New("replica: no state machine")
	case o.Address == "":
		return errors.New("replica: no address")
	case o.HelloClient == nil && len(o.Peers) > 1:
		return errors.New("replica: no Hello client")
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	setDefault(&o.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&o.SnapshotBytes, defaultSnapshotBytes)
	o.Core.Seed = o.Seed
	return nil
}

// Node runs a Core. Its methods are safe for concurrent use.
type Node struct {
	o               NodeOptions
	core            *Core
	state           journal.State
	events          *queue[Event]
	writes          *queue[writeJob]
	applyJobs       *queue[applyJob]
	calls           *callTable
	storage         *storage
	applied         atomic.Uint64
	status          atomic.Pointer[Status]
	ctx             context.Context // cancelled when quit is closed
	cancel          context.CancelFunc
	quit            chan struct{}
	done            chan struct{}
	loops           sync.WaitGroup
	tasks           sync.WaitGroup
	peers           atomic.Pointer[[]string]
	discoveryAt     time.Time // of the first round of peer discovery; used by discoveryLoop only
	senderAddresses sync.Map  // member id to the sender address of its last message
	// encodingSnapshot is set while a goroutine of snapshotTasks encodes a snapshot.
	encodingSnapshot atomic.Bool
	snapshotTasks    sync.WaitGroup
	mu               sync.Mutex
	stopped          bool
	started          bool
	err              error
}

// NewNode returns a Node that continues from the journal. Start stores a new member
// id in a journal that doesn't have one.
func NewNode(o NodeOptions) (*Node, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	n := &Node{
		o:         o,
		events:    newQueue[Event](),
		writes:    newQueue[writeJob](),
		applyJobs: newQueue[applyJob](),
		calls:     newCallTable(),
		quit:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.storage = newStorage(o.Timer, func(e Event) { n.events.put(e) })
	n.status.Store(&Status{FaultTolerance: -1})
	n.SetPeers(o.Peers)
	return n, nil
}

// SetPeers replaces the addresses that this replica uses for peer discovery.
func (n *Node) SetPeers(peers []string) { n.peers.Store(&peers) }

// Start initializes a new journal with a member id, restores the state machine and
// starts the replica. It returns before a leader is known. It waits while the journal
// can't store the member id.
func (n *Node) Start(ctx context.Context) error {
	contents := n.o.Journal.Contents()
	if contents.State.Member == "" {
		contents.State.Member = n.o.NewID()
		if err := n.saveMemberID(ctx, contents.State); err != nil {
			return errors.Wrap(err, "save member id")
		}
	}
	if s := contents.Snapshot; s != nil {
		if err := n.o.StateMachine.Restore(s.Index, s.Data); err != nil {
			return errors.Wrapf(err, "restore snapshot at %d", s.Index)
		}
		n.applied.Store(s.Index)
	}
	core, err := NewCore(contents, n.o.Core)
	if err != nil {
		return errors.Wrap(err, "start replica")
	}
	n.core = core
	n.state = contents.State
	n.publishStatus()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return &StoppedError{}
	}
	n.started = true
	n.loops.Add(4)
	go n.stepLoop()
	go n.writeLoop()
	go n.applyLoop()
	go n.discoveryLoop()
	go func() {
		n.loops.Wait()
		n.snapshotTasks.Wait()
		n.tasks.Wait()
		n.calls.failAll(n.stopError())
		close(n.done)
	}()
	return nil
}

func (n *Node) saveMemberID(ctx context.Context, state journal.State) error {
	for {
		n.storage.begin()
		err := n.o.Journal.Save([]journal.Batch{{State: &state}})
		n.storage.end(err)
		var failed *journal.FailedError
		if !errors.As(err, &failed) {
			return err
		}
		if sleepErr := n.o.Timer.Sleep(ctx, storageRetryInterval); sleepErr != nil {
			return err
		}
	}
}

// Stop stops the replica and waits until its goroutines have finished or ctx is done.
func (n *Node) Stop(ctx context.Context) error {
	n.fail(nil)
	n.mu.Lock()
	started := n.started
	n.mu.Unlock()
	if !started {
		return nil
	}
	select {
	case <-n.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done returns a channel that is closed when the replica has stopped, either by Stop
// or because of an error.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that stopped the replica, or nil.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

func (n *Node) stopError() error { return &StoppedError{cause: n.Err()} }

// fail stops the replica. Only the first cause is recorded.
func (n *Node) fail(cause error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	n.stopped = true
	n.err = cause
	n.cancel()
	close(n.quit)
}

// Propose appends a command and returns the result of StateMachine.Apply. After a
// *NotLeaderError the command was not appended. After a *LostLeadershipError, a
// *StoppedError or the error of ctx, it may or may not commit.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	return n.ProposeInTerm(ctx, 0, data)
}

// ProposeInTerm is like Propose, but the command is appended only if this replica is
// the leader of the term. Term 0 allows any term.
func (n *Node) ProposeInTerm(ctx context.Context, term uint64, data []byte) (any, error) {
	if n.ctx.Err() != nil {
		return nil, n.stopError()
	}
	id, c := n.calls.register()
	n.events.put(Propose{ID: id, Data: data, Term: term})
	return n.wait(ctx, id, c)
}

// Barrier waits until a quorum has confirmed this replica's leadership and the state
// machine has applied all entries that were committed when Barrier was called. The
// error is a *NotLeaderError, a *StoppedError or the error of ctx.
func (n *Node) Barrier(ctx context.Context) error {
	if n.ctx.Err() != nil {
		return n.stopError()
	}
	id, c := n.calls.register()
	n.events.put(Read{ID: id})
	_, err := n.wait(ctx, id, c)
	return err
}

func (n *Node) wait(ctx context.Context, id uint64, c *call) (any, error) {
	select {
	case r := <-c.done:
		return r.value, r.err
	case <-ctx.Done():
		n.calls.complete(id, callResult{})
		return nil, ctx.Err()
	case <-n.quit:
		n.calls.complete(id, callResult{err: n.stopError()})
		r := <-c.done
		return r.value, r.err
	}
}

// Deliver queues an envelope from another member. It doesn't block.
func (n *Node) Deliver(e *wire.Envelope) {
	if n.ctx.Err() == nil && n.events.size() < maxQueuedEvents {
		if e.FromAddress != "" {
			n.senderAddresses.Store(e.From, e.FromAddress)
		}
		n.events.put(Receive{Envelope: e})
	}
}

// Status returns this replica's view of the cluster, which is at most one tick old.
// A stopped replica reports the follower role and no leader.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.Applied = n.applied.Load()
	s.StorageFailure = n.storage.state()
	if n.ctx.Err() != nil {
		s.Role, s.LeaderID, s.LeaderAddress, s.FaultTolerance = Follower, "", "", -1
	}
	return s
}

func (n *Node) publishStatus() {
	s := n.core.Status()
	n.status.Store(&s)
}

func (n *Node) stepLoop() {
	defer n.loops.Done()
	ticker := n.o.Timer.Subscribe(TickPeriod)
	defer ticker.Stop()
	for {
		var events []Event
		select {
		case <-n.quit:
			return
		case <-ticker.C():
			n.storage.check()
			events = []Event{Tick{}}
		case <-n.events.ready():
			events = n.events.take()
		}
		out, err := n.core.Step(events...)
		if err != nil {
			n.fail(err)
			return
		}
		n.publishStatus()
		n.performActions(out)
	}
}

func (n *Node) performActions(out Output) {
	for _, a := range out.Accepted {
		n.calls.markAccepted(a)
	}
	if out.SteppedDown {
		n.calls.failAccepted()
	}
	for _, id := range append(out.RejectedProposals, out.RejectedReads...) {
		n.calls.complete(id, callResult{err: &NotLeaderError{leader: n.core.Status().LeaderAddress}})
	}
	for _, r := range out.RejectedRemovals {
		n.calls.complete(r.ID, callResult{err: r.Err})
	}
	for _, id := range out.LeadershipTransferred {
		n.calls.complete(id, callResult{})
	}
	for _, id := range out.LeadershipTransferFailed {
		n.calls.complete(id, callResult{err: &LeadershipTransferError{}})
	}
	held := n.sendReady(out.Messages)
	if out.Write != nil || len(held) > 0 {
		n.writes.put(writeJob{write: out.Write, messages: held})
	}
	if out.Snapshot != nil || len(out.Committed) > 0 || len(out.Reads) > 0 {
		n.applyJobs.put(applyJob{snapshot: out.Snapshot, entries: out.Committed, reads: out.Reads})
	}
}

// sendReady sends the messages that don't depend on a write and returns the others.
func (n *Node) sendReady(messages []Message) []Message {
	var ready, held []Message
	for _, m := range messages {
		if m.After == 0 {
			ready = append(ready, m)
		} else {
			held = append(held, m)
		}
	}
	n.send(ready)
	return held
}

// send groups the messages by recipient and sends one envelope to each.
func (n *Node) send(messages []Message) {
	envelopes := map[string]*wire.Envelope{}
	for _, m := range messages {
		e := envelopes[m.To]
		if e == nil {
			e = &wire.Envelope{ClusterId: n.status.Load().Cluster, From: n.state.Member, To: m.To, FromAddress: n.o.Address}
			envelopes[m.To] = e
		}
		e.Messages = append(e.Messages, m.Body)
	}
	for _, m := range messages {
		if e := envelopes[m.To]; e != nil {
			delete(envelopes, m.To)
			n.sendEnvelope(m.Address, e)
		}
	}
}

// sendEnvelope sends an envelope to the address of a member. If the address is
// unknown because this replica doesn't have the member list yet, it uses the address
// of the member's last message, or else all peers, which drop envelopes for others.
func (n *Node) sendEnvelope(address string, e *wire.Envelope) {
	if lastAddress, ok := n.senderAddresses.Load(e.To); ok && address == "" {
		address, _ = lastAddress.(string)
	}
	if address != "" {
		n.o.Transport.Send(address, e)
		return
	}
	for _, p := range *n.peers.Load() {
		if p != n.o.Address {
			n.o.Transport.Send(p, e)
		}
	}
}
