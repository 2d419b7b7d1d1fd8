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

	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/upstream"
)

// holdBytes is the largest plain answer that is read whole before it is passed
// on, so that a broken one can be told from a whole one.
const holdBytes = 256 << 10

// hopByHop are the header fields that concern one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// withoutHopByHop copies a header without the fields that concern one
// connection only.
func withoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

var (
	errNotGenuine = errors.New("server's success lacks its signature or its own bytes")
	errServer     = errors.New("server failed the request")
)

// relay passes an answer on. It reports true if the request is to be sent to
// another server instead.
func (q *request) relay(ctx context.Context, t try) (again bool) {
	a := t.answer
	q.attempts++
	if a.Status < http.StatusMultipleChoices && !q.cfg.Dialect.Genuine(a.Header) {
		a.Close()
		return q.retryOrGiveUp(ctx, t, errNotGenuine)
	}
	if isEventStream(a) {
		return q.relayStream(ctx, t)
	}
	if q.w.Started() { // A resumed stream needs events.
		a.Close()
		return q.retryOrGiveUp(ctx, t, fmt.Errorf("%w: status %d instead of events", errServer, a.Status))
	}
	return q.relayPlain(ctx, t)
}

func isEventStream(a *upstream.Answer) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// retryOrGiveUp ends a try whose answer is of no use.
func (q *request) retryOrGiveUp(ctx context.Context, t try, err error) (again bool) {
	t.fate, t.answer, t.err = mayRun, nil, err
	result := placement.Failed
	if ctx.Err() != nil {
		result = placement.Abandoned
	} else if isTimeout(err) {
		result = placement.Unreachable
	}
	t.flight.End(time.Now(), result)
	q.cfg.Log.Info("answer discarded", "request_id", q.meta.ID, "server", t.flight.Server.ID, "err", err)
	if q.mayRepeat(ctx, t) {
		return true
	}
	q.giveUp(ctx, t)
	return false
}

// relayPlain passes on an answer that is not a stream.
func (q *request) relayPlain(ctx context.Context, t try) (again bool) {
	a := t.answer
	t.flight.Heard(time.Now())
	if a.Framing == upstream.Sized && a.Length > holdBytes {
		return q.relayRest(t, nil)
	}
	var body bytes.Buffer
	_, err := io.Copy(&body, io.LimitReader(a, holdBytes+1))
	if err != nil {
		a.Close()
		return q.retryOrGiveUp(ctx, t, fmt.Errorf("answer broke off: %w", err))
	}
	if body.Len() > holdBytes {
		return q.relayRest(t, body.Bytes())
	}
	if a.Status >= http.StatusInternalServerError && q.worthRepeating(ctx) {
		return q.retryOrGiveUpWith(ctx, t, body.Bytes())
	}
	q.pass(t, body.Bytes())
	return false
}

// worthRepeating reports whether another server may do better.
func (q *request) worthRepeating(ctx context.Context) bool {
	return q.route.Repeatable() && q.attempts < q.route.MaxAttempts && ctx.Err() == nil
}

// retryOrGiveUpWith repeats a failed request if the budget allows it and
// passes the server's failure on otherwise.
func (q *request) retryOrGiveUpWith(ctx context.Context, t try, body []byte) (again bool) {
	if q.mayRepeat(ctx, try{fate: mayRun}) {
		t.flight.End(time.Now(), placement.Failed)
		q.cfg.Log.Info("server failed, trying another", "request_id", q.meta.ID, "server", t.flight.Server.ID, "status", t.answer.Status)
		return true
	}
	q.pass(t, body)
	return false
}

// pass sends a whole answer to the caller. A status that promises that the
// request was not run is not passed on from a server that did not say so.
func (q *request) pass(t try, body []byte) {
	a := t.answer
	result := placement.Served
	if a.Status >= http.StatusInternalServerError {
		result = placement.Failed
	}
	t.flight.End(time.Now(), result)
	if promisesNotRun(a.Status) {
		q.refuse(http.StatusBadGateway, fmt.Sprintf("server answered %d without saying that it did not run the request", a.Status), 0)
		return
	}
	q.outcome, q.status = answered, a.Status
	q.notePassed(time.Now())
	h := withoutHopByHop(a.Header)
	framing, length := ingress.Sized, int64(len(body))
	if q.in.Method == http.MethodHead {
		length = max(a.Length, 0)
	}
	q.w.Head(a.Status, h, framing, length)
	if _, err := q.w.Write(body); err != nil {
		q.abort(left, "caller left while the answer was sent")
		return
	}
	if err := q.w.End(); err != nil {
		q.abort(left, "caller left while the answer was sent")
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// relayRest passes on the bytes read so far and the rest as it comes.
func (q *request) relayRest(t try, first []byte) (again bool) {
	a := t.answer
	q.w.Head(a.Status, withoutHopByHop(a.Header), framingOf(a), a.Length)
	_, err := io.Copy(q.w, io.MultiReader(bytes.NewReader(first), a))
	if err == nil {
		err = q.w.End()
	}
	if err != nil {
		a.Close()
		t.flight.End(time.Now(), placement.Failed)
		q.abort(broken, err.Error())
		return false
	}
	t.flight.End(time.Now(), placement.Served)
	q.outcome, q.status = answered, a.Status
	return false
}

func framingOf(a *upstream.Answer) ingress.Framing {
	switch a.Framing {
	case upstream.Chunked:
		return ingress.Chunked
	case upstream.UntilClose:
		return ingress.UntilClose
	default:
		return ingress.Sized
	}
}
