package scheduler

import (
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// recentFor is the least time for which requests that ended, or whose gateway
// declined a server, are remembered.
const recentFor = 10 * time.Second

// recent remembers a value for each of the last requests, in two generations.
type recent[V any] struct {
	newer, older map[policy.Key]V
	turned       time.Time
}

func (r *recent[V]) add(k policy.Key, v V, now time.Time) {
	if r.newer == nil || now.Sub(r.turned) > recentFor {
		r.older, r.newer = r.newer, map[policy.Key]V{}
		r.turned = now
	}
	r.newer[k] = v
}

func (r *recent[V]) get(k policy.Key) (V, bool) {
	if v, ok := r.newer[k]; ok {
		return v, true
	}
	v, ok := r.older[k]
	return v, ok
}

func (r *recent[V]) contains(k policy.Key) bool {
	_, ok := r.get(k)
	return ok
}
