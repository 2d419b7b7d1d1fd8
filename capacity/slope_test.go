package capacity

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFitOfPointsOnALine(t *testing.T) {
	s := Series{ID: "x", Points: []Point{{1, 5}, {2, 7}, {10, 23}}}
	f := s.Fit()
	assert.Assert(t, math.Abs(f.Base-3) < 1e-9 && math.Abs(f.Slope-2) < 1e-9)
	assert.Assert(t, math.Abs(f.At(100)-203) < 1e-9)
	var b strings.Builder
	assert.NilError(t, WriteTable(&b, []Series{s}))
	assert.Assert(t, strings.Contains(b.String(), "| x |  |  |  | 1: 5, 2: 7, 10: 23 | 3 | 2 |"))
}

func TestFitOfOneSizeIsFlat(t *testing.T) {
	s := Series{Points: []Point{{4, 6}, {4, 8}}}
	assert.Equal(t, s.Fit(), Fit{Base: 7})
}
