package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against requests that are reset one after the other because the reference connection keeps the last place.
func TestReferenceGivesItsPlaceToRequestsAfterOneWasReset(t *testing.T) {
	u := &soundServer{maxConns: 1, probeAnswer: namedAnswer}
	s, p := serve(t, u.serve), newPool()
	c, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	c.Close()
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, !p.openReference(t.Context(), s, c).IsZero())
	time.Sleep(20 * time.Millisecond)
	reset := 0
	for range 5 {
		if _, err := readAnswer(t, p, s, "r", nil); err != nil {
			reset++
			t.Log(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, reset <= 1, "%d of 5", reset)
}
