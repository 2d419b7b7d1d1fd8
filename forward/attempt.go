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
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// maxSends bounds the number of servers that one request is sent to,
	// including those that refuse it.
	maxSends = 4
	// maxIdleNonRepeatable is the longest idle time of a connection that is
	// reused for a request that must not be repeated. The peer of a connection
	// that was idle for longer may have become unreachable without closing it.
	maxIdleNonRepeatable = 3 * time.Second
	// unlimitedIdle accepts every connection in the pool; the pool's own idle
	// limit is shorter.
	unlimitedIdle = time.Hour
	// minRemainingTime is the shortest time before the deadline at which a
	// request is still sent.
	minRemainingTime = 5 * time.Millisecond
	// responseTimeoutFactor is how many times its latency target a repeatable
	// request waits for the first byte of a response before it is sent to
	// another server.
	responseTimeoutFactor = 3
	// minReadTimeout is the lower bound of the timeouts for the first byte and
	// for the gap between events.
	minReadTimeout = 400 * time.Millisecond
)

// attemptResult is the result of sending a request to one server.
type attemptResult struct {
	runState runState
	response *upstream.Response
	inFlight *placement.InFlight
	err      error
	// serverRefused is set if the server stated that it did not run the
	// request.
	serverRefused bool
}

// run sends the request to one server after another until a response was
// relayed or no further attempt is allowed.
func (q *request) run(ctx context.Context) {
	for q.tryNextServer(ctx) {
	}
}

// tryNextServer sends the request to one server and relays the response. It
// returns true if the request should be retried at another server.
func (q *request) tryNextServer(ctx context.Context) (retry bool) {
	ctx, span := q.startAttemptSpan(ctx)
	defer span.End()
	res, ok := q.placeAndSend(ctx)
	if !ok {
		return false
	}
	span.SetAttributes(attribute.String("server", q.lastServer.ID))
	if res.response != nil {
		return q.relay(ctx, res)
	}
	span.SetStatus(codes.Error, res.err.Error())
	if q.shouldRetry(ctx, res) {
		return true
	}
	q.giveUp(ctx, res)
	return false
}

// placeAndSend chooses a server and sends the request to it. If no server is
// available, it ends the request and returns false.
func (q *request) placeAndSend(ctx context.Context) (attemptResult, bool) {
	inFlight := q.chooseServer(ctx)
	if inFlight == nil {
		return attemptResult{}, false
	}
	q.lastServer = inFlight.Server
	q.estimate = inFlight.Estimate
	q.tried[inFlight.Server.Instance()] = true
	return q.send(ctx, inFlight), true
}

// send sends the request to the chosen server and reads the response head.
func (q *request) send(ctx context.Context, inFlight *placement.InFlight) attemptResult {
	use := upstream.Use{MaxIdle: unlimitedIdle, Repeatable: q.mayFollow(), AtMostOnce: !q.route.Repeatable()}
	if !q.route.Repeatable() {
		use.MaxIdle = maxIdleNonRepeatable
	}
	conn, err := q.cfg.Pool.Connect(ctx, inFlight.Server, use)
	if err != nil {
		return q.endFailedAttempt(ctx, inFlight, err)
	}
	q.via = conn.Via
	q.cfg.Pool.PrepareEnd(ctx, inFlight.Server, conn)
	remaining := time.Until(q.deadline)
	if err := q.mayNotSend(inFlight.Server.Instance(), remaining); err != nil {
		q.cfg.Pool.Release(conn)
		return q.endFailedAttempt(ctx, inFlight, fmt.Errorf("%w: %w", upstream.ErrNotSent, err))
	}
	q.sends++
	q.sentAt = time.Now()
	q.attemptEvents, q.counted = 0, false
	resp, err := q.cfg.Pool.Do(ctx, conn, q.outgoing(ctx, inFlight.Server, remaining), q.responseTimeout())
	if err != nil {
		return q.endFailedAttempt(ctx, inFlight, err)
	}
	q.notice = resp.Notice
	refused := q.cfg.HeaderCodec.NotRun(resp.Status, resp.Header)
	if !resp.Attributed && !(refused && q.route.Repeatable()) {
		resp.Close()
		return q.endFailedAttempt(ctx, inFlight, fmt.Errorf("%w: status %d", errUnattributed, resp.Status))
	}
	if refused {
		return q.endRefusedAttempt(inFlight, resp)
	}
	if q.route.Kind != route.Streaming || resp.Status != http.StatusOK {
		q.countBegun(q.sentAt)
	}
	return attemptResult{runState: ran, response: resp, inFlight: inFlight}
}

// countBegun counts the attempt as one that the server began at a time.
func (q *request) countBegun(at time.Time) {
	if !q.counted {
		q.counted = true
		q.cfg.Usage.Began(q.customer, time.Since(at))
	}
}

// errUnattributed means that it isn't known whether a response belongs to the request. The server may run the request.
var errUnattributed = errors.New("response names no request on a connection that carried others")

var errTooLate = errors.New("server is leaving or no time is left")

// mayNotSend returns why the request may not be sent to the chosen server any more, or nil. Something may
// have changed while it waited for a connection.
func (q *request) mayNotSend(server backend.Instance, remaining time.Duration) error {
	switch {
	case remaining < minRemainingTime || !q.cfg.Catalog.Usable(server):
		return errTooLate
	case q.cfg.HoldOffs.Remaining(server, time.Now()) > 0:
		return errHeldOff
	case !q.renewRetry():
		return errRetryBudget
	}
	return nil
}

// outgoing builds the request that is sent to a server.
func (q *request) outgoing(ctx context.Context, s *backend.Server, remaining time.Duration) *upstream.Request {
	id := q.meta.ID
	header := q.cfg.HeaderCodec.Outgoing(withoutHopByHop(q.in.Header), ServerMeta{
		Wait: remaining, Server: s.ID, Customer: q.customer,
		Urgency: q.urgency, LastEvent: q.stream.lastEventID(),
	})
	injectTrace(ctx, header)
	return &upstream.Request{
		Method: q.in.Method, Target: q.in.Target, Host: q.in.Host,
		Header: header, Body: q.in.Body, Chunked: q.in.Chunked,
		Attribute: func(h http.Header) upstream.Attribution { return q.cfg.HeaderCodec.Attribute(h, id) },
	}
}

// responseTimeout returns how long to wait for the response head, or zero for
// no limit if the request cannot be retried afterwards.
func (q *request) responseTimeout() time.Duration {
	if !q.mayFollow() {
		return 0
	}
	return q.firstByteTimeout()
}

// mayFollow reports whether another attempt may follow one that begins now.
func (q *request) mayFollow() bool { return q.route.Repeatable() && q.attempts+1 < q.route.MaxAttempts }

// firstByteTimeout returns how long a request that can be retried waits for the first byte of a response.
func (q *request) firstByteTimeout() time.Duration {
	return max(minReadTimeout, responseTimeoutFactor*q.route.Target)
}

// endFailedAttempt ends an attempt that got no response head.
func (q *request) endFailedAttempt(ctx context.Context, inFlight *placement.InFlight, err error) attemptResult {
	res := attemptResult{runState: runStateOf(err), err: err}
	if res.runState == mayRun {
		q.attempts++
		if q.route.Kind != route.Streaming {
			q.countBegun(q.sentAt) // A server begins such a request when it arrives.
		}
		q.observeBreak(ctx, inFlight.Server, err)
	}
	inFlight.End(time.Now(), q.placementResult(ctx, err))
	q.cfg.Log.Info("attempt failed", "request_id", q.meta.ID, "server", inFlight.Server.ID,
		"revision", inFlight.Server.Revision, "sent", res.runState == mayRun, "left_ms", time.Until(q.deadline).Milliseconds(), "err", err)
	return res
}

// placementResult classifies an error for the placement tracker. A caller that
// disconnects after waiting longer than the response timeout counts as a failure
// of the server; one that disconnects earlier does not.
func (q *request) placementResult(ctx context.Context, err error) placement.Result {
	leftByCaller := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline)
	switch {
	case leftByCaller && time.Since(q.sentAt) > q.firstByteTimeout():
		return placement.Failed
	case leftByCaller, errors.Is(err, errHeldOff), errors.Is(err, errRetryBudget):
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

// endRefusedAttempt ends an attempt whose server stated that it did not run the
// request.
func (q *request) endRefusedAttempt(inFlight *placement.InFlight, resp *upstream.Response) attemptResult {
	resp.Drain()
	inFlight.End(time.Now(), placement.Refused)
	q.cfg.Log.Info("server refused the request", "request_id", q.meta.ID, "server", inFlight.Server.ID,
		"revision", inFlight.Server.Revision, "status", resp.Status)
	return attemptResult{runState: notRun, serverRefused: true, err: fmt.Errorf("server answered %d and did not run the request", resp.Status)}
}

// shouldRetry reports whether to send the request to another server after a
// failed attempt. Once the request has been sent, a retry is taken out of the
// service's retry budget.
func (q *request) shouldRetry(ctx context.Context, res attemptResult) bool {
	if ctx.Err() != nil || q.sends >= maxSends || !q.canContinue() || q.crashedTooOften() || errors.Is(res.err, errRetryBudget) {
		return false
	}
	if res.runState != notRun && (!q.route.Repeatable() || q.attempts >= q.route.MaxAttempts) {
		return false
	}
	if q.sends == 0 {
		return true
	}
	return q.takeRetry()
}

// giveUp ends a request without a complete response from a server: with an
// error response, or by closing the connection if part of a response was
// already relayed.
func (q *request) giveUp(ctx context.Context, res attemptResult) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		q.abort(left, "caller left")
		return
	}
	if q.w.Started() && ctx.Err() != nil {
		q.abort(broken, "deadline passed in the middle of the answer")
		return
	}
	if q.w.Started() {
		q.abort(broken, res.err.Error())
		return
	}
	switch {
	case q.attempts == 0 && ctx.Err() != nil:
		q.refuse(http.StatusServiceUnavailable, "deadline passed before the request was sent", noServerRetryAfter)
	case q.attempts == 0 && res.serverRefused:
		q.refuse(http.StatusServiceUnavailable, res.err.Error(), serverFullRetryAfter)
	case q.attempts == 0:
		q.refuse(http.StatusServiceUnavailable, res.err.Error(), noServerRetryAfter)
	case ctx.Err() != nil:
		q.refuse(http.StatusGatewayTimeout, "deadline passed before an answer came", 0)
	default:
		q.refuse(http.StatusBadGateway, res.err.Error(), 0)
	}
}

var _ ingress.Handler = (*Forwarder)(nil).Serve
