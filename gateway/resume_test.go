package gateway

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/internal/standin/engine"
)

// An interrupted stream must be resumed even if no scheduler is live for a short
// time, as when a daemon stops while a peer link is unresponsive.
func TestInterruptedStreamIsResumedWhenASchedulerReturns(t *testing.T) {
	h := newHarness(t, "engine-1", "engine-2")
	gap := 30
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{CutAfter: 5, TokenGapMs: &gap})
	}
	responses := make(chan response, 1)
	go func() { responses <- h.chat(streamedChat) }()
	waitFor(func() bool { return len(h.engines["engine-1"].Runs())+len(h.engines["engine-2"].Runs()) > 0 })
	h.view.setNoScheduler(true)
	refused := h.metrics.Get("reservation.refused").(metrics.Counter)
	waitFor(func() bool { return refused.Count() > 0 })
	h.view.setNoScheduler(false)
	text, done := textOf(t, (<-responses).body)
	assert.Assert(t, done)
	assert.Equal(t, text, streamedText)
}

// waitFor polls until a condition holds.
func waitFor(ready func() bool) {
	for !ready() {
		time.Sleep(time.Millisecond)
	}
}
