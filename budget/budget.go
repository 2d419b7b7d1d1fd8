// Package budget limits how often requests are sent to a second server.
//
// Why: when servers fail, every request would be sent again at once, and the
// added load would keep them failing. The limit holds for all daemons together
// without a message between them: each uses a ratio of the requests that it saw
// itself, and its part of a fixed allowance.
package budget

import (
	"sync"
	"time"
)

// buckets is the number of parts that a window is counted in.
const buckets = 20

// memory is how long daemons count that are no longer seen: one that is cut off
// from the others still takes its part.
const memory = time.Minute

// safety is the part of the limit that is used, as windows of daemons do not
// begin at the same time.
const safety = 0.8

// Limit is the operator's limit for all daemons together.
type Limit struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Allowance is the number of repeats allowed in a window besides.
	Allowance float64
	// Window is the span over which both are counted.
	Window time.Duration
}

// Budget counts requests and repeats by service. It is safe for concurrent use.
type Budget struct {
	limit   Limit
	daemons func() int
	// start is the origin of the windows. Differences to it do not change when
	// the time of day jumps.
	start time.Time

	mu       sync.Mutex
	services map[string]*window
	// most is the highest number of live daemons seen lately.
	most     int
	mostSeen time.Time
}

// New returns a budget. Daemons returns the number of live daemons.
func New(limit Limit, daemons func() int) *Budget {
	return &Budget{limit: limit, daemons: daemons, start: time.Now(), services: map[string]*window{}}
}

// SetLimit replaces the limit if its window stays the same.
func (b *Budget) SetLimit(limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit.Window = b.limit.Window
	b.limit = limit
}

// Request counts a request.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service, now).requests[b.slot(now)]++
}

// Repeat takes a repeat from the budget, or reports false.
func (b *Budget) Repeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, repeats := w.totals()
	share := b.limit.Allowance / float64(b.mostDaemons(now))
	if repeats+1 > safety*(b.limit.Ratio*requests+share) {
		return false
	}
	w.repeats[b.slot(now)]++
	return true
}

// mostDaemons is the highest number of daemons seen lately.
func (b *Budget) mostDaemons(now time.Time) int {
	n := max(1, b.daemons())
	if n >= b.most || now.Sub(b.mostSeen) > memory {
		b.most, b.mostSeen = n, now
	}
	return b.most
}

// window counts in buckets; each is used again after a whole window.
type window struct {
	newest   int64
	requests [buckets]float64
	repeats  [buckets]float64
}

func (b *Budget) tick(now time.Time) int64 {
	return int64(now.Sub(b.start) / (b.limit.Window / buckets))
}

func (b *Budget) slot(now time.Time) int { return int(b.tick(now) % buckets) }

// window returns a service's counts without those that are too old.
func (b *Budget) window(service string, now time.Time) *window {
	w := b.services[service]
	tick := b.tick(now)
	if w == nil {
		w = &window{newest: tick}
		b.services[service] = w
	}
	for ; w.newest < tick && tick-w.newest <= buckets; w.newest++ {
		slot := (w.newest + 1) % buckets
		w.requests[slot], w.repeats[slot] = 0, 0
	}
	if w.newest < tick {
		*w = window{newest: tick}
	}
	return w
}

func (w *window) totals() (requests, repeats float64) {
	for i := range buckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return requests, repeats
}
