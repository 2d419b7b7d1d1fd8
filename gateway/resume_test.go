package gateway

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/internal/standin/engine"
)

// A stream that was cut is resumed although no scheduler is known for a while,
// as when a daemon stops and a peer link is silent at once.
func TestCutStreamIsResumedAfterItsSchedulersCameBack(t *testing.T) {
	h := newHarness(t, "engine-1", "engine-2")
	gap := 30
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{CutAfter: 5, TokenGapMs: &gap})
	}
	answered := make(chan answer, 1)
	go func() { answered <- h.chat(streamed) }()
	await(func() bool { return len(h.engines["engine-1"].Runs())+len(h.engines["engine-2"].Runs()) > 0 })
	h.view.setAlone(true)
	refused := h.metrics.Get("reservation.refused").(metrics.Counter)
	await(func() bool { return refused.Count() > 0 })
	h.view.setAlone(false)
	text, done := textOf(t, (<-answered).body)
	assert.Assert(t, done)
	assert.Equal(t, text, streamedText)
}

// await polls until a condition holds.
func await(ready func() bool) {
	for !ready() {
		time.Sleep(time.Millisecond)
	}
}
