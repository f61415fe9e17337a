package directory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/evacuation"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// orderSettleTime is the time between the arrival of an order and its proposal. An order that
	// a network has held back arrives together with the end of its connection, because its client
	// has given up and may have given newer orders since; it is dropped.
	orderSettleTime = 20 * time.Millisecond
	// overtakenRetryTime is the time after the arrival of an order in which a control VM that is in
	// contact with a quorum gives it again if it was overtaken. Followers learn of an order up to
	// 100 ms after it was committed, so that one that follows it at once would be refused; and its
	// client, who waits for 1 s, can't have given a newer one yet.
	overtakenRetryTime = 300 * time.Millisecond
	// firstConfirmationTime is the time after its start in which a control VM doesn't use the
	// evacuations that it has before a quorum has confirmed them. Afterwards they are better than
	// none, as for gateways.
	firstConfirmationTime = 3 * time.Second
)

// UnknownDomainError reports a failure domain that neither the settings nor a target names.
type UnknownDomainError struct {
	domain string
}

// Error implements error.
func (e *UnknownDomainError) Error() string {
	return fmt.Sprintf("unknown failure domain %q", e.domain)
}

// Domain returns the name of the domain.
func (e *UnknownDomainError) Domain() string { return e.domain }

// OvertakenError reports an order on a failure domain that changed nothing, because a different one
// on the same domain was applied after its arrival.
type OvertakenError struct {
	domain   string
	revision uint64
}

// Error implements error.
func (e *OvertakenError) Error() string {
	return fmt.Sprintf("another order on failure domain %q was applied meanwhile (revision %d)", e.domain, e.revision)
}

// SetFailureDomains replaces the failure domains that the settings name.
func (d *Directory) SetFailureDomains(domains []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.domains = slices.Clone(domains)
}

// Evacuate commits an order on a failure domain: that nothing more is sent to its targets, or that
// this is revoked. It returns nil once a quorum stores the order. The error is an
// *UnknownDomainError, an *OvertakenError or an *UnconfirmedError; after the last one the order may
// still take effect later.
func (d *Directory) Evacuate(ctx context.Context, domain string, evacuated bool) error {
	arrivedAt := timer.SinceBoot()
	known, inContact := d.knownRevision.Load(), d.isInContact()
	known = max(known, d.o.Store.versions().evacuations)
	err := d.checkDomain(ctx, domain)
	if err == nil {
		err = d.evacuate(ctx, evacuation.NewOrder(domain, evacuated, known), inContact, arrivedAt)
	}
	d.recordOrder(domain, evacuated, err, timer.SinceBoot()-arrivedAt)
	return err
}

func (d *Directory) recordOrder(domain string, evacuated bool, err error, took time.Duration) {
	order := "revoke"
	if evacuated {
		order = "evacuate"
	}
	outcome, cause := "unconfirmed", ""
	var unknown *UnknownDomainError
	var overtaken *OvertakenError
	switch {
	case err == nil:
		outcome = "acknowledged"
	case errors.As(err, &unknown):
		outcome = "unknown_domain"
	case errors.As(err, &overtaken):
		outcome = "overtaken"
	}
	if err != nil {
		cause = err.Error()
	}
	klog.InfoS("Evacuation order processed", "domain", domain, "order", order, "outcome", outcome, "took_ms", took.Milliseconds(), "cause", cause)
	d.o.Metrics.CountReason("evacuation_orders", order+"_"+outcome)
}

// checkDomain returns an *UnknownDomainError if nobody names a domain. A control VM that may not
// know all targets yet doesn't decide that: a wrong refusal would end the operator's attempts.
func (d *Directory) checkDomain(ctx context.Context, domain string) error {
	expired := d.o.Timers.After(recordTimeout)
	for {
		changed := d.o.Table.Changed()
		if d.namesDomain(domain) {
			return nil
		}
		select {
		case <-changed:
			continue
		case <-expired:
		case <-ctx.Done():
		}
		if d.o.Timers.Since(d.startedAt) < countDelay || !d.isInContact() {
			return &UnconfirmedError{cause: errors.Errorf("failure domain %q isn't known yet", domain)}
		}
		return &UnknownDomainError{domain: domain}
	}
}

// namesDomain reports whether the settings, a target or an earlier order name a domain.
func (d *Directory) namesDomain(domain string) bool {
	d.mu.Lock()
	configured := slices.Contains(d.domains, domain)
	d.mu.Unlock()
	return configured || d.o.Table.HasFailureDomain(domain) || d.o.Store.hasOrder(domain)
}

// KnowsEvacuations reports whether the evacuations that this VM has may be used: a quorum has
// confirmed since the start that they are the newest, or none is there to do so.
func (d *Directory) KnowsEvacuations() bool {
	return d.everConfirmed.Load() || d.o.Timers.Since(d.startedAt) >= firstConfirmationTime
}

// isInContact reports whether a quorum has recently answered this VM.
func (d *Directory) isInContact() bool {
	last := d.confirmed.Load()
	return last != nil && last.isRecent()
}

func (d *Directory) evacuate(ctx context.Context, o evacuation.Order, inContact bool, arrivedAt time.Duration) error {
	if err := d.o.Timers.Sleep(ctx, orderSettleTime); err != nil {
		return &UnconfirmedError{cause: err}
	}
	for {
		r, err := d.evacuateAtLeader(ctx, o)
		switch {
		case err != nil:
			if sleepErr := d.o.Timers.Sleep(ctx, leaderRetryDelay); sleepErr != nil {
				return &UnconfirmedError{cause: err}
			}
		case !r.Overtaken:
			return nil
		case !inContact || timer.SinceBoot()-arrivedAt > overtakenRetryTime || ctx.Err() != nil:
			return &OvertakenError{domain: o.Domain(), revision: r.Revision}
		default:
			o = evacuation.NewOrder(o.Domain(), o.Evacuated(), r.Revision)
		}
	}
}

func (d *Directory) evacuateAtLeader(ctx context.Context, o evacuation.Order) (evacuation.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	order := &wire.EvacuationOrder{Domain: o.Domain(), Evacuated: o.Evacuated(), KnownRevision: o.KnownRevision()}
	client := d.leaderClient()
	if client == nil {
		return d.proposeEvacuation(ctx, order)
	}
	go d.cancelWithLeader(ctx, cancel)
	resp, err := client.Evacuate(ctx, &wire.EvacuateRequest{Order: order})
	if err != nil {
		return evacuation.Result{}, err
	}
	d.learnRevision(resp.GetRevision())
	return evacuation.Result{Revision: resp.GetRevision(), Overtaken: resp.GetOvertaken()}, nil
}

// cancelWithLeader ends a call to the leader when there is another one, because the call to a
// leader that is frozen or gone would last for leaderTimeout.
func (d *Directory) cancelWithLeader(ctx context.Context, cancel context.CancelFunc) {
	leader := d.o.Node.Status().LeaderAddress
	for d.o.Timers.Sleep(ctx, leaderRetryDelay) == nil {
		if now := d.o.Node.Status().LeaderAddress; now != "" && now != leader {
			cancel()
			return
		}
	}
}

// learnRevision records a revision that the leader has named, which this replica may not have
// applied yet.
func (d *Directory) learnRevision(revision uint64) {
	for {
		known := d.knownRevision.Load()
		if revision <= known || d.knownRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}

// proposeEvacuation commits an order on this replica. It fails unless this replica is the leader.
func (d *Directory) proposeEvacuation(ctx context.Context, o *wire.EvacuationOrder) (evacuation.Result, error) {
	data, err := proto.Marshal(&wire.StoreCatalogCommand{Evacuation: o})
	if err != nil {
		return evacuation.Result{}, errors.Wrap(err, "encode order")
	}
	result, err := d.o.Node.Propose(ctx, data)
	if err != nil {
		return evacuation.Result{}, err
	}
	r, ok := result.(evacuation.Result)
	if !ok {
		return evacuation.Result{}, errors.Errorf("unexpected store result %v", result)
	}
	klog.InfoS("Evacuation order committed", "domain", o.GetDomain(), "evacuated", o.GetEvacuated(), "known_revision", o.GetKnownRevision(),
		"revision", r.Revision, "overtaken", r.Overtaken)
	return r, nil
}

// hasEvacuationsFor reports whether there are newer evacuations than a watcher has.
func (d *Directory) hasEvacuationsFor(r *wire.WatchRequest) bool {
	return !r.GetPeer() && r.EvacuationRevision != nil && d.o.Store.versions().evacuations > r.GetEvacuationRevision()
}

// Evacuate implements wire.Directory.
func (s *service) Evacuate(ctx context.Context, r *wire.EvacuateRequest) (*wire.EvacuateResponse, error) {
	result, err := s.d.proposeEvacuation(ctx, r.GetOrder())
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	return &wire.EvacuateResponse{Revision: result.Revision, Overtaken: result.Overtaken}, nil
}
