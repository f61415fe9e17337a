package replica

func (c *Core) onRead(id uint64) {
	if c.role != Leader && c.leadershipTransfer != nil {
		c.leadershipTransfer.reads = append(c.leadershipTransfer.reads, id)
		return
	}
	if c.role != Leader {
		c.out.RejectedReads = append(c.out.RejectedReads, id)
		return
	}
	c.newReads = append(c.newReads, id)
}

// startReads assigns a read index to the pending reads and starts the round that
// confirms it. A new leader knows the commit index only once an entry of its own
// term is committed.
func (c *Core) startReads() {
	if len(c.newReads) == 0 || c.commit < c.termStart {
		return
	}
	c.round++
	c.reads = append(c.reads, readBatch{round: c.round, index: c.commit, ids: c.newReads})
	c.newReads = nil
	c.heartbeatDue = true
}

// confirmReads completes the reads whose round a majority has acknowledged, which
// proves that no other leader was elected before the round started.
func (c *Core) confirmReads() {
	round := c.quorumIndex(c.ackedRound)
	for len(c.reads) > 0 && c.reads[0].round <= round {
		for _, id := range c.reads[0].ids {
			c.out.Reads = append(c.out.Reads, ReadState{ID: id, Index: c.reads[0].index})
		}
		c.reads = c.reads[1:]
	}
}

func (c *Core) ackedRound(id string) uint64 {
	if id == c.id {
		return c.round
	}
	if p := c.peers[id]; p != nil {
		return p.ackedRound
	}
	return 0
}

// rejectReads rejects the pending reads, or queues them until the end of a leadership
// transfer in progress.
func (c *Core) rejectReads() {
	ids := c.newReads
	for _, b := range c.reads {
		ids = append(ids, b.ids...)
	}
	c.newReads, c.reads = nil, nil
	if c.leadershipTransfer != nil {
		c.leadershipTransfer.reads = append(c.leadershipTransfer.reads, ids...)
		return
	}
	c.out.RejectedReads = append(c.out.RejectedReads, ids...)
}
