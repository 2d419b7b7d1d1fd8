package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// When a connection falls silent, everything that ran over it fails at about
// the same time. Only the first failures say something about the server.
func TestFailuresFromBeforeTheIsolationDoNotDelayTheProbe(t *testing.T) {
	var h Health
	start := time.Unix(1000, 0)
	failed := start.Add(1500 * time.Millisecond)
	for range 8 {
		h.Observe(failed, Observation{Failed: true, Started: start}, 0)
	}
	assert.Equal(t, h.State(), Probing)
	assert.Equal(t, h.Cap(failed.Add(minProbeInterval), 8), 1)

	probe := failed.Add(minProbeInterval)
	h.Probe(probe)
	h.Observe(probe.Add(time.Second), Observation{Failed: true, Started: probe}, 0)
	assert.Equal(t, h.Cap(probe.Add(time.Second+minProbeInterval), 8), 0)
}
