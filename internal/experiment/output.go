package experiment

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/cardamomline/cardamomline/internal/report"
)

// attainment returns the share of a group that was answered in time.
func attainment(r *report.Run, group, name string) float64 {
	for _, a := range r.Attainment {
		if a.Group == group && a.Name == name {
			return a.Share
		}
	}
	return math.NaN()
}

// interactive returns the attainment of all requests that a person waits for.
func interactive(r *report.Run) float64 {
	sent, attained := interactiveCounts(r)
	if sent == 0 {
		return math.NaN()
	}
	return float64(attained) / float64(sent)
}

// interactiveCounts returns how many requests that a person waits for were sent
// and answered in time.
func interactiveCounts(r *report.Run) (sent, attained int) {
	for _, a := range r.Attainment {
		if a.Group == "request" && !isWaiting(a.Name) {
			sent += a.Sent
			attained += a.Attained
		}
	}
	return sent, attained
}

func isWaiting(request string) bool {
	return request == "stem-summary" || request == "certificate-summary"
}

// goodput is the answers in time per second of the requests that a person waits for.
func goodput(r *report.Run) float64 {
	_, attained := interactiveCounts(r)
	return float64(attained) / r.Seconds
}

// ofCeiling returns the interactive answers in time as a share of the ceiling,
// NaN when it wasn't measured.
func (r Row) ofCeiling() float64 {
	if r.Ceiling == nil || r.Ceiling.InTime == 0 {
		return math.NaN()
	}
	_, attained := interactiveCounts(r.Run)
	return float64(attained) / float64(r.Ceiling.InTime)
}

// ceilingColumns are the ceiling as a share of the interactive requests sent, and
// what the run reached of it.
func (r Row) ceilingColumns() (ceiling, reached string) {
	sent, _ := interactiveCounts(r.Run)
	if r.Ceiling == nil || sent == 0 {
		return "-", "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(r.Ceiling.InTime)/float64(sent)), fmt.Sprintf("%.2f%%", 100*r.ofCeiling())
}

func p99(r *report.Run) float64 {
	worst := 0.0
	for _, l := range r.Latency {
		if l.Group == "request" && !isWaiting(l.Name) {
			worst = max(worst, l.P99)
		}
	}
	return worst
}

// Table writes the rows side by side.
func Table(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SCENARIO\tPOLICY\tSENT\tINTERACTIVE\tCEILING\tOF CEILING\tALL\tIN TIME/S\tWORST P99 MS\tUNUSED\tJAIN\tLOST\tDOUBLED\tMISDELIVERED\tUNTRUE NOT_RUN\tCUT")
	for _, row := range rows {
		r := row.Run
		ceiling, reached := row.ceilingColumns()
		fmt.Fprintf(tw, "%s\t%s\t%d\t%.2f%%\t%s\t%s\t%.2f%%\t%.1f\t%.0f\t%.2f%%\t%.3f\t%d\t%d\t%d\t%d\t%d\n",
			row.Scenario, row.Policy, r.Sent, 100*interactive(r), ceiling, reached, 100*attainment(r, "all", "all"), goodput(r), p99(r),
			100*r.UnusedShare(), r.JainIndex, r.Count(report.KindLost), r.Count(report.KindDoubled),
			r.Count(report.KindMisdelivered), r.Count(report.KindUntrueNotRun), r.Count(report.KindCut))
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

var barColors = []color.Color{color.Gray{Y: 160}, color.RGBA{R: 40, G: 110, B: 180, A: 255}, color.RGBA{R: 200, G: 120, B: 40, A: 255}}

// Plot draws the interactive attainment of each scenario and policy as an SVG or PNG.
func Plot(path string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Requests answered in time, without those that may wait"
	p.Y.Label.Text = "percent"
	p.Y.Min, p.Y.Max = 0, 100
	var scenarios, policies []string
	values := make(map[string]map[string]float64)
	for _, r := range rows {
		if values[r.Scenario] == nil {
			scenarios = append(scenarios, r.Scenario)
			values[r.Scenario] = make(map[string]float64)
		}
		if len(scenarios) == 1 {
			policies = append(policies, r.Policy)
		}
		values[r.Scenario][r.Policy] = 100 * interactive(r.Run)
	}
	const width = 14
	for i, policy := range policies {
		bars := make(plotter.Values, len(scenarios))
		for j, s := range scenarios {
			bars[j] = values[s][policy]
		}
		chart, err := plotter.NewBarChart(bars, vg.Points(width))
		if err != nil {
			return errors.Wrap(err, "bars")
		}
		chart.Color = barColors[i%len(barColors)]
		chart.Offset = vg.Points(width * (float64(i) - float64(len(policies)-1)/2))
		p.Add(chart)
		p.Legend.Add(policy, chart)
	}
	p.Legend.Top = false
	p.NominalX(scenarios...)
	p.X.Tick.Label.Rotation = math.Pi / 8
	p.X.Tick.Label.XAlign = -0.9
	if err := p.Save(10*vg.Inch, 5*vg.Inch, path); err != nil {
		return errors.Wrapf(err, "plot %s", path)
	}
	return nil
}
