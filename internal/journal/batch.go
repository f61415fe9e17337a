package journal

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// State is the part of a replica's durable state that isn't an append-only log.
type State struct {
	Cluster string `json:"cluster,omitempty"`
	Member  string `json:"member"`
	Term    uint64 `json:"term"`
	Vote    string `json:"vote,omitempty"`
}

// Batch is a group of changes that becomes durable atomically.
type Batch struct {
	// State replaces the stored state, unless nil.
	State *State
	// Snapshot, unless nil, replaces everything that was saved before: State must be
	// set and Entries must contain all entries after the snapshot's index.
	Snapshot *wire.SnapshotRequest
	// Entries replaces the log starting at the index of the first entry.
	Entries []*wire.LogEntry
}

// Contents is the data stored in a journal.
type Contents struct {
	State    State
	Snapshot *wire.SnapshotRequest
	Entries  []*wire.LogEntry
}

// Apply updates the contents in the same way as saving the batch.
func (c *Contents) Apply(b Batch) error {
	if b.State != nil {
		c.State = *b.State
	}
	if b.Snapshot != nil {
		c.Snapshot = b.Snapshot
		c.Entries = nil
	}
	for _, e := range b.Entries {
		if err := c.putEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (c *Contents) putEntry(e *wire.LogEntry) error {
	base := c.Snapshot.GetIndex()
	if e.Index <= base || e.Index > base+uint64(len(c.Entries))+1 {
		return errors.Errorf("entry %d doesn't follow entry %d", e.Index, base+uint64(len(c.Entries)))
	}
	c.Entries = append(c.Entries[:e.Index-base-1], e)
	return nil
}

// Kinds of record fields.
const (
	fieldState    = 1
	fieldSnapshot = 2
	fieldEntry    = 3
)

func appendField(dst []byte, kind byte, data []byte) []byte {
	dst = append(dst, kind)
	dst = binary.AppendUvarint(dst, uint64(len(data)))
	return append(dst, data...)
}

func appendBatch(dst []byte, b Batch) ([]byte, error) {
	if b.State != nil {
		data, err := json.Marshal(b.State)
		if err != nil {
			return nil, errors.Wrap(err, "encode state")
		}
		dst = appendField(dst, fieldState, data)
	}
	if b.Snapshot != nil {
		var err error
		if dst, err = appendMessage(dst, fieldSnapshot, b.Snapshot); err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
	}
	for _, e := range b.Entries {
		var err error
		if dst, err = appendMessage(dst, fieldEntry, e); err != nil {
			return nil, errors.Wrap(err, "encode entry")
		}
	}
	return dst, nil
}

// appendMessage encodes a message directly into dst, because a snapshot may be too
// large to have two copies in memory.
func appendMessage(dst []byte, kind byte, m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	dst = slices.Grow(dst, 1+binary.MaxVarintLen64+size)
	dst = append(dst, kind)
	dst = binary.AppendUvarint(dst, uint64(size))
	return proto.MarshalOptions{}.MarshalAppend(dst, m)
}

func decodeBatch(data []byte) (Batch, error) {
	var b Batch
	for len(data) > 0 {
		kind := data[0]
		size, n := binary.Uvarint(data[1:])
		if n <= 0 || size > uint64(len(data)-1-n) {
			return b, errors.New("field exceeds its record")
		}
		field := data[1+n : 1+n+int(size)]
		data = data[1+n+int(size):]
		if err := b.decodeField(kind, field); err != nil {
			return b, err
		}
	}
	return b, nil
}

func (b *Batch) decodeField(kind byte, data []byte) error {
	switch kind {
	case fieldState:
		b.State = &State{}
		return annotate(json.Unmarshal(data, b.State), "decode state")
	case fieldSnapshot:
		b.Snapshot = &wire.SnapshotRequest{}
		return annotate(proto.Unmarshal(data, b.Snapshot), "decode snapshot")
	case fieldEntry:
		e := &wire.LogEntry{}
		b.Entries = append(b.Entries, e)
		return annotate(proto.Unmarshal(data, e), "decode entry")
	}
	return errors.Errorf("unknown field %d", kind)
}
