// Package ledger implements the deterministic state machine of the replicated log.
//
// It stores configuration revisions, order records, waiting requests, draining
// targets and fencing tokens. Each change is a wire.Command from the log. Each result
// is a *wire.Result; for a rejected command, its refusal is one of the Refused
// constants and its detail is an explanation for the operator. The package reads no
// clock: the log time is the largest at_ms of the commands applied so far.
//
// Order and waiting records are stored in their protobuf encoding. The encoding is
// compact, allows reads without copying under the lock, and reduces a snapshot to
// the concatenation of the records.
//
// # Usage
//
//	l := ledger.New(ledger.Options{})
//	result := l.Apply(index, data).(*wire.Result)
//	if result.GetRefusal() == ledger.RefusedOrderExists {
//		// ask the recorded agent for the outcome
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
	// DefaultMaxRevisions is the number of revisions retained.
	DefaultMaxRevisions = 200
	// DefaultMaxManifestBytes limits the total size of the manifests retained in full.
	// A manifest with 24,000 customers has about 3 MB, so 200 of them wouldn't fit in
	// the memory of a small VM.
	DefaultMaxManifestBytes = 64 << 20
	// DefaultMaxChangeResults is the number of results retained for retried changes.
	DefaultMaxChangeResults = 10_000
	// DefaultMaxEvents is the number of events retained for each record.
	DefaultMaxEvents = 16
)

// minEvents allows for the first and the latest event.
const minEvents = 2

// Options limits the size of the state. Zero values select the defaults.
type Options struct {
	// MaxRevisions is the number of revisions retained, including the newest.
	MaxRevisions int
	// MaxManifestBytes limits the total size of the manifests retained. The newest
	// manifest is always retained; beyond the limit, older revisions are retained
	// without their manifest.
	MaxManifestBytes int
	// MaxChangeResults is the number of results retained for retried changes.
	MaxChangeResults int
	// MaxEvents is the number of events retained for each order and waiting request:
	// the first one and the latest ones.
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

// state is the complete state that is stored in a snapshot.
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

// logPosition is the log index and the log time of a command.
type logPosition struct {
	index uint64
	nowMS int64
}

// Ledger is the state machine. Apply and Restore are called by the replica. Reads
// and Snapshot are safe for concurrent use with them.
type Ledger struct {
	mu sync.RWMutex
	s  *state
}

// New returns an empty Ledger.
func New(o Options) *Ledger {
	return &Ledger{s: newState(o.withDefaults())}
}

// Apply executes the marshalled wire.Command at a log index and returns a
// *wire.Result. It panics if the index doesn't increase: a replica that applies an
// entry twice is in an inconsistent state and must stop.
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
	result := s.execute(logPosition{index: index, nowMS: s.nowMS}, command)
	// The result of a retried change has the index and revision of the first execution.
	if result.Index == 0 {
		result.Index, result.Revision = index, s.manifests.revision
	}
	return result
}

func (s *state) execute(pos logPosition, command *wire.Command) *wire.Result {
	switch c := command.GetKind().(type) {
	case *wire.Command_ApplyManifest:
		return s.manifests.apply(pos, c.ApplyManifest)
	case *wire.Command_ClaimOrder:
		return s.orders.claim(pos, c.ClaimOrder)
	case *wire.Command_RecordOutcome:
		return s.orders.record(pos, c.RecordOutcome)
	case *wire.Command_SettleOrder:
		return s.orders.settle(pos, c.SettleOrder)
	case *wire.Command_SubmitWaiting:
		return s.waiting.submit(pos, c.SubmitWaiting)
	case *wire.Command_LeaseWaiting:
		return s.waiting.lease(pos, c.LeaseWaiting)
	case *wire.Command_RecordStage:
		return s.waiting.recordStage(pos, c.RecordStage)
	case *wire.Command_RenewWaiting:
		return s.waiting.renewLease(pos, c.RenewWaiting)
	case *wire.Command_CompleteWaiting:
		return s.waiting.complete(pos, c.CompleteWaiting)
	case *wire.Command_SetDrain:
		return s.setDrain(c.SetDrain)
	case *wire.Command_GrantFence:
		return s.grantFence(c.GrantFence)
	case *wire.Command_Expire:
		return s.expire(pos, c.Expire)
	default:
		return reject(RefusedInvalid, "The command has no known kind.")
	}
}

// expire removes finished records older than before_ms, at most max orders and at
// most max waiting requests. A before_ms in the future is treated as the current log
// time, because a record must outlive the command that finished it.
func (s *state) expire(pos logPosition, c *wire.Expire) *wire.Result {
	before := min(c.GetBeforeMs(), pos.nowMS)
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

// Manifest returns a revision of the configuration, or the newest for 0. The record
// must not be modified. An old revision may lack the manifest; see
// Options.MaxManifestBytes.
func (l *Ledger) Manifest(revision uint64) (*wire.ManifestRecord, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.manifests.find(revision)
}

// History returns at most limit revisions, newest first. The records must not be
// modified.
func (l *Ledger) History(limit int) []*wire.ManifestRecord {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.manifests.newest(limit)
}

// Revision returns the newest revision of the configuration, or 0 if there is none.
func (l *Ledger) Revision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.manifests.revision
}

// Drains returns the sorted names of the draining targets.
func (l *Ledger) Drains() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.drainNames()
}

// Fence returns the latest fencing token of a scope, or 0 if none was granted.
func (l *Ledger) Fence(scope string) uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.fences[scope].GetFence()
}

// LogTime returns the log time in milliseconds since the Unix epoch, which is the
// largest timestamp applied so far, and the index of the last applied command.
func (l *Ledger) LogTime() (ms int64, index uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.s.nowMS, l.s.index
}

// HasLeasable reports whether a waiting request may be leased at a time in
// milliseconds. It may report true for a request whose lease was just renewed.
func (l *Ledger) HasLeasable(nowMS int64) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if _, ok := l.s.waiting.ready.peek(); ok {
		return true
	}
	e, ok := l.s.waiting.leased.peek()
	return ok && e.atMS <= nowMS
}

// Unsettled returns at most limit orders that an operator has to resolve, oldest
// first: those with an unknown outcome and those still claimed after their deadline.
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

// Counts contains the numbers of records in the ledger.
type Counts struct {
	orders, unresolved, waiting, unfinished int
}

// Orders returns the number of order records.
func (c Counts) Orders() int { return c.orders }

// Unresolved returns the number of orders that are claimed or have an unknown outcome.
func (c Counts) Unresolved() int { return c.unresolved }

// Waiting returns the number of waiting requests, including finished ones.
func (c Counts) Waiting() int { return c.waiting }

// Unfinished returns the number of waiting requests that aren't finished.
func (c Counts) Unfinished() int { return c.unfinished }

// Counts returns the numbers of records in the ledger.
func (l *Ledger) Counts() Counts {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.s
	return Counts{
		orders:     s.orders.table.len(),
		unresolved: len(s.orders.unresolved),
		waiting:    s.waiting.table.len(),
		unfinished: s.waiting.unfinished,
	}
}
