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

// RunState tells a caller whether its request was run by a backend server.
type RunState string

// Run states, as the header Jacinththread-Run gives them.
const (
	Ran        RunState = "ran"
	NotRun     RunState = "not-run"
	Unknown    RunState = "unknown"
	InProgress RunState = "in-progress"
)

// Headers of answers.
const (
	HeaderRequestID = "Jacinththread-Request-Id"
	HeaderRun       = "Jacinththread-Run"
	HeaderBundle    = "Jacinththread-Bundle"
)

// Headers of requests.
const (
	HeaderClass       = "Jacinththread-Class"
	HeaderDeadline    = "Jacinththread-Deadline-Ms"
	HeaderIdempotency = "Idempotency-Key"
)

// Error is a final answer other than success.
type Error struct {
	Status  int
	Code    string
	Message string
	// Run is left empty when the request's own state says it.
	Run RunState
	// RetryAfter is when the caller may come back; zero means not to.
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

// asError returns err as an *Error; others become an internal error.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Status: http.StatusInternalServerError, Code: "internal", Message: "internal error"}
}

// writeError sends the final answer of a request that failed before its answer
// began. The run state of the error goes before the request's own.
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
	// An encoding error here means the caller is gone.
	_ = json.NewEncoder(w).Encode(e.body(run))
}
