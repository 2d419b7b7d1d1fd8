package measure

import (
	"container/heap"
	"sync"
	"time"
)

// clock schedules callbacks and runs them one at a time.
type clock interface {
	// now is the time since the start of the run.
	now() time.Duration
	after(d time.Duration, f func()) *timer
	// locked runs f before it returns, and not while a callback runs.
	locked(f func())
}

// timer is a scheduled callback.
type timer struct {
	f       func()
	due     time.Duration
	seq     int
	stopped bool
}

func (t *timer) stop() {
	if t != nil {
		t.stopped = true
	}
}

// eventClock is the clock of a discrete-event simulation: it runs callbacks in
// order of their due time and advances its time without waiting.
type eventClock struct {
	at     time.Duration
	seq    int
	events eventHeap
}

func (c *eventClock) now() time.Duration { return c.at }

func (c *eventClock) locked(f func()) { f() }

func (c *eventClock) after(d time.Duration, f func()) *timer {
	c.seq++
	t := &timer{f: f, due: c.at + max(d, 0), seq: c.seq}
	heap.Push(&c.events, t)
	return t
}

// run calls the callbacks until no callback is pending.
func (c *eventClock) run() {
	for len(c.events) > 0 {
		t := heap.Pop(&c.events).(*timer)
		if t.stopped {
			continue
		}
		c.at = t.due
		t.f()
	}
}

// eventHeap orders timers by due time, and timers due at the same time in the
// order they were scheduled.
type eventHeap []*timer

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*timer)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// systemClock uses package time, whose time is virtual in a testing/synctest
// bubble.
type systemClock struct {
	start time.Time
	mu    sync.Mutex
}

func (c *systemClock) now() time.Duration { return time.Since(c.start) }

func (c *systemClock) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *systemClock) after(d time.Duration, f func()) *timer {
	t := &timer{f: f}
	time.AfterFunc(d, func() {
		c.locked(func() {
			if !t.stopped {
				t.f()
			}
		})
	})
	return t
}
