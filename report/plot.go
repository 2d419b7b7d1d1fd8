package report

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 4.5 * vg.Inch
	// plotFill is the fraction of the plot's width that the bars cover.
	plotFill = 0.8
)

// resultColors holds the color of each result in plots.
var resultColors = [resultCount]color.Color{
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xf0, G: 0xe4, B: 0x42, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0xcc, G: 0xcc, B: 0xcc, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x00, G: 0x00, B: 0x00, A: 0xff},
	color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0xff},
}

// Plot writes a chart of what callers got over time, as one stacked bar per
// interval. The extension of path selects the format.
func (l *Logs) Plot(path string, interval time.Duration) error {
	rows, first := l.countByInterval(interval)
	if len(rows) == 0 {
		return fmt.Errorf("no requests in the logs")
	}
	p := plot.New()
	p.Title.Text = "requests by what their callers got, from " + first.UTC().Format(time.DateTime)
	p.X.Label.Text = fmt.Sprintf("intervals of %s", interval)
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	width := plotWidth * plotFill / vg.Length(len(rows))
	var below *plotter.BarChart
	for r := range resultCount {
		values := make(plotter.Values, len(rows))
		for i, row := range rows {
			values[i] = float64(row.Results[r])
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = resultColors[r], 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(r.String(), bars)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// countByInterval returns one row for each interval from the first arrival to
// the last, including empty ones, and the start of the first interval.
func (l *Logs) countByInterval(interval time.Duration) ([]*Row, time.Time) {
	if len(l.Requests) == 0 {
		return nil, time.Time{}
	}
	first, last := l.Requests[0].Arrived(), l.Requests[0].Arrived()
	for i := range l.Requests {
		at := l.Requests[i].Arrived()
		if at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	first = first.Truncate(interval)
	rows := make([]*Row, int(last.Sub(first)/interval)+1)
	for i := range rows {
		rows[i] = newRow("")
	}
	for i := range l.Requests {
		rows[int(l.Requests[i].Arrived().Sub(first)/interval)].add(&l.Requests[i])
	}
	return rows, first
}
