package metering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testRun = 7

// countsOf returns a message with one request in each of the slots from a first one up to a last one.
func countsOf(now time.Duration, from, to int64) *countsMessage {
	m := &countsMessage{Run: testRun, NowMs: now.Milliseconds(), From: from, To: to, Customers: []string{"a"}}
	for slot := range to - from {
		m.Counts = append(m.Counts, slotCount{Slot: int32(slot), N: 1})
	}
	return m
}

// TestCountsOfTheLastSlotAreInTheirWindow guards against a window that is decided before the counts of the slot that its end
// lies in have arrived, which were in no report then.
func TestCountsOfTheLastSlotAreInTheirWindow(t *testing.T) {
	const end, now = 1003 * time.Millisecond, 2 * time.Second
	for last := int64(95); last < 105; last++ {
		c := newCollector()
		c.add("daemon", countsOf(now, 50, last), now)
		if len(c.missing([]string{"daemon"}, end)) > 0 {
			continue
		}
		before := c.window(0, end)["a"]
		c.add("daemon", countsOf(now, last, last+10), now)
		assert.Equal(t, c.window(0, end)["a"], before, "the window was decided with the slots before %d", last)
	}
}

// TestFasterMessagesMoveNoCountsIntoDecidedWindows guards against counts that are in no report because a message on a faster path
// shows that the sender's clock is further ahead than it seemed.
func TestFasterMessagesMoveNoCountsIntoDecidedWindows(t *testing.T) {
	const delay, end = 400 * time.Millisecond, time.Second
	c := newCollector()
	c.add("daemon", countsOf(time.Second, 0, 70), time.Second+delay)
	assert.Equal(t, len(c.missing([]string{"daemon"}, end)), 0)
	before := c.window(0, end)["a"]
	c.add("daemon", countsOf(2*time.Second, 70, 100), 2*time.Second)
	assert.Equal(t, c.window(0, end)["a"], before)
	assert.Equal(t, c.window(0, 3*time.Second)["a"], int64(100))
}
