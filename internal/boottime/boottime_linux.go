package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was started, including the time for which it was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallback()
	}
	return time.Duration(ts.Nano())
}
