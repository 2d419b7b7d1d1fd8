package ingress

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// bodyTimeout is the time within which a request body must be received.
	bodyTimeout = 10 * time.Second
)

// Request is a request whose head and body have been read.
type Request struct {
	Method string
	// Target is the request target as sent.
	Target string
	// Path is the path as sent, without the query.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked is set if the body was sent with chunked transfer encoding.
	Chunked bool
	// Arrived is the time at which the first byte of the request was read.
	Arrived time.Time
}

// conn is a connection from a caller.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	// idleSince is the time at which the connection began to wait for a request,
	// in Unix nanoseconds. It is zero while a request is in progress, and closing
	// once the idle connection is being closed.
	idleSince atomic.Int64
}

// closing is the value of idleSince for an idle connection that is being closed.
const closing = -1

// pastDeadline is a read deadline that makes pending and future reads time out at
// once.
var pastDeadline = time.Unix(1, 0)

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes)}
	c.idleSince.Store(time.Now().UnixNano())
	return c
}

// closeIdle marks an idle connection as closing and ends its pending read. It
// reports false if a request has begun or the connection is closing already. Bytes
// of a request may have been received already, see acceptLateRequest.
func (c *conn) closeIdle() bool {
	since := c.idleSince.Load()
	if since <= 0 || !c.idleSince.CompareAndSwap(since, closing) {
		return false
	}
	c.nc.SetReadDeadline(pastDeadline)
	return true
}

// begin marks that a request has begun. It reports false if the connection is
// being closed.
func (c *conn) begin() bool {
	since := c.idleSince.Load()
	return since != closing && c.idleSince.CompareAndSwap(since, 0)
}

// serve handles the requests of the connection in sequence.
func (c *conn) serve() {
	defer c.nc.Close()
	defer c.server.remove(c)
	for c.serveRequest() {
	}
}

// serveRequest handles one request and reports whether the connection can be used
// for another.
func (c *conn) serveRequest() bool {
	limits := c.server.cfg.Limits().orDefaults()
	if !c.awaitRequest(limits) {
		return false
	}
	arrived := time.Now()
	head, err := c.readHead(limits, arrived)
	if err != nil {
		c.refuse(err)
		return false
	}
	w := &Writer{conn: c, method: head.Method, proto11: head.ProtoAtLeast(1, 1), close: head.Close}
	r, err := c.readBody(head, limits, arrived)
	if err != nil {
		c.refuse(err)
		return false
	}
	defer c.server.heldBodyBytes.Add(-int64(len(r.Body)))
	c.handle(r, w)
	return w.reusable()
}

// resetOnClose sets whether the connection is reset when it is closed, which includes the end of the process. Otherwise
// the caller sees an orderly end.
func (c *conn) resetOnClose(reset bool) {
	const orderly = -1
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok {
		return
	}
	if reset {
		tcp.SetLinger(0)
		return
	}
	tcp.SetLinger(orderly)
}

// awaitRequest waits for the first byte of a request. It reports false if there is
// no request to handle: the caller has closed the connection, the idle timeout has
// expired or the server is closing the connection.
func (c *conn) awaitRequest(limits Limits) bool {
	if c.br.Buffered() > 0 {
		return true
	}
	c.idleSince.CompareAndSwap(0, time.Now().UnixNano())
	c.nc.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if c.server.closed.Load() || c.idleSince.Load() == closing {
		c.closeIdle()
		// The deadline set above may have replaced the one set by closeIdle.
		c.nc.SetReadDeadline(pastDeadline)
	}
	if _, err := c.br.Peek(1); err != nil && !isTimeout(err) {
		return false
	}
	return c.br.Buffered() > 0 && c.begin() || c.acceptLateRequest()
}

// lateReadTimeout bounds the final read of an idle connection that is closed by a
// planned stop. The read returns at once if bytes have been received.
const lateReadTimeout = 200 * time.Millisecond

// acceptLateRequest reports whether a request was received while a planned stop
// was closing the idle connection, and marks it as begun. Such a request is
// handled, because the caller could not tell whether it was executed.
func (c *conn) acceptLateRequest() bool {
	if !c.server.closed.Load() || c.idleSince.Load() != closing {
		return false
	}
	if c.br.Buffered() == 0 && !mayHaveReceived(c.nc) {
		return false
	}
	c.nc.SetReadDeadline(time.Now().Add(lateReadTimeout))
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	return c.idleSince.CompareAndSwap(closing, 0)
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// refuse responds to a request that is refused before it is handled, and counts
// and logs it. It sends nothing if the connection failed.
func (c *conn) refuse(err error) {
	var status *statusError
	if !errors.As(err, &status) {
		c.server.cfg.Log.Debug("caller closed the connection while sending a request", "err", err)
		return
	}
	c.server.refused.Inc(1)
	c.server.cfg.Log.Warn("request refused at its head", "status", status.status, "reason", status.reason, "caller", c.nc.RemoteAddr())
	w := &Writer{conn: c, proto11: true, close: true}
	h := http.Header{}
	if status.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", bodyMemoryRetryAfter)
	}
	w.Respond(status.status, h, []byte(status.reason+"\n"))
}

// handle runs the handler and cancels its context if the caller closes the
// connection. The goroutine's Peek also returns when the next request arrives.
func (c *conn) handle(r *Request, w *Writer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.nc.SetReadDeadline(time.Time{})
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		if _, err := c.br.Peek(1); err != nil && !isTimeout(err) {
			w.callerLeft.Store(true)
			cancel()
		}
	}()
	c.server.cfg.Handler(ctx, r, w)
	c.nc.SetReadDeadline(pastDeadline) // Ends the Peek of the goroutine.
	<-watchDone
	c.nc.SetReadDeadline(time.Time{})
}
