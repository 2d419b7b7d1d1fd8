// Package pause provides pauses that a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
