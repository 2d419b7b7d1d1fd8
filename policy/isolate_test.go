package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// When a connection stalls, all requests on it fail at about the same time. The
// failures after the one that isolates the server must not be taken for failed
// probes, which would double the probe interval again and again.
func TestFailuresFromBeforeTheIsolationDoNotDelayTheProbe(t *testing.T) {
	var h Health
	start := time.Unix(1000, 0)
	failed := start.Add(1500 * time.Millisecond)
	for range 8 {
		h.Observe(failed, Observation{Failed: true, Started: start}, 0)
	}
	assert.Equal(t, h.State(), Probing)
	assert.Equal(t, h.LimitSlots(failed.Add(minProbeInterval), 8), 1)

	probe := failed.Add(minProbeInterval)
	h.RecordProbe(probe)
	h.Observe(probe.Add(time.Second), Observation{Failed: true, Started: probe}, 0)
	assert.Equal(t, h.LimitSlots(probe.Add(time.Second+minProbeInterval), 8), 0)
}
