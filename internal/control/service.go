package control

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// maxPollWait limits how long a poll is held.
const maxPollWait = 30 * time.Second

// service is the twirp service of a control VM.
type service struct {
	c *Control
}

// Execute implements wire.Control.
func (s *service) Execute(ctx context.Context, r *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
	if r.GetCommand().GetKind() == nil {
		return nil, twirp.RequiredArgumentError("command")
	}
	if s.c.hasNothingToLease(r.GetCommand()) {
		return &wire.ExecuteResponse{Result: &wire.Result{}, Revision: s.c.o.Ledger.Revision()}, nil
	}
	result, err := s.c.propose(ctx, r.GetCommand())
	if err == nil {
		return &wire.ExecuteResponse{Result: result, Revision: s.c.o.Ledger.Revision()}, nil
	}
	leader, ok := forwardAddress(err, r.GetForwarded())
	if !ok {
		return nil, unavailable(err)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return s.c.leaderClient(leader).Execute(ctx, &wire.ExecuteRequest{Command: r.GetCommand(), Sender: r.GetSender(), Revision: r.GetRevision(), Forwarded: true})
}

// hasNothingToLease reports whether the command leases waiting requests when this leader
// has none. Such a command is answered without a log entry. A former leader that responds
// this way doesn't lease anything either.
func (c *Control) hasNothingToLease(cmd *wire.Command) bool {
	if _, ok := cmd.GetKind().(*wire.Command_LeaseWaiting); !ok {
		return false
	}
	return c.o.Node.Status().Role == replica.Leader && !c.o.Ledger.HasLeasable(c.logTimeMs())
}

// Query implements wire.Control.
func (s *service) Query(ctx context.Context, r *wire.QueryRequest) (*wire.QueryResponse, error) {
	resp, err := s.c.query(ctx, r)
	if err != nil {
		return nil, unavailable(err)
	}
	return resp, nil
}

// query performs a read after a quorum has confirmed this VM as the leader, or forwards it.
func (c *Control) query(ctx context.Context, r *wire.QueryRequest) (*wire.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	err := c.o.Node.Barrier(ctx)
	if err == nil {
		return c.readLedger(r), nil
	}
	leader, ok := forwardAddress(err, r.GetForwarded())
	if !ok {
		return nil, err
	}
	return c.leaderClient(leader).Query(ctx, &wire.QueryRequest{Kind: r.GetKind(), Forwarded: true})
}

// forwardAddress returns the leader's address if the error contains one. A call is
// forwarded only once, so that two VMs with outdated views can't forward it in a loop.
func forwardAddress(err error, forwarded bool) (address string, ok bool) {
	var notLeader *replica.NotLeaderError
	if forwarded || !errors.As(err, &notLeader) || notLeader.Leader() == "" {
		return "", false
	}
	return notLeader.Leader(), true
}

func unavailable(err error) error {
	return twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
}

func (c *Control) readLedger(r *wire.QueryRequest) *wire.QueryResponse {
	l := c.o.Ledger
	resp := &wire.QueryResponse{Revision: l.Revision()}
	switch k := r.GetKind().(type) {
	case *wire.QueryRequest_Order:
		resp.Order, resp.Found = l.Order(k.Order.GetCustomer(), k.Order.GetOrderId())
	case *wire.QueryRequest_Waiting:
		w, ok := l.Waiting(k.Waiting.GetId())
		// Another customer gets the same response as for a request that doesn't exist.
		if ok && (k.Waiting.GetOperator() || w.GetCustomer() == k.Waiting.GetCustomer()) {
			resp.Waiting, resp.Found = w, true
		}
	case *wire.QueryRequest_Manifest:
		resp.Manifest, resp.Found = l.Manifest(k.Manifest.GetRevision())
	case *wire.QueryRequest_History:
		resp.History = l.History(int(k.History.GetMax()))
	case *wire.QueryRequest_Drains:
		resp.Drains = l.Drains()
	case *wire.QueryRequest_Unsettled:
		resp.Orders = l.Unsettled(int(k.Unsettled.GetMax()))
	case *wire.QueryRequest_Revision:
		resp.Drains = l.Drains()
		resp.Fence = l.Fence(PlacementScope)
	}
	return resp
}

// PlacementScope is the scope of the fencing token for engine orders.
const PlacementScope = "placement"

// Heartbeat implements wire.Control.
func (s *service) Heartbeat(_ context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	if r.GetProcess().GetName() == "" || r.GetProcess().GetIncarnation() == "" {
		return nil, twirp.RequiredArgumentError("process")
	}
	want := s.c.o.Roster.Announce(r)
	resp := &wire.HeartbeatResponse{WantTarget: want, Revision: s.c.o.Ledger.Revision()}
	if last := s.c.freshConfirmation(); last != nil {
		resp.Confirmed = true
		resp.Revision = last.revision
		resp.Fence = last.fence
	}
	resp.Draining = s.c.isDraining(r.GetTargetName())
	resp.Waiting = s.c.o.Ledger.HasLeasable(s.c.logTimeMs())
	return resp, nil
}

// isDraining reports whether a target is drained. Without a quorum the last confirmed
// drains remain active.
func (c *Control) isDraining(target string) bool {
	last := c.confirmed.Load()
	return last != nil && slices.Contains(last.drains, target)
}

// Roster implements wire.Control.
func (s *service) Roster(ctx context.Context, r *wire.RosterRequest) (*wire.RosterResponse, error) {
	wait := s.c.o.Timers.After(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxPollWait))
	for {
		changed := s.c.o.Roster.Changed()
		resp := s.c.o.Roster.ChangesSince(r.GetSince(), r.GetEpoch())
		if r.GetLoads() {
			resp.Loads = s.c.o.Roster.Loads()
		}
		last := s.c.freshConfirmation()
		resp.Confirmed = last != nil && s.c.o.Timers.Since(s.c.startedAt) >= rosterWarmUp
		if last != nil {
			resp.Revision = last.revision
		}
		if len(resp.GetChanges()) > 0 || resp.GetFull() || r.GetWaitMs() == 0 {
			return resp, nil
		}
		select {
		case <-changed:
		case <-wait:
			return resp, nil
		case <-s.c.stopping:
			return nil, twirp.NewError(twirp.Unavailable, "this control VM is stopping")
		case <-ctx.Done():
			return nil, twirp.WrapError(twirp.NewError(twirp.Canceled, "poll ended"), ctx.Err())
		}
	}
}

// Config implements wire.Control. A revision is current only if this control VM has applied
// it and a quorum has confirmed it.
func (s *service) Config(ctx context.Context, r *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	wait := s.c.o.Timers.After(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxPollWait))
	for {
		changed := s.c.changes()
		resp := s.c.config(r.GetKnownRevision())
		if resp.GetManifest() != nil || r.GetWaitMs() == 0 || !resp.GetConfirmed() {
			return resp, nil
		}
		select {
		case <-changed:
		case <-wait:
			return s.c.config(r.GetKnownRevision()), nil
		case <-s.c.stopping:
			return nil, twirp.NewError(twirp.Unavailable, "this control VM is stopping")
		case <-ctx.Done():
			return nil, twirp.WrapError(twirp.NewError(twirp.Canceled, "poll ended"), ctx.Err())
		}
	}
}

func (c *Control) config(known uint64) *wire.ConfigResponse {
	last := c.freshConfirmation()
	newest, ok := c.o.Ledger.Manifest(0)
	resp := &wire.ConfigResponse{Confirmed: last != nil}
	if last == nil {
		return resp
	}
	if !ok || newest.GetRevision() < last.revision {
		// This control VM has not applied the confirmed revision yet.
		resp.Confirmed = last.revision == 0
		return resp
	}
	resp.Revision = newest.GetRevision()
	if newest.GetRevision() > known {
		resp.Manifest = c.recordFor(newest, known)
	}
	return resp
}

// recordFor returns the manifest for a reader that has the known revision: the delta to the
// next revision if this VM has it, otherwise the newest full manifest. A reader that missed
// several changes polls again immediately and applies one delta after the other, which
// after 50 changes of one customer each takes 4 KB instead of megabytes.
func (c *Control) recordFor(newest *wire.ManifestRecord, known uint64) *wire.ManifestRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addDeltas(newest)
	if next, ok := c.deltas[known]; ok {
		return next
	}
	return newest
}

// addDeltas adds the deltas between the revisions that are new since the last call. A
// change that is too large for a delta leaves a gap.
func (c *Control) addDeltas(newest *wire.ManifestRecord) {
	from := max(c.deltasUpTo, 1)
	for base := from; base < newest.GetRevision(); base++ {
		c.deltasUpTo = base + 1
		old, ok := c.o.Ledger.Manifest(base)
		next, nextOK := c.o.Ledger.Manifest(base + 1)
		if !ok || !nextOK {
			continue
		}
		if r := delta.DiffRecord(old, next, base); r.GetDelta() != nil {
			c.deltas[base] = r
		}
		delete(c.deltas, base-min(base, maxDeltas))
	}
}

// Status implements wire.Control.
func (s *service) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return s.c.status(), nil
}

func (c *Control) status() *wire.StatusResponse {
	st := c.o.Node.Status()
	ok, state := c.Ready()
	if ok {
		state = "ready"
	}
	counts := c.o.Ledger.Counts()
	resp := &wire.StatusResponse{
		ClusterId:     st.Cluster,
		MemberId:      st.Member,
		LeaderId:      st.LeaderID,
		LeaderAddress: st.LeaderAddress,
		Term:          st.Term,
		Commit:        st.Commit,
		Applied:       st.Applied,
		Losable:       int32(st.FaultTolerance),
		Roster:        c.o.Roster.Processes(),
		Revision:      c.o.Ledger.Revision(),
		Confirmed:     c.freshConfirmation() != nil,
		Drains:        c.o.Ledger.Drains(),
		Orders:        uint64(counts.Orders()),
		Waiting:       uint64(counts.Unfinished()),
		State:         state,
	}
	for _, m := range st.Members {
		resp.Members = append(resp.Members, &wire.MemberStatus{Member: m.Member, Match: m.Match, Active: m.Active, CaughtUp: m.CaughtUp})
	}
	return resp
}

// replicaService is the twirp service of the replicated log.
type replicaService struct {
	node *replica.Node
}

// Hello implements wire.Replica.
func (s *replicaService) Hello(_ context.Context, r *wire.HelloRequest) (*wire.HelloResponse, error) {
	return s.node.Hello(r), nil
}

// Deliver implements wire.Replica.
func (s *replicaService) Deliver(_ context.Context, e *wire.Envelope) (*wire.DeliverResponse, error) {
	s.node.Deliver(e)
	return &wire.DeliverResponse{}, nil
}
