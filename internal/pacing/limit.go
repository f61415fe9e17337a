// Package pacing keeps the requests of all gateways to a target within the limit that the
// target names in its answers.
//
// One gateway hears the limit first. It tells the control VMs, which tell the other gateways.
// Processes exchange statements of targets by watches; merging is commutative for statements
// whose order is known. Every gateway knows which gateways there are, and chooses by a hash
// which of them send to a limited target, so that all agree on a few senders without talking
// to one another. Each sender has an equal part of the limit. A Register uses neither network
// nor clock.
//
// Targets that are cold have limits by the same mechanism, with fewer senders, because the sum of
// any second is bounded. They come from announcements and the catalog, end by the clock of each
// process, and are no statements: processes learn of them with the records of targets.
//
// # Usage
//
//	r := pacing.NewRegister("gateway-1")
//	r.SetMembers("vm-1", ids, now)
//	r.Observe(pacing.NewStatement("engine-1", bornMs, pacing.RequestRate{PerSecond: 2}, sentAt, now))
//	p := r.Pace("engine-1", bornMs)
//	if p.Allows(now) {
//		p.Take(now) // and p.Return(now) if the request isn't sent
//	}
//	statements, version := r.ObservedSince(0) // for control VMs
//	r.Merge(statements, now)
//	r.RecordContact("vm-1", controlVMs, listed, watchStartedAt, now)
//	r.SyncCold([]pacing.ColdTarget{pacing.NewColdTarget("engine-1", bornMs, limit, until, inUse)}, now)
package pacing

import (
	"math"
	"time"
)

// Limit is what an answer of a target says of a limit. It is sealed: Unlimited, RequestRate or
// Unreadable.
type Limit interface{ isLimit() }

// Unlimited is an answer that names no limit.
type Unlimited struct{}

// RequestRate is the number of requests a second that a target takes from all gateways
// together.
type RequestRate struct{ PerSecond float64 }

// Unreadable is a limit that can't be read. The one named before holds.
type Unreadable struct{}

func (Unlimited) isLimit()   {}
func (RequestRate) isLimit() {}
func (Unreadable) isLimit()  {}

// NewLimit returns the limit with a number of requests a second: an Unreadable one if it is
// negative or no number.
func NewLimit(perSecond float64) Limit {
	if math.IsNaN(perSecond) || perSecond < 0 {
		return Unreadable{}
	}
	return RequestRate{PerSecond: min(perSecond, maxRate)}
}

// maxRate bounds the requests a second that a target may name.
const maxRate = 1e6

// Statement is what an incarnation of a target has said of its limit.
type Statement struct {
	target     string
	bornMs     int64
	limit      Limit
	sentAt     time.Time // when the request was sent whose answer it is
	receivedAt time.Time
}

// NewStatement returns a Statement.
func NewStatement(target string, bornMs int64, l Limit, sentAt, receivedAt time.Time) Statement {
	return Statement{target: target, bornMs: bornMs, limit: l, sentAt: sentAt, receivedAt: receivedAt}
}

// Target returns the id of the target.
func (s Statement) Target() string { return s.target }

// BornMs returns the start of the target's process in Unix milliseconds.
func (s Statement) BornMs() int64 { return s.bornMs }

// Limit returns the limit.
func (s Statement) Limit() Limit { return s.limit }

// SentAt returns when the request was sent whose answer made the statement.
func (s Statement) SentAt() time.Time { return s.sentAt }

// ReceivedAt returns when the answer arrived.
func (s Statement) ReceivedAt() time.Time { return s.receivedAt }

// rate returns the requests a second, which are infinite without a limit.
func (s Statement) rate() float64 {
	if l, ok := s.limit.(RequestRate); ok {
		return l.PerSecond
	}
	return math.Inf(1)
}

func (s Statement) isLimited() bool { return !math.IsInf(s.rate(), 1) }

// supersedes reports whether a statement takes the place of another one of the same
// incarnation. Answers overtake one another: a looser limit counts only if its request was sent
// after the stricter one had arrived, and a stricter one unless the reverse is known.
func (s Statement) supersedes(other Statement) bool {
	if s.rate() > other.rate() {
		return s.sentAt.After(other.receivedAt)
	}
	return !other.sentAt.After(s.receivedAt)
}
