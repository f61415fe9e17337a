package replica

import (
	"context"
	"fmt"
)

// Reasons of a RemovalError.
const (
	// RemovalUnknown: no member has the id.
	RemovalUnknownMember = "unknown_member"
	// RemovalLeader: the member leads.
	RemovalMemberIsLeader = "member_leads"
	// RemovalBusy: another member change runs.
	RemovalChangeInProgress = "member_change_runs"
	// RemovalQuorum: fewer voters than a quorum would be reachable.
	RemovalNoQuorum = "no_quorum_left"
	// RemovalAnswers: the member isn't gone.
	RemovalMemberReachable = "member_answers"
)

// RemovalError reports why a member isn't removed.
type RemovalError struct {
	reason string
	detail string
}

// Reason returns one of the constants above.
func (e *RemovalError) Reason() string { return e.reason }

// Detail explains the reason in one sentence.
func (e *RemovalError) Detail() string { return e.detail }

// Error implements error.
func (e *RemovalError) Error() string { return e.reason + ": " + e.detail }

func refuseRemoval(reason, format string, args ...any) *RemovalError {
	return &RemovalError{reason: reason, detail: fmt.Sprintf(format, args...)}
}

func (c *Core) onRemoveMember(r RemoveMember) {
	if c.role != Leader {
		c.out.Refused = append(c.out.Refused, r.ID)
		return
	}
	if err := c.checkRemoval(r.Member); err != nil {
		c.out.Removals = append(c.out.Removals, RefusedRemoval{ID: r.ID, Err: err})
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
		return refuseRemoval(RemovalUnknownMember, "No member has the id %s.", id)
	case id == c.id:
		return refuseRemoval(RemovalMemberIsLeader, "%s leads. Stop it first, so that another one leads.", id)
	case !c.mayChangeMembers():
		return refuseRemoval(RemovalChangeInProgress, "Another member change runs or the leader has just begun or is stopping. Try again when it is done.")
	case active < next.quorum():
		return refuseRemoval(RemovalNoQuorum, "Without %s only %d of %d voters would be reachable, and a quorum is %d.", id, active, len(next.voters()), next.quorum())
	case c.heard(id):
		// It would come back as a learner at once.
		return refuseRemoval(RemovalMemberReachable, "%s still answers. Stop it first.", id)
	}
	return nil
}

// RemoveMember removes a member that is gone and returns once that is committed.
// The error is a *RemovalError or one of those of Propose.
func (n *Node) RemoveMember(ctx context.Context, member string) error {
	if n.life.Err() != nil {
		return n.stopError()
	}
	id, c := n.calls.open()
	n.inbox.put(RemoveMember{ID: id, Member: member})
	_, err := n.wait(ctx, id, c)
	return err
}
