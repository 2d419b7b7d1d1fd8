// Package httpcall sends one HTTP request to a store and reports whether the
// store may have received it. Store adapters implement their protocols with it.
package httpcall

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/jacinththread/jacinththread/httpcheck"
	"github.com/jacinththread/jacinththread/store"
)

// Response is an HTTP response with its body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Whole is set if the body is certainly complete. Otherwise it has ended with its connection, and may be used only if
	// its content tells its end, as a JSON object does.
	Whole bool
}

var errTooLong = errors.New("response is too long")

// Do sends a request and reads the response. It fails if the body is longer than maxBytes. If it fails,
// sent reports whether a connection was obtained, in which case the request may
// have reached the store.
func Do(client *http.Client, req *http.Request, maxBytes int64) (resp Response, sent bool, err error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	res, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return Response{}, connected.Load(), err
	}
	defer res.Body.Close()
	body, whole, err := httpcheck.ReadAll(io.LimitReader(res.Body, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = errTooLong
	}
	if err != nil {
		return Response{}, true, fmt.Errorf("reading the response: %w", err)
	}
	return Response{Status: res.StatusCode, Header: res.Header, Body: body, Whole: whole}, true, nil
}

// ReadError returns the error for a read without a usable response. It wraps
// store.ErrUnavailable and the cause.
func ReadError(cause error) error {
	return fmt.Errorf("%w: %w", store.ErrUnavailable, cause)
}

// WriteError returns the error for a write without a usable response. It wraps
// the cause and store.ErrUnavailable if the request was not sent, otherwise
// store.ErrOutcomeUnknown.
func WriteError(sent bool, cause error) error {
	if !sent {
		return ReadError(cause)
	}
	return fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, cause)
}
