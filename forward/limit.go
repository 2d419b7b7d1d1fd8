package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// minPermitWait is the shortest pause before servers are checked again.
	minPermitWait = 5 * time.Millisecond
	// limitedRetryAfter is the retry delay for callers that rate limits refuse when it is
	// not known when the next request is permitted.
	limitedRetryAfter = time.Second
	// permitHorizon is how far ahead the next permitted request is looked for.
	permitHorizon = 3 * time.Second
)

var errRateLimited = errors.New("rate limits of the servers permit no further request now")

// permitted is the filter for servers whose rate limits permit no request now.
func (q *request) permitted(servers []*backend.Server) ([]*backend.Server, obstacle) {
	now := time.Now()
	var out []*backend.Server
	for _, s := range servers {
		if q.cfg.Limits.Permitted(s.Instance(), now) {
			out = append(out, s)
		}
	}
	if len(out) > 0 {
		return out, obstacle{}
	}
	return nil, q.limitObstacle(servers, now)
}

// limitObstacle returns the obstacle for servers of which none permits a request now.
func (q *request) limitObstacle(servers []*backend.Server, now time.Time) obstacle {
	o := obstacle{err: errRateLimited}
	wait, found := q.untilPermit(servers, now)
	if found {
		o.wait = max(minPermitWait, wait)
	} else {
		wait = limitedRetryAfter
	}
	o.retryAfter = max(serverFullRetryAfter, wait) + rand.N(serverFullRetryAfter)
	return o
}

// untilPermit returns the time until one of the servers permits a request, or false if
// none does within permitHorizon.
func (q *request) untilPermit(servers []*backend.Server, now time.Time) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, s := range servers {
		wait, ok := q.cfg.Limits.NextPermit(s.Instance(), now, permitHorizon)
		if ok && (!found || wait < best) {
			best, found = wait, true
		}
	}
	return best, found
}
