package replica

import "github.com/cardamomline/cardamomline/internal/wire"

func (c *Core) tick() {
	c.leadershipTransferTick()
	if c.role == Leader {
		c.leaderTick()
		return
	}
	c.electionElapsed++
	if c.electionElapsed < c.electionTimeout {
		return
	}
	c.leader = ""
	if c.config().isVoter(c.id) && !c.storageFailed {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) leaderTick() {
	for _, p := range c.peers {
		p.ticksSinceResponse++
		p.ticksSinceProgress++
	}
	// An isolated leader steps down when it has received no response from a quorum
	// for an election timeout.
	if c.activeVoters(c.config()) < c.config().quorum() {
		c.becomeFollower(c.term)
		return
	}
	c.ticksToHeartbeat--
	if c.ticksToHeartbeat <= 0 {
		c.ticksToHeartbeat = c.o.HeartbeatTicks
		c.heartbeatDue = true
		c.previousCommit, c.latestCommit = c.latestCommit, c.commit
	}
	c.promoteLearners()
}

func (c *Core) resetElectionTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = c.minElectionTicks + c.random.IntN(c.o.ElectionTicks+1)
}

// recordLeader ends the short election timeouts of the time after the start.
func (c *Core) recordLeader() {
	if c.minElectionTicks < c.o.ElectionTicks {
		c.minElectionTicks = c.o.ElectionTicks
		c.resetElectionTimeout()
	}
}

// becomeFollower switches to the follower role in a term whose leader may be unknown.
func (c *Core) becomeFollower(term uint64) {
	if c.role == Leader {
		c.out.SteppedDown = true
		c.rejectReads()
		c.leader = ""
	}
	if c.role != Follower {
		c.resetElectionTimeout()
	}
	c.role = Follower
	c.peers = nil
	if term > c.term {
		c.term = term
		c.vote = ""
		c.leader = ""
		c.termLeader = ""
		c.stateDirty = true
	}
}

// campaign requests pre-votes, which don't change the voters' state, or votes. The
// request indicates whether the leader initiated it by a leadership transfer.
func (c *Core) campaign(role Role, transfer bool) {
	c.role = role
	c.votes = map[string]bool{}
	preVote := role == PreCandidate
	if !preVote {
		c.minElectionTicks = min(2*c.minElectionTicks, c.o.ElectionTicks)
	}
	c.resetElectionTimeout()
	term := c.term + 1
	if !preVote {
		c.term = term
		c.vote = c.id
		c.termLeader = ""
		c.stateDirty = true
	}
	request := &wire.VoteRequest{LastIndex: c.log.last(), LastTerm: c.log.lastTerm(), PreVote: preVote, HandOver: transfer}
	for _, v := range c.config().voters() {
		if v.Id != c.id {
			// Even a pre-vote reveals the cluster, so its creation has to be durable first.
			c.send(v.Id, true, &wire.ReplicaMessage{Term: term, Kind: &wire.ReplicaMessage_VoteRequest{VoteRequest: request}})
		}
	}
	// The own vote is counted once it is durable, in onPersisted.
	if preVote {
		c.countVote(c.id)
	}
}

func (c *Core) countVote(from string) {
	c.votes[from] = true
	n := 0
	for _, v := range c.config().voters() {
		if c.votes[v.Id] {
			n++
		}
	}
	if n < c.config().quorum() {
		return
	}
	if c.role == PreCandidate {
		c.campaign(Candidate, false)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	if c.termLeader != "" {
		c.failInvariant("one leader per term", "term %d already has leader %s", c.term, c.termLeader)
		return
	}
	c.recordLeader()
	c.role = Leader
	c.leader = c.id
	c.termLeader = c.id
	c.peers = map[string]*peer{}
	c.match = 0
	c.round = 0
	c.newReads = nil
	c.reads = nil
	c.previousCommit, c.latestCommit = 0, 0
	c.ticksToHeartbeat = c.o.HeartbeatTicks
	c.heartbeatDue = true
	c.syncPeers()
	c.termStart = c.appendEntry(wire.EntryKind_ENTRY_KIND_EMPTY, nil).Index
}

// isLogUpToDate reports whether a candidate's log is at least as up to date as the
// own log.
func (c *Core) isLogUpToDate(r *wire.VoteRequest) bool {
	if r.LastTerm != c.log.lastTerm() {
		return r.LastTerm > c.log.lastTerm()
	}
	return r.LastIndex >= c.log.last()
}

func (c *Core) respondPreVote(from string, term uint64, r *wire.VoteRequest) {
	if c.isLogUpToDate(r) {
		c.send(from, false, voteResponse(term, &wire.VoteResponse{PreVote: true, Granted: true}))
		return
	}
	c.send(from, false, voteResponse(c.term, &wire.VoteResponse{PreVote: true}))
}

func (c *Core) onVoteRequest(from string, r *wire.VoteRequest) {
	if r.PreVote {
		// Rejected, because the term that the pre-vote is for has already started.
		c.send(from, false, voteResponse(c.term, &wire.VoteResponse{PreVote: true}))
		return
	}
	granted := (c.vote == "" || c.vote == from) && c.isLogUpToDate(r)
	if granted {
		if c.role == PreCandidate {
			c.becomeFollower(c.term)
		}
		if c.vote != from {
			c.vote = from
			c.stateDirty = true
		}
		c.resetElectionTimeout()
	}
	c.send(from, true, voteResponse(c.term, &wire.VoteResponse{Granted: granted}))
}

func (c *Core) onVoteResponse(from string, r *wire.VoteResponse) {
	if c.role == Candidate && !r.PreVote && r.Granted {
		c.countVote(from)
	}
}
