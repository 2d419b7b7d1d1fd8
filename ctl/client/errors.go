// Package client is an HTTP client for the caller and operator APIs of the daemons.
package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/jacinththread/jacinththread/finding"
)

// maxErrorBodyBytes limits how much of an error response is read.
const maxErrorBodyBytes = 1 << 20

// ErrIncomplete means that a response ended early: its connection broke, or a
// stream ended without the [DONE] marker.
var ErrIncomplete = errors.New("response ended before it was complete")

// RefusedError is an error response of a daemon.
type RefusedError struct {
	// Status is the HTTP status; zero for an error event within a stream.
	Status  int    `json:"status"`
	Code    string `json:"code"`
	Message string `json:"message"`
	// Run is the run state of the request: ran, not-run, unknown or
	// in-progress.
	Run string `json:"run"`
	// RetryAfterMs is the delay before a retry, in milliseconds; zero means
	// that the request should not be retried.
	RetryAfterMs int64        `json:"retry_after_ms"`
	Findings     finding.List `json:"findings"`
	RequestID    string       `json:"request_id"`
}

// Error returns the code, message, run state, retry delay and findings.
func (e *RefusedError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Code, e.Message)
	if e.Run != "" {
		fmt.Fprintf(&b, " (run: %s", e.Run)
		if e.RetryAfterMs > 0 {
			fmt.Fprintf(&b, ", retry after %d ms", e.RetryAfterMs)
		}
		b.WriteByte(')')
	}
	for _, f := range e.Findings {
		fmt.Fprintf(&b, "\n%s", f)
	}
	return b.String()
}

// UnreachableError means that no connection to a daemon could be made, so
// nothing was sent.
type UnreachableError struct {
	// Addrs are the addresses that were tried.
	Addrs []string
	// Err is the error of the last attempt.
	Err error
}

// Error returns the addresses and the error of the last attempt.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon is reachable at %s: %v", strings.Join(e.Addrs, ", "), e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error { return e.Err }

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *RefusedError `json:"error"`
}

// errorFromResponse decodes the body of an error response. A body in another
// format yields an error with the code "http" and the HTTP status.
func errorFromResponse(res *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
	if err != nil {
		return err
	}
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		body.Error = &RefusedError{Code: "http", Message: fmt.Sprintf("response has status %s", res.Status)}
	}
	body.Error.Status = res.StatusCode
	body.Error.RequestID = res.Header.Get(headerRequestID)
	if body.Error.Run == "" {
		body.Error.Run = res.Header.Get(headerRun)
	}
	return body.Error
}

// isDialError reports whether a request failed while connecting, before anything
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
