package forward

import (
	"errors"
	"time"
)

var errRetryBudget = errors.New("retry budget of the service is used up")

// takeRetry takes a retry from the budget of the service and reports whether there was one.
func (q *request) takeRetry() bool {
	now := time.Now()
	d := q.cfg.Budget.TryRetry(q.service)
	if !d.Granted {
		q.cfg.Log.Info("request not sent again, the budget for repeats is used up", "request_id", q.meta.ID, "service", q.service, "sends", q.sends,
			"requests", d.Requests, "retries", d.Retries, "share", d.Share, "daemons", d.Daemons, "uptime_ms", d.Uptime.Milliseconds())
		return false
	}
	q.retryBy = now.Add(d.Valid)
	q.cfg.Log.Info("request is sent again", "request_id", q.meta.ID, "service", q.service, "sends", q.sends,
		"requests", d.Requests, "retries", d.Retries, "share", d.Share, "daemons", d.Daemons, "uptime_ms", d.Uptime.Milliseconds())
	return true
}

// renewRetry takes another retry if the request is sent again later than the last one allows, as it waited for a slot or
// a connection. It reports whether the request may be sent.
func (q *request) renewRetry() bool {
	return q.sends == 0 || time.Now().Before(q.retryBy) || q.takeRetry()
}
