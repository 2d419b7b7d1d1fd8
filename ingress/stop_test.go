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
		c, err := net.Dial("tcp", s.Addr())
		assert.NilError(t, err)
		assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		time.Sleep(time.Millisecond) // The connection is accepted and idle.
		answered := make(chan bool)
		go func() {
			time.Sleep(time.Duration(i%40) * 5 * time.Microsecond)
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			answered <- err == nil && res.StatusCode == http.StatusOK
		}()
		time.Sleep(100 * time.Microsecond)
		s.CloseAfterAnswers()
		s.StopAccepting()
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
