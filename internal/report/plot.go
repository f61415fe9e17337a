package report

import (
	"image/color"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 10 // points
)

// Plot draws the latency percentiles of each sort of request as bars. The ending
// of the path chooses the format: .svg or .png.
func Plot(path string, r *Run) error {
	p := plot.New()
	p.Title.Text = "Latency of " + r.Name
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	var names []string
	values := make([]plotter.Values, 3)
	for _, l := range r.Latency {
		if l.Group != "request" {
			continue
		}
		names = append(names, l.Name)
		for i, v := range []float64{l.P50, l.P95, l.P99} {
			values[i] = append(values[i], v)
		}
	}
	if len(names) == 0 {
		return errors.New("plot: the run has no latencies")
	}
	for i, name := range []string{"p50", "p95", "p99"} {
		bars, err := plotter.NewBarChart(values[i], vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "plot bars")
		}
		bars.Color = color.Gray{Y: uint8(60 + 70*i)}
		bars.Offset = vg.Points(float64((i - 1) * barWidth))
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "plot")
	}
	return nil
}
