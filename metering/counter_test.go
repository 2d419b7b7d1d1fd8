package metering

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestsWithSlowResponsesAreCounted guards against requests that are in no report because their responses came after the counts
// of the time at which they began had been sent.
func TestRequestsWithSlowResponsesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		const requests, response = 50, 2 * time.Second
		time.Sleep(response)
		for range requests {
			f.nodes[1].counter.Began("slow", response)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * testWindows.Length)
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		reported := int64(0)
		for _, r := range f.platform.reports {
			reported += r.Counts["slow"]
		}
		assert.Equal(t, reported, int64(requests))
	})
}
