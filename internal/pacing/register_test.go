package pacing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that is dropped because an older answer without one arrives later, and
// against one that holds on although newer answers name a higher one or none.
func TestAnswersOvertakeOneAnother(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	state := func(sent, received float64, l Limit) Statement {
		return NewStatement("a", 1, l, at(sent), at(received))
	}
	for name, c := range map[string]struct {
		said []Statement
		want Limit
	}{
		"a late answer without a limit":        {[]Statement{state(1, 2, RequestRate{2}), state(1.5, 3, Unlimited{})}, RequestRate{2}},
		"the end of a limit":                   {[]Statement{state(1, 2, RequestRate{2}), state(2.5, 3, Unlimited{})}, Unlimited{}},
		"a higher limit":                       {[]Statement{state(1, 2, RequestRate{2}), state(2.5, 3, RequestRate{5})}, RequestRate{5}},
		"a late higher limit":                  {[]Statement{state(1, 2, RequestRate{2}), state(1.5, 3, RequestRate{5})}, RequestRate{2}},
		"a lower limit":                        {[]Statement{state(1, 2, RequestRate{5}), state(1.5, 3, RequestRate{2})}, RequestRate{2}},
		"a limit from before its end":          {[]Statement{state(1, 2, RequestRate{2}), state(3, 4, Unlimited{}), state(1, 2.5, RequestRate{2})}, Unlimited{}},
		"a limit that begins again":            {[]Statement{state(1, 2, RequestRate{2}), state(3, 4, Unlimited{}), state(3, 5, RequestRate{1})}, RequestRate{1}},
		"one that can't be read":               {[]Statement{state(1, 2, RequestRate{2}), state(3, 4, Unreadable{})}, RequestRate{2}},
		"an answer of an earlier incarnation":  {[]Statement{state(1, 2, RequestRate{2}), NewStatement("a", 0, RequestRate{1}, at(3), at(4))}, RequestRate{2}},
		"a limit of the following incarnation": {[]Statement{state(1, 2, RequestRate{2}), NewStatement("a", 2, RequestRate{9}, at(1), at(2))}, RequestRate{9}},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegister("gateway")
			for _, s := range c.said {
				r.Observe(s)
			}
			list, _ := r.ChangesSince(0)
			require.Len(t, list, 1)
			require.Equal(t, c.want, list[0].Limit())
		})
	}
	require.Equal(t, Unreadable{}, NewLimit(math.NaN()))
	require.Equal(t, Unreadable{}, NewLimit(-1))
	require.Equal(t, RequestRate{PerSecond: maxRate}, NewLimit(math.Inf(1)))
}

// Guards against places that are lost with requests that are not sent, against requests that come
// at once when a limit begins, and against a limit that outlives its target's process.
func TestPaceOfOneGateway(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegister("gateway")
	r.SetMembers("vm-1", []uint64{MemberID("gateway")}, now)
	p := r.Pace("a", 1)
	require.True(t, p.Allows(now))
	require.Zero(t, p.Wait(now))
	r.Observe(NewStatement("a", 1, RequestRate{PerSecond: 2}, now, now))
	require.False(t, p.Allows(now))
	require.InDelta(t, 0.5, p.Wait(now).Seconds(), 0.1)
	now = now.Add(600 * time.Millisecond)
	require.True(t, p.Allows(now))
	p.Take(now)
	require.False(t, p.Allows(now))
	p.Return(now)
	require.True(t, p.Allows(now))
	require.True(t, r.Pace("a", 2).Allows(now), "another process of the target")
	require.True(t, r.Pace("b", 1).Allows(now))
	r.SetMembers("vm-1", []uint64{MemberID("other")}, now.Add(2*memberRetention))
	require.False(t, r.Pace("a", 1).Allows(now.Add(time.Hour)), "a gateway that no control VM lists")
}

// Load pattern: all targets of a service name limits, and three times as many requests come as
// they take. Guards against requests that are admitted although no target takes them, against
// places that stay free, and against urgent requests that are refused for less urgent ones.
func TestGateAdmitsWhatTargetsTakeUrgentFirst(t *testing.T) {
	const perSecond, seconds = 5.0, 60
	for name, urgentPerS := range map[string]int{"few urgent requests": 2, "as many as the targets take": 5, "only urgent requests": 15} {
		t.Run(name, func(t *testing.T) {
			g, now := NewGate(), time.Unix(1000, 0)
			admitted := map[float64]int{}
			for n := range 15 * seconds {
				slack := 1.0
				if n%15*urgentPerS/15 != (n%15+1)*urgentPerS/15 {
					slack = 0
				}
				ok, wait := g.Admit(perSecond, slack, now)
				if ok {
					admitted[slack]++
				} else {
					require.Positive(t, wait)
					require.LessOrEqual(t, wait, 2*time.Second)
				}
				now = now.Add(time.Second / 15)
			}
			require.InDelta(t, perSecond*seconds, admitted[0]+admitted[1], perSecond*3)
			require.GreaterOrEqual(t, float64(admitted[0]), 0.95*min(float64(urgentPerS), perSecond)*seconds)
		})
	}
}
