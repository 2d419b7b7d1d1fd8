package metering

import (
	"slices"
	"sync"
	"time"
)

// slotLength is the resolution of counts.
const slotLength = 10 * time.Millisecond

// slotOf returns the slot that a time of a daemon's clock is in.
func slotOf(t time.Duration) int64 { return int64(t / slotLength) }

// Counter counts the requests that servers began for the local daemon. It is safe for concurrent use.
type Counter struct {
	clock func() time.Duration
	// keep is how long counts are kept for the leader.
	keep time.Duration
	// since is when the counter was created.
	since time.Duration

	mu    sync.Mutex
	slots map[int64]map[string]int64
	// sent is the slot before which all counts have been sent, so that later ones would be in no report.
	sent int64
}

// newCounter returns an empty counter. The clock must not jump.
func newCounter(clock func() time.Duration, keep time.Duration) *Counter {
	return &Counter{clock: clock, keep: keep, since: clock(), slots: map[int64]map[string]int64{}}
}

// Began counts a request of a customer that a server began some time ago, in the slot of that time or the first one that hasn't
// been sent. A nil counter, and a request without a customer, count nothing.
func (c *Counter) Began(customer string, ago time.Duration) {
	if c == nil || customer == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	slot := max(c.sent, slotOf(c.clock()-max(0, ago)))
	if c.slots[slot] == nil {
		c.slots[slot] = map[string]int64{}
	}
	c.slots[slot][customer]++
}

// count is the number of requests of a customer in a slot.
type count struct {
	Slot     int64
	Customer string
	N        int64
}

// toSend returns the counts of the slots from a first one up to, but not including, a last one, in order of
// slots. They don't change afterwards.
func (c *Counter) toSend(from, to int64) []count {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = max(c.sent, to)
	var out []count
	for slot, customers := range c.slots {
		if slot < from || slot >= to {
			continue
		}
		for customer, n := range customers {
			out = append(out, count{slot, customer, n})
		}
	}
	slices.SortFunc(out, func(a, b count) int { return int(a.Slot - b.Slot) })
	return out
}

// forget drops counts that are older than the counter keeps them.
func (c *Counter) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := slotOf(c.clock() - c.keep)
	for slot := range c.slots {
		if slot < oldest {
			delete(c.slots, slot)
		}
	}
}

// oldestKept returns the first slot of which all counts are there.
func (c *Counter) oldestKept() int64 {
	return slotOf(max(c.since, c.clock()-c.keep))
}
