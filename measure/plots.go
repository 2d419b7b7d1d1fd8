package measure

import (
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4.5 * vg.Inch
	barWidth   = 11
	// cdfIntervals is the number of intervals of a distribution curve.
	cdfIntervals = 400
	// cdfLimit is the maximum of the time axis, in seconds.
	cdfLimit = 4.0
)

// policyNames returns the policies in the order of their bars and policyColors.
func policyNames() []string {
	return []string{fifoName, leastName, earlyName, productName, boundName}
}

var policyColors = []color.Color{
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0xff},
}

// plotAttainment draws the highest class's attainment by scenario and policy.
func plotAttainment(s *resultSet, w *workload, path string) error {
	p := plot.New()
	p.Title.Text = w.name + ": attainment of " + w.highest()
	p.Y.Label.Text = "share of requests within the targets"
	p.Y.Min, p.Y.Max = 0, 1.35
	var labels []string
	for _, sc := range scenarios() {
		labels = append(labels, sc.name)
	}
	for i, name := range policyNames() {
		var values plotter.Values
		for _, sc := range scenarios() {
			values = append(values, mean(s.filter(w, sc.name, name), attainmentOf(w.highest())))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = policyColors[i]
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policyNames())-1)/2))
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	promise := plotter.NewFunction(func(float64) float64 { return w.classes[0].class.Promise })
	promise.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(promise)
	p.Legend.Add("promise", promise)
	p.Legend.Top = true
	p.NominalX(labels...)
	return p.Save(plotWidth, plotHeight, path)
}

// plotFirstTokens draws the distribution of the highest class's time to first
// token during a burst of the lowest class. Requests without a first token are
// counted, so a curve may end below one.
func plotFirstTokens(s *resultSet, w *workload, path string) error {
	p := plot.New()
	p.Title.Text = w.name + ": time to first token of " + w.highest() + ", burst of " + w.lowest()
	p.X.Label.Text = "seconds from arrival"
	p.Y.Label.Text = "share of requests"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, cdfLimit, 0, 1
	p.Add(plotter.NewGrid())
	for i, name := range policyNames() {
		line, err := plotter.NewLine(distribution(s.filter(w, "burst-lowest", name), w.highest()))
		if err != nil {
			return err
		}
		line.Color = policyColors[i]
		line.Width = vg.Points(1.8)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// distribution returns the cumulative distribution of the time to first token.
func distribution(rs []result, class string) plotter.XYs {
	var all []time.Duration
	requests := 0
	for i := range rs {
		c := rs[i].class(class)
		all = append(all, c.firstTokens...)
		requests += c.requests
	}
	counts := make([]int, cdfIntervals+1)
	for _, d := range all {
		if k := int(d.Seconds() / cdfLimit * cdfIntervals); k <= cdfIntervals {
			counts[k]++
		}
	}
	points := make(plotter.XYs, cdfIntervals+1)
	seen := 0
	for k, n := range counts {
		seen += n
		points[k].X = float64(k+1) * cdfLimit / cdfIntervals
		points[k].Y = ratio(float64(seen), float64(requests))
	}
	return points
}
