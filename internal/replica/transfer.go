package replica

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// maxPartsInFlight bounds the parts sent and not acknowledged yet. The transport
	// may join them to one message, which it gives 2 s.
	maxPartsInFlight = 4
	// partRetryTicks is how long a leader waits for progress before it sends parts
	// again. It is longer than the 2 s after which the transport drops a message.
	partRetryTicks = 45
	// transferSilenceTicks is the silence after which a leader gives a transfer up,
	// because it keeps a snapshot and log entries in memory.
	transferSilenceTicks = 200
)

// outgoingTransfer is a snapshot that a leader sends to a member in parts. It
// keeps its snapshot when a newer one is taken: a busy leader would otherwise
// start over each time and never end.
type outgoingTransfer struct {
	snapshot *wire.SnapshotRequest
	checksum uint64
	acked    uint64 // offset up to which the member holds the data
	sent     uint64 // offset up to which the data was sent
}

func newOutgoingTransfer(s *wire.SnapshotRequest) *outgoingTransfer {
	return &outgoingTransfer{snapshot: s, checksum: xxhash.Sum64(s.Data)}
}

func (t *outgoingTransfer) size() uint64 { return uint64(len(t.snapshot.Data)) }

// part returns the bytes from an offset on; they share memory with the snapshot.
func (t *outgoingTransfer) part(offset uint64, maxBytes int) []byte {
	end := min(offset+uint64(maxBytes), t.size())
	return t.snapshot.Data[offset:end:end]
}

// progress takes over the offset that the member holds. A lower one than before
// means that the member restarted, or that an answer was delayed; in the latter
// case the next answer makes it good.
func (t *outgoingTransfer) progress(received uint64) (changed bool) {
	if received == t.acked || received > t.size() {
		return false
	}
	if received < t.acked {
		t.sent = received
	}
	t.acked = received
	t.sent = max(t.sent, received)
	return true
}

// startTransfer begins to send the newest snapshot to a member that lacks entries
// which the log doesn't hold any more.
func (c *Core) startTransfer(id string, p *peer) {
	if p.silent >= c.o.ElectionTicks {
		if c.heartbeatDue {
			c.sendAppend(id, 0, 0, nil)
		}
		return
	}
	p.transfer = newOutgoingTransfer(c.snapshot)
	p.waited = 0
	// A snapshot without data has no other part.
	c.sendPart(id, p.transfer, 0, nil)
	c.sendParts(id, p)
}

// continueTransfer sends the parts that are due, or a heartbeat.
func (c *Core) continueTransfer(id string, p *peer) {
	t := p.transfer
	if p.silent > transferSilenceTicks {
		p.transfer = nil
		c.startTransfer(id, p)
		return
	}
	if p.waited > partRetryTicks {
		t.sent = t.acked
		p.waited = 0
	}
	sent := p.silent < c.o.ElectionTicks && c.sendParts(id, p)
	if c.heartbeatDue && !sent {
		c.sendPart(id, t, t.acked, nil)
	}
}

func (c *Core) sendParts(id string, p *peer) (sent bool) {
	t := p.transfer
	window := uint64(maxPartsInFlight * c.o.MaxMessageBytes)
	for t.sent < t.size() && t.sent < t.acked+window {
		data := t.part(t.sent, c.o.MaxMessageBytes)
		c.sendPart(id, t, t.sent, data)
		t.sent += uint64(len(data))
		sent = true
	}
	return sent
}

func (c *Core) sendPart(id string, t *outgoingTransfer, offset uint64, data []byte) {
	s := t.snapshot
	r := &wire.SnapshotPart{
		Index: s.Index, SnapshotTerm: s.SnapshotTerm, Members: s.Members, Size: t.size(),
		Checksum: t.checksum, Offset: offset, Data: data, Round: c.round,
	}
	c.send(id, false, &wire.ReplicaMessage{Term: c.term, Kind: &wire.ReplicaMessage_SnapshotPart{SnapshotPart: r}})
}

func (c *Core) onSnapshotProgress(from string, r *wire.SnapshotProgress) {
	p := c.answered(from, r.Round)
	if p == nil {
		return
	}
	p.matched(r.Match)
	t := p.transfer
	if t == nil || r.Index != t.snapshot.Index || r.Checksum != t.checksum {
		return
	}
	if t.progress(r.Received) {
		p.waited = 0
	}
}

// compactionIndex returns the index up to which the log may be compacted once
// there is a snapshot at an index. A member that receives an older snapshot, or
// catches up after it, needs the entries that follow; without them a busy leader
// would send it one snapshot after the other.
func (c *Core) compactionIndex(snapshot uint64) uint64 {
	index := snapshot - min(snapshot, c.o.RetainedEntries)
	for _, p := range c.peers {
		switch {
		case p.transfer != nil:
			index = min(index, p.transfer.snapshot.Index)
		case p.silent < c.o.ElectionTicks:
			index = min(index, p.match)
		}
	}
	return max(index, snapshot-min(snapshot, c.o.MaxRetainedEntries))
}

// incomingTransfer is a snapshot of which a part has been received. It isn't
// durable: a restart begins again.
type incomingTransfer struct {
	term         uint64 // of the leader that sends it
	index        uint64
	snapshotTerm uint64
	size         uint64
	checksum     uint64
	data         []byte
}

func newIncomingTransfer(term uint64, r *wire.SnapshotPart) *incomingTransfer {
	return &incomingTransfer{term: term, index: r.Index, snapshotTerm: r.SnapshotTerm, size: r.Size, checksum: r.Checksum}
}

// accepts says whether a part belongs to the transfer. A term has one leader, so
// that a part of another leader has another term.
func (t *incomingTransfer) accepts(term uint64, r *wire.SnapshotPart) bool {
	return t.term == term && t.index == r.Index && t.snapshotTerm == r.SnapshotTerm && t.size == r.Size && t.checksum == r.Checksum
}

func (t *incomingTransfer) received() uint64 { return uint64(len(t.data)) }

// add takes the part that continues the data; the leader sends any other again.
func (t *incomingTransfer) add(r *wire.SnapshotPart) {
	if r.Offset != t.received() || uint64(len(r.Data)) > t.size-t.received() {
		return
	}
	if t.data == nil {
		t.data = make([]byte, 0, t.size)
	}
	t.data = append(t.data, r.Data...)
}

func (t *incomingTransfer) complete() bool { return t.received() == t.size }

func (t *incomingTransfer) intact() bool { return xxhash.Sum64(t.data) == t.checksum }

func (c *Core) onSnapshotPart(from string, r *wire.SnapshotPart) {
	if !c.follow(from) {
		return
	}
	if term, ok := c.log.term(r.Index); ok && term == r.SnapshotTerm {
		c.commit = max(c.commit, r.Index)
	}
	if r.Index > c.commit {
		c.receivePart(from, r)
	}
	if r.Index <= c.commit {
		// Saving a large snapshot takes longer than the silence that the leader
		// tolerates, so that the first answer doesn't wait for it.
		c.answerPart(from, r, r.Size, 0)
		c.answerPart(from, r, r.Size, c.commit)
	}
}

// receivePart adds a part and installs the snapshot once it is whole.
func (c *Core) receivePart(from string, r *wire.SnapshotPart) {
	t := c.incoming
	if t != nil && t.term == c.term && r.Index < t.index {
		return // delayed: the leader has gone on to a newer snapshot
	}
	if t == nil || !t.accepts(c.term, r) {
		t = newIncomingTransfer(c.term, r)
		c.incoming = t
	}
	t.add(r)
	if !t.complete() {
		c.answerPart(from, r, t.received(), 0)
		return
	}
	c.incoming = nil
	if !t.intact() {
		c.answerPart(from, r, 0, 0)
		return
	}
	c.installSnapshot(&wire.SnapshotRequest{Index: r.Index, SnapshotTerm: r.SnapshotTerm, Members: r.Members, Data: t.data})
}

// answerPart tells the leader how much has been received. An answer with a match
// index promises that it is durable.
func (c *Core) answerPart(to string, r *wire.SnapshotPart, received, match uint64) {
	answer := &wire.SnapshotProgress{Index: r.Index, Checksum: r.Checksum, Received: received, Match: match, Round: r.Round}
	c.send(to, match > 0, &wire.ReplicaMessage{Term: c.term, Kind: &wire.ReplicaMessage_SnapshotProgress{SnapshotProgress: answer}})
}

func (c *Core) installSnapshot(s *wire.SnapshotRequest) {
	c.startFrom(s)
	c.reset = true
	c.unsavedFrom = 0
	c.out.Snapshot = s
	c.out.Committed = nil
}

// dropIncoming frees the memory of a transfer that can't be completed any more or
// that isn't needed.
func (c *Core) dropIncoming() {
	if t := c.incoming; t != nil && (t.term != c.term || t.index <= c.commit) {
		c.incoming = nil
	}
}

// savingSnapshot says whether a snapshot is being saved. That takes seconds for a
// large one, longer than the silence after which a leader steps down.
func (c *Core) savingSnapshot() bool {
	return slices.ContainsFunc(c.writes, func(w pendingWrite) bool { return w.snapshot })
}
