package dispatch

import (
	"errors"
	"fmt"
)

// Errors of a dispatch. They state whether the backend server may have run the
// call.
var (
	// ErrNotConnected means that no connection was established, so the server
	// did not run the call.
	ErrNotConnected = errors.New("no connection to the backend server")
	// ErrDraining means that the server is shutting down and refused the call
	// without running it.
	ErrDraining = errors.New("backend server is draining")
	// ErrBusy means that the server refused the call with a 503 for another
	// reason, such as overload. An engine did not run the call; a plain service
	// may have.
	ErrBusy = errors.New("backend server is temporarily unavailable")
	// ErrNoProgress means that no data arrived within the progress timeout. The
	// server may have run the call.
	ErrNoProgress = errors.New("backend server made no progress in time")
	// ErrIncomplete means that the response ended early or is malformed. The
	// server may have run the call.
	ErrIncomplete = errors.New("response of the backend server is incomplete")
	// ErrUnexpectedOffset means that a chunk does not start at the expected
	// token.
	ErrUnexpectedOffset = errors.New("stream does not continue at the expected token")
	// ErrContradictoryOffset means that a chunk does not start where the one before
	// ended, so that it isn't known up to which token the stream was received.
	ErrContradictoryOffset = errors.New("chunk of the stream contradicts the one before")
)

// StatusError is a response with a status other than 200 and 503.
type StatusError struct {
	Status      int
	ContentType string
	Body        []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server responded with status %d", e.Status)
}

// NotRun reports whether err means that the server did not run the call. For a
// plain service, ErrBusy does not prove that.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotConnected) || errors.Is(err, ErrDraining) || errors.Is(err, ErrBusy)
}
