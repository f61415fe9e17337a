package discovery

import (
	"slices"
	"time"

	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// maxLimits bounds the limits of targets that are read from one message.
	maxLimits = 2048
	// maxMembers bounds the gateways that are read from one message.
	maxMembers = 4096
)

// EncodeLimits returns the message form of statements. Processes have clocks of their own, so
// that times travel as ages.
func EncodeLimits(statements []pacing.Statement, now time.Time) []*wire.TargetLimit {
	list := make([]*wire.TargetLimit, 0, len(statements))
	for _, s := range statements {
		l := &wire.TargetLimit{Target: s.Target(), BornMs: s.BornMs(), SentMs: age(s.SentAt(), now), ReceivedMs: age(s.ReceivedAt(), now)}
		if rate, ok := s.Limit().(pacing.RequestRate); ok {
			l.PerSecond = &rate.PerSecond
		}
		list = append(list, l)
	}
	return list
}

// DecodeLimits returns the statements of a message. Those that can't be read are left out.
func DecodeLimits(limits []*wire.TargetLimit, now time.Time) []pacing.Statement {
	limits = limits[:min(len(limits), maxLimits)]
	list := make([]pacing.Statement, 0, len(limits))
	for _, l := range limits {
		limit := pacing.Limit(pacing.Unlimited{})
		if l.PerSecond != nil {
			limit = pacing.NewLimit(l.GetPerSecond())
		}
		if _, unreadable := limit.(pacing.Unreadable); unreadable {
			continue
		}
		list = append(list, pacing.NewStatement(l.GetTarget(), l.GetBornMs(), limit, ageTime(l.GetSentMs(), now), ageTime(l.GetReceivedMs(), now)))
	}
	return list
}

// ageTime returns the time of something that happened a while ago.
func ageTime(ms uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(ms, maxAgeMs)) * time.Millisecond)
}

// limitsExchange is the state of the exchange of limits with one control VM.
type limitsExchange struct {
	upload
}

// request adds to a watch what this process has observed since the last one, or all statements.
func (x *limitsExchange) request(r *wire.WatchRequest, p *pacing.Register, now time.Time) {
	if p == nil {
		return
	}
	if r.LimitsSince == nil {
		r.LimitsSince = new(uint64)
	}
	since := p.ChangesSince
	if x.complete {
		since = p.ObservedSince
	}
	statements, version := since(x.sent)
	x.sending(version, p.Version())
	r.Limits = EncodeLimits(statements, now)
}

// receive merges the limits of a response, and takes over its list of gateways.
func (x *limitsExchange) receive(address string, r *wire.WatchRequest, resp *wire.WatchResponse, p *pacing.Register, startedAt, now time.Time) {
	if p == nil {
		return
	}
	x.received(r, resp)
	*r.LimitsSince = resp.GetLimitsVersion()
	p.Merge(DecodeLimits(resp.GetLimits(), now), now)
	listed := false
	switch digest := resp.GetGatewaysDigest(); {
	case digest == 0:
	case digest == r.GetGatewaysDigest():
		if listed = p.ConfirmMembers(address, now); !listed {
			r.GatewaysDigest = 0 // the next response has the list
		}
	default:
		ids := slices.Clone(resp.GetGatewayIds()[:min(len(resp.GetGatewayIds()), maxMembers)])
		slices.Sort(ids)
		p.SetMembers(address, ids, now)
		r.GatewaysDigest = digest
		listed = true
	}
	p.RecordContact(address, len(resp.GetControl()), listed, startedAt, now)
}
