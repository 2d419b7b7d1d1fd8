package metering

import (
	"maps"
	"slices"
	"time"
)

// clockAge is how long the clock of a daemon counts after its last message.
const clockAge = 5 * time.Second

// collector sums the counts of all daemons at the leader. Times are those of the leader's clock of slots.
type collector struct {
	sources map[sourceID]*source
	slots   map[int64]map[string]int64
	// decided is the end of the last window that was decided, late the number of requests that came after their window was.
	decided time.Duration
	late    int64
}

// sourceID identifies one process of a daemon.
type sourceID struct {
	daemon string
	run    uint64
}

// source is what the leader knows about one process of a daemon.
type source struct {
	// ahead is by how much the leader's clock of slots is ahead of the source's, as the fastest message shows it.
	ahead time.Duration
	// first is the first slot of the source whose counts the leader has, next the one after the last.
	first, next int64
	// known is the leader's slot before which all counts of the source are there.
	known int64
	// wallAhead is by how much the source's wall clock is ahead of the leader's clock of slots.
	wallAhead time.Duration
	heardAt   time.Duration
}

func newCollector() *collector {
	return &collector{sources: map[sourceID]*source{}, slots: map[int64]map[string]int64{}}
}

// add takes in a message that arrived at a time. It returns the slot up to which the source's counts are known.
func (c *collector) add(from string, m *countsMessage, now time.Duration) int64 {
	id := sourceID{from, m.Run}
	s := c.sources[id]
	ahead := now - time.Duration(m.NowMs)*time.Millisecond
	if s == nil {
		s = &source{ahead: ahead, first: m.From, next: m.From}
		c.sources[id] = s
	}
	s.ahead = min(s.ahead, ahead)
	s.heardAt = now
	s.wallAhead = time.Duration(m.WallMs)*time.Millisecond - now
	if m.From > s.next {
		return s.next // Slots in between are missing.
	}
	for _, e := range m.Counts {
		slot := m.From + int64(e.Slot)
		if slot < s.next || int(e.Customer) >= len(m.Customers) {
			continue
		}
		slot = max(s.known, slotOf(s.toLeader(slot)))
		if time.Duration(slot)*slotLength < c.decided {
			c.late += int64(e.N)
		}
		c.addCount(slot, m.Customers[e.Customer], int64(e.N))
	}
	s.next = max(s.next, m.To)
	s.known = max(s.known, slotOf(s.toLeader(s.next)))
	return s.next
}

func (c *collector) addCount(slot int64, customer string, n int64) {
	if c.slots[slot] == nil {
		c.slots[slot] = map[string]int64{}
	}
	c.slots[slot][customer] += n
}

// toLeader returns the middle of a slot of the source, by the leader's clock.
func (s *source) toLeader(slot int64) time.Duration {
	return time.Duration(slot)*slotLength + slotLength/2 + s.ahead
}

// wallAhead returns by how much true time, in the form of Unix time, is ahead of the leader's clock of slots: the
// median over the daemons heard of lately. It returns false if there are none.
func (c *collector) wallAhead(now time.Duration) (time.Duration, bool) {
	var all []time.Duration
	for _, s := range c.sources {
		if now-s.heardAt <= clockAge {
			all = append(all, s.wallAhead)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// window returns the counts of the slots between two times.
func (c *collector) window(from, to time.Duration) map[string]int64 {
	counts := map[string]int64{}
	for slot, customers := range c.slots {
		if t := time.Duration(slot) * slotLength; t < from || t >= to {
			continue
		}
		for customer, n := range customers {
			counts[customer] += n
		}
	}
	return counts
}

// missing returns the daemons whose counts are not known up to a time.
func (c *collector) missing(daemons []string, to time.Duration) []string {
	known := map[string]bool{}
	for id, s := range c.sources {
		if time.Duration(s.known)*slotLength >= to {
			known[id.daemon] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(daemons), func(d string) bool { return known[d] })
}

// coveredSince returns the earliest time of which any daemon's counts are known. It returns false if none are.
func (c *collector) coveredSince() (time.Duration, bool) {
	var times []time.Duration
	for s := range maps.Values(c.sources) {
		times = append(times, s.toLeader(s.first))
	}
	if len(times) == 0 {
		return 0, false
	}
	return slices.Min(times), true
}

// forget drops what is older than a time.
func (c *collector) forget(before time.Duration) {
	for slot := range c.slots {
		if time.Duration(slot)*slotLength < before {
			delete(c.slots, slot)
		}
	}
	for id, s := range c.sources {
		if s.heardAt < before {
			delete(c.sources, id)
		}
	}
}
