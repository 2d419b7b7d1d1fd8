//go:build !linux

package boottime

import "time"

// Now returns the time since the process was started.
func Now() time.Duration { return fallback() }
