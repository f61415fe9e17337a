package replica

func (c *Core) onRead(id uint64) {
	if c.role != Leader && c.handOver != nil {
		c.handOver.reads = append(c.handOver.reads, id)
		return
	}
	if c.role != Leader {
		c.out.RefusedReads = append(c.out.RefusedReads, id)
		return
	}
	c.newReads = append(c.newReads, id)
}

// startReads gives waiting reads a read index and starts the round that confirms
// it. A new leader knows the commit index only once an entry of its own term is
// committed.
func (c *Core) startReads() {
	if len(c.newReads) == 0 || c.commit < c.termStart {
		return
	}
	c.round++
	c.reads = append(c.reads, readBatch{round: c.round, index: c.commit, ids: c.newReads})
	c.newReads = nil
	c.heartbeatDue = true
}

// confirmReads releases the reads whose round a majority has answered: no other
// leader can have been elected before the round began.
func (c *Core) confirmReads() {
	round := c.quorumIndex(c.roundOf)
	for len(c.reads) > 0 && c.reads[0].round <= round {
		for _, id := range c.reads[0].ids {
			c.out.Reads = append(c.out.Reads, ReadState{ID: id, Index: c.reads[0].index})
		}
		c.reads = c.reads[1:]
	}
}

func (c *Core) roundOf(id string) uint64 {
	if id == c.id {
		return c.round
	}
	if p := c.peers[id]; p != nil {
		return p.round
	}
	return 0
}

// refuseReads refuses the reads under way; during a hand-over they wait for its end.
func (c *Core) refuseReads() {
	ids := c.newReads
	for _, b := range c.reads {
		ids = append(ids, b.ids...)
	}
	c.newReads, c.reads = nil, nil
	if c.handOver != nil {
		c.handOver.reads = append(c.handOver.reads, ids...)
		return
	}
	c.out.RefusedReads = append(c.out.RefusedReads, ids...)
}
