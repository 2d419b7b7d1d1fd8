package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jacinththread/jacinththread/httpcheck"
	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/upstream"
)

// maxBufferedBytes is the largest response other than an event stream that is
// buffered before it is relayed. Until then a truncated response can still be
// retried or replaced by an error response.
const maxBufferedBytes = 256 << 10

const (
	// maxUnsizedBytes is the longest body without a stated length that is relayed.
	maxUnsizedBytes = 64 << 20
	// maxErrorBodyTime bounds the time in which the body of an error response is read.
	maxErrorBodyTime = time.Second
)

// hopByHop lists the header fields that are not forwarded because they apply to
// a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// withoutHopByHop returns a copy of a header without hop-by-hop fields,
// including those that its Connection field lists, and without fields whose names
// aren't valid.
func withoutHopByHop(h http.Header) http.Header {
	kept := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	httpcheck.RemoveInvalidNames(kept)
	return kept
}

var (
	errUnverified   = errors.New("server's success lacks its signature or its own bytes")
	errServerFailed = errors.New("server failed the request")
	errBodyTooLong  = errors.New("body without a stated length is too long")
	errServerEnd    = fmt.Errorf("server isn't known to have lived on after its connection ended: %w", io.ErrUnexpectedEOF)
)

// relay relays the response of an attempt to the caller. It returns true if the
// response was discarded and the request should be retried at another server.
func (q *request) relay(ctx context.Context, res attemptResult) (retry bool) {
	resp := res.response
	q.attempts++
	q.beginBody(ctx, res)
	if isSuccess(resp) && !q.cfg.HeaderCodec.IsAuthentic(resp.Header) {
		resp.Close()
		return q.retryOrGiveUp(ctx, res, errUnverified)
	}
	if isEventStream(resp) {
		return q.relayStream(ctx, res)
	}
	if q.w.Started() { // Only an event stream can continue a resumed stream.
		resp.Close()
		return q.retryOrGiveUp(ctx, res, fmt.Errorf("%w: status %d instead of an event stream", errServerFailed, resp.Status))
	}
	return q.relayPlain(ctx, res)
}

func isSuccess(resp *upstream.Response) bool { return resp.Status < http.StatusMultipleChoices }

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp *upstream.Response) bool {
	return resp.Status == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// retryOrGiveUp ends an attempt whose response cannot be used, and either
// returns true for a retry or ends the request.
func (q *request) retryOrGiveUp(ctx context.Context, res attemptResult, err error) (retry bool) {
	res.runState, res.response, res.err = mayRun, nil, err
	q.breakBody(err)
	result := placement.Failed
	if ctx.Err() != nil {
		result = placement.Abandoned
	} else if isTimeout(err) {
		result = placement.Unreachable
	}
	q.observeBreak(ctx, res.inFlight.Server, err)
	res.inFlight.End(time.Now(), result)
	q.cfg.Log.Info("answer discarded", "request_id", q.meta.ID, "server", res.inFlight.Server.ID,
		"version", res.inFlight.Server.Version, "relayed", q.w.Started(),
		"framing", q.end.framing, "conn_end", q.end.conn, "end_evidence", q.end.evidence, "err", err)
	if q.shouldRetry(ctx, res) {
		return true
	}
	q.giveUp(ctx, res)
	return false
}

// relayPlain relays a response that is not an event stream. It buffers the body
// first if it is short enough. A status that implies that the request did not run
// isn't passed on, because the server did not state that.
func (q *request) relayPlain(ctx context.Context, res attemptResult) (retry bool) {
	resp := res.response
	res.inFlight.RecordProgress(time.Now())
	if !isSuccess(resp) {
		resp.SetReadTimeout(maxErrorBodyTime)
	}
	if impliesNotRun(resp.Status) {
		resp.Close()
		return q.retryOrGiveUp(ctx, res, fmt.Errorf("%w: status %d without saying that it did not run the request", errServerFailed, resp.Status))
	}
	if resp.Framing == upstream.Sized && resp.Length > maxBufferedBytes {
		return q.relayUnbuffered(ctx, res, nil)
	}
	var body bytes.Buffer
	_, err := io.Copy(&body, io.LimitReader(resp, maxBufferedBytes+1))
	if err == nil && body.Len() <= maxBufferedBytes {
		err = q.checkBodyEnd(ctx, res)
	}
	if err != nil {
		resp.Close()
		return q.retryOrGiveUp(ctx, res, fmt.Errorf("answer broke off: %w", err))
	}
	if body.Len() > maxBufferedBytes && !isSuccess(resp) {
		resp.Close()
		return q.retryOrGiveUp(ctx, res, errBodyTooLong)
	}
	if body.Len() > maxBufferedBytes {
		return q.relayUnbuffered(ctx, res, body.Bytes())
	}
	if resp.Status >= http.StatusInternalServerError && q.canRetry(ctx) {
		return q.retryOrRelayError(ctx, res, body.Bytes())
	}
	q.relayBuffered(res, body.Bytes())
	return false
}

// canRetry reports whether the request may run at another server. It does not
// consult the retry budget.
func (q *request) canRetry(ctx context.Context) bool {
	return q.route.Repeatable() && q.attempts < q.route.MaxAttempts && ctx.Err() == nil
}

// retryOrRelayError returns true for a retry after a 5xx response if the limits
// and the retry budget allow one. Otherwise it relays the response.
func (q *request) retryOrRelayError(ctx context.Context, res attemptResult, body []byte) (retry bool) {
	if q.shouldRetry(ctx, attemptResult{runState: mayRun}) {
		res.inFlight.End(time.Now(), placement.Failed)
		q.cfg.Log.Info("server failed, trying another", "request_id", q.meta.ID, "server", res.inFlight.Server.ID, "status", res.response.Status)
		return true
	}
	q.relayBuffered(res, body)
	return false
}

// relayBuffered sends a completely buffered response to the caller.
func (q *request) relayBuffered(res attemptResult, body []byte) {
	resp := res.response
	result := placement.Served
	if resp.Status >= http.StatusInternalServerError {
		result = placement.Failed
	}
	res.inFlight.End(time.Now(), result)
	q.outcome, q.status = answered, resp.Status
	if isSuccess(resp) {
		q.recordAnswered(res.inFlight.Server)
	}
	q.recordRelayed(time.Now())
	h := withoutHopByHop(resp.Header)
	framing, length := ingress.Sized, int64(len(body))
	if q.in.Method == http.MethodHead {
		length = max(resp.Length, 0)
	}
	q.w.WriteHead(resp.Status, h, framing, length)
	if _, err := q.w.Write(body); err != nil {
		q.abort(left, "caller left while the response was sent")
		return
	}
	if err := q.w.End(); err != nil {
		q.abort(left, "caller left while the response was sent")
	}
}

// impliesNotRun reports whether callers take a status as a promise that the
// request did not run and can safely be repeated.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// relayUnbuffered relays the bytes read so far and then the rest of the body as
// it arrives.
func (q *request) relayUnbuffered(ctx context.Context, res attemptResult, first []byte) (retry bool) {
	resp := res.response
	q.w.WriteHead(resp.Status, withoutHopByHop(resp.Header), framingOf(resp), resp.Length)
	body := io.MultiReader(bytes.NewReader(first), resp)
	if resp.Framing != upstream.Sized {
		body = io.LimitReader(body, maxUnsizedBytes+1)
	}
	n, err := io.Copy(q.w, body)
	if err == nil && resp.Framing != upstream.Sized && n > maxUnsizedBytes {
		err = errBodyTooLong
	}
	if err == nil {
		err = q.checkBodyEnd(ctx, res)
	}
	if err == nil {
		err = q.w.End()
	}
	if err != nil {
		resp.Close()
		q.breakBody(err)
		res.inFlight.End(time.Now(), placement.Failed)
		q.abort(broken, err.Error())
		return false
	}
	res.inFlight.End(time.Now(), placement.Served)
	q.outcome, q.status = answered, resp.Status
	if isSuccess(resp) {
		q.recordAnswered(res.inFlight.Server)
	}
	return false
}

// framingOf returns the framing toward the caller. A body of unknown length is sent in chunks, so that the caller sees
// whether it is whole: the end of a daemon's process closes its connections like the end of such a body.
func framingOf(resp *upstream.Response) ingress.Framing {
	if resp.Framing == upstream.Sized {
		return ingress.Sized
	}
	return ingress.Chunked
}
