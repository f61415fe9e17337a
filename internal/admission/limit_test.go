package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// saturate simulates a saturated service: calls in excess of the slots queue at
// its targets, and every tenth call runs at a slow target. It returns the limit.
func saturate(l *limiter, slots float64, slow float64, windows int) float64 {
	now := testStart
	for range windows {
		for i := range 40 {
			ratio := max(1, float64(l.value())/slots)
			if i%10 == 0 {
				ratio *= slow
			}
			l.observe(ratio, true, l.value(), now)
			now = now.Add(10 * time.Millisecond)
		}
	}
	return l.limit
}

// TestLimitFollowsQueueing guards against a limit that grows without bound in a
// long overload, that falls because a few targets are slow, that ignores
// rejections by targets, or that is reset when targets are added.
func TestLimitFollowsQueueing(t *testing.T) {
	const slots = 40
	l := newLimiter(0)
	limit := saturate(&l, slots, 1, 2000)
	require.GreaterOrEqual(t, limit, 1.0*slots, "slots left unused")
	require.LessOrEqual(t, limit, 2.0*slots)
	require.InDelta(t, limit, saturate(&l, slots, 10, 200), 0.1*slots, "a minority of slow targets")

	l = newLimiter(0)
	l.limit = 10 * slots
	require.LessOrEqual(t, saturate(&l, slots, 1, 100), 2.0*slots, "a start in overload")

	// The expected time adapts to queueing, the processing time of the target does
	// not.
	ratio, exact := Completed{Latency: 3 * time.Second, AttemptTime: 2 * time.Second, ProcessingTime: time.Second}.ratio(3)
	require.True(t, exact)
	require.InDelta(t, 2, ratio, 0.001)

	now := testStart.Add(time.Hour)
	for range 20 {
		now = now.Add(limitWindow)
		l.overloaded(now)
	}
	require.Less(t, l.limit, limit/4)

	l = newLimiter(8)
	l.setSlots(64)
	require.Equal(t, 64, l.value())
	for range 20 {
		now = now.Add(limitWindow)
		l.overloaded(now)
	}
	require.Equal(t, 32, l.value(), "half of the known slots stay in use")
}
