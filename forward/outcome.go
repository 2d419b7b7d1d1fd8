package forward

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinththread/jacinththread/upstream"
)

// outcome is the result of a request in logs and metrics.
type outcome string

// Outcomes of a request.
const (
	// answered: a complete response of a server was relayed.
	answered outcome = "answered"
	// refused: the request certainly did not run, and the response states that.
	refused outcome = "refused"
	// unknown: the request may have run, but there is no response to relay.
	unknown outcome = "unknown"
	// broken: the connection to the caller was closed in the middle of a
	// response.
	broken outcome = "broken"
	// left: the caller closed its connection before the response was complete.
	left outcome = "left"
)

// outcomes lists all outcomes, each of which has a counter.
var outcomes = []outcome{answered, refused, unknown, broken, left}

// runState is what is known about the execution of a request at one server.
type runState uint8

const (
	// ran: the server responded.
	ran runState = iota
	// notRun: the server has not run the request and never will.
	notRun
	// mayRun: it is not known whether the server runs the request.
	mayRun
)

// runStateOf derives the run state from the error of an exchange.
func runStateOf(err error) runState {
	if errors.Is(err, upstream.ErrNotSent) {
		return notRun
	}
	return mayRun
}

// Values of the Retry-After header by reason of the refusal.
const (
	startupRetryAfter    = 500 * time.Millisecond
	noServerRetryAfter   = 400 * time.Millisecond
	serverFullRetryAfter = 700 * time.Millisecond
)

// refuse sends a response that the router itself generates. A status that
// promises that the request did not run may be used only if that is certain;
// 502 and 504 leave it open.
func (q *request) refuse(status int, reason string, retryAfter time.Duration) {
	q.outcome, q.status, q.reason = refused, status, reason
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		q.outcome = unknown
	}
	h := http.Header{}
	q.cfg.HeaderCodec.SetRequestID(h, q.meta.ID)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if err := q.w.Respond(status, h, []byte(reason+"\n")); err != nil {
		q.outcome = left
	}
}

// abort closes the connection to the caller without completing the response, so
// that the caller cannot take it as complete.
func (q *request) abort(o outcome, reason string) {
	q.outcome, q.reason = o, reason
	q.w.Abort()
}
