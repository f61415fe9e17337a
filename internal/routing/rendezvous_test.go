package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func rendezvousPool(seed uint64, n int) *Pool {
	p := NewPool(Options{Service: "generators", FailureDomain: "d0", Seed: seed})
	var list []Target
	for i := range n {
		list = append(list, Target{Name: fmt.Sprint("t", i), Address: "x", Incarnation: "1", FailureDomain: fmt.Sprint("d", i%3), Slots: 64})
	}
	p.Sync(list, time.Unix(1000, 0))
	return p
}

// Load pattern: many requests that share few prompt prefixes come in at all entries.
// Guards against prefixes that each entry has read at a target of its own.
func TestEntriesAgreeOnTheTargetOfAPrefix(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := rendezvousPool(1, 12), rendezvousPool(2, 12)
	used := map[string]bool{}
	for i := range 60 {
		r := Request{Prefix: fmt.Sprint("prefix-", i), Rendezvous: true}
		a, err := one.Pick(r, now)
		require.NoError(t, err)
		b, err := other.Pick(r, now)
		require.NoError(t, err)
		require.Equal(t, a.Target, b.Target)
		used[a.Target] = true
		one.Finish(a, Canceled{}, now)
		other.Finish(b, Canceled{}, now)
	}
	require.Greater(t, len(used), 8, "prefixes are spread over the targets")
}

// Load pattern: one prefix gets much of the traffic. Guards against a target that is
// loaded far above the others because its prefix is popular.
func TestHotPrefixSpillsOver(t *testing.T) {
	now := time.Unix(1000, 0)
	p := rendezvousPool(1, 12)
	load := map[string]int{}
	for range 60 {
		c, err := p.Pick(Request{Prefix: "hot", Rendezvous: true}, now)
		require.NoError(t, err)
		load[c.Target]++
	}
	for target, n := range load {
		require.LessOrEqual(t, n, int(rendezvousFactor*60/12+rendezvousSpare)+1, target)
	}
}

// Load pattern: the targets of the stages are spread unevenly over the failure
// domains. Guards against results that cross because requests go on elsewhere.
func TestPrefixesFollowTheWeightsOfDomains(t *testing.T) {
	now := time.Unix(1000, 0)
	p := rendezvousPool(1, 12)
	byDomain := map[string]int{}
	for i := range 2000 {
		domain, ok := p.HomeDomain(Request{Prefix: fmt.Sprint(i), Rendezvous: true, DomainWeights: map[string]float64{"d0": 2, "d1": 1, "d2": 1}}, now)
		require.True(t, ok)
		byDomain[domain]++
	}
	require.InDelta(t, 1000, byDomain["d0"], 100)
	require.InDelta(t, 500, byDomain["d1"], 80)
}

// Guards against a choice that differs between entries after a target was tried.
func TestTriedTargetIsPassedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	p := rendezvousPool(1, 3)
	first, err := p.Pick(Request{Prefix: "a", Rendezvous: true}, now)
	require.NoError(t, err)
	next, err := p.Pick(Request{Prefix: "a", Rendezvous: true, Exclude: []string{first.Target}}, now)
	require.NoError(t, err)
	require.NotEqual(t, first.Target, next.Target)
}

// scriptedPacer allows a number of calls.
type scriptedPacer struct{ left int }

func (p *scriptedPacer) Allows(time.Time) bool { return p.left > 0 }
func (p *scriptedPacer) Take(time.Time)        { p.left-- }
func (p *scriptedPacer) Return(time.Time)      { p.left++ }

func (p *scriptedPacer) Rate(time.Time) (perSecond float64, limited bool) {
	return float64(p.left), true
}

// Load pattern: targets name limits while one prefix, or none, gets the traffic. Guards against
// calls beyond what a target takes, and against places that aren't given back.
func TestPacedTargetsGetWhatTheyTake(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, r := range []Request{{Prefix: "hot", Rendezvous: true}, {Prefix: "hot"}, {MayProbe: true}} {
		p := NewPool(Options{Service: "generators", FailureDomain: "d0", Seed: 1})
		pacers := map[string]*scriptedPacer{"a": {left: 2}, "b": {left: 3}, "c": {left: 0}}
		for name, pacer := range pacers {
			p.Upsert(Target{Name: name, Address: "x", Incarnation: "1", FailureDomain: "d0", Slots: 64, Pacer: pacer}, now)
		}
		got := map[string]int{}
		var last Choice
		for range 5 {
			c, err := p.Pick(r, now)
			require.NoError(t, err)
			got[c.Target]++
			last = c
		}
		require.Equal(t, map[string]int{"a": 2, "b": 3}, got)
		_, err := p.Pick(r, now)
		var none *NoTargetError
		require.ErrorAs(t, err, &none)
		require.Equal(t, ShortageAllLimited, none.Shortage())
		p.ReturnPlace(last, now)
		c, err := p.Pick(r, now)
		require.NoError(t, err)
		require.Equal(t, last.Target, c.Target)
	}
}
