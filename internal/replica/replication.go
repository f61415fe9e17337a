package replica

import "github.com/cardamomline/cardamomline/internal/wire"

// syncPeers creates a peer for each new member and removes those of former members.
func (c *Core) syncPeers() {
	m := c.config()
	for _, member := range m.members {
		if member.Id != c.id && c.peers[member.Id] == nil {
			c.peers[member.Id] = &peer{next: c.log.last() + 1, sentAfter: c.log.last()}
		}
	}
	for id := range c.peers {
		if m.find(id) == nil {
			delete(c.peers, id)
		}
	}
}

// advanceCommit commits the entries that are durable on a majority. Entries of
// earlier terms commit only together with an entry of this term, because a later
// leader could still replace them.
func (c *Core) advanceCommit() {
	index := c.quorumIndex(c.matchIndex)
	if index <= c.commit || index < c.termStart {
		return
	}
	c.commit = index
}

func (c *Core) replicateAll() {
	// Iterating in the order of the member list makes the output deterministic.
	for _, member := range c.config().members {
		if p := c.peers[member.Id]; p != nil {
			c.replicate(member.Id, p)
		}
	}
	c.heartbeatDue = false
}

func (c *Core) replicate(id string, p *peer) {
	if p.transfer != nil {
		c.continueTransfer(id, p)
		return
	}
	heartbeat := c.heartbeatDue
	for {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok {
			c.startTransfer(id, p)
			return
		}
		var entries []*wire.LogEntry
		if p.ticksSinceResponse < c.o.ElectionTicks && p.next-p.match <= c.o.MaxInFlightEntries && c.bytesInFlight(p) < c.o.MaxInFlightBytes {
			entries = c.log.from(p.next, c.o.MaxMessageBytes)
		}
		if len(entries) == 0 && !heartbeat {
			return
		}
		c.sendAppend(id, p.next-1, prevTerm, entries)
		p.next += uint64(len(entries))
		heartbeat = false
	}
}

// bytesInFlight returns the size of the entries that were sent to a member and that it has not
// acknowledged. All entries that a step sends to a member may share one message of the transport.
func (c *Core) bytesInFlight(p *peer) uint64 {
	return c.log.bytes(max(p.match, p.sentAfter), p.next-1)
}

func (c *Core) sendAppend(id string, prev, prevTerm uint64, entries []*wire.LogEntry) {
	r := &wire.AppendRequest{PrevIndex: prev, PrevTerm: prevTerm, Commit: c.commit, Entries: entries, Round: c.round}
	c.send(id, false, &wire.ReplicaMessage{Term: c.term, Kind: &wire.ReplicaMessage_AppendRequest{AppendRequest: r}})
}

// acceptLeader accepts the sender of an append request or a snapshot part as the leader of
// the term.
func (c *Core) acceptLeader(leader string) bool {
	if c.termLeader != "" && c.termLeader != leader {
		c.failInvariant("one leader per term", "term %d is led by %s and by %s", c.term, c.termLeader, leader)
		return false
	}
	if c.role != Follower {
		c.becomeFollower(c.term)
	}
	c.termLeader = leader
	c.leader = leader
	c.electionElapsed = 0
	c.recordLeader()
	return true
}

func (c *Core) onAppendRequest(from string, r *wire.AppendRequest) {
	if !c.acceptLeader(from) {
		return
	}
	prev, prevTerm, entries := r.PrevIndex, r.PrevTerm, r.Entries
	if prev < c.log.offset {
		// Compacted entries are committed, so they match the leader's log.
		skip := min(c.log.offset-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev += skip
		if prev < c.log.offset {
			c.acknowledge(from, c.commit, r.Round)
			return
		}
		prevTerm = c.log.offsetTerm
	}
	term, ok := c.log.term(prev)
	if !ok || term != prevTerm {
		c.rejectAppend(from, prev, ok, r.Round)
		return
	}
	if !c.storeEntries(entries) {
		return
	}
	match := prev + uint64(len(entries))
	c.commit = max(c.commit, min(r.Commit, match))
	// The leader's log contains all committed entries, so they match as well.
	c.acknowledge(from, max(match, c.commit), r.Round)
}

func (c *Core) acknowledge(to string, match, round uint64) {
	if c.savingSnapshot() {
		// Saving a snapshot takes long, and the leader needs a response before that.
		c.send(to, false, appendResponse(c.term, &wire.AppendResponse{Ok: true, Round: round}))
	}
	c.send(to, true, appendResponse(c.term, &wire.AppendResponse{Ok: true, Match: match, Round: round}))
}

// rejectAppend responds with a hint at which the logs may match: the index before the
// first entry of the conflicting term, so that a complete term is skipped at once.
func (c *Core) rejectAppend(to string, prev uint64, conflict bool, round uint64) {
	if prev <= c.commit {
		c.failInvariant("committed prefixes agree", "entry %d of leader %s differs from the committed one", prev, to)
		return
	}
	hint := min(prev-1, c.log.last())
	if conflict {
		term, _ := c.log.term(prev)
		for hint > c.commit {
			t, ok := c.log.term(hint)
			if !ok || t != term {
				break
			}
			hint--
		}
	}
	c.send(to, false, appendResponse(c.term, &wire.AppendResponse{Hint: hint, Round: round}))
}

// storeEntries appends missing entries to the log and replaces conflicting ones.
func (c *Core) storeEntries(entries []*wire.LogEntry) bool {
	for _, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			if e.Index <= c.commit {
				c.failInvariant("committed prefixes agree", "entry %d of term %d replaces a committed one of term %d", e.Index, e.Term, term)
				return false
			}
			c.log.truncate(e.Index)
			c.truncateConfigs(e.Index)
			if c.unsavedFrom > e.Index {
				c.unsavedFrom = e.Index
			}
		}
		c.store(e)
	}
	return true
}

// recordResponse records that a member has acknowledged this leader, and returns its peer
// state, or nil if this replica isn't the leader or the sender isn't a member.
func (c *Core) recordResponse(from string, round uint64) *peer {
	if c.role != Leader {
		return nil
	}
	p := c.peers[from]
	if p == nil {
		return nil
	}
	p.ticksSinceResponse = 0
	p.ackedRound = max(p.ackedRound, round)
	return p
}

func (p *peer) advanceMatch(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.transfer != nil && p.match >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
}

func (c *Core) onAppendResponse(from string, r *wire.AppendResponse) {
	p := c.recordResponse(from, r.Round)
	if p == nil {
		return
	}
	if r.Ok {
		if r.Match > c.log.last() {
			c.failInvariant("members acknowledge only entries in the leader's log", "%s acknowledged entry %d, but the last entry is %d", from, r.Match, c.log.last())
			return
		}
		p.advanceMatch(r.Match)
		return
	}
	p.next = max(p.match+1, min(p.next, r.Hint+1))
	p.sentAfter = p.next - 1
}
