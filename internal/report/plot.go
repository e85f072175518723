//nolint:misspell // the plot library spells its names the American way
package report

import (
	"image/color"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = vg.Length(12)
	binsPerS   = 10
)

var (
	primaryColour   = color.RGBA{B: 180, A: 255}
	secondaryColour = color.RGBA{R: 200, A: 255}
	markerColour    = color.RGBA{R: 120, G: 120, B: 120, A: 255}
)

// Plot writes the plots of a report to a directory as SVG files.
func (r *Report) Plot(dir string) error {
	plots := []struct {
		name string
		draw func() (*plot.Plot, error)
	}{
		{"throughput.svg", r.plotThroughput},
		{"latency.svg", r.plotLatency},
		{"recovery.svg", r.plotRecovery},
	}
	for _, chart := range plots {
		drawn, err := chart.draw()
		if err != nil {
			return errors.Wrapf(err, "draw %s", chart.name)
		}
		if err := drawn.Save(plotWidth, plotHeight, filepath.Join(dir, r.Scenario+"-"+chart.name)); err != nil {
			return errors.Wrapf(err, "write %s", chart.name)
		}
	}
	return nil
}

// plotThroughput draws tokens per second over time, the bound and the failures.
func (r *Report) plotThroughput() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Scenario + ": throughput and its bound"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens a second"
	points := make(plotter.XYs, len(r.ThroughputBins))
	for i := range points {
		end := binWidth * time.Duration(i+1)
		points[i] = plotter.XY{X: end.Seconds(), Y: binsPerS * mean(r.ThroughputBins, end-smoothingWindow, end)}
	}
	if err := addLine(p, points, primaryColour, "throughput"); err != nil {
		return nil, err
	}
	end := float64(r.LengthMs) / 1000
	bound := plotter.XYs{{X: 0, Y: r.BoundTokensPerS}, {X: end, Y: r.BoundTokensPerS}}
	if err := addLine(p, bound, secondaryColour, "bound"); err != nil {
		return nil, err
	}
	for _, recovery := range r.Recoveries {
		at := float64(recovery.AtMs) / 1000
		if err := addLine(p, plotter.XYs{{X: at, Y: 0}, {X: at, Y: r.BoundTokensPerS}}, markerColour, ""); err != nil {
			return nil, err
		}
	}
	p.Legend.Top = true
	return p, nil
}

func addLine(p *plot.Plot, points plotter.XYs, c color.Color, name string) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// plotLatency draws the percentiles of the time to first token and of the time
// between tokens.
func (r *Report) plotLatency() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Scenario + ": latency"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	p.Legend.Top = true
	p.Legend.Left = true
	if err := addLine(p, percentilePoints(r.FirstTokenMs), primaryColour, "first token"); err != nil {
		return nil, err
	}
	return p, addLine(p, percentilePoints(r.BetweenTokensMs), secondaryColour, "between tokens")
}

func percentilePoints(q Percentiles) plotter.XYs {
	return plotter.XYs{{X: 50, Y: q.P50}, {X: 90, Y: q.P90}, {X: 95, Y: q.P95}, {X: 99, Y: q.P99}, {X: 100, Y: q.Max}}
}

// plotRecovery draws the time until stalled streams received tokens again, by
// failure.
func (r *Report) plotRecovery() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Scenario + ": recovery of streams"
	p.X.Label.Text = "milliseconds"
	if len(r.Recoveries) == 0 {
		return p, nil
	}
	values := make(plotter.Values, len(r.Recoveries))
	names := make([]string, len(r.Recoveries))
	for i, recovery := range r.Recoveries {
		values[i] = recovery.StreamsMs
		names[i] = recovery.Failure
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, err
	}
	bars.Horizontal = true
	bars.Color = primaryColour
	p.Add(bars)
	p.NominalY(names...)
	return p, nil
}
