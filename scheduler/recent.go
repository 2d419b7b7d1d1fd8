package scheduler

import (
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// recentRetention is the minimum time for which the service remembers requests
// that ended or whose gateway declined a server.
const recentRetention = 10 * time.Second

// recentRequests maps recent requests to values. It keeps two generations: an
// add more than recentRetention after the last rotation starts a new generation
// and drops the older one.
type recentRequests[V any] struct {
	newer, older map[policy.Key]V
	rotated      time.Time
}

func (r *recentRequests[V]) add(k policy.Key, v V, now time.Time) {
	if r.newer == nil || now.Sub(r.rotated) > recentRetention {
		r.older, r.newer = r.newer, map[policy.Key]V{}
		r.rotated = now
	}
	r.newer[k] = v
}

func (r *recentRequests[V]) get(k policy.Key) (V, bool) {
	if v, ok := r.newer[k]; ok {
		return v, true
	}
	v, ok := r.older[k]
	return v, ok
}

func (r *recentRequests[V]) contains(k policy.Key) bool {
	_, ok := r.get(k)
	return ok
}
