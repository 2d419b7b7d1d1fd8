package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jacinththread/jacinththread/httpcheck"
	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/httpcall"
)

// Error codes of the protocol.
const (
	codeNotFound    = "not_found"
	codeConflict    = "conflict"
	codeUnavailable = "unavailable"
	codeTooLarge    = "too_large"
)

// deletedHeader is set on the response to a watch if the key no longer exists.
const deletedHeader = "Store-Deleted"

// condition is the header that makes a request conditional. The zero value
// sends no header.
type condition struct {
	header, value string
}

func ifMatch(rev store.Revision) condition {
	return condition{header: "If-Match", value: etag(rev)}
}

func etag(rev store.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(rev), 10))
}

// response is a response of the store with methods for its protocol.
type response struct{ httpcall.Response }

// protocolError is the body of an error response.
type protocolError struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// call sends a request and reads the response. If it fails, sent reports
// whether the request may have reached the store.
func (c *Client) call(ctx context.Context, method string, u *url.URL, cond condition, body []byte) (r response, sent bool, err error) {
	c.calls.Inc(1)
	start := time.Now()
	defer func() { c.latency.UpdateSince(start) }()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return response{}, false, err
	}
	if cond.header != "" {
		req.Header.Set(cond.header, cond.value)
	}
	got, sent, err := httpcall.Do(c.http, req, maxResponseBytes)
	if err == nil && !got.Whole { // A part of a value is a value.
		err = httpcheck.ErrEndUnknown
	}
	return response{got}, sent, err
}

// read sends a GET request. It returns store.ErrUnavailable if there is no
// usable response.
func (c *Client) read(ctx context.Context, u *url.URL) (response, error) {
	return c.readIf(ctx, u, condition{})
}

// readIf sends a conditional GET request. The response has status 304 if the
// entity tag in cond is still current.
func (c *Client) readIf(ctx context.Context, u *url.URL, cond condition) (response, error) {
	r, _, err := c.call(ctx, http.MethodGet, u, cond, nil)
	if err != nil {
		c.failures.Inc(1)
		return response{}, httpcall.ReadError(err)
	}
	if r.Status == http.StatusOK || r.Status == http.StatusNotModified {
		return r, nil
	}
	if err := r.storeError(); err != nil && !errors.Is(err, store.ErrUnavailable) {
		return response{}, err
	}
	c.failures.Inc(1)
	return response{}, httpcall.ReadError(fmt.Errorf("unexpected status %d", r.Status))
}

func readJSON[T any](ctx context.Context, c *Client, u *url.URL) (T, error) {
	var v T
	r, err := c.read(ctx, u)
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(r.Body, &v); err != nil {
		c.failures.Inc(1)
		return v, httpcall.ReadError(fmt.Errorf("malformed response: %w", err))
	}
	return v, nil
}

// write sends a conditional write and returns the new revision. It returns
// store.ErrOutcomeUnknown if the request may have reached the store and there
// is no response that follows the protocol.
func (c *Client) write(ctx context.Context, method, key string, cond condition, value []byte) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, sent, err := c.call(ctx, method, c.keyURL(key), cond, value)
	if err != nil && !sent {
		c.failures.Inc(1)
		return 0, httpcall.WriteError(sent, err)
	}
	if err != nil {
		return 0, c.unknownOutcome(err)
	}
	if r.Status == http.StatusOK || r.Status == http.StatusCreated {
		rev, err := r.revision()
		if err != nil {
			return 0, c.unknownOutcome(err)
		}
		return rev, nil
	}
	if err := r.storeError(); err != nil {
		return 0, err
	}
	return 0, c.unknownOutcome(fmt.Errorf("unexpected status %d", r.Status))
}

func (c *Client) unknownOutcome(cause error) error {
	c.unknownOutcomes.Inc(1)
	return httpcall.WriteError(true, cause)
}

// storeError returns the error of an error response that follows the protocol,
// or nil. An error status from an intermediary, such as a proxy, comes without
// the matching error code and says nothing about the outcome of a write.
func (r response) storeError() error {
	var e protocolError
	if json.Unmarshal(r.Body, &e) != nil {
		return nil
	}
	switch {
	case r.Status == http.StatusNotFound && e.Error.Code == codeNotFound:
		return store.ErrNotFound
	case r.Status == http.StatusPreconditionFailed && e.Error.Code == codeConflict:
		return store.ErrConflict
	case r.Status == http.StatusServiceUnavailable && e.Error.Code == codeUnavailable:
		return store.ErrUnavailable
	case r.Status == http.StatusRequestEntityTooLarge && e.Error.Code == codeTooLarge:
		return store.ErrTooLarge
	}
	return nil
}

func (r response) revision() (store.Revision, error) {
	n, err := strconv.ParseUint(strings.Trim(r.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("response has no valid revision in its ETag header: %w", err)
	}
	return store.Revision(n), nil
}

func (r response) entry(key string) (store.Entry, error) {
	rev, err := r.revision()
	if err != nil {
		return store.Entry{}, httpcall.ReadError(err)
	}
	deleted := r.Header.Get(deletedHeader) != ""
	return store.Entry{Key: key, Value: r.Body, Revision: rev, Deleted: deleted}, nil
}
