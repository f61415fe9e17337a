package warmup

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against gateways that go by different shares although they have heard the same, because
// news came in different orders, twice, or by way of another control VM.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type news struct {
			from   string
			states []State
		}
		now := simStart
		var all []news
		gateways := make([]*Register, rapid.IntRange(1, 4).Draw(rt, "gateways"))
		for i := range gateways {
			gateways[i] = NewRegister()
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(gateways)-1).Draw(rt, "gateway")
			g, other := gateways[i], rapid.SampledFrom(gateways).Draw(rt, "other")
			p := g.Ramp("a", rapid.Int64Range(1, 2).Draw(rt, "born"))
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				p.Begin(now)
			case 1:
				p.Returned(now)
			case 2:
				states, _ := other.ObservedSince(0)
				g.MergeTotals(states, now)
			default:
				good := rapid.Bool().Draw(rt, "good")
				for range 4 {
					p.Observe(p.Sent(now), good, now)
				}
			}
			states, _ := g.ObservedSince(0)
			all = append(all, news{fmt.Sprint(i), states})
		}
		var seen [][]State
		for _, order := range [][]news{all, rapid.Permutation(append(all, all...)).Draw(rt, "order")} {
			vm, gateway := NewRegister(), NewRegister()
			for _, n := range order {
				vm.MergeObserved(n.from, n.states, now)
			}
			states, _ := vm.ChangesSince(0)
			gateway.MergeTotals(states, now)
			again, _ := gateway.ChangesSince(0)
			require.Equal(rt, states, again, "a gateway hears all that the control VM knows")
			seen = append(seen, states)
		}
		require.Equal(rt, seen[0], seen[1])
	})
}

// Guards against a share that falls without bad answers, leaves its bounds, or changes by more
// than one step in a round.
func TestShareMovesByRounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r, now := NewRegister(), simStart
		p := r.Ramp("a", 1)
		p.Begin(now)
		before, round, roundAt := firstShare, uint32(0), now
		for range rapid.IntRange(1, 200).Draw(rt, "answers") {
			passed := time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
			now = now.Add(passed)
			good := rapid.IntRange(0, 9).Draw(rt, "good") > 2
			p.Observe(p.Sent(now), good, now)
			share, _ := p.Share(now)
			require.LessOrEqual(rt, share, 1.0)
			require.GreaterOrEqual(rt, share, minShare-1.0/shareSteps)
			highest := before + riseRate*passed.Seconds() + 1.0/shareSteps
			if s, ok := r.Ramps(now)["a"]; ok && s.Round != round {
				require.Equal(rt, round+1, s.Round)
				require.GreaterOrEqual(rt, now.Sub(roundAt), roundTime)
				require.LessOrEqual(rt, share, growth*highest)
				round, roundAt = s.Round, now
			} else {
				require.LessOrEqual(rt, share, highest)
				if good {
					require.GreaterOrEqual(rt, share, before)
				}
			}
			before = share
		}
	})
}

// Guards against a target without traffic that is never used, and against one that gets much of
// its traffic at once.
func TestShareRisesByTime(t *testing.T) {
	r := NewRegister()
	p := r.Ramp("a", 1)
	var kinds []EventKind
	r.OnChange(func(e Event) { kinds = append(kinds, e.Kind) })
	p.Begin(simStart)
	for at := time.Duration(0); at < 500*time.Millisecond; at += 10 * time.Millisecond {
		for range 20 {
			p.Observe(p.Sent(simStart.Add(at)), true, simStart.Add(at))
		}
		share, _ := p.Share(simStart.Add(at))
		require.Less(t, share, 0.25)
	}
	share, _ := p.Share(simStart.Add(10 * time.Second))
	require.InDelta(t, 1, share, 1e-9)
	r.Tick(simStart.Add(14 * time.Second))
	require.Zero(t, r.Active())
	require.Equal(t, []EventKind{Began, Raised, Raised, Ended}, kinds)
	p.Begin(simStart.Add(15 * time.Second)) // a gateway that learns late of the incarnation
	require.Zero(t, r.Active())
	p.Returned(simStart.Add(16 * time.Second))
	require.Equal(t, 1, r.Active())
	r.Tick(simStart.Add(time.Hour))
	states, _ := r.ChangesSince(0)
	require.Empty(t, states)
}

// Guards against one gateway whose link is bad that takes a target from all others.
func TestReturnAtOneGatewayConcernsOnlyThatOne(t *testing.T) {
	one, vm, other := NewRegister(), NewRegister(), NewRegister()
	p, q := one.Ramp("a", 1), other.Ramp("a", 1)
	p.Returned(simStart)
	exchange := func(now time.Time) {
		for from, r := range map[string]*Register{"one": one, "other": other} {
			own, _ := r.ObservedSince(0)
			vm.MergeObserved(from, own, now)
		}
		states, _ := vm.ChangesSince(0)
		one.MergeTotals(states, now)
		other.MergeTotals(states, now)
	}
	exchange(simStart)
	share, _ := q.Share(simStart)
	require.InDelta(t, 1, share, 1e-9)
	for range goodAnswers {
		q.Observe(q.Sent(simStart), true, simStart)
	}
	now := simStart.Add(roundTime)
	exchange(now)
	share, _ = p.Share(now)
	require.Greater(t, share, growth*firstShare-1.0/shareSteps, "the answers to the other one count")
}
