package ledger

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Field numbers of wire.LedgerSnapshot whose messages are copied without decoding.
const (
	snapshotChangesField = 4
	snapshotOrdersField  = 5
	snapshotWaitingField = 6
)

// maxFieldOverhead limits the bytes of the tag and length before a message.
const maxFieldOverhead = 6

// View is an immutable view of the state after an index. Creating it copies one
// pointer for each 256 records; encoding it doesn't block Apply.
type View struct {
	header      *wire.LedgerSnapshot
	orders      tableView
	waiting     tableView
	submissions tableView
}

// View returns a view of the current state.
func (l *Ledger) View() *View {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.s
	header := &wire.LedgerSnapshot{
		Index:     s.index,
		AtMs:      s.nowMS,
		Manifests: slices.Clone(s.manifests.records),
		Drains:    s.drainNames(),
		NextEpoch: s.waiting.nextEpoch,
	}
	for _, id := range s.manifests.resultIDs {
		header.Changes = append(header.Changes, s.manifests.results[id])
	}
	for _, scope := range slices.Sorted(maps.Keys(s.fences)) {
		header.Fences = append(header.Fences, s.fences[scope])
	}
	return &View{
		header:      header,
		orders:      s.orders.table.view(),
		waiting:     s.waiting.table.view(),
		submissions: s.waiting.submissions.view(),
	}
}

// Index returns the log index up to which the view reflects the log.
func (v *View) Index() uint64 { return v.header.GetIndex() }

// Marshal returns the view as an encoded wire.LedgerSnapshot. The encoding is
// deterministic.
func (v *View) Marshal() ([]byte, error) {
	options := proto.MarshalOptions{Deterministic: true}
	size := proto.Size(v.header) + v.orders.size() + v.waiting.size() + v.submissions.size()
	b, err := options.MarshalAppend(make([]byte, 0, size), v.header)
	if err != nil {
		return nil, errors.Wrap(err, "encode ledger snapshot")
	}
	b = v.submissions.appendTo(b, snapshotChangesField)
	b = v.orders.appendTo(b, snapshotOrdersField)
	return v.waiting.appendTo(b, snapshotWaitingField), nil
}

func (v tableView) size() int {
	return v.bytes + maxFieldOverhead*v.records
}

func (v tableView) appendTo(b []byte, field protowire.Number) []byte {
	v.each(func(record string) {
		b = protowire.AppendTag(b, field, protowire.BytesType)
		b = protowire.AppendString(b, record)
	})
	return b
}

// Snapshot returns the state after the last Apply as an encoded wire.LedgerSnapshot.
func (l *Ledger) Snapshot() ([]byte, error) {
	return l.View().Marshal()
}

// BeginSnapshot implements replica.StateMachine.
func (l *Ledger) BeginSnapshot() (encode func() ([]byte, error)) { return l.View().Marshal }

// Restore replaces the state with a snapshot that was taken at the index. If it
// returns an error, the state is unchanged.
func (l *Ledger) Restore(index uint64, data []byte) error {
	l.mu.RLock()
	s := newState(l.s.options)
	l.mu.RUnlock()
	if err := s.restore(data); err != nil {
		return errors.Wrapf(err, "restore ledger at index %d", index)
	}
	if s.index > index {
		return errors.Errorf("restore ledger at index %d: the snapshot is from index %d", index, s.index)
	}
	s.index = index
	l.mu.Lock()
	defer l.mu.Unlock()
	l.s = s
	return nil
}

// restore reads the records one by one, because decoding the complete message would
// duplicate every record in memory in a much larger representation.
func (s *state) restore(data []byte) error {
	var rest []byte
	counts := map[protowire.Number]int{}
	err := eachField(data, func(number protowire.Number, _, _ []byte) error {
		counts[number]++
		return nil
	})
	if err != nil {
		return err
	}
	s.orders.table.preallocate(counts[snapshotOrdersField])
	s.waiting.table.preallocate(counts[snapshotWaitingField])
	err = eachField(data, func(number protowire.Number, field, value []byte) error {
		switch number {
		case snapshotOrdersField:
			return s.orders.restore(value)
		case snapshotWaitingField:
			return s.waiting.restore(value)
		default:
			rest = append(rest, field...)
			return nil
		}
	})
	if err != nil {
		return err
	}
	header := &wire.LedgerSnapshot{}
	if err := proto.Unmarshal(rest, header); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	s.restoreHeader(header)
	return nil
}

// eachField calls f for every field of a message with the encoded field and, if the
// field is length-delimited, its value.
func eachField(data []byte, f func(number protowire.Number, field, value []byte) error) error {
	for len(data) > 0 {
		number, kind, tag := protowire.ConsumeTag(data)
		if tag < 0 {
			return errors.Wrap(protowire.ParseError(tag), "read field")
		}
		n := protowire.ConsumeFieldValue(number, kind, data[tag:])
		if n < 0 {
			return errors.Wrapf(protowire.ParseError(n), "read field %d", number)
		}
		var value []byte
		if kind == protowire.BytesType {
			value, _ = protowire.ConsumeBytes(data[tag:])
		}
		if err := f(number, data[:tag+n], value); err != nil {
			return err
		}
		data = data[tag+n:]
	}
	return nil
}

func (s *state) restoreHeader(header *wire.LedgerSnapshot) {
	s.index = header.GetIndex()
	s.nowMS = header.GetAtMs()
	for _, r := range header.GetManifests() {
		s.manifests.add(r)
	}
	for _, a := range header.GetChanges() {
		if len(a.GetResult().GetWaiting()) == 0 {
			s.manifests.storeResult(a)
			continue
		}
		s.waiting.restoreSubmission(a)
	}
	for _, target := range header.GetDrains() {
		s.drains[target] = struct{}{}
	}
	for _, f := range header.GetFences() {
		s.fences[f.GetScope()] = f
	}
	s.waiting.nextEpoch = header.GetNextEpoch()
}

// restore stores the encoded record without decoding it, because decoding a million
// records takes seconds.
func (o *orders) restore(data []byte) error {
	record := string(data)
	h, ok := readOrderHeader(record)
	if !ok {
		return errors.New("decode order: not a message that begins with customer and order id")
	}
	o.trackState(o.table.insert(record[:h.keyLength], record), h.state, h.settledMS, h.deadlineMS)
	return nil
}

func (w *waiting) restore(record []byte) error {
	r := &wire.WaitingRecord{}
	if err := proto.Unmarshal(record, r); err != nil {
		return errors.Wrap(err, "decode waiting request")
	}
	key, text := encodeWaiting(r)
	slot := w.table.insert(key, text)
	switch {
	case isFinished(r):
		w.finished.push(entry{atMS: r.GetFinishedMs(), slot: slot})
		return nil
	case r.GetState() == wire.WaitingState_WAITING_STATE_LEASED:
		w.leased.push(entry{atMS: r.GetLeaseUntilMs(), slot: slot})
	default:
		w.ready.push(entry{atMS: deadlineOrder(r.GetDeadlineMs()), slot: slot})
	}
	w.unfinished++
	return nil
}

func (w *waiting) restoreSubmission(a *wire.ChangeAnswer) {
	key := appendChangeID(nil, a.GetChangeId())
	a.ChangeId = ""
	record := string(appendMessage(key, a))
	w.insertSubmission(record[:len(key)], record)
}
