package replica

import (
	"context"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// noCall is the id of a leadership transfer that no caller waits for.
const noCall = 0

// leadershipTransfer is a leadership transfer in progress.
type leadershipTransfer struct {
	id          uint64
	ticks       int // ticks since the transfer started
	requestedAt int // value of ticks when the last request was sent to a voter, or -1
	// proposals, and reads that arrive after the end of the term, are queued until the
	// outcome: they are rejected with the new leader's address, or accepted if the
	// transfer fails.
	proposals []Propose
	reads     []uint64
}

func (c *Core) onTransferLeadership(id uint64) {
	if c.leadershipTransfer != nil || c.role != Leader {
		c.out.LeadershipTransferred = append(c.out.LeadershipTransferred, id)
		return
	}
	c.leadershipTransfer = &leadershipTransfer{id: id, requestedAt: -1}
}

func (c *Core) leadershipTransferTick() {
	if c.leadershipTransfer != nil {
		c.leadershipTransfer.ticks++
	}
}

// advanceLeadershipTransfer requests that a voter with the complete log start an election. The
// transfer ends when another leader is known, after one election timeout, or when
// no other voter responds.
func (c *Core) advanceLeadershipTransfer() {
	t := c.leadershipTransfer
	switch {
	case t == nil:
	case c.role == Follower && c.leader != "":
		c.endLeadershipTransfer()
		c.out.LeadershipTransferred = append(c.out.LeadershipTransferred, t.id)
	case t.ticks >= c.o.ElectionTicks, c.role == Leader && c.activeVoters(c.config()) < 2:
		if c.storageFailed && c.role == Leader {
			c.becomeFollower(c.term)
		}
		c.endLeadershipTransfer()
		c.out.LeadershipTransferFailed = append(c.out.LeadershipTransferFailed, t.id)
	case c.role == Leader:
		c.requestElection(t)
	}
}

// endLeadershipTransfer processes the queued proposals and reads. Accepted proposals are
// replicated with the next output.
func (c *Core) endLeadershipTransfer() {
	t := c.leadershipTransfer
	c.leadershipTransfer = nil
	for _, p := range t.proposals {
		c.onPropose(p)
	}
	for _, id := range t.reads {
		c.onRead(id)
	}
}

// requestElection repeats the request every heartbeat period, because it may be lost. It
// sends none before the complete log is committed, so that the outcome of every
// accepted proposal is known.
func (c *Core) requestElection(t *leadershipTransfer) {
	if c.commit < c.log.last() || t.requestedAt >= 0 && t.ticks < t.requestedAt+c.o.HeartbeatTicks {
		return
	}
	successor := c.successor()
	if successor == "" {
		return
	}
	t.requestedAt = t.ticks
	request := &wire.HandOverRequest{LastIndex: c.log.last()}
	c.send(successor, false, &wire.ReplicaMessage{Term: c.term, Kind: &wire.ReplicaMessage_HandOverRequest{HandOverRequest: request}})
}

// successor returns the voter with the complete log that responded most recently,
// or "" if there is none.
func (c *Core) successor() string {
	best := ""
	for _, v := range c.config().voters() {
		p := c.peers[v.Id]
		if p == nil || p.match < c.log.last() || !c.recentlyActive(v.Id) {
			continue
		}
		if best == "" || p.ticksSinceResponse < c.peers[best].ticksSinceResponse {
			best = v.Id
		}
	}
	return best
}

// onHandOverRequest starts an election without a pre-vote. A request whose last
// index isn't the end of the log is stale: its leadership transfer was abandoned.
func (c *Core) onHandOverRequest(r *wire.HandOverRequest) {
	if c.role == Leader || c.role == Candidate || c.leadershipTransfer != nil || c.storageFailed || !c.config().isVoter(c.id) {
		return
	}
	if c.log.last() != r.LastIndex || c.log.lastTerm() != c.term {
		return
	}
	c.leader = ""
	c.campaign(Candidate, true)
}

// TransferLeadership transfers the leadership to another voter and returns once that
// voter is the leader. Proposals and reads are queued in the meantime and then rejected
// with the new leader's address. If this replica isn't the leader, the call has no
// effect. The error is a *LeadershipTransferError, after which this replica may still
// be the leader, a *StoppedError or the error of ctx.
func (n *Node) TransferLeadership(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if n.ctx.Err() != nil {
		return n.stopError()
	}
	id, c := n.calls.register()
	n.events.put(TransferLeadership{ID: id})
	_, err := n.wait(ctx, id, c)
	return err
}
