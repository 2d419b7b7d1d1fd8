package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/route"
)

// recordOutcome writes the log line, the metrics and the span attributes of a
// finished request.
func (q *request) recordOutcome() {
	took := time.Since(q.in.Arrived)
	q.outcomeCounter().Inc(1)
	q.latency.Update(took.Milliseconds())
	if !q.firstByteAt.IsZero() {
		q.Forwarder.firstByte.Update(q.timeToFirstByte().Milliseconds())
	}
	var version route.Version
	if q.table != nil {
		version = q.table.Version()
	}
	name, server, softwareVersion := "", "", ""
	var target, gapTarget time.Duration
	if q.route != nil {
		name, target, gapTarget = q.route.Name, q.route.Target, q.route.GapTarget
	}
	if q.lastServer != nil {
		server, softwareVersion = q.lastServer.ID, q.lastServer.Version
	}
	q.setSpanAttributes(name, server)
	revision, age := q.cfg.CatalogFreshness()
	q.cfg.Log.Info("request done", "request_id", q.meta.ID, "route", name, "customer", q.customer,
		"service", q.service, "outcome", q.outcome, "status", q.status, "reason", q.reason,
		"server", server, "sends", q.sends, "attempts", q.attempts, "took_ms", took.Milliseconds(),
		"first_ms", q.timeToFirstByte().Milliseconds(), "gap_ms", q.longestGap.Milliseconds(),
		"target_ms", target.Milliseconds(), "gap_limit_ms", gapTarget.Milliseconds(), "tokens_in", q.meta.TokensIn,
		"urgency", q.urgency, "backlog_tokens", q.estimate.BacklogTokens, "missing_tokens", q.estimate.UncachedTokens,
		"running", q.estimate.Running, "memory_tokens", q.estimate.MemoryTokens, "config", int64(version),
		"servers", q.readyServers, "revision", revision, "age_ms", age.Milliseconds(), "server_limit", q.notice.RateLimit,
		"version", softwareVersion, "via", q.via, "waited_ms", q.waited.Milliseconds(), "resumes", q.meta.Resumes, "after", q.meta.LastEvent,
		"framing", q.end.framing, "conn_end", q.end.conn, "end_evidence", q.end.evidence)
}

// timeToFirstByte returns the time from arrival to the first relayed byte of
// the response body, or zero if there was none.
func (q *request) timeToFirstByte() time.Duration {
	if q.firstByteAt.IsZero() {
		return 0
	}
	return q.firstByteAt.Sub(q.in.Arrived)
}

// recordRelayed updates the time to first byte and the longest gap after
// response bytes were relayed.
func (q *request) recordRelayed(now time.Time) {
	if q.firstByteAt.IsZero() {
		q.firstByteAt = now
	} else {
		q.longestGap = max(q.longestGap, now.Sub(q.lastRelayAt))
	}
	q.lastRelayAt = now
}

func (q *request) outcomeCounter() metrics.Counter { return q.Forwarder.outcomeCounters[q.outcome] }
