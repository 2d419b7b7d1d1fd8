package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/internal/pause"
)

// filterWaitShare is the share of its latency target that a request waits for a server that may get it.
const filterWaitShare = 0.5

// obstacle is why none of several servers may get a request now.
type obstacle struct {
	err error
	// wait is the time until the servers are worth another check; zero if the request isn't to wait.
	wait time.Duration
	// retryAfter is the time after which a caller that is refused may come back.
	retryAfter time.Duration
}

// filter returns those of the servers that may get the request now. If there is none, the obstacle says why.
type filter func(servers []*backend.Server) ([]*backend.Server, obstacle)

// filterServers applies all filters. It returns an obstacle if one of them leaves no server.
func (q *request) filterServers(servers []*backend.Server) ([]*backend.Server, *obstacle) {
	for _, f := range []filter{q.notHeldOff, q.permitted, q.withRoom} {
		left, o := f(servers)
		if len(left) == 0 && len(servers) > 0 {
			return nil, &o
		}
		servers = left
	}
	return servers, nil
}

// awaitOrRefuse waits until the servers are worth another check. If that takes too long, it ends the request
// and returns false.
func (q *request) awaitOrRefuse(ctx context.Context, o *obstacle) bool {
	if q.await(ctx, o) {
		return true
	}
	q.cfg.Log.Info("request not sent, no server may get it now", "request_id", q.meta.ID, "service", q.service,
		"servers", q.readyServers, "reason", o.err, "retry_ms", o.retryAfter.Milliseconds())
	if ctx.Err() != nil || q.attempts > 0 || q.w.Started() {
		q.giveUp(ctx, attemptResult{err: o.err})
		return false
	}
	q.refuse(http.StatusServiceUnavailable, o.err.Error(), o.retryAfter)
	return false
}

// await waits until the servers are worth another check. It returns false if that takes too long.
func (q *request) await(ctx context.Context, o *obstacle) bool {
	latest := q.in.Arrived.Add(time.Duration(filterWaitShare * float64(q.route.Target)))
	return o.wait > 0 && time.Now().Add(o.wait).Before(latest) && pause.For(ctx, o.wait)
}
