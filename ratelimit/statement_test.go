package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStatementsInUnknownOrderKeepTheLowerLimit checks that a response that was overtaken
// doesn't end or raise a limit.
func TestStatementsInUnknownOrderKeepTheLowerLimit(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	stated := func(limit float64, sent, heard int) Statement {
		return Statement{Limited: limit > 0, PerSecond: limit, SentAt: at(sent), HeardAt: at(heard)}
	}
	two := stated(2, 100, 200)
	for name, c := range map[string]struct {
		next Statement
		want bool
	}{
		"newer end":         {stated(0, 201, 250), true},
		"newer higher":      {stated(5, 201, 250), true},
		"overlapping end":   {stated(0, 150, 250), false},
		"overlapping lower": {stated(1, 150, 250), true},
		"overlapping more":  {stated(5, 150, 250), false},
		"older lower":       {stated(1, 10, 50), false},
	} {
		assert.Equal(t, c.next.replaces(two), c.want, name)
	}
	assert.Assert(t, two.replaces(stated(0, 150, 250)), "a limit over an end in unknown order")
}
