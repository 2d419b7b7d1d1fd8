package quarantine

import (
	"maps"
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// recentAge is how long a crash counts as recent.
	recentAge = 10 * time.Second
	// maxRecent bounds the recent crashes that are remembered. More make no difference.
	maxRecent = 256
)

// recentCrashes holds the times at which servers crashed, under whatever requests.
type recentCrashes map[backend.Instance]time.Time

func (r recentCrashes) add(c Crash) {
	if len(r) < maxRecent {
		r[c.Server] = c.At
	}
}

// count returns the number of recent crashes and forgets the others.
func (r recentCrashes) count(now time.Time) int {
	maps.DeleteFunc(r, func(_ backend.Instance, at time.Time) bool { return now.Sub(at) > recentAge })
	return len(r)
}
