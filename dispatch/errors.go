package dispatch

import (
	"errors"
	"fmt"
)

// Errors of a dispatch. They tell what is known about the call at the backend
// server.
var (
	// ErrNotSent means no connection was made: the server surely did not run
	// the call.
	ErrNotSent = errors.New("backend server was not reached")
	// ErrDraining means the server refused the call because it is leaving. It
	// did not run the call.
	ErrDraining = errors.New("backend server is leaving")
	// ErrBusy means the server refused the call for now. It did not run it.
	ErrBusy = errors.New("backend server refused the call for now")
	// ErrSilent means the server stopped making progress.
	ErrSilent = errors.New("backend server made no progress in time")
	// ErrBroken means the answer ended before it was complete.
	ErrBroken = errors.New("answer of the backend server is incomplete")
	// ErrOffset means a stream did not go on at the expected token.
	ErrOffset = errors.New("stream does not continue at the expected token")
)

// StatusError is a final answer of a backend server other than success.
type StatusError struct {
	Status      int
	ContentType string
	Body        []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server answered with status %d", e.Status)
}

// NotRun reports whether err proves that the server did not run the call.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrDraining) || errors.Is(err, ErrBusy)
}
