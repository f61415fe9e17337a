package replica

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// maxPartsInFlight limits the unacknowledged parts. The transport may combine
	// them into one message, which has a timeout of 2 s.
	maxPartsInFlight = 4
	// partRetryTicks is the time without progress after which a leader resends parts.
	// It is longer than the 2 s after which the transport drops a message.
	partRetryTicks = 45
	// transferTimeoutTicks is the time without a response after which a leader abandons
	// a transfer, because the transfer retains a snapshot and log entries in memory.
	transferTimeoutTicks = 200
)

// outgoingTransfer is a snapshot that a leader sends to a member in parts. It
// continues with its snapshot when a newer one is taken: under load, a leader would
// otherwise restart the transfer each time and never complete it.
type outgoingTransfer struct {
	snapshot *wire.SnapshotRequest
	checksum uint64
	acked    uint64 // offset up to which the member has received the data
	sent     uint64 // offset up to which the data was sent
}

func newOutgoingTransfer(s *wire.SnapshotRequest) *outgoingTransfer {
	return &outgoingTransfer{snapshot: s, checksum: xxhash.Sum64(s.Data)}
}

func (t *outgoingTransfer) size() uint64 { return uint64(len(t.snapshot.Data)) }

// part returns up to maxBytes of data at an offset, which share memory with the
// snapshot.
func (t *outgoingTransfer) part(offset uint64, maxBytes int) []byte {
	end := min(offset+uint64(maxBytes), t.size())
	return t.snapshot.Data[offset:end:end]
}

// progress updates the offset up to which the member has received the data. A lower
// offset than before means that the member restarted or that a response was delayed;
// in the latter case the next response corrects it.
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

// startTransfer starts sending the latest snapshot to a member that needs entries
// that have been compacted.
func (c *Core) startTransfer(id string, p *peer) {
	if p.ticksSinceResponse >= c.o.ElectionTicks {
		if c.heartbeatDue {
			c.sendAppend(id, 0, 0, nil)
		}
		return
	}
	p.transfer = newOutgoingTransfer(c.snapshot)
	p.ticksSinceProgress = 0
	// This is the only part of a snapshot without data.
	c.sendPart(id, p.transfer, 0, nil)
	c.sendParts(id, p)
}

// continueTransfer sends the next parts, or a heartbeat if one is due.
func (c *Core) continueTransfer(id string, p *peer) {
	t := p.transfer
	if p.ticksSinceResponse > transferTimeoutTicks {
		p.transfer = nil
		c.startTransfer(id, p)
		return
	}
	if p.ticksSinceProgress > partRetryTicks {
		t.sent = t.acked
		p.ticksSinceProgress = 0
	}
	sent := p.ticksSinceResponse < c.o.ElectionTicks && c.sendParts(id, p)
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
	p := c.recordResponse(from, r.Round)
	if p == nil {
		return
	}
	p.advanceMatch(r.Match)
	t := p.transfer
	if t == nil || r.Index != t.snapshot.Index || r.Checksum != t.checksum {
		return
	}
	if t.progress(r.Received) {
		p.ticksSinceProgress = 0
	}
}

// compactionIndex returns the index up to which the log may be compacted after a
// snapshot. A member that receives an older snapshot, or catches up after it, needs
// the entries that follow; without them, a leader under load would send it one
// snapshot after another.
func (c *Core) compactionIndex(snapshot uint64) uint64 {
	index := max(snapshot-min(snapshot, c.o.RetainedEntries), c.log.indexBefore(snapshot, c.o.RetainedBytes))
	for _, p := range c.peers {
		switch {
		case p.transfer != nil:
			index = min(index, p.transfer.snapshot.Index)
		case p.ticksSinceResponse < c.o.ElectionTicks:
			index = min(index, p.match)
		}
	}
	return max(index, snapshot-min(snapshot, c.o.MaxRetainedEntries), c.log.indexBefore(snapshot, c.o.MaxRetainedBytes))
}

// incomingTransfer is a partially received snapshot. It isn't durable: after a
// restart the transfer starts over.
type incomingTransfer struct {
	term         uint64 // term of the sending leader
	index        uint64
	snapshotTerm uint64
	size         uint64
	checksum     uint64
	data         []byte
}

func newIncomingTransfer(term uint64, r *wire.SnapshotPart) *incomingTransfer {
	return &incomingTransfer{term: term, index: r.Index, snapshotTerm: r.SnapshotTerm, size: r.Size, checksum: r.Checksum}
}

// matches reports whether a part belongs to the transfer. Since each term has a
// single leader, parts from another leader have another term.
func (t *incomingTransfer) matches(term uint64, r *wire.SnapshotPart) bool {
	return t.term == term && t.index == r.Index && t.snapshotTerm == r.SnapshotTerm && t.size == r.Size && t.checksum == r.Checksum
}

func (t *incomingTransfer) received() uint64 { return uint64(len(t.data)) }

// add appends a part if it continues the data. The leader resends any other part.
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
	if !c.acceptLeader(from) {
		return
	}
	if term, ok := c.log.term(r.Index); ok && term == r.SnapshotTerm {
		c.commit = max(c.commit, r.Index)
	}
	if r.Index > c.commit {
		c.receivePart(from, r)
	}
	if r.Index <= c.commit {
		// Saving a large snapshot takes longer than the election timeout, so the first
		// response is sent without waiting for the save.
		c.respondPart(from, r, r.Size, 0)
		c.respondPart(from, r, r.Size, c.commit)
	}
}

// receivePart adds a part and installs the snapshot once it is complete.
func (c *Core) receivePart(from string, r *wire.SnapshotPart) {
	t := c.incoming
	if t != nil && t.term == c.term && r.Index < t.index {
		return // delayed: the leader already sends a newer snapshot
	}
	if t == nil || !t.matches(c.term, r) {
		t = newIncomingTransfer(c.term, r)
		c.incoming = t
	}
	t.add(r)
	if !t.complete() {
		c.respondPart(from, r, t.received(), 0)
		return
	}
	c.incoming = nil
	if !t.intact() {
		c.respondPart(from, r, 0, 0)
		return
	}
	c.installSnapshot(&wire.SnapshotRequest{Index: r.Index, SnapshotTerm: r.SnapshotTerm, Members: r.Members, Data: t.data})
}

// respondPart reports the received bytes to the leader. A response with a match index
// is sent only after the entries up to that index are durable.
func (c *Core) respondPart(to string, r *wire.SnapshotPart, received, match uint64) {
	response := &wire.SnapshotProgress{Index: r.Index, Checksum: r.Checksum, Received: received, Match: match, Round: r.Round}
	c.send(to, match > 0, &wire.ReplicaMessage{Term: c.term, Kind: &wire.ReplicaMessage_SnapshotProgress{SnapshotProgress: response}})
}

func (c *Core) installSnapshot(s *wire.SnapshotRequest) {
	c.resetToSnapshot(s)
	c.replaceJournal = true
	c.unsavedFrom = 0
	c.out.Snapshot = s
	c.out.Committed = nil
}

// discardStaleTransfer releases a transfer that can no longer be completed or is no longer
// needed.
func (c *Core) discardStaleTransfer() {
	if t := c.incoming; t != nil && (t.term != c.term || t.index <= c.commit) {
		c.incoming = nil
	}
}

// savingSnapshot reports whether a snapshot is being saved. For a large snapshot this
// takes seconds, longer than the election timeout after which a leader steps down.
func (c *Core) savingSnapshot() bool {
	return slices.ContainsFunc(c.writes, func(w pendingWrite) bool { return w.snapshot })
}
