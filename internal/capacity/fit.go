package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a least-squares fit of a quantity against the size it grows with.
type Line struct {
	slope     float64
	intercept float64
	residual  float64
}

// Fit returns the line through the values at the sizes. The two slices have the
// same length, and at least two sizes differ.
func Fit(sizes, values []float64) Line {
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	l := Line{slope: slope, intercept: intercept}
	sum := 0.0
	for i, x := range sizes {
		d := values[i] - l.At(x)
		sum += d * d
	}
	l.residual = math.Sqrt(sum / float64(len(sizes)))
	return l
}

// Slope returns the growth of the quantity for one unit of size.
func (l Line) Slope() float64 { return l.slope }

// Intercept returns the fitted quantity at size 0.
func (l Line) Intercept() float64 { return l.intercept }

// Residual returns the root mean square of the distances from the line.
func (l Line) Residual() float64 { return l.residual }

// At returns the fitted quantity at a size.
func (l Line) At(size float64) float64 { return l.intercept + l.slope*size }
