package httpstore_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standinplatform "github.com/jacinththread/jacinththread/internal/standin/platform"
	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/httpstore"
)

// callTimeout is far above the duration of a call over the loopback interface.
const callTimeout = 20 * time.Second

func start(t *testing.T) (*standinplatform.Standin, *httpstore.Client, *httptest.Server) {
	t.Helper()
	s := standinplatform.New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, newClient(t, server.URL), server
}

func newClient(t *testing.T, url string) *httpstore.Client {
	t.Helper()
	c, err := httpstore.New(url, callTimeout)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

func TestStoreCalls(t *testing.T) {
	_, c, _ := start(t)
	ctx := t.Context()
	const key = "bundle/versions/1 %2F?x/../y//z"
	_, err := c.Get(ctx, key)
	assert.ErrorIs(t, err, store.ErrNotFound)
	rev, err := c.Create(ctx, key, []byte{0, 1, 2})
	assert.NilError(t, err)
	_, err = c.Create(ctx, key, nil)
	assert.ErrorIs(t, err, store.ErrExists)
	e, err := c.Get(ctx, key)
	assert.NilError(t, err)
	assert.DeepEqual(t, e, store.Entry{Key: key, Value: []byte{0, 1, 2}, Revision: rev})

	next, err := c.CompareAndSwap(ctx, key, rev, []byte("new"))
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(ctx, key, rev, []byte("newer"))
	assert.ErrorIs(t, err, store.ErrConflict)
	list, err := c.List(ctx, "bundle/")
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []store.Entry{{Key: key, Value: []byte("new"), Revision: next}})

	assert.ErrorIs(t, c.Delete(ctx, key, rev), store.ErrConflict)
	assert.NilError(t, c.Delete(ctx, key, next))
	assert.ErrorIs(t, c.Delete(ctx, key, next), store.ErrNotFound)
	_, err = c.Create(ctx, "big", make([]byte, store.MaxValueBytes+1))
	assert.ErrorIs(t, err, store.ErrTooLarge)
	_, err = c.Create(ctx, "fits", make([]byte, store.MaxValueBytes))
	assert.NilError(t, err)
}

func TestWatchReturnsTheChange(t *testing.T) {
	s, c, _ := start(t)
	type result struct {
		e   store.Entry
		err error
	}
	done := make(chan result)
	go func() {
		e, err := c.Watch(t.Context(), "a", 0)
		done <- result{e, err}
	}()
	_, err := s.Store().Create(t.Context(), "a", []byte("1"))
	assert.NilError(t, err)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, string(got.e.Value), "1")

	go func() {
		e, err := c.Watch(t.Context(), "a", got.e.Revision)
		done <- result{e, err}
	}()
	assert.NilError(t, s.Store().Delete(t.Context(), "a", got.e.Revision))
	assert.Assert(t, (<-done).e.Deleted)
}

func TestWatchEndsWithItsContext(t *testing.T) {
	_, c, _ := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := c.Watch(ctx, "a", 0)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestLostReplyIsUnknownAndTookEffect(t *testing.T) {
	s, c, _ := start(t)
	s.SetFaults(standinplatform.Faults{DropResponses: 1})
	_, err := c.Create(t.Context(), "a", []byte("1"))
	assert.ErrorIs(t, err, store.ErrOutcomeUnknown)
	e, err := c.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value), "1")
}

func TestOutageIsUnavailable(t *testing.T) {
	s, c, _ := start(t)
	s.SetFaults(standinplatform.Faults{Down: true})
	_, err := c.Get(t.Context(), "a")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = c.Create(t.Context(), "a", nil)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	s.SetFaults(standinplatform.Faults{})
	_, err = c.Get(t.Context(), "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func TestFailedDialIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + l.Addr().String()
	assert.NilError(t, l.Close())
	c := newClient(t, url)
	_, err = c.Create(t.Context(), "a", nil)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

// An error status from an intermediary, without the protocol's error code, says
// nothing about the outcome of a write.
func TestWriteStatusFromAnIntermediaryIsUnknown(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusPreconditionFailed, http.StatusBadGateway, http.StatusServiceUnavailable} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
		}))
		c := newClient(t, server.URL)
		_, err := c.Create(t.Context(), "a", nil)
		assert.ErrorIs(t, err, store.ErrOutcomeUnknown)
		_, err = c.Get(t.Context(), "a")
		assert.ErrorIs(t, err, store.ErrUnavailable)
		server.Close()
	}
}

func TestWriteTimeoutIsUnknown(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	c, err := httpstore.New(server.URL, 200*time.Millisecond)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(t.Context(), "a", 1, nil)
	assert.ErrorIs(t, err, store.ErrOutcomeUnknown)
}

func TestHosts(t *testing.T) {
	s, c, server := start(t)
	hosts, err := c.Hosts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 0)
	want := []store.Host{{Name: "engine-1", Addr: "127.0.0.1:9001", Service: "engines", State: store.HostLeaving}}
	s.SetHosts(want)
	hosts, err = c.Hosts(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, want)

	resp, err := http.Post(server.URL+"/admin/hosts", "application/json", nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

func TestNewRefusesBadAddresses(t *testing.T) {
	for _, url := range []string{"", "localhost:80", "ftp://x", "http://"} {
		_, err := httpstore.New(url, time.Second)
		assert.Assert(t, err != nil, url)
	}
}
