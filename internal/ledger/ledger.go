// Package ledger is the deterministic state machine behind the replicated log.
//
// It holds configuration revisions, order records, waiting requests, drains and
// fencing tokens. Every change is a wire.Command from the log; every answer is a
// *wire.Result, whose refusal is one of the Refused constants and whose detail
// is a sentence for the operator. Nothing here reads a clock: the log's time is
// the largest at_ms of the commands applied so far.
//
// Order and waiting records are kept as their protobuf encoding. That's compact,
// makes reads safe without copying under the lock, and turns a snapshot into a
// concatenation.
//
// # Usage
//
//	l := ledger.New(ledger.Options{})
//	result := l.Apply(index, data).(*wire.Result)
//	if result.GetRefusal() == ledger.RefusedOrderExists {
//		// settle with the recorded agent
//	}
//	record, ok := l.Order("depot-milford", "release-17")
//
// The options are part of the state machine: they must be the same on every
// replica.
package ledger

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Defaults of Options.
const (
	// DefaultHistory is the number of revisions kept.
	DefaultMaxRevisions = 200
	// DefaultHistoryBytes bounds the manifests kept whole. A manifest with 24,000
	// customers has about 3 MB, so 200 of them wouldn't fit a small VM.
	DefaultMaxManifestBytes = 64 << 20
	// DefaultChangeAnswers is the number of answers kept for resent changes.
	DefaultMaxChangeResults = 10_000
	// DefaultEvents is the number of sentences kept for each record.
	DefaultMaxEvents = 16
)

// minEvents leaves room for the first event and the newest one.
const minEvents = 2

// Options bound the state. Zero values select the defaults.
type Options struct {
	// History is the number of revisions kept, the newest included.
	MaxRevisions int
	// HistoryBytes bounds the sum of manifest bytes kept. The newest manifest is
	// always whole; older ones beyond the bound keep their data except the bytes.
	MaxManifestBytes int
	// ChangeAnswers is the number of answers kept for resent changes.
	MaxChangeResults int
	// Events is the number of sentences kept for each order and waiting request:
	// the first and the newest.
	MaxEvents int
}

func (o Options) withDefaults() Options {
	if o.MaxRevisions <= 0 {
		o.MaxRevisions = DefaultMaxRevisions
	}
	if o.MaxManifestBytes <= 0 {
		o.MaxManifestBytes = DefaultMaxManifestBytes
	}
	if o.MaxChangeResults <= 0 {
		o.MaxChangeResults = DefaultMaxChangeResults
	}
	if o.MaxEvents <= 0 {
		o.MaxEvents = DefaultMaxEvents
	}
	o.MaxEvents = max(o.MaxEvents, minEvents)
	return o
}

// state is everything that a snapshot holds.
type state struct {
	options   Options
	index     uint64
	nowMS     int64
	manifests *manifests
	orders    *orders
	waiting   *waiting
	drains    map[string]struct{}
	fences    map[string]*wire.FenceRecord
}

func newState(o Options) *state {
	return &state{
		options:   o,
		manifests: newManifests(o),
		orders:    newOrders(o),
		waiting:   newWaiting(o),
		drains:    map[string]struct{}{},
		fences:    map[string]*wire.FenceRecord{},
	}
}

// step is the position in the log and the log's time of one command.
type step struct {
	index uint64
	nowMS int64
}

// Ledger is the state machine. Apply and Restore are called by the replica;
// reads and Snapshot are safe for concurrent use with them.
type Ledger struct {
	mu sync.RWMutex
	s  *state
}

// New returns an empty Ledger.
func New(o Options) *Ledger {
	return &Ledger{s: newState(o.withDefaults())}
}

// Apply executes the marshalled wire.Command at an index of the log and returns
// a *wire.Result. It panics when the index doesn't grow, because a replica that
// applies an entry twice has lost its place in the log and must stop.
func (l *Ledger) Apply(index uint64, data []byte) any {
	command := &wire.Command{}
	err := proto.Unmarshal(data, command)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.s
	if index <= s.index {
		panic(fmt.Sprintf("ledger: index %d applied after index %d", index, s.index))
	}
	s.index = index
	if err != nil {
		return &wire.Result{Index: index, Refusal: RefusedInvalid, Detail: "The command can't be decoded.", Revision: s.manifests.revision}
	}
	s.nowMS = max(s.nowMS, command.GetAtMs())
	result := s.execute(step{index: index, nowMS: s.nowMS}, command)
	// The first answer to a change has the index and the revision of its time.
	if result.Index == 0 {
		result.Index, result.Revision = index, s.manifests.revision
	}
	return result
}

func (s *state) execute(at step, command *wire.Command) *wire.Result {
	switch c := command.GetKind().(type) {
	case *wire.Command_ApplyManifest:
		return s.manifests.apply(at, c.ApplyManifest)
	case *wire.Command_ClaimOrder:
		return s.orders.claim(at, c.ClaimOrder)
	case *wire.Command_RecordOutcome:
		return s.orders.record(at, c.RecordOutcome)
	case *wire.Command_SettleOrder:
		return s.orders.settle(at, c.SettleOrder)
	case *wire.Command_SubmitWaiting:
		return s.waiting.submit(at, c.SubmitWaiting)
	case *wire.Command_LeaseWaiting:
		return s.waiting.lease(at, c.LeaseWaiting)
	case *wire.Command_RecordStage:
		return s.waiting.recordStage(at, c.RecordStage)
	case *wire.Command_RenewWaiting:
		return s.waiting.renewLease(at, c.RenewWaiting)
	case *wire.Command_CompleteWaiting:
		return s.waiting.complete(at, c.CompleteWaiting)
	case *wire.Command_SetDrain:
		return s.setDrain(c.SetDrain)
	case *wire.Command_GrantFence:
		return s.grantFence(c.GrantFence)
	case *wire.Command_Expire:
		return s.expire(at, c.Expire)
	default:
		return refuse(RefusedInvalid, "The command has no known kind.")
	}
}

// expire removes finished records older than before_ms, at most max orders and
// at most max waiting requests. A bound in the future is taken as now, because
// a record must outlive the command that finished it.
func (s *state) expire(at step, c *wire.Expire) *wire.Result {
	before := min(c.GetBeforeMs(), at.nowMS)
	limit := int(c.GetMax())
	n := s.orders.expire(before, limit) + s.waiting.expire(before, limit)
	return &wire.Result{Expired: uint64(n)}
}

// Order returns the record of an order.
func (l *Ledger) Order(customer, orderID string) (*wire.OrderRecord, bool) {
	l.mu.RLock()
	record := l.s.orders.find(customer, orderID)
	l.mu.RUnlock()
	if record == "" {
		return nil, false
	}
	return decodeOrder(record), true
}

// Waiting returns the record of a waiting request.
func (l *Ledger) Waiting(id string) (*wire.WaitingRecord, bool) {
	l.mu.RLock()
	record := l.s.waiting.find(id)
	l.mu.RUnlock()
	if record == "" {
		return nil, false
	}
	return decodeWaiting(record), true
}

// Manifest returns a revision of the configuration; 0 is the newest. The record
// must not be changed. An old revision may have lost its bytes (Options.HistoryBytes).
func (l *Ledger) Manifest(revision uint64) (*wire.ManifestRecord, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.manifests.find(revision)
}

// History returns at most limit revisions, the newest first. The records must not
// be changed.
func (l *Ledger) History(limit int) []*wire.ManifestRecord {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.manifests.newest(limit)
}

// Revision returns the newest revision of the configuration, 0 when there's none.
func (l *Ledger) Revision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.manifests.revision
}

// Drains returns the names of the draining targets, sorted.
func (l *Ledger) Drains() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.drainNames()
}

// Fence returns the newest fencing token of a scope, 0 when none was granted.
func (l *Ledger) Fence(scope string) uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.fences[scope].GetFence()
}

// LogTime returns the log's time in milliseconds since the Unix epoch, which is the
// largest time stamp applied so far, and the index of the last command applied.
func (l *Ledger) LogTime() (ms int64, index uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.nowMS, l.s.index
}

// HasLeasable reports whether a waiting request may be leased at a time in
// milliseconds. It may report true for one that was just renewed.
func (l *Ledger) HasLeasable(nowMS int64) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if _, ok := l.s.waiting.ready.peek(); ok {
		return true
	}
	e, ok := l.s.waiting.leases.peek()
	return ok && e.atMS <= nowMS
}

// Unsettled returns at most limit orders that need an operator, oldest first:
// those with an unknown outcome and those still claimed after their deadline.
func (l *Ledger) Unsettled(limit int) []*wire.OrderRecord {
	l.mu.RLock()
	records := l.s.orders.unsettled(l.s.nowMS, limit)
	l.mu.RUnlock()
	out := make([]*wire.OrderRecord, 0, len(records))
	for _, r := range records {
		out = append(out, decodeOrder(r))
	}
	return out
}

// Counts are the sizes of the ledger.
type Counts struct {
	orders, open, waiting, unfinished int
}

// Orders is the number of order records.
func (c Counts) Orders() int { return c.orders }

// Open is the number of orders that are claimed or of unknown outcome.
func (c Counts) Open() int { return c.open }

// Waiting is the number of waiting requests, finished ones included.
func (c Counts) Waiting() int { return c.waiting }

// Unfinished is the number of waiting requests that aren't finished.
func (c Counts) Unfinished() int { return c.unfinished }

// Counts returns the sizes of the ledger.
func (l *Ledger) Counts() Counts {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.s
	return Counts{
		orders:     s.orders.table.len(),
		open:       len(s.orders.open),
		waiting:    s.waiting.table.len(),
		unfinished: s.waiting.unfinished,
	}
}
