package load

import (
	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot plots the time to the first byte over the run and saves the plot to a
// file. The file extension selects the format.
func Plot(path string, r *Result) error {
	p := plot.New()
	p.Title.Text = r.Scenario
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "time to the first byte (ms)"
	var p50, p99 plotter.XYs
	for _, w := range r.Windows {
		p50 = append(p50, plotter.XY{X: w.Start, Y: w.FirstByte.P50})
		p99 = append(p99, plotter.XY{X: w.Start, Y: w.FirstByte.P99})
	}
	if err := plotutil.AddLinePoints(p, "p50", p50, "p99", p99); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(p.Save(18*vg.Centimeter, 9*vg.Centimeter, path))
}
