// Package httpcall makes one call to a store over HTTP and tells whether the
// store may have seen it. Adapters build their protocols on it.
package httpcall

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/jacinththread/jacinththread/store"
)

// Response is a reply that was read to its end.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request and reads the whole reply, of at most maxBytes. If it
// fails, sent reports whether a connection was obtained, so that the request
// may have reached the store.
func Do(client *http.Client, req *http.Request, maxBytes int64) (reply Response, sent bool, err error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	res, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return Response{}, connected.Load(), err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBytes))
	if err != nil {
		return Response{}, true, fmt.Errorf("reading the reply: %w", err)
	}
	return Response{Status: res.StatusCode, Header: res.Header, Body: body}, true, nil
}

// ReadError describes a read that got no usable reply. It is
// store.ErrUnavailable and wraps the cause.
func ReadError(cause error) error {
	return fmt.Errorf("%w: %w", store.ErrUnavailable, cause)
}

// WriteError describes a write that got no usable reply: store.ErrUnavailable
// if it was not sent, else store.ErrOutcomeUnknown. It wraps the cause.
func WriteError(sent bool, cause error) error {
	if !sent {
		return ReadError(cause)
	}
	return fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, cause)
}
