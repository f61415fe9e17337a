package pacing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAllowsAtLargeFleet measures the check of one target while 850 targets name limits to
// 370 gateways.
func BenchmarkAllowsAtLargeFleet(b *testing.B) {
	now := time.Unix(1000, 0)
	r := NewRegister("gateway-0")
	var ids []uint64
	for n := range 370 {
		ids = append(ids, MemberID(fmt.Sprint("gateway-", n)))
	}
	r.SetMembers("vm-1", ids, now)
	var paces []*Pace
	for n := range 850 {
		target := fmt.Sprint("engine-", n)
		r.Observe(NewStatement(target, 1, RequestRate{PerSecond: 3}, now, now))
		paces = append(paces, r.Pace(target, 1))
	}
	for n := 0; b.Loop(); n++ {
		paces[n%len(paces)].Allows(now)
	}
}

// BenchmarkMembersChange measures the parts of 850 limits after a change of 370 gateways.
func BenchmarkMembersChange(b *testing.B) {
	now := time.Unix(1000, 0)
	r := NewRegister("gateway-0")
	var ids []uint64
	for n := range 371 {
		ids = append(ids, MemberID(fmt.Sprint("gateway-", n)))
	}
	for n := range 850 {
		r.Observe(NewStatement(fmt.Sprint("engine-", n), 1, RequestRate{PerSecond: 3}, now, now))
	}
	for n := 0; b.Loop(); n++ {
		r.SetMembers("vm-1", ids[:370+n%2], now)
		r.Limits(now)
	}
}
