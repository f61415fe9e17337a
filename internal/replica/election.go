package replica

import "github.com/cardamomline/cardamomline/internal/wire"

func (c *Core) tick() {
	c.handOverTick()
	if c.role == Leader {
		c.leaderTick()
		return
	}
	c.elapsed++
	if c.elapsed < c.timeout {
		return
	}
	c.leader = ""
	if c.config().isVoter(c.id) {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) leaderTick() {
	for _, p := range c.peers {
		p.silent++
		p.waited++
	}
	// An isolated leader steps down by its own count of ticks without answers.
	if c.activeVoters(c.config()) < c.config().quorum() {
		c.becomeFollower(c.term)
		return
	}
	c.heartbeatIn--
	if c.heartbeatIn <= 0 {
		c.heartbeatIn = c.o.HeartbeatTicks
		c.heartbeatDue = true
		c.commitBefore, c.commitRecent = c.commitRecent, c.commit
	}
	c.manageMembers()
}

func (c *Core) restartTimeout() {
	c.elapsed = 0
	c.timeout = c.o.ElectionTicks + c.random.IntN(c.o.ElectionTicks+1)
}

// becomeFollower follows in a term, whose leader may not be known yet.
func (c *Core) becomeFollower(term uint64) {
	if c.role == Leader {
		c.out.SteppedDown = true
		c.refuseReads()
		c.leader = ""
	}
	if c.role != Follower {
		c.restartTimeout()
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

// campaign asks the voters for pre-votes, which change nothing, or for votes. The
// voters are told when the leader asked for it by a hand-over.
func (c *Core) campaign(role Role, handOver bool) {
	c.role = role
	c.votes = map[string]bool{}
	c.restartTimeout()
	preVote := role == PreCandidate
	term := c.term + 1
	if !preVote {
		c.term = term
		c.vote = c.id
		c.termLeader = ""
		c.stateDirty = true
	}
	request := &wire.VoteRequest{LastIndex: c.log.last(), LastTerm: c.log.lastTerm(), PreVote: preVote, HandOver: handOver}
	for _, v := range c.config().voters() {
		if v.Id != c.id {
			// Even a pre-vote makes the cluster known, so its forming has to be durable.
			c.send(v.Id, true, &wire.ReplicaMessage{Term: term, Kind: &wire.ReplicaMessage_VoteRequest{VoteRequest: request}})
		}
	}
	// The own vote counts once it is durable: see onPersisted.
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
		c.violated("one leader per term", "term %d already has leader %s", c.term, c.termLeader)
		return
	}
	c.role = Leader
	c.leader = c.id
	c.termLeader = c.id
	c.peers = map[string]*peer{}
	c.match = 0
	c.round = 0
	c.newReads = nil
	c.reads = nil
	c.commitBefore, c.commitRecent = 0, 0
	c.heartbeatIn = c.o.HeartbeatTicks
	c.heartbeatDue = true
	c.syncPeers()
	c.termStart = c.appendEntry(wire.EntryKind_ENTRY_KIND_EMPTY, nil).Index
}

// logIsCurrent says whether a candidate's log is at least as new as the own one.
func (c *Core) logIsCurrent(r *wire.VoteRequest) bool {
	if r.LastTerm != c.log.lastTerm() {
		return r.LastTerm > c.log.lastTerm()
	}
	return r.LastIndex >= c.log.last()
}

func (c *Core) answerPreVote(from string, term uint64, r *wire.VoteRequest) {
	if c.logIsCurrent(r) {
		c.send(from, false, voteResponse(term, &wire.VoteResponse{PreVote: true, Granted: true}))
		return
	}
	c.send(from, false, voteResponse(c.term, &wire.VoteResponse{PreVote: true}))
}

func (c *Core) onVoteRequest(from string, r *wire.VoteRequest) {
	if r.PreVote {
		// The sender asks for a term that has begun already.
		c.send(from, false, voteResponse(c.term, &wire.VoteResponse{PreVote: true}))
		return
	}
	granted := (c.vote == "" || c.vote == from) && c.logIsCurrent(r)
	if granted {
		if c.role == PreCandidate {
			c.becomeFollower(c.term)
		}
		if c.vote != from {
			c.vote = from
			c.stateDirty = true
		}
		c.restartTimeout()
	}
	c.send(from, true, voteResponse(c.term, &wire.VoteResponse{Granted: granted}))
}

func (c *Core) onVoteResponse(from string, r *wire.VoteResponse) {
	if c.role == Candidate && !r.PreVote && r.Granted {
		c.countVote(from)
	}
}
