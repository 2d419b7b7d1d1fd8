// Package capacity measures how the cost of each role grows with one size at a
// time and fits a line to each series. docs/CAPACITY.md extrapolates from the
// slopes.
//
// "make capacity" runs it. The results depend on the machine.
package capacity

import (
	"fmt"
	"io"
	"strings"
)

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Series holds the values of a cost at several values of one size, with all other
// sizes fixed.
type Series struct {
	// ID identifies the series in docs/CAPACITY.md.
	ID   string
	Role string
	// Varied names the size that varies.
	Varied string
	// Cost names the measured quantity and its unit.
	Cost   string
	Points []Point
}

// Fit is a line fitted by least squares: value = Base + Slope * size.
type Fit struct {
	Base  float64
	Slope float64
}

// Fit returns the line of least squares through the points. It is flat if all
// points have the same size.
func (s *Series) Fit() Fit {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Fit{Base: sy / max(n, 1)}
	}
	slope := (n*sxy - sx*sy) / d
	return Fit{Base: (sy - slope*sx) / n, Slope: slope}
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

// WriteTable writes the series as a Markdown table.
func WriteTable(w io.Writer, series []Series) error {
	if _, err := fmt.Fprintln(w, "| id | role | varied | cost | measured (size: value) | base | slope |\n|---|---|---|---|---|---|---|"); err != nil {
		return err
	}
	for i := range series {
		s := &series[i]
		f := s.Fit()
		_, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %.4g | %.4g |\n",
			s.ID, s.Role, s.Varied, s.Cost, pointList(s.Points), f.Base, f.Slope)
		if err != nil {
			return err
		}
	}
	return nil
}

// pointList formats points as "size: value" pairs.
func pointList(points []Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = fmt.Sprintf("%g: %.4g", p.Size, p.Value)
	}
	return strings.Join(parts, ", ")
}
