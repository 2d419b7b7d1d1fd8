// Package httpcheck checks responses and heads of requests by RFC 9110 and RFC 9112 where net/http is lenient. A
// malformed response isn't the response of a sound server: its fields, its framing or its body may be other ones than
// those that were meant. A malformed request may mean another request, or two, to a server.
package httpcheck

import (
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by all errors about malformed responses and requests.
var ErrMalformed = errors.New("HTTP message is malformed")

// Cause is what is wrong with a malformed response or request.
type Cause uint8

// Causes.
const (
	// OtherCause is any cause that has no name of its own.
	OtherCause Cause = iota
	// BadStatusLine means that the first line isn't one of HTTP/1.0 or HTTP/1.1.
	BadStatusLine
	// BadStatus means that the status isn't one from 100 to 599, or is 101 without having been asked for.
	BadStatus
	// BadFieldName means that the name of a field isn't a token.
	BadFieldName
	// BadFieldValue means that the value of a field holds control bytes.
	BadFieldValue
	// FoldedLine means that a field goes on in the next line.
	FoldedLine
	// BadFraming means that the length or the transfer coding is invalid or contradictory.
	BadFraming
	// BadTrailer means that the name of a field after a body in chunks isn't a token.
	BadTrailer
	// LongHead means that the head is too long or takes too much time.
	LongHead
	// BadRequestLine means that the first line of a request isn't one of HTTP/1.0 or HTTP/1.1.
	BadRequestLine
	// BadHost means that a request doesn't have exactly one host of valid form.
	BadHost

	causes
	// responseCauses is the number of causes that responses can have.
	responseCauses = BadRequestLine
)

var causeNames = [causes]string{"other", "status_line", "status", "field_name", "field_value", "folded_line", "framing", "trailer", "long_head", "request_line", "host"}

// String returns the name of the cause in metrics.
func (c Cause) String() string { return causeNames[c] }

// Causes returns all causes of malformed responses.
func Causes() []Cause {
	all := make([]Cause, responseCauses)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// Error is the error about a malformed response or request.
type Error struct {
	Cause Cause
	// Detail quotes what is malformed.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%v: %v %s", ErrMalformed, e.Cause, e.Detail)
}

// Unwrap returns ErrMalformed.
func (e *Error) Unwrap() error { return ErrMalformed }

// maxQuoted is the number of bytes of a message that are quoted in an error.
const maxQuoted = 40

func malformed(c Cause, quoted []byte) error {
	return &Error{Cause: c, Detail: fmt.Sprintf("%q", quoted[:min(len(quoted), maxQuoted)])}
}

// CauseOf returns the cause of an error about a malformed response.
func CauseOf(err error) Cause {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}
	return OtherCause
}
