package replica

import (
	"context"
	"fmt"
)

// Reasons returned by RemovalError.Reason.
const (
	// RemovalUnknownMember means that no member has the id.
	RemovalUnknownMember = "unknown_member"
	// RemovalMemberIsLeader means that the member is the leader.
	RemovalMemberIsLeader = "member_leads"
	// RemovalChangeInProgress means that member changes aren't possible at present, for
	// example because another one is in progress.
	RemovalChangeInProgress = "member_change_runs"
	// RemovalNoQuorum means that fewer voters than a quorum would be reachable.
	RemovalNoQuorum = "no_quorum_left"
	// RemovalMemberReachable means that the member still responds.
	RemovalMemberReachable = "member_answers"
)

// RemovalError reports that a member removal was rejected.
type RemovalError struct {
	reason string
	detail string
}

// Reason returns one of the Removal constants.
func (e *RemovalError) Reason() string { return e.reason }

// Detail returns an explanation for the operator.
func (e *RemovalError) Detail() string { return e.detail }

// Error implements error.
func (e *RemovalError) Error() string { return e.reason + ": " + e.detail }

func newRemovalError(reason, format string, args ...any) *RemovalError {
	return &RemovalError{reason: reason, detail: fmt.Sprintf(format, args...)}
}

func (c *Core) onRemoveMember(r RemoveMember) {
	if c.role != Leader {
		c.out.RejectedProposals = append(c.out.RejectedProposals, r.ID)
		return
	}
	if err := c.checkRemoval(r.Member); err != nil {
		c.out.RejectedRemovals = append(c.out.RejectedRemovals, RejectedRemoval{ID: r.ID, Err: err})
		return
	}
	if e := c.proposeMembers(c.config().without(r.Member)); e != nil {
		c.out.Accepted = append(c.out.Accepted, Accepted{ID: r.ID, Index: e.Index, Term: e.Term})
	}
}

func (c *Core) checkRemoval(id string) *RemovalError {
	m := c.config()
	next := m.without(id)
	active := c.activeVoters(next)
	switch {
	case m.find(id) == nil:
		return newRemovalError(RemovalUnknownMember, "No member has the id %s.", id)
	case id == c.id:
		return newRemovalError(RemovalMemberIsLeader, "%s leads. Stop it first, so that another one leads.", id)
	case !c.mayChangeMembers():
		return newRemovalError(RemovalChangeInProgress, "Another member change is in progress, or the leader was just elected or is stopping. Try again later.")
	case active < next.quorum():
		return newRemovalError(RemovalNoQuorum, "Without %s only %d of %d voters would be reachable, and a quorum is %d.", id, active, len(next.voters()), next.quorum())
	case c.recentlyActive(id):
		// The member would immediately rejoin as a learner.
		return newRemovalError(RemovalMemberReachable, "%s still responds. Stop it first.", id)
	}
	return nil
}

// RemoveMember removes an unreachable member and returns once the change is
// committed. The error is a *RemovalError or one of the errors of Propose.
func (n *Node) RemoveMember(ctx context.Context, member string) error {
	if n.ctx.Err() != nil {
		return n.stopError()
	}
	id, c := n.calls.register()
	n.events.put(RemoveMember{ID: id, Member: member})
	_, err := n.wait(ctx, id, c)
	return err
}
