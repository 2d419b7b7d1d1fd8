package dispatch

import (
	"sync"
	"time"
)

const (
	// minPatience is the shortest wait before a connection counts as silent.
	minPatience = time.Second
	// deviations is how many mean deviations a wait may exceed its mean.
	deviations = 8
	// gainShift sets the weight of a new observation to 1/8.
	gainShift = 3
)

// patience estimates how long to wait for progress from observed waits, as TCP
// estimates its retransmission timeout: mean plus a multiple of the mean
// deviation.
type patience struct {
	mean, dev time.Duration
	seen      bool
}

func (p *patience) observe(d time.Duration) {
	if !p.seen {
		p.mean, p.dev, p.seen = d, d/2, true
		return
	}
	diff := d - p.mean
	p.mean += diff >> gainShift
	p.dev += (diff.Abs() - p.dev) >> gainShift
}

// limit returns the longest wait, at most bound.
func (p *patience) limit(bound time.Duration) time.Duration {
	if !p.seen {
		return bound
	}
	return min(max(p.mean+deviations*p.dev, minPatience), bound)
}

// patienceTable keeps estimates per backend server: one for the first token
// and one for the gaps between tokens.
type patienceTable struct {
	mu      sync.Mutex
	bound   time.Duration
	servers map[string]*serverPatience
}

type serverPatience struct {
	first, gap patience
}

func newPatienceTable(bound time.Duration) *patienceTable {
	return &patienceTable{bound: bound, servers: map[string]*serverPatience{}}
}

func (t *patienceTable) get(server string) *serverPatience {
	p := t.servers[server]
	if p == nil {
		p = &serverPatience{}
		t.servers[server] = p
	}
	return p
}

// first returns how long to wait for a server's first token. Prompts differ
// widely, so it never goes below half the bound.
func (t *patienceTable) first(server string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.get(server).first.limit(t.bound), t.bound/2)
}

// gap returns how long to wait between a server's tokens.
func (t *patienceTable) gap(server string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(server).gap.limit(t.bound)
}

func (t *patienceTable) observe(server string, first, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.get(server)
	p.first.observe(first)
	if gap > 0 {
		p.gap.observe(gap)
	}
}

// watchdog calls a function when no progress is reported in time.
type watchdog struct {
	mu    sync.Mutex
	limit time.Duration
	timer *time.Timer
}

func newWatchdog(limit time.Duration, expired func()) *watchdog {
	return &watchdog{limit: limit, timer: time.AfterFunc(limit, expired)}
}

// progress restarts the wait.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.limit)
}

// setLimit changes the wait from now on.
func (w *watchdog) setLimit(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
	w.timer.Reset(limit)
}

func (w *watchdog) stop() { w.timer.Stop() }
