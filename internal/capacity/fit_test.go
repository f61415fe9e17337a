package capacity

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a fit whose slope, intercept or residual isn't that of the
// values, since every figure of docs/CAPACITY.md rests on it.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		values                     []float64
		slope, intercept, residual float64
	}{
		{[]float64{5, 7, 11}, 2, 3, 0},
		// Worked out by hand: means 7/3 and 4, covariance 5 over variance 14/3.
		{[]float64{3, 3, 6}, 15.0 / 14, 1.5, 0.462910},
	} {
		l := Fit([]float64{1, 2, 4}, c.values)
		require.InDelta(t, c.slope, l.Slope(), 1e-9)
		require.InDelta(t, c.intercept, l.Intercept(), 1e-9)
		require.InDelta(t, c.residual, l.Residual(), 1e-6)
		require.InDelta(t, c.intercept+100*c.slope, l.At(100), 1e-6)
	}
}

// Guards against a delta that counts too few bytes to rebuild the later text, or
// more than it needs.
func TestChangedMiddle(t *testing.T) {
	require.Equal(t, 1, changedMiddle([]byte("weight: 4"), []byte("weight: 5")))
	require.Equal(t, 0, changedMiddle([]byte("abcd"), []byte("ad")))
	require.Equal(t, 2, changedMiddle([]byte("aa"), []byte("aaaa")))
	require.Equal(t, 0, changedMiddle(nil, nil))
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 12)
		before, middle, after := text.Draw(t, "before"), text.Draw(t, "middle"), text.Draw(t, "after")
		other := text.Draw(t, "other")
		earlier := bytes.Join([][]byte{before, other, after}, nil)
		later := bytes.Join([][]byte{before, middle, after}, nil)
		n := changedMiddle(earlier, later)
		require.LessOrEqual(t, n, len(middle))
		require.GreaterOrEqual(t, n, len(later)-len(earlier))
	})
}
