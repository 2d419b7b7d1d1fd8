package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinththread/jacinththread/finding"
)

// RunState states in a response whether a backend server ran the request.
type RunState string

// Values of the header Jacinththread-Run.
const (
	// Ran means that a backend server ran the request.
	Ran RunState = "ran"
	// NotRun means that no backend server ran the request; repeating it is safe.
	NotRun RunState = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown RunState = "unknown"
	// InProgress means that another attempt with the same Idempotency-Key is
	// running.
	InProgress RunState = "in-progress"
)

// Response headers.
const (
	HeaderRequestID = "Jacinththread-Request-Id"
	HeaderRun       = "Jacinththread-Run"
	HeaderBundle    = "Jacinththread-Bundle"
)

// Request headers.
const (
	HeaderClass       = "Jacinththread-Class"
	HeaderDeadline    = "Jacinththread-Deadline-Ms"
	HeaderIdempotency = "Idempotency-Key"
)

// Error is an error response to a caller.
type Error struct {
	Status  int
	Code    string
	Message string
	// Run overrides the run state of the request if it is not empty.
	Run RunState
	// RetryAfter is the delay after which the caller may retry. If it is zero,
	// the response has no Retry-After header.
	RetryAfter time.Duration
	Findings   finding.List
}

// Error implements error.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

func badRequest(code, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Code: code, Message: fmt.Sprintf(format, args...)}
}

// errorBody is the JSON form of an Error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string        `json:"code"`
	Message      string        `json:"message"`
	Run          RunState      `json:"run"`
	RetryAfterMs int64         `json:"retry_after_ms,omitempty"`
	Findings     []findingBody `json:"findings,omitempty"`
}

type findingBody struct {
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

func (e *Error) body(run RunState) errorBody {
	d := errorDetail{
		Code:         e.Code,
		Message:      e.Message,
		Run:          run,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
	for _, f := range e.Findings {
		d.Findings = append(d.Findings, findingBody{Line: f.Line, Column: f.Column, Field: f.Field, Message: f.Message})
	}
	return errorBody{Error: d}
}

// asError returns the *Error in err's chain, or an internal error if there is none.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Status: http.StatusInternalServerError, Code: "internal", Message: "internal error"}
}

// writeError writes the error response of a request whose response has not
// started. The run state of the error takes precedence over state.
func writeError(w http.ResponseWriter, e *Error, state RunState) {
	run := e.Run
	if run == "" {
		run = state
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, string(run))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	// Encoding fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(e.body(run))
}
