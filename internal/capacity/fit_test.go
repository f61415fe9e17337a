package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
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
