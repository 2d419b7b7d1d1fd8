// Package client speaks HTTP with the daemons: as a caller and as an operator.
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

// maxErrorBytes bounds the part of an error answer that is read.
const maxErrorBytes = 1 << 20

// ErrCut means that an answer ended without its terminal marker. It is not
// complete.
var ErrCut = errors.New("answer ended before it was complete")

// RefusedError is an answer of a daemon other than success.
type RefusedError struct {
	// Status is the HTTP status; zero for an error in the midst of a stream.
	Status  int    `json:"status"`
	Code    string `json:"code"`
	Message string `json:"message"`
	// Run tells whether the request was run: ran, not-run, unknown or
	// in-progress.
	Run string `json:"run"`
	// RetryAfterMs is when to come back, in milliseconds; zero means not to.
	RetryAfterMs int64        `json:"retry_after_ms"`
	Findings     finding.List `json:"findings"`
	RequestID    string       `json:"request_id"`
}

// Error gives the code, the message, the run state and the findings.
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

// UnreachableError means that no daemon could be connected to. Nothing was
// sent.
type UnreachableError struct {
	// Addrs are the addresses tried.
	Addrs []string
	Err   error
}

// Error names the addresses and the last failure.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon is reachable at %s: %v", strings.Join(e.Addrs, ", "), e.Err)
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Err }

// errorBody is the JSON form of an error.
type errorBody struct {
	Error *RefusedError `json:"error"`
}

// refusal reads the error of an answer whose status is not a success.
func refusal(res *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return err
	}
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		body.Error = &RefusedError{Code: "http", Message: fmt.Sprintf("answer has status %s", res.Status)}
	}
	body.Error.Status = res.StatusCode
	body.Error.RequestID = res.Header.Get(headerRequestID)
	if body.Error.Run == "" {
		body.Error.Run = res.Header.Get(headerRun)
	}
	return body.Error
}

// notConnected reports whether a request failed before anything was sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
