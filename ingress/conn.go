package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync/atomic"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// bodyTimeout bounds the time between two reads of a request's body.
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
	// nanoseconds; zero while a request is in progress, and closing once no
	// request may begin.
	idleSince atomic.Int64
}

// closing marks a connection that is closed while idle.
const closing = -1

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes)}
	c.idleSince.Store(time.Now().UnixNano())
	return c
}

// closeIdle closes the connection unless a request has begun, and reports
// whether it did. Bytes may have been read already; no request begins with them.
func (c *conn) closeIdle() bool {
	since := c.idleSince.Load()
	if since <= 0 || !c.idleSince.CompareAndSwap(since, closing) {
		return false
	}
	c.nc.SetReadDeadline(time.Unix(1, 0))
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
	if c.server.closed.Load() {
		c.closeIdle()
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

// statusError is a request that gets a status without being handled.
type statusError struct {
	status int
	reason string
}

func (e *statusError) Error() string { return e.reason }

// readHead reads the head of a request and checks its framing.
func (c *conn) readHead(limits Limits, arrived time.Time) (*http.Request, error) {
	c.nc.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	raw, err := c.readRawHead(limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	if reason := framingFault(raw); reason != "" {
		return nil, &statusError{http.StatusBadRequest, reason}
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return nil, &statusError{http.StatusBadRequest, "request head is malformed: " + err.Error()}
	}
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		return nil, &statusError{http.StatusBadRequest, "request names no host"}
	}
	return req, nil
}

// readRawHead reads up to the empty line that ends a head.
func (c *conn) readRawHead(limit int) ([]byte, error) {
	var raw []byte
	for {
		line, err := c.br.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > limit {
			return nil, &statusError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("request head exceeds %d bytes", limit)}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil && isTimeout(err):
			return nil, &statusError{http.StatusRequestTimeout, "request head came too slowly"}
		case err != nil:
			return nil, err
		}
		if bytes.HasSuffix(raw, []byte("\n\r\n")) || bytes.HasSuffix(raw, []byte("\n\n")) {
			return raw, nil
		}
		if len(raw) <= 2 && len(bytes.TrimSpace(raw)) == 0 {
			raw = raw[:0] // An empty line before a request is allowed.
		}
	}
}

// framingFault tells why the end of a request's body is ambiguous, or "".
func framingFault(raw []byte) string {
	lengths, encodings := 0, 0
	for line := range bytes.Lines(raw) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch {
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
			encodings++
		}
	}
	switch {
	case lengths > 0 && encodings > 0:
		return "request has a length and a transfer encoding"
	case lengths > 1:
		return "request has more than one length"
	case encodings > 1:
		return "request has more than one transfer encoding"
	}
	return ""
}

// readBody reads the body of a request within its bounds.
func (c *conn) readBody(head *http.Request, limits Limits, arrived time.Time) (*Request, error) {
	r := &Request{
		Method: head.Method, Target: head.RequestURI, Path: pathOf(head.RequestURI), Host: head.Host,
		Header: head.Header, Chunked: len(head.TransferEncoding) > 0, Arrived: arrived,
	}
	if head.ContentLength > int64(limits.BodyBytes) {
		return nil, tooLarge(limits)
	}
	if head.ContentLength == 0 {
		return r, nil
	}
	if head.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	body, err := c.collect(head, limits)
	r.Body = body
	return r, err
}

func tooLarge(limits Limits) error {
	return &statusError{http.StatusRequestEntityTooLarge, fmt.Sprintf("request body exceeds %d bytes", limits.BodyBytes)}
}

// collect reads a body into memory, of which the server has a bounded amount
// for bodies.
func (c *conn) collect(head *http.Request, limits Limits) ([]byte, error) {
	var buf bytes.Buffer
	if n := head.ContentLength; n > 0 {
		buf.Grow(int(n))
	}
	held := c.server.bodies.Load()
	if held+max(head.ContentLength, 0) > c.server.cfg.MaxBodies {
		return nil, &statusError{http.StatusServiceUnavailable, "too many request bytes are held"}
	}
	c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	n, err := io.Copy(&buf, io.LimitReader(c.bodyReader(head), int64(limits.BodyBytes)+1))
	if n > int64(limits.BodyBytes) {
		return nil, tooLarge(limits)
	}
	if err != nil && isTimeout(err) {
		return nil, &statusError{http.StatusRequestTimeout, "request body came too slowly"}
	}
	if err == nil {
		err = c.endBody(head, n)
	}
	if err != nil {
		return nil, fmt.Errorf("reading the request body: %w", err)
	}
	c.server.bodies.Add(n)
	return buf.Bytes(), nil
}

// bodyReader returns the bytes of a body without its framing. It reads nothing
// beyond the body, so that the next request stays in the buffer.
func (c *conn) bodyReader(head *http.Request) io.Reader {
	if len(head.TransferEncoding) > 0 {
		return httputil.NewChunkedReader(c.br)
	}
	return io.LimitReader(c.br, head.ContentLength)
}

// maxTrailerLines bounds the lines after the last chunk.
const maxTrailerLines = 32

// endBody checks that n bytes are the whole body and reads what follows the
// last chunk.
func (c *conn) endBody(head *http.Request, n int64) error {
	if len(head.TransferEncoding) == 0 {
		if n < head.ContentLength {
			return io.ErrUnexpectedEOF
		}
		return nil
	}
	for range maxTrailerLines {
		line, err := c.br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
	}
	return &statusError{http.StatusBadRequest, "request has too many trailers"}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// pathOf returns the path of a request target as sent, without the query and,
// in absolute form, without scheme and host.
func pathOf(target string) string {
	if !strings.HasPrefix(target, "/") {
		if _, rest, ok := strings.Cut(target, "://"); ok {
			_, path, _ := strings.Cut(rest, "/")
			target = "/" + path
		}
	}
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
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
		h.Set("Retry-After", "0.5")
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
	c.nc.SetReadDeadline(time.Unix(1, 0)) // Ends the Peek.
	<-watched
	c.nc.SetReadDeadline(time.Time{})
}
