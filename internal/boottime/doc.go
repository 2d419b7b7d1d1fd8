// Package boottime reads a clock that also counts the time for which the host was suspended. The
// monotonic clock of package time doesn't, so a permission that has run out meanwhile would still seem
// to hold.
package boottime

import "time"

var started = time.Now()

// fallback returns the monotonic time, for systems without such a clock.
func fallback() time.Duration { return time.Since(started) }
