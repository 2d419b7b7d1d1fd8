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
)

// TestRequestThatCrossesTheStopIsAnsweredOrNotHandled: a request that arrives
// while idle connections are closed is either left unread or answered in whole.
func TestRequestThatCrossesTheStopIsAnsweredOrNotHandled(t *testing.T) {
	const rounds = 300
	for i := range rounds {
		var handled atomic.Int32
		s := start(t, func(ctx context.Context, r *Request, w *Writer) {
			handled.Add(1)
			time.Sleep(2 * time.Millisecond)
			echo(ctx, r, w)
		})
		c, answers := dial(t, s)
		time.Sleep(time.Millisecond) // The connection is accepted and idle.
		answered := make(chan bool)
		go func() {
			time.Sleep(time.Duration(i%40) * 5 * time.Microsecond)
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			res, err := http.ReadResponse(answers, nil)
			answered <- err == nil && res.StatusCode == http.StatusOK
		}()
		time.Sleep(100 * time.Microsecond)
		s.CloseAfterAnswers()
		s.CloseIdle()
		for s.Busy() > 0 {
			time.Sleep(100 * time.Microsecond)
		}
		assert.NilError(t, s.Stop(t.Context()))
		got := <-answered
		assert.NilError(t, c.Close())
		assert.Assert(t, got || handled.Load() == 0, "round %d: a request was handled and not answered", i)
	}
}

// TestIdleConnectionIsEitherClosedOrBegun: once the stop has marked an idle
// connection, no request begins on it, and the other way.
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

// TestRequestsSentBeforeTheStopAreAnswered sends requests on an idle connection
// and on new ones and stops the server at once.
func TestRequestsSentBeforeTheStopAreAnswered(t *testing.T) {
	const rounds, opened = 100, 8
	for i := range rounds {
		s := start(t, echo)
		var conns []net.Conn
		var answers []*bufio.Reader
		open := func() {
			c, r := dial(t, s)
			conns, answers = append(conns, c), append(answers, r)
		}
		open()
		time.Sleep(time.Duration(i%10) * 100 * time.Microsecond) // The connection is accepted and idle, or not yet.
		for range opened {
			open()
		}
		for _, c := range conns {
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
		}
		s.CloseAfterAnswers()
		s.StopAccepting()
		s.CloseIdle()
		for j, c := range conns {
			res, err := http.ReadResponse(answers[j], nil)
			assert.NilError(t, err, "round %d", i)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			assert.NilError(t, c.Close())
		}
		for s.Busy() > 0 {
			time.Sleep(100 * time.Microsecond)
		}
		assert.NilError(t, s.Stop(t.Context()))
	}
}

// TestRequestSentBeforeItsConnectionIsClosedIsAnswered: the bytes have come and
// were not read yet when idle connections are closed.
func TestRequestSentBeforeItsConnectionIsClosedIsAnswered(t *testing.T) {
	const rounds = 300
	for i := range rounds {
		s := start(t, echo)
		c, answers := dial(t, s)
		time.Sleep(time.Millisecond) // The connection is accepted and idle.
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		s.CloseIdle()
		_, err = http.ReadResponse(answers, nil)
		assert.NilError(t, err, "round %d", i)
		assert.NilError(t, c.Close())
		assert.NilError(t, s.Stop(t.Context()))
	}
}

// TestConnectionClosedWhileItBecomesIdleEnds: the stop may mark a connection
// before its goroutine has set the deadline of an idle one.
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
