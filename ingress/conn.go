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
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
)

// Request is a request whose head and body were read.
type Request struct {
	Method string
	// Target is the path and query as sent.
	Target string
	// Path is the path as sent, without the query.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked is set if the body came in chunks.
	Chunked bool
	// Arrived is when the first byte of the request was read.
	Arrived time.Time
}

// conn is a caller's connection.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	// idleSince is when the connection began to wait for a request, in
	// nanoseconds; zero while a request is in progress, and closing once the
	// connection is being closed.
	idleSince atomic.Int64
}

// closing marks a connection that is closed while idle.
const closing = -1

// longAgo as a deadline ends reads at once.
var longAgo = time.Unix(1, 0)

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes)}
	c.idleSince.Store(time.Now().UnixNano())
	return c
}

// closeIdle closes the connection unless a request has begun, and reports
// whether it did. Bytes of a request may have come already, see lastLook.
func (c *conn) closeIdle() bool {
	since := c.idleSince.Load()
	if since <= 0 || !c.idleSince.CompareAndSwap(since, closing) {
		return false
	}
	c.nc.SetReadDeadline(longAgo)
	return true
}

// begin marks that a request has begun, unless the connection is being closed.
func (c *conn) begin() bool {
	since := c.idleSince.Load()
	return since != closing && c.idleSince.CompareAndSwap(since, 0)
}

// serve handles the requests of the connection one after the other.
func (c *conn) serve() {
	defer c.nc.Close()
	defer c.server.remove(c)
	for c.next() {
	}
}

// next handles one request and reports whether another may follow.
func (c *conn) next() bool {
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
	defer c.server.bodies.Add(-int64(len(r.Body)))
	c.handle(r, w)
	return w.reusable()
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(limits Limits) bool {
	if c.br.Buffered() > 0 {
		return true
	}
	c.idleSince.CompareAndSwap(0, time.Now().UnixNano())
	c.nc.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if c.server.closed.Load() || c.idleSince.Load() == closing {
		c.closeIdle()
		c.nc.SetReadDeadline(longAgo) // The deadline above may have replaced that of the close.
	}
	if _, err := c.br.Peek(1); err != nil && !isTimeout(err) {
		return false
	}
	return c.br.Buffered() > 0 && c.begin() || c.lastLook()
}

// lastRead bounds the last read of a connection that a planned stop closes.
const lastRead = 2 * time.Millisecond

// lastLook reports whether a request came in the instant in which a planned
// stop closed the idle connection. It is handled, as its caller could not tell
// whether it ran.
func (c *conn) lastLook() bool {
	if !c.server.closed.Load() || c.idleSince.Load() != closing {
		return false
	}
	c.nc.SetReadDeadline(time.Now().Add(lastRead))
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	return c.idleSince.CompareAndSwap(closing, 0)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// refuse answers a request that was not handled and logs why.
func (c *conn) refuse(err error) {
	var status *statusError
	if !errors.As(err, &status) {
		c.server.cfg.Log.Debug("caller left while sending a request", "err", err)
		return
	}
	c.server.refused.Inc(1)
	c.server.cfg.Log.Warn("request refused at its head", "status", status.status, "reason", status.reason, "caller", c.nc.RemoteAddr())
	w := &Writer{conn: c, proto11: true, close: true}
	h := http.Header{}
	if status.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", bodiesRetry)
	}
	w.Answer(status.status, h, []byte(status.reason+"\n"))
}

// handle runs the handler while watching whether the caller leaves.
func (c *conn) handle(r *Request, w *Writer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.nc.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.br.Peek(1); err != nil && !isTimeout(err) {
			w.left.Store(true)
			cancel()
		}
	}()
	c.server.cfg.Handler(ctx, r, w)
	c.nc.SetReadDeadline(longAgo) // Ends the Peek.
	<-watched
	c.nc.SetReadDeadline(time.Time{})
}
