package reach

import (
	"sync"
	"time"
)

// allowance permits one use per interval, and a burst after a pause. It is safe for concurrent use.
type allowance struct {
	interval time.Duration
	burst    int

	mu sync.Mutex
	// fullAt is when the whole burst is permitted again.
	fullAt time.Time
}

func newAllowance(interval time.Duration, burst int) *allowance {
	return &allowance{interval: interval, burst: burst}
}

// take reports whether a use is permitted now, and counts it.
func (a *allowance) take(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	fullAt := latest(a.fullAt, now).Add(a.interval)
	if fullAt.Sub(now) > time.Duration(a.burst)*a.interval {
		return false
	}
	a.fullAt = fullAt
	return true
}
