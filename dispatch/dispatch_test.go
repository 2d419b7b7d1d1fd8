package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinththread/jacinththread/internal/standin/engine"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

func newClient() *Client {
	return New(Config{MaxProgressTimeout: 5 * time.Second, Metrics: metrics.NewRegistry()})
}

func server(addr string) membership.Server {
	return membership.Server{Name: "engine-1", Addr: addr}
}

func chat(body string) Call {
	return Call{Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{}, Body: []byte(body)}
}

func serveEngine(t *testing.T, cfg engine.Config) (*engine.Engine, membership.Server) {
	t.Helper()
	e := engine.New(cfg)
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	return e, server(s.Listener.Addr().String())
}

func TestStreamIsReadToItsTerminalMarker(t *testing.T) {
	_, srv := serveEngine(t, engine.Config{Slots: 1})
	s, err := newClient().OpenStream(context.Background(), srv, chat(`{"model":"m","stream":true,"max_tokens":5,"messages":[]}`), 0)
	assert.NilError(t, err)
	defer s.Close()
	var text strings.Builder
	for {
		ev, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		text.WriteString(ev.Chunk.Text())
	}
	assert.Equal(t, text.String(), engine.Text("m", "[]", 5))
	assert.Equal(t, s.Timing().Tokens, 5)
}

func TestStreamWithoutTerminalMarkerIsIncomplete(t *testing.T) {
	e, srv := serveEngine(t, engine.Config{Slots: 1})
	e.SetFaults(engine.Faults{CutAfter: 3})
	s, err := newClient().OpenStream(context.Background(), srv, chat(`{"model":"m","stream":true,"max_tokens":5}`), 0)
	assert.NilError(t, err)
	defer s.Close()
	for range 3 {
		_, err = s.Next()
		assert.NilError(t, err)
	}
	_, err = s.Next()
	assert.ErrorIs(t, err, ErrIncomplete)
}

func TestResumedStreamMustStartAtTheExpectedToken(t *testing.T) {
	_, srv := serveEngine(t, engine.Config{Slots: 1})
	s, err := newClient().OpenStream(context.Background(), srv, chat(`{"model":"m","stream":true,"max_tokens":5,"resume":{"offset":2}}`), 3)
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.ErrorIs(t, err, ErrUnexpectedOffset)
}

func TestRefusedConnectionIsNotConnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	_, err = newClient().Do(context.Background(), server(addr), chat(`{}`))
	assert.ErrorIs(t, err, ErrNotConnected)
	assert.Assert(t, NotRun(err))
}

func TestDrainingServerDidNotRunTheCall(t *testing.T) {
	e, srv := serveEngine(t, engine.Config{Slots: 1})
	e.SetFaults(engine.Faults{Draining: true})
	_, err := newClient().OpenStream(context.Background(), srv, chat(`{"stream":true}`), 0)
	assert.ErrorIs(t, err, ErrDraining)
	assert.Equal(t, len(e.Runs()), 0)
}

func TestCallWithoutProgressTimesOut(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-release }))
	defer s.Close()
	defer close(release)
	c := New(Config{MaxProgressTimeout: 50 * time.Millisecond, Metrics: metrics.NewRegistry()})
	_, err := c.Do(context.Background(), server(s.Listener.Addr().String()), chat(`{}`))
	assert.ErrorIs(t, err, ErrNoProgress)
	assert.Assert(t, !NotRun(err))
}

// A server that reads a request on a reused connection and closes it without a
// response may have run the request. net/http resends such a request if it has
// an Idempotency-Key header and no body, so the call could run twice.
func TestCallSentOnceIsNotRepeatedOnAClosedConnection(t *testing.T) {
	var posts atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		posts.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	defer s.Close()
	c := newClient()
	srv := server(s.Listener.Addr().String())
	_, err := c.Do(context.Background(), srv, Call{Method: http.MethodGet, Path: "/", Header: http.Header{}})
	assert.NilError(t, err)
	header := http.Header{"Idempotency-Key": {"k"}}
	_, err = c.Do(context.Background(), srv, Call{Method: http.MethodPost, Path: "/", Header: header, Once: true})
	assert.ErrorIs(t, err, ErrIncomplete)
	assert.Equal(t, posts.Load(), int32(1))
}

func TestProgressTimeoutFollowsObservedGaps(t *testing.T) {
	table := newProgressTimeouts(10 * time.Second)
	assert.Equal(t, table.tokenGap("s"), 10*time.Second)
	for range 50 {
		table.observe("s", 100*time.Millisecond, 20*time.Millisecond)
	}
	assert.Equal(t, table.tokenGap("s"), minProgressTimeout)
	for range 50 {
		table.observe("s", 100*time.Millisecond, 2*time.Second)
	}
	assert.Assert(t, table.tokenGap("s") >= 2*time.Second)
}
