package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// maxSends bounds the servers that are handed one request, including those
	// that refuse it.
	maxSends = 4
	// freshIdle is the longest idle time of a connection that carries a request
	// which may not be repeated: an older one may have gone silent.
	freshIdle = 3 * time.Second
	// anyIdle accepts every connection that the pool keeps.
	anyIdle = time.Hour
	// minWait is the least time worth starting a request with.
	minWait = 5 * time.Millisecond
	// maxUrgency is the least urgent level that servers know.
	maxUrgency = 9
	// silenceTargets is how many times its objective a repeatable request waits
	// for the first byte of an answer before another server is tried.
	silenceTargets = 3
	// minSilence is the least time that a server may be silent.
	minSilence = 400 * time.Millisecond
)

// try is what one server made of a request.
type try struct {
	fate   fate
	answer *upstream.Answer
	flight *placement.Flight
	err    error
	// full is set if the server refused the request.
	full bool
}

// run sends the request to servers until it is answered or given up.
func (q *request) run(ctx context.Context) {
	for q.tryOne(ctx) {
	}
}

// tryOne sends the request to one server and passes its answer on. It reports
// true if the request is to be sent to another server.
func (q *request) tryOne(ctx context.Context) (again bool) {
	ctx, span := q.startAttemptSpan(ctx)
	defer span.End()
	t, ok := q.attempt(ctx)
	if !ok {
		return false
	}
	span.SetAttributes(attribute.String("server", q.last.ID))
	if t.answer != nil {
		return q.relay(ctx, t)
	}
	span.SetStatus(codes.Error, t.err.Error())
	if q.mayRepeat(ctx, t) {
		return true
	}
	q.giveUp(ctx, t)
	return false
}

// attempt places the request and sends it to one server. It reports false after
// it has answered the caller because there is no server.
func (q *request) attempt(ctx context.Context) (try, bool) {
	flight, refusal := q.place()
	if refusal != nil {
		q.turnAway(ctx, refusal)
		return try{}, false
	}
	if flight == nil {
		q.giveUp(ctx, try{fate: notRun, err: errNoServer})
		return try{}, false
	}
	q.last = flight.Server
	q.backlog, q.missing = flight.Backlog, flight.Missing
	q.tried[flight.Server.Life()] = true
	return q.send(ctx, flight), true
}

var (
	errNoServer = errors.New("service has no server left to try")
	errBusy     = errors.New("servers have more work than the request can wait for")
)

// place chooses among the servers that were not tried yet.
func (q *request) place() (*placement.Flight, *placement.Refusal) {
	var left []*backend.Server
	ready := q.cfg.Catalog.Ready(q.service)
	q.known = len(ready)
	for _, s := range ready {
		if !q.tried[s.Life()] {
			left = append(left, s)
		}
	}
	memory := 0
	if s := q.table.Service(q.service); s != nil && s.Engine != nil {
		memory = s.Engine.MemoryTokens
	}
	return q.cfg.Tracker.Place(time.Now(), left, placement.Want{
		Memory: memory, MaxWait: q.maxWait(),
		Prompt: q.meta.Prompt, TokensIn: q.meta.TokensIn, TokensOut: q.meta.TokensOut, Domain: q.cfg.Domain,
		Gap:   q.route.GapTarget,
		Tight: q.route.GapTarget > 0 && q.route.GapTarget <= q.table.TightestGap(q.service),
	})
}

// maxWait is how long the request may wait at a server for the work before it.
// One that has run somewhere goes on wherever it can.
func (q *request) maxWait() time.Duration {
	if q.attempts > 0 {
		return 0
	}
	return placement.MaxWaitOf(q.route.Target, q.urgency)
}

// turnAway answers a request that all servers are too busy for.
func (q *request) turnAway(ctx context.Context, r *placement.Refusal) {
	q.cfg.Log.Info("request refused, servers are too far behind", "request_id", q.meta.ID, "service", q.service, "urgency", q.urgency,
		"wait_ms", r.Wait.Milliseconds(), "max_wait_ms", r.MaxWait.Milliseconds(), "retry_ms", r.RetryAfter.Milliseconds())
	if ctx.Err() != nil {
		q.giveUp(ctx, try{fate: notRun, err: errBusy})
		return
	}
	q.refuse(http.StatusServiceUnavailable, errBusy.Error(), r.RetryAfter)
}

// send hands the request to the server of a flight.
func (q *request) send(ctx context.Context, flight *placement.Flight) try {
	maxIdle := anyIdle
	if !q.route.Repeatable() {
		maxIdle = freshIdle
	}
	conn, err := q.cfg.Pool.Connect(ctx, flight.Server, maxIdle)
	if err != nil {
		return q.failed(ctx, flight, err)
	}
	wait := time.Until(q.deadline)
	if wait < minWait || !q.cfg.Catalog.Usable(flight.Server.Life()) {
		q.cfg.Pool.Release(conn)
		return q.failed(ctx, flight, fmt.Errorf("%w: server is leaving or no time is left", upstream.ErrNotSent))
	}
	q.sends++
	q.sent = time.Now()
	answer, err := q.cfg.Pool.Do(ctx, conn, q.outgoing(ctx, flight.Server, wait), q.silence())
	if err != nil {
		return q.failed(ctx, flight, err)
	}
	if q.cfg.Dialect.NotRun(answer.Status, answer.Header) {
		return q.turnedAway(flight, answer)
	}
	return try{fate: ran, answer: answer, flight: flight}
}

// outgoing builds the request for a server.
func (q *request) outgoing(ctx context.Context, s *backend.Server, wait time.Duration) *upstream.Request {
	id := q.meta.ID
	header := q.cfg.Dialect.Outgoing(withoutHopByHop(q.in.Header), Sending{
		Wait: wait, Server: s.ID, Customer: q.customer,
		Urgency: min(max(q.urgency, 0), maxUrgency), LastEvent: q.stream.resumePoint(),
	})
	handOnTrace(ctx, header)
	return &upstream.Request{
		Method: q.in.Method, Target: q.in.Target, Host: q.in.Host,
		Header: header, Body: q.in.Body, Chunked: q.in.Chunked,
		Owns: func(h http.Header) bool { return q.cfg.Dialect.Owns(h, id) },
	}
}

// silence bounds the wait for an answer if the request may go on elsewhere.
func (q *request) silence() time.Duration {
	if !q.route.Repeatable() || q.attempts+1 >= q.route.MaxAttempts {
		return 0
	}
	return max(minSilence, silenceTargets*q.route.Target)
}

// failed ends a flight whose exchange failed.
func (q *request) failed(ctx context.Context, flight *placement.Flight, err error) try {
	t := try{fate: fateOf(err), err: err}
	if t.fate == mayRun {
		q.attempts++
	}
	flight.End(time.Now(), q.resultOf(ctx, err))
	q.cfg.Log.Info("attempt failed", "request_id", q.meta.ID, "server", flight.Server.ID,
		"revision", flight.Server.Revision, "sent", t.fate == mayRun, "left_ms", time.Until(q.deadline).Milliseconds(), "err", err)
	return t
}

// resultOf tells what an error says of the server. A caller who leaves after a
// long silence speaks against the server like an error.
func (q *request) resultOf(ctx context.Context, err error) placement.Result {
	leftByCaller := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline)
	switch {
	case leftByCaller && time.Since(q.sent) > max(minSilence, silenceTargets*q.route.Target):
		return placement.Failed
	case leftByCaller:
		return placement.Abandoned
	case isTimeout(err), errors.Is(err, upstream.ErrNotSent):
		return placement.Unreachable
	default:
		return placement.Failed
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// turnedAway ends a flight whose server states that it did not run the request.
func (q *request) turnedAway(flight *placement.Flight, answer *upstream.Answer) try {
	answer.Drain()
	flight.End(time.Now(), placement.Full)
	q.cfg.Log.Info("server refused the request", "request_id", q.meta.ID, "server", flight.Server.ID,
		"revision", flight.Server.Revision, "status", answer.Status)
	return try{fate: notRun, full: true, err: fmt.Errorf("server answered %d and did not run the request", answer.Status)}
}

// mayRepeat decides whether the request is sent to another server.
func (q *request) mayRepeat(ctx context.Context, t try) bool {
	if ctx.Err() != nil || q.sends >= maxSends {
		return false
	}
	if t.fate != notRun && (!q.route.Repeatable() || q.attempts >= q.route.MaxAttempts) {
		return false
	}
	if q.sends == 0 {
		return true
	}
	if !q.cfg.Budget.Repeat(q.service, time.Now()) {
		q.cfg.Log.Info("request not sent again, the budget for repeats is used up", "request_id", q.meta.ID, "service", q.service, "sends", q.sends)
		return false
	}
	return true
}

// giveUp answers a request that no server has answered.
func (q *request) giveUp(ctx context.Context, t try) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		q.abort(left, "caller left")
		return
	}
	if q.w.Started() && ctx.Err() != nil {
		q.abort(broken, "deadline passed in the middle of the answer")
		return
	}
	if q.w.Started() {
		q.abort(broken, t.err.Error())
		return
	}
	switch {
	case q.attempts == 0 && ctx.Err() != nil:
		q.refuse(http.StatusServiceUnavailable, "deadline passed before the request was sent", noServerRetry)
	case q.attempts == 0 && t.full:
		q.refuse(http.StatusServiceUnavailable, t.err.Error(), fullRetry)
	case q.attempts == 0:
		q.refuse(http.StatusServiceUnavailable, t.err.Error(), noServerRetry)
	case ctx.Err() != nil:
		q.refuse(http.StatusGatewayTimeout, "deadline passed before an answer came", 0)
	default:
		q.refuse(http.StatusBadGateway, t.err.Error(), 0)
	}
}

var _ ingress.Handler = (*Forwarder)(nil).Serve
