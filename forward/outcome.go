package forward

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinththread/jacinththread/upstream"
)

// outcome tells how a request ended, for logs and metrics.
type outcome string

// Outcomes of a request.
const (
	// answered: a server's answer was passed on whole.
	answered outcome = "answered"
	// refused: the request surely did not run and the caller was told so.
	refused outcome = "refused"
	// unknown: the request may have run and has no answer to pass on.
	unknown outcome = "unknown"
	// broken: an answer that had begun was broken off.
	broken outcome = "broken"
	// left: the caller went away.
	left outcome = "left"
)

var outcomes = []outcome{answered, refused, unknown, broken, left}

// fate tells what became of a request at one server.
type fate uint8

const (
	// ran: the server answered.
	ran fate = iota
	// notRun: the server surely neither runs the request nor will.
	notRun
	// mayRun: nobody knows.
	mayRun
)

// fateOf tells what an error of an exchange proves.
func fateOf(err error) fate {
	if errors.Is(err, upstream.ErrNotSent) {
		return notRun
	}
	return mayRun
}

// Pauses that callers are told to wait after a refusal.
const (
	startupRetry  = 500 * time.Millisecond
	noServerRetry = 400 * time.Millisecond
	fullRetry     = 700 * time.Millisecond
)

// refuse answers with a status of the router's own. Statuses that promise that
// the request was not run are used only if that is certain.
func (q *request) refuse(status int, reason string, retry time.Duration) {
	q.outcome, q.status, q.reason = refused, status, reason
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		q.outcome = unknown
	}
	h := http.Header{}
	q.cfg.Dialect.Identify(h, q.meta.ID)
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	if err := q.w.Answer(status, h, []byte(reason+"\n")); err != nil {
		q.outcome = left
	}
}

// abort breaks the connection to the caller off.
func (q *request) abort(o outcome, reason string) {
	q.outcome, q.reason = o, reason
	q.w.Abort()
}
