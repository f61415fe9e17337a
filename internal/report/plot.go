package report

import (
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	pointSize  = 4  // points
	marginX    = .5 // of the distance between two sorts of requests
	marginY    = 2  // factor below the least and above the greatest value
	leastMS    = 0.01
)

// percentile is one series of the plot.
type percentile struct {
	name  string
	of    func(Latency) float64
	shape draw.GlyphDrawer
}

var percentiles = []percentile{
	{"p50", func(l Latency) float64 { return l.P50 }, draw.CircleGlyph{}},
	{"p95", func(l Latency) float64 { return l.P95 }, draw.TriangleGlyph{}},
	{"p99", func(l Latency) float64 { return l.P99 }, draw.CrossGlyph{}},
}

// Plot draws the latency percentiles of each sort of request. The ending of the
// path chooses the format: .svg or .png.
func Plot(path string, r *Run) error {
	p := plot.New()
	p.Title.Text = "Latency of " + r.Name
	p.Y.Label.Text = "ms"
	// Lookups take milliseconds and summaries minutes.
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var sorts []Latency
	var names []string
	for _, l := range r.Latency {
		if l.Group == "request" {
			sorts = append(sorts, l)
			names = append(names, l.Name)
		}
	}
	if len(sorts) == 0 {
		return errors.New("plot: the run has no latencies")
	}
	for _, q := range percentiles {
		if err := addSeries(p, q, sorts); err != nil {
			return err
		}
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -marginX, float64(len(names)-1)+marginX
	p.Y.Min, p.Y.Max = p.Y.Min/marginY, p.Y.Max*marginY
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "plot")
	}
	return nil
}

func addSeries(p *plot.Plot, q percentile, sorts []Latency) error {
	points := make(plotter.XYs, len(sorts))
	for i, l := range sorts {
		points[i].X = float64(i)
		points[i].Y = max(q.of(l), leastMS)
	}
	s, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrapf(err, "plot %s", q.name)
	}
	s.Shape, s.Radius = q.shape, vg.Points(pointSize)
	p.Add(s)
	p.Legend.Add(q.name, s)
	return nil
}
