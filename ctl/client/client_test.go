package client

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testTTLMs = 3_600_000

// deployment is a fake daemon whose entries list an address that refuses
// connections, followed by its own address.
type deployment struct {
	*httptest.Server
	entriesRequests atomic.Int64
	// handler serves all paths except /v1/entries.
	handler http.HandlerFunc
}

func newDeployment(t *testing.T, handler http.HandlerFunc) *deployment {
	t.Helper()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	d := &deployment{handler: handler}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/entries" {
			d.handler(w, r)
			return
		}
		d.entriesRequests.Add(1)
		fmt.Fprintf(w, `{"entries":[{"name":"a","addr":%q,"domain":"prai"},{"name":"b","addr":%q,"domain":"prai"}],"ttl_ms":%d}`,
			strings.TrimPrefix(closed.URL, "http://"), d.addr(), testTTLMs)
	}))
	t.Cleanup(d.Close)
	return d
}

func (d *deployment) addr() string { return strings.TrimPrefix(d.URL, "http://") }

func (d *deployment) caller() *Caller {
	hc := NewHTTPClient(time.Second, 1)
	return NewCaller(hc, NewDirectory(hc, []string{d.URL}, false))
}

func stream(lines ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(headerRequestID, "r1")
		for _, l := range lines {
			fmt.Fprintf(w, "%s\n\n", l)
		}
	}
}

func collect(t *testing.T, c *Caller, q Completion, o Options) (string, Meta, error) {
	t.Helper()
	var text strings.Builder
	meta, err := c.Complete(t.Context(), q, o, func(s string) { text.WriteString(s) })
	return text.String(), meta, err
}

func TestCompleteTriesTheNextAddressAndCachesEntries(t *testing.T) {
	d := newDeployment(t, stream(": comment", `data: {"choices":[{"delta":{"content":"a"}}]}`,
		`data: {"choices":[{"delta":{"content":"b"}}]}`, "data: [DONE]"))
	c := d.caller()
	for range 2 {
		text, meta, err := collect(t, c, Completion{Stream: true}, Options{})
		assert.NilError(t, err)
		assert.Equal(t, text, "ab")
		assert.Equal(t, meta.Addr, d.addr())
		assert.Equal(t, meta.RequestID, "r1")
	}
	assert.Equal(t, d.entriesRequests.Load(), int64(1))
}

func TestCompleteSendsHeaders(t *testing.T) {
	var got http.Header
	var body string
	d := newDeployment(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got, body = r.Header, string(data)
		fmt.Fprint(w, `{"choices":[{"message":{"role":"assistant","content":"whole"}}]}`)
	})
	q := Completion{Model: "m", Messages: []Message{{Role: "user", Content: "hi"}}}
	text, _, err := collect(t, d.caller(), q, Options{Token: "secret", Class: "counter", DeadlineMs: 900, IdempotencyKey: "k"})
	assert.NilError(t, err)
	assert.Equal(t, text, "whole")
	assert.Equal(t, body, `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":false}`)
	assert.Equal(t, got.Get("Authorization"), "Bearer secret")
	assert.Equal(t, got.Get("Jacinththread-Class"), "counter")
	assert.Equal(t, got.Get("Jacinththread-Deadline-Ms"), "900")
	assert.Equal(t, got.Get("Idempotency-Key"), "k")
}

func TestStreamWithoutDoneMarkerIsIncomplete(t *testing.T) {
	d := newDeployment(t, stream(`data: {"choices":[{"delta":{"content":"a"}}]}`))
	text, _, err := collect(t, d.caller(), Completion{Stream: true}, Options{})
	assert.ErrorIs(t, err, ErrIncomplete)
	assert.Equal(t, text, "a")
}

func TestAbortedStreamIsIncomplete(t *testing.T) {
	d := newDeployment(t, func(w http.ResponseWriter, r *http.Request) {
		stream(`data: {"choices":[{"delta":{"content":"a"}}]}`)(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	_, _, err := collect(t, d.caller(), Completion{Stream: true}, Options{})
	assert.ErrorIs(t, err, ErrIncomplete)
}

func TestErrorEventInStream(t *testing.T) {
	d := newDeployment(t, stream(`data: {"choices":[{"delta":{"content":"a"}}]}`,
		`data: {"error":{"code":"cut","message":"server is gone","run":"unknown"}}`))
	_, _, err := collect(t, d.caller(), Completion{Stream: true}, Options{})
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Status, 0)
	assert.Equal(t, refused.Run, "unknown")
}

func TestErrorResponseIsReturnedWithoutRetry(t *testing.T) {
	var calls atomic.Int64
	d := newDeployment(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set(headerRequestID, "r9")
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, `{"error":{"code":"overload","message":"queue is full","run":"not-run","retry_after_ms":1500,
			"findings":[{"field":"x","message":"bad"}]}}`)
	})
	_, _, err := collect(t, d.caller(), Completion{}, Options{})
	assert.Error(t, err, "overload: queue is full (run: not-run, retry after 1500 ms)\nx: bad")
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Status, http.StatusTooManyRequests)
	assert.Equal(t, refused.RequestID, "r9")
	assert.Equal(t, calls.Load(), int64(1), "a refused request is not retried at another address")
}

func TestRefusalWithoutErrorBody(t *testing.T) {
	d := newDeployment(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "<html>", http.StatusBadGateway)
	})
	_, _, err := d.caller().CallService(t.Context(), "GET", "/services/a/b", nil, Options{})
	assert.Error(t, err, "http: response has status 502 Bad Gateway")
}

func TestUnreachableNamesTheAddresses(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	hc := NewHTTPClient(time.Second, 1)
	_, err := NewDirectory(hc, []string{closed.URL}, false).FetchEntries(t.Context())
	var unreachable *UnreachableError
	assert.Assert(t, errors.As(err, &unreachable))
	assert.DeepEqual(t, unreachable.Addrs, []string{closed.URL})
}

func TestDirectorySpreadsRequests(t *testing.T) {
	d := newDeployment(t, http.NotFound)
	dir := NewDirectory(http.DefaultClient, []string{d.URL}, true)
	first, err := dir.Addrs(t.Context())
	assert.NilError(t, err)
	second, err := dir.Addrs(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, second, []string{first[1], first[0]})
	dir.Remove(first[0])
	left, err := dir.Addrs(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, left, []string{first[1]})
}

func TestEmptyEntriesIsAnError(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"entries":[],"ttl_ms":5000}`)
	}))
	defer s.Close()
	_, err := NewDirectory(http.DefaultClient, []string{s.URL}, false).Addrs(t.Context())
	assert.ErrorContains(t, err, "no entries")
}
