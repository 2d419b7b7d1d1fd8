package placement

import (
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// suspendMin and suspendMax bound how long a server is suspended after a
	// failure.
	suspendMin = 200 * time.Millisecond
	suspendMax = 3 * time.Second
	// suspendDoublings is the largest number of times that consecutive failures
	// double the suspension.
	suspendDoublings = 6
	// errorShareSmoothing is the weight of the newest result in the error
	// share.
	errorShareSmoothing = 0.15
)

// Result is the outcome of a request at a server.
type Result uint8

// Results of a request.
const (
	// Served requests received a complete response.
	Served Result = iota
	// Failed requests received an error, an incomplete response or none.
	Failed
	// Unreachable means that the request could not be sent to the server or that
	// the server did not respond in time.
	Unreachable
	// Refused means that the server refused the request without running it.
	Refused
	// Abandoned requests were ended by the caller or the deadline.
	Abandoned
)

// Estimate is what was assumed about a server when a request was placed on it.
type Estimate struct {
	// UncachedTokens is the number of prompt tokens that the server did not have
	// cached.
	UncachedTokens int
	// BacklogTokens is the number of prompt tokens that the server had to read
	// before this request.
	BacklogTokens int
	// Running is the number of other requests at the server, of all daemons.
	Running int
	// MemoryTokens is the memory that these requests need, in tokens.
	MemoryTokens int
}

// InFlight is a request in flight at a server.
type InFlight struct {
	tracker *Tracker
	Server  *backend.Server
	Estimate
	placedAt time.Time
	// lastEvent is when the server last sent a part of the response.
	lastEvent time.Time
	// pendingTokens is the request's part of the server's backlog: its uncached
	// tokens until the first event, then 0.
	pendingTokens int
	urgency       int
	// used is the memory that the request needs, in tokens; 0 if it has no prompt.
	used  int
	tight bool
	ended bool
}

// RecordProgress records that the server sent a part of the response. The first
// call marks the prompt as read and samples the prefill rate.
func (f *InFlight) RecordProgress(now time.Time) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	st := f.tracker.state(f.Server.Instance())
	st.lastActivity = now
	if !f.lastEvent.IsZero() {
		st.pauses.observe(now, now.Sub(f.lastEvent))
	}
	f.lastEvent = now
	if f.pendingTokens > 0 {
		st.prefillRate.observe(f.BacklogTokens+f.UncachedTokens, now.Sub(f.placedAt))
		f.tracker.prefillRate.observe(f.BacklogTokens+f.UncachedTokens, now.Sub(f.placedAt))
	}
	f.clearPending()
}

// clearPending removes the prompt from the server's backlog. The caller must
// hold the tracker's lock.
func (f *InFlight) clearPending() {
	f.tracker.state(f.Server.Instance()).backlog[f.urgency] -= int32(f.pendingTokens)
	f.pendingTokens = 0
}

// End records the outcome of the request. Only the first call has an effect.
func (f *InFlight) End(now time.Time, r Result) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.clearPending()
	st := f.tracker.state(f.Server.Instance())
	st.running--
	st.slots[f.urgency]--
	st.used -= f.used
	if f.tight {
		st.tight--
	}
	switch r {
	case Served:
		if f.used > 0 {
			f.tracker.hold.observe(now.Sub(f.placedAt))
		}
		st.failures = 0
		st.lastActivity = now
		st.observeResult(0)
	case Failed:
		st.observeResult(1)
	case Unreachable:
		pause := st.suspend(now)
		f.tracker.log.Info("server is avoided after a failure", "server", f.Server.ID, "failures", st.failures, "pause_ms", pause.Milliseconds())
	case Refused:
		st.suspendedUntil = now.Add(suspendMin)
	case Abandoned:
	}
}

// observeResult updates the moving average of the error share; failed is 1 for
// a failed request and 0 for a served one.
func (st *serverState) observeResult(failed float64) {
	st.errorShare += errorShareSmoothing * (failed - st.errorShare)
}

// suspend suspends the server after a failure and returns for how long. The
// time doubles with each consecutive failure.
func (st *serverState) suspend(now time.Time) time.Duration {
	pause := min(suspendMax, suspendMin<<min(st.failures, suspendDoublings))
	st.suspendedUntil = now.Add(pause)
	st.failures++
	return pause
}
