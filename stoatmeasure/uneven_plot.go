package stoatmeasure

import (
	"fmt"
	"io"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// PlotError reports a plot that could not be written.
type PlotError struct {
	File string
	Err  error
}

// Error implements error.
func (e *PlotError) Error() string { return fmt.Sprintf("plot %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Err }

// The size of a plot: a row for each data centre and a column for each class.
const plotWidth, plotHeight = 30 * vg.Centimeter, 30 * vg.Centimeter

// plotUneven writes a PNG and an SVG file for each size and day: the worth over time of each way, by data centre of
// the caller and by class.
func plotUneven(rows []unevenRow, prefix string) error {
	for len(rows) > 0 {
		n := 1
		for n < len(rows) && rows[n].Entries == rows[0].Entries && rows[n].Day == rows[0].Day {
			n++
		}
		if err := writePlots(rows[:n], fmt.Sprintf("%s-%s-%d", prefix, rows[0].Day, rows[0].Entries)); err != nil {
			return err
		}
		rows = rows[n:]
	}
	return nil
}

// writePlots writes the plot of one size and day in both formats.
func writePlots(rows []unevenRow, name string) error {
	plots, err := unevenPlots(rows)
	if err != nil {
		return &PlotError{File: name, Err: err}
	}
	image := vgimg.New(plotWidth, plotHeight)
	drawAligned(plots, draw.New(image))
	if err := writeFile(name+".png", vgimg.PngCanvas{Canvas: image}); err != nil {
		return err
	}
	svg := vgsvg.New(plotWidth, plotHeight)
	drawAligned(plots, draw.New(svg))
	return writeFile(name+".svg", svg)
}

// unevenPlots returns the plots by data centre and class.
func unevenPlots(rows []unevenRow) ([][]*plot.Plot, error) {
	var plots [][]*plot.Plot
	for centre := range unevenCentres {
		var line []*plot.Plot
		for class, name := range [2]string{"usual", "urgent"} {
			p := plot.New()
			p.Title.Text = fmt.Sprintf("%s, %d entries: %s callers of %s", rows[0].Day, rows[0].Entries, name, unevenCentreID(centre))
			p.X.Label.Text, p.Y.Label.Text = "time of the first try (s)", "answered in time (share)"
			p.Y.Min, p.Y.Max = 0, 1.02
			p.Legend.Left = true
			p.Add(plotter.NewGrid())
			for i := range rows {
				l, err := plotter.NewLine(sharesInTime(rows[i].steps, centre, class))
				if err != nil {
					return nil, err
				}
				l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i), vg.Points(1.5)
				p.Add(l)
				p.Legend.Add(rows[i].Way, l)
			}
			line = append(line, p)
		}
		plots = append(plots, line)
	}
	return plots, nil
}

// sharesInTime returns the share of the requests of a data centre and class that were answered in time, over time.
func sharesInTime(steps []UnevenStep, centre, class int) plotter.XYs {
	var out plotter.XYs
	for i := range steps {
		if o := steps[i][centre][class]; o.Asked > 0 {
			out = append(out, plotter.XY{X: (float64(i) + 0.5) * unevenStep.Seconds(), Y: float64(o.InTime) / float64(o.Asked)})
		}
	}
	return out
}

// drawAligned draws the plots as a table.
func drawAligned(plots [][]*plot.Plot, c draw.Canvas) {
	tiles := draw.Tiles{Rows: len(plots), Cols: len(plots[0]), PadX: vg.Centimeter, PadY: vg.Centimeter, PadTop: vg.Centimeter / 2, PadBottom: vg.Centimeter / 2, PadLeft: vg.Centimeter / 2, PadRight: vg.Centimeter / 2}
	for i, line := range plot.Align(plots, tiles, c) {
		for j := range line {
			plots[i][j].Draw(line[j])
		}
	}
}

func writeFile(name string, content io.WriterTo) error {
	f, err := os.Create(name)
	if err != nil {
		return &PlotError{File: name, Err: err}
	}
	if _, err := content.WriteTo(f); err != nil {
		_ = f.Close()
		return &PlotError{File: name, Err: err}
	}
	if err := f.Close(); err != nil {
		return &PlotError{File: name, Err: err}
	}
	return nil
}
