package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/internal/proctest"
)

// TestRequestDuringStopIsAnsweredOrNotHandled guards against a request that is
// handled without a response when it arrives while idle connections are being
// closed.
func TestRequestDuringStopIsAnsweredOrNotHandled(t *testing.T) {
	const rounds = 300
	for i := range rounds {
		var handled atomic.Int32
		s := start(t, func(ctx context.Context, r *Request, w *Writer) {
			handled.Add(1)
			time.Sleep(2 * time.Millisecond)
			echo(ctx, r, w)
		})
		c, responses := dial(t, s)
		time.Sleep(time.Duration(i%3) * 500 * time.Microsecond) // It may still be in the listen backlog.
		answered := make(chan bool)
		go func() {
			time.Sleep(time.Duration(i%40) * 5 * time.Microsecond)
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			res, err := http.ReadResponse(responses, nil)
			answered <- err == nil && res.StatusCode == http.StatusOK
		}()
		time.Sleep(100 * time.Microsecond)
		s.CloseAfterResponses()
		s.StopAccepting()
		s.CloseIdle()
		for s.ActiveConns() > 0 {
			time.Sleep(100 * time.Microsecond)
		}
		assert.NilError(t, s.Stop(t.Context()))
		got := <-answered
		assert.NilError(t, c.Close())
		assert.Assert(t, got || handled.Load() == 0, "round %d: a request was handled but got no response", i)
	}
}

// TestIdleConnectionIsEitherClosedOrBegun checks that no request begins on a
// connection that is marked as closing, and that a connection on which a request
// has begun isn't closed as idle.
func TestIdleConnectionIsEitherClosedOrBegun(t *testing.T) {
	s := start(t, echo)
	_, nc := net.Pipe()
	closed := newConn(s, nc)
	assert.Assert(t, closed.closeIdle())
	assert.Assert(t, !closed.begin())
	begun := newConn(s, nc)
	assert.Assert(t, begun.begin())
	assert.Assert(t, !begun.closeIdle())
}

// TestRequestsSentBeforeTheStopAreAnswered guards against lost requests when the
// server stops right after they were sent, on an idle connection and on new ones
// that may still be in the listen backlog.
func TestRequestsSentBeforeTheStopAreAnswered(t *testing.T) {
	const rounds, opened = 100, 8
	for i := range rounds {
		s := start(t, echo)
		var conns []net.Conn
		var responses []*bufio.Reader
		open := func() {
			c, r := dial(t, s)
			conns, responses = append(conns, c), append(responses, r)
		}
		open()
		// Vary whether the connection is accepted and idle by now.
		time.Sleep(time.Duration(i%10) * 100 * time.Microsecond)
		for range opened {
			open()
		}
		for _, c := range conns {
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
		}
		s.CloseAfterResponses()
		s.StopAccepting()
		s.CloseIdle()
		for j, c := range conns {
			res, err := http.ReadResponse(responses[j], nil)
			assert.NilError(t, err, "round %d", i)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			assert.NilError(t, c.Close())
		}
		for s.ActiveConns() > 0 {
			time.Sleep(100 * time.Microsecond)
		}
		assert.NilError(t, s.Stop(t.Context()))
	}
}

// TestRequestSentBeforeItsConnectionIsClosedIsAnswered guards against losing a
// request whose bytes are received but not read when idle connections are closed.
func TestRequestSentBeforeItsConnectionIsClosedIsAnswered(t *testing.T) {
	const rounds = 300
	for i := range rounds {
		s := start(t, echo)
		c, responses := dial(t, s)
		time.Sleep(time.Millisecond) // The connection is accepted and idle.
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		s.CloseIdle()
		_, err = http.ReadResponse(responses, nil)
		assert.NilError(t, err, "round %d", i)
		assert.NilError(t, c.Close())
		assert.NilError(t, s.Stop(t.Context()))
	}
}

// TestConnectionClosedWhileItBecomesIdleEnds guards against a connection that waits
// for its full idle timeout because its goroutine replaces the deadline that
// closeIdle has set.
func TestConnectionClosedWhileItBecomesIdleEnds(t *testing.T) {
	s := start(t, echo)
	_, nc := net.Pipe()
	c := newConn(s, nc)
	s.CloseIdle()
	assert.Assert(t, c.closeIdle())
	begun := time.Now()
	assert.Assert(t, !c.awaitRequest(Limits{IdleTimeout: 10 * time.Second}))
	assert.Assert(t, time.Since(begun) < time.Second)
}

// It guards against connections that are reset because they are made while the port closes.
func TestNoConnectionMadeWhileThePortClosesIsReset(t *testing.T) {
	proctest.CheckStops(t, func(t *testing.T) (addr string, stop func()) {
		s := start(t, echo)
		return s.Addr(), func() {
			s.CloseAfterResponses()
			s.StopAccepting()
		}
	})
}
