// Package replica keeps a log that a majority of the control VMs agrees on.
//
// Core is the agreement as a pure step function; Node runs it: it drives the
// ticks, keeps the journal, sends messages, and applies committed entries to a
// state machine. Journal writes happen beside the step loop, so that proposals
// that arrive during a sync share the next one.
//
// # Usage
//
//	n, err := replica.NewNode(replica.NodeOptions{
//		Timer: ts, Journal: j, Transport: t, Greeter: t, StateMachine: ledger,
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
	// TickPeriod is the time between ticks.
	TickPeriod = 50 * time.Millisecond
	// defaultSnapshotEntries bounds the entries replayed at a restart.
	defaultSnapshotEntries = 10_000
	// defaultSnapshotBytes bounds the bytes replayed at a restart. Entries of
	// ordinary size reach 10,000 entries first; whole manifests don't.
	defaultSnapshotBytes = 64 << 20
	// maxQueuedEvents bounds the messages that wait for the step loop; more are
	// dropped, as a network would.
	maxQueuedEvents = 1 << 16
)

// StateMachine is what the log is applied to. Its methods are called from one
// goroutine at a time.
type StateMachine interface {
	// Apply takes the entries in log order, each index once.
	Apply(index uint64, data []byte) any
	// BeginSnapshot returns a function that encodes the state after the last Apply.
	// It is called in a goroutine of its own, while Apply goes on.
	BeginSnapshot() (encode func() ([]byte, error))
	// Restore replaces the state by a snapshot of the state after an index.
	Restore(index uint64, data []byte) error
}

// Transport carries messages between members.
type Transport interface {
	// Send must not block and may drop the envelope.
	Send(address string, e *wire.Envelope)
}

// HelloClient asks another control VM who it is.
type HelloClient interface {
	Hello(ctx context.Context, address string, r *wire.HelloRequest) (*wire.HelloResponse, error)
}

// Journal makes batches durable; *journal.Journal implements it.
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
	// Address is where this VM is reached; Peers holds the addresses of all
	// control VMs with this one, the same at each. The first forms the cluster.
	Address       string
	Peers         []string
	FailureDomain string
	// JoinOnly keeps the replica from forming a cluster, so that one that lost its
	// disk waits for the others in the place of beginning anew.
	JoinOnly bool
	// Seed determines the election timeouts.
	Seed uint64
	// NewID returns a new random id; the default is a UUID.
	NewID func() string
	// SnapshotEntries is the number of entries between snapshots, and SnapshotBytes
	// that of the bytes of their data; whichever is reached first counts.
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
		return errors.New("replica: no greeter")
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	setDefault(&o.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&o.SnapshotBytes, defaultSnapshotBytes)
	o.Core.Seed = o.Seed
	return nil
}

// Node runs a Core. All methods are safe for concurrent use.
type Node struct {
	o       NodeOptions
	core    *Core
	state   journal.State
	inbox   *mailbox[Event]
	writer  *mailbox[writeJob]
	applier *mailbox[applyJob]
	calls   *callTable
	applied atomic.Uint64
	status  atomic.Pointer[Status]
	life    context.Context // ends with quit
	cancel  context.CancelFunc
	quit    chan struct{}
	done    chan struct{}
	running sync.WaitGroup
	greets  sync.WaitGroup
	peers   atomic.Pointer[[]string]
	senders sync.Map // member id to the address from which it was heard
	// encoding is set while a snapshot is encoded in one of encodings.
	encoding  atomic.Bool
	encodings sync.WaitGroup
	mu        sync.Mutex
	stopped   bool
	started   bool
	err       error
}

// NewNode returns a Node that continues from the journal. A journal that is used
// for the first time receives a new member id at Start.
func NewNode(o NodeOptions) (*Node, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	n := &Node{
		o:       o,
		inbox:   newMailbox[Event](),
		writer:  newMailbox[writeJob](),
		applier: newMailbox[applyJob](),
		calls:   newCallTable(),
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	n.life, n.cancel = context.WithCancel(context.Background())
	n.status.Store(&Status{FaultTolerance: -1})
	n.SetPeers(o.Peers)
	return n, nil
}

// SetPeers replaces the addresses at which this replica asks for the cluster.
func (n *Node) SetPeers(peers []string) { n.peers.Store(&peers) }

// Start gives a new journal its identity, restores the state machine and runs
// the replica. It returns before a leader is known.
func (n *Node) Start(context.Context) error {
	contents := n.o.Journal.Contents()
	if contents.State.Member == "" {
		contents.State.Member = n.o.NewID()
		if err := n.o.Journal.Save([]journal.Batch{{State: &contents.State}}); err != nil {
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
	n.publish()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return &StoppedError{}
	}
	n.started = true
	n.running.Add(4)
	go n.stepLoop()
	go n.writeLoop()
	go n.applyLoop()
	go n.greetLoop()
	go func() {
		n.running.Wait()
		n.encodings.Wait()
		n.greets.Wait()
		n.calls.close(n.stopError())
		close(n.done)
	}()
	return nil
}

// Stop ends the replica and returns when its goroutines have ended or ctx is done.
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

// Done returns a channel that is closed when the replica has ended, by Stop or
// because it failed.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns why the replica stopped by itself, or nil.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

func (n *Node) stopError() error { return &StoppedError{cause: n.Err()} }

// fail stops the replica; the first cause is kept.
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

// Propose appends a command and returns the result of Apply. The error is a
// *NotLeaderError when nothing was appended, and a *LostLeadershipError when the
// command may or may not commit. After a *StoppedError or the error of ctx it
// may commit as well.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	return n.ProposeInTerm(ctx, 0, data)
}

// ProposeInTerm is Propose for a command that is valid only while this replica
// leads in the term; 0 is any term.
func (n *Node) ProposeInTerm(ctx context.Context, term uint64, data []byte) (any, error) {
	if n.life.Err() != nil {
		return nil, n.stopError()
	}
	id, c := n.calls.open()
	n.inbox.put(Propose{ID: id, Data: data, Term: term})
	return n.wait(ctx, id, c)
}

// Barrier returns once a quorum has confirmed this replica's leadership and the
// state machine has applied everything that was committed when Barrier was
// called. Otherwise the error is a *NotLeaderError, a *StoppedError or that of ctx.
func (n *Node) Barrier(ctx context.Context) error {
	if n.life.Err() != nil {
		return n.stopError()
	}
	id, c := n.calls.open()
	n.inbox.put(Read{ID: id})
	_, err := n.wait(ctx, id, c)
	return err
}

func (n *Node) wait(ctx context.Context, id uint64, c *call) (any, error) {
	select {
	case r := <-c.done:
		return r.value, r.err
	case <-ctx.Done():
		n.calls.finish(id, callResult{})
		return nil, ctx.Err()
	case <-n.quit:
		n.calls.finish(id, callResult{err: n.stopError()})
		r := <-c.done
		return r.value, r.err
	}
}

// Deliver takes an envelope from another member. It doesn't block.
func (n *Node) Deliver(e *wire.Envelope) {
	if n.life.Err() == nil && n.inbox.size() < maxQueuedEvents {
		if e.FromAddress != "" {
			n.senders.Store(e.From, e.FromAddress)
		}
		n.inbox.put(Receive{Envelope: e})
	}
}

// Status returns this replica's view, which is at most one tick old. A stopped
// replica leads nothing and knows no leader.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.Applied = n.applied.Load()
	if n.life.Err() != nil {
		s.Role, s.LeaderID, s.LeaderAddress, s.FaultTolerance = Follower, "", "", -1
	}
	return s
}

func (n *Node) publish() {
	s := n.core.Status()
	n.status.Store(&s)
}

func (n *Node) stepLoop() {
	defer n.running.Done()
	ticker := n.o.Timer.Subscribe(TickPeriod)
	defer ticker.Stop()
	for {
		var events []Event
		select {
		case <-n.quit:
			return
		case <-ticker.C():
			events = []Event{Tick{}}
		case <-n.inbox.ready():
			events = n.inbox.take()
		}
		out, err := n.core.Step(events...)
		if err != nil {
			n.fail(err)
			return
		}
		n.publish()
		n.carryOut(out)
	}
}

func (n *Node) carryOut(out Output) {
	for _, a := range out.Accepted {
		n.calls.accept(a)
	}
	if out.SteppedDown {
		n.calls.lostLeadership()
	}
	for _, id := range append(out.Refused, out.RefusedReads...) {
		n.calls.finish(id, callResult{err: &NotLeaderError{leader: n.core.Status().LeaderAddress}})
	}
	for _, r := range out.Removals {
		n.calls.finish(r.ID, callResult{err: r.Err})
	}
	for _, id := range out.LeadershipTransferred {
		n.calls.finish(id, callResult{})
	}
	for _, id := range out.LeadershipTransferFailed {
		n.calls.finish(id, callResult{err: &LeadershipTransferError{}})
	}
	held := n.sendReady(out.Messages)
	if out.Write != nil || len(held) > 0 {
		n.writer.put(writeJob{write: out.Write, messages: held})
	}
	if out.Snapshot != nil || len(out.Committed) > 0 || len(out.Reads) > 0 {
		n.applier.put(applyJob{snapshot: out.Snapshot, entries: out.Committed, reads: out.Reads})
	}
}

// sendReady sends the messages that wait for no write and returns the others.
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

// send groups consecutive messages by recipient.
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

// sendEnvelope sends to the address of a member. A replica that doesn't have the
// member list yet sends to where it heard the member last, or to all peers, of
// which all but the right one drop it.
func (n *Node) sendEnvelope(address string, e *wire.Envelope) {
	if heard, ok := n.senders.Load(e.To); ok && address == "" {
		address, _ = heard.(string)
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
