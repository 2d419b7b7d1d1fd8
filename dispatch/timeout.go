package dispatch

import (
	"sync"
	"time"
)

const (
	// minProgressTimeout is the lower bound of a progress timeout.
	minProgressTimeout = time.Second
	// deviationFactor is the number of mean deviations that a timeout lies above
	// the mean.
	deviationFactor = 8
	// gainShift gives a new observation a weight of 1/8.
	gainShift = 3
)

// waitEstimator derives a timeout from observed waits in the way TCP derives its
// retransmission timeout: the smoothed mean plus a multiple of the smoothed mean
// deviation.
type waitEstimator struct {
	mean, deviation time.Duration
	initialized     bool
}

func (e *waitEstimator) observe(d time.Duration) {
	if !e.initialized {
		e.mean, e.deviation, e.initialized = d, d/2, true
		return
	}
	diff := d - e.mean
	e.mean += diff >> gainShift
	e.deviation += (diff.Abs() - e.deviation) >> gainShift
}

// timeout returns the estimated timeout, or bound if that is shorter or nothing
// was observed yet.
func (e *waitEstimator) timeout(bound time.Duration) time.Duration {
	if !e.initialized {
		return bound
	}
	return min(max(e.mean+deviationFactor*e.deviation, minProgressTimeout), bound)
}

// progressTimeouts estimates the progress timeouts of each backend server: one for
// the first token and one for the gaps between tokens.
type progressTimeouts struct {
	mu         sync.Mutex
	maxTimeout time.Duration
	servers    map[string]*serverWaits
}

type serverWaits struct {
	firstToken, tokenGap waitEstimator
}

func newProgressTimeouts(maxTimeout time.Duration) *progressTimeouts {
	return &progressTimeouts{maxTimeout: maxTimeout, servers: map[string]*serverWaits{}}
}

func (t *progressTimeouts) get(server string) *serverWaits {
	w := t.servers[server]
	if w == nil {
		w = &serverWaits{}
		t.servers[server] = w
	}
	return w
}

// firstToken returns the timeout for a server's first token. Prompts differ widely
// in length, so it is at least half of maxTimeout.
func (t *progressTimeouts) firstToken(server string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.get(server).firstToken.timeout(t.maxTimeout), t.maxTimeout/2)
}

// tokenGap returns the timeout between two tokens of a server.
func (t *progressTimeouts) tokenGap(server string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(server).tokenGap.timeout(t.maxTimeout)
}

// observe records the timing of a stream. A gap of zero means that the stream
// had fewer than two tokens.
func (t *progressTimeouts) observe(server string, first, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.get(server)
	w.firstToken.observe(first)
	if gap > 0 {
		w.tokenGap.observe(gap)
	}
}

// watchdog calls a function when no progress is reported within a timeout.
type watchdog struct {
	mu      sync.Mutex
	timeout time.Duration
	timer   *time.Timer
}

func newWatchdog(timeout time.Duration, expired func()) *watchdog {
	return &watchdog{timeout: timeout, timer: time.AfterFunc(timeout, expired)}
}

// progress restarts the timer.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.timeout)
}

// setTimeout changes the timeout and restarts the timer.
func (w *watchdog) setTimeout(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout = timeout
	w.timer.Reset(timeout)
}

func (w *watchdog) stop() { w.timer.Stop() }
