package control

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// RemoveMember implements wire.Control.
func (s *service) RemoveMember(ctx context.Context, r *wire.RemoveMemberRequest) (*wire.RemoveMemberResponse, error) {
	if r.GetMemberId() == "" {
		return nil, twirp.RequiredArgumentError("member_id")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	member := s.c.member(r.GetMemberId())
	err := s.c.o.Node.RemoveMember(ctx, r.GetMemberId())
	var removalErr *replica.RemovalError
	switch {
	case err == nil:
		klog.InfoS("Member removed", "member", r.GetMemberId(), "address", member.GetAddress())
		return &wire.RemoveMemberResponse{Member: member}, nil
	case errors.As(err, &removalErr):
		return &wire.RemoveMemberResponse{Refusal: removalErr.Reason(), Detail: removalErr.Detail()}, nil
	}
	leader, ok := forwardAddress(err, r.GetForwarded())
	if !ok {
		return nil, unavailable(err)
	}
	return s.c.leaderClient(leader).RemoveMember(ctx, &wire.RemoveMemberRequest{MemberId: r.GetMemberId(), Forwarded: true})
}

// member returns the member with the ID, or nil.
func (c *Control) member(id string) *wire.Member {
	for _, m := range c.o.Node.Status().Members {
		if m.Member.GetId() == id {
			return m.Member
		}
	}
	return nil
}
