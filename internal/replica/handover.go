package replica

import (
	"context"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// handOver is the transfer of leadership by a leader that is about to stop.
type handOver struct {
	id    uint64
	ticks int // since it began
	asked int // ticks at which a voter was last asked to stand, or -1
	// proposals, and reads that come after the end of the term, wait for the outcome:
	// they are refused with the new leader's address, or accepted when the hand-over
	// fails.
	proposals []Propose
	reads     []uint64
}

func (c *Core) onHandOver(id uint64) {
	if c.handOver != nil || c.role != Leader {
		c.out.LeadershipTransferred = append(c.out.LeadershipTransferred, id)
		return
	}
	c.handOver = &handOver{id: id, asked: -1}
}

func (c *Core) handOverTick() {
	if c.handOver != nil {
		c.handOver.ticks++
	}
}

// advanceHandOver asks a voter to stand once it holds the whole log, and ends the
// hand-over when another leader is known, when one election timeout has passed or
// no other voter answers.
func (c *Core) advanceHandOver() {
	h := c.handOver
	switch {
	case h == nil:
	case c.role == Follower && c.leader != "":
		c.endHandOver()
		c.out.LeadershipTransferred = append(c.out.LeadershipTransferred, h.id)
	case h.ticks >= c.o.ElectionTicks, c.role == Leader && c.activeVoters(c.config()) < 2:
		c.endHandOver()
		c.out.LeadershipTransferFailed = append(c.out.LeadershipTransferFailed, h.id)
	case c.role == Leader:
		c.askToStand(h)
	}
}

// endHandOver answers the proposals and reads that waited. Those that are accepted
// here are sent to the others with the next output.
func (c *Core) endHandOver() {
	waited := c.handOver
	c.handOver = nil
	for _, p := range waited.proposals {
		c.onPropose(p)
	}
	for _, id := range waited.reads {
		c.onRead(id)
	}
}

// askToStand asks again every heartbeat period, because the request may be lost.
// Before the log is committed nobody is asked, so that no accepted proposal is
// left uncertain.
func (c *Core) askToStand(h *handOver) {
	if c.commit < c.log.last() || h.asked >= 0 && h.ticks < h.asked+c.o.HeartbeatTicks {
		return
	}
	successor := c.successor()
	if successor == "" {
		return
	}
	h.asked = h.ticks
	request := &wire.HandOverRequest{LastIndex: c.log.last()}
	c.send(successor, false, &wire.ReplicaMessage{Term: c.term, Kind: &wire.ReplicaMessage_HandOverRequest{HandOverRequest: request}})
}

// successor returns the voter that holds the whole log and answered last, or "".
func (c *Core) successor() string {
	best := ""
	for _, v := range c.config().voters() {
		p := c.peers[v.Id]
		if p == nil || p.match < c.log.last() || !c.heard(v.Id) {
			continue
		}
		if best == "" || p.silent < c.peers[best].silent {
			best = v.Id
		}
	}
	return best
}

// onHandOverRequest stands for election without a pre-vote. A request that was
// delayed until the log has grown belongs to a hand-over that was given up.
func (c *Core) onHandOverRequest(r *wire.HandOverRequest) {
	if c.role == Leader || c.role == Candidate || c.handOver != nil || !c.config().isVoter(c.id) {
		return
	}
	if c.log.last() != r.LastIndex || c.log.lastTerm() != c.term {
		return
	}
	c.leader = ""
	c.campaign(Candidate, true)
}

// TransferLeadership lets another voter lead in the place of this replica and returns once
// that one leads. Proposals and reads wait meanwhile and are refused with the new leader's
// address. It does nothing at a replica that doesn't lead. The error is a
// *HandOverError, after which this replica may still lead, a *StoppedError or
// that of ctx.
func (n *Node) TransferLeadership(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if n.life.Err() != nil {
		return n.stopError()
	}
	id, c := n.calls.open()
	n.inbox.put(TransferLeadership{ID: id})
	_, err := n.wait(ctx, id, c)
	return err
}
