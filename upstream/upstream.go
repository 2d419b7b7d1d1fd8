// Package upstream is an HTTP/1.1 client for backend servers with its own
// connection pool.
//
// It does not use the client of net/http, because that one retries some
// requests on its own and does not report whether any byte of a request was
// sent. Heads and bodies of responses are parsed by net/http.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/httpcheck"
)

// Request is a request to a server.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked selects chunked transfer coding instead of Content-Length.
	Chunked bool
	// Attribute tells whether a response with the given header belongs to the
	// request.
	Attribute func(http.Header) Attribution
}

// Attribution tells to which request a response belongs, as far as its header says.
type Attribution uint8

// Attributions of a response.
const (
	// Unattributed responses name no request.
	Unattributed Attribution = iota
	// Own responses name the request that was just sent.
	Own
	// Foreign responses name another request. They are late and are skipped.
	Foreign
)

// Framing is how the end of a message body is determined.
type Framing uint8

// Framings of a body.
const (
	// Sized bodies have a Content-Length.
	Sized Framing = iota
	// Chunked bodies end with a zero-length chunk.
	Chunked
	// UntilClose bodies end when the server closes the connection.
	UntilClose
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent to the server.
	ErrNotSent = errors.New("request was not sent")
	// ErrMalformed means that the received bytes are not a valid response to
	// the request.
	ErrMalformed = httpcheck.ErrMalformed
)

const (
	// maxStrayResponses is the number of responses to earlier requests that are
	// skipped before the exchange fails and the connection is closed.
	maxStrayResponses = 3
	// maxStrayBytes bounds the body of a skipped response.
	maxStrayBytes = 1 << 20
	// inlineBodyBytes is the largest body that is written before the response
	// is read. A longer body is written concurrently, because a server may
	// respond before it has read all of it.
	inlineBodyBytes = 2 << 10
	// unansweredTime is the time without a response after which a request counts as unanswered for now.
	unansweredTime = time.Second
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// Response is the response of a server. Its body must be read to the end or
// closed.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Length is the value of Content-Length for sized bodies.
	Length int64
	// Notice is what the server says of itself.
	Notice backend.Notice
	// Attributed is set if the response certainly belongs to the request: it names the request, or the request is
	// the only one that was sent on the connection. Otherwise it may be a late copy of an earlier response, and
	// tells nothing about what the server does with the request.
	Attributed bool

	parsed *http.Response
	conn   *Conn
	// first holds bytes of the body that were read by AwaitBody.
	first []byte
	// stopCancel detaches the connection from the context of the exchange. It
	// returns false if the context has already ended.
	stopCancel func() bool
	ended      bool
	// pauses tells how long the body was not read.
	pauses readPauses
	// held closes the connection of a body that has ended with it.
	held *time.Timer
	// stopWatch ends the goroutine of WatchEnd; nil if there is none.
	stopWatch context.CancelFunc
	// provenOpen is a time after the request was sent at which the connection is known to have been open, or nil.
	provenOpen atomic.Pointer[time.Time]
}

// Do sends a request on a connection and returns the head of the response. The
// connection is closed when ctx ends. A positive timeout limits the wait for
// the head. After an error that does not wrap ErrNotSent, the server may have
// run the request.
func (p *Pool) Do(ctx context.Context, c *Conn, r *Request, timeout time.Duration) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	c.setReadTimeout(timeout)
	sentAt := time.Now()
	c.earlierSentAt, c.sentAt = c.sentAt, sentAt
	c.requests++
	if c.Via == "" {
		late := time.AfterFunc(unansweredTime, func() { p.connector.Unanswered(c.instance, sentAt) })
		defer late.Stop()
	}
	resp, err := c.exchange(r)
	if err != nil {
		stop()
		if c.wasRefused() {
			p.yieldReference(c)
		}
		p.discard(c)
		p.countMalformed(err)
		if c.Via == "" && saysUnanswered(ctx, err) {
			p.connector.Unanswered(c.instance, sentAt)
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, err
	}
	resp.stopCancel = stop
	return resp, nil
}

// saysUnanswered reports whether an exchange failed because nothing arrived. A caller that left before tells
// nothing, and a server that closed the connection is heard.
func saysUnanswered(ctx context.Context, err error) bool {
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, ErrNotSent) || errors.Is(err, ErrMalformed) || errors.Is(err, io.EOF) {
		return false
	}
	return true
}

// exchange sends the request and returns the first response that names no other one,
// skipping up to maxStrayResponses others.
func (c *Conn) exchange(r *Request) (*Response, error) {
	if err := c.send(r); err != nil {
		return nil, err
	}
	for range maxStrayResponses {
		resp, err := c.readResponse(r)
		if err != nil {
			return nil, err
		}
		attribution := r.Attribute(resp.Header)
		if attribution == Unattributed {
			c.pool.recordUnattributed(c.service)
		}
		resp.Attributed = attribution == Own || attribution == Unattributed && c.requests == 1
		c.observe(resp, resp.Attributed)
		if attribution != Foreign {
			return resp, nil
		}
		c.pool.strayResponses.Inc(1)
		if resp.Framing == UntilClose {
			return nil, fmt.Errorf("%w: it belongs to another request", ErrMalformed)
		}
		if _, err := io.CopyN(io.Discard, resp.parsed.Body, maxStrayBytes); err != io.EOF {
			return nil, fmt.Errorf("skipping the answer to another request: %w", err)
		}
		if err := httpcheck.CheckTrailer(resp.parsed.Trailer); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: %d answers belong to other requests", ErrMalformed, maxStrayResponses)
}

// observe reports a response to the current request, or to an earlier one.
func (c *Conn) observe(resp *Response, current bool) {
	sentAt := c.sentAt
	if !current {
		sentAt = c.earlierSentAt
	}
	c.pool.cfg.Observe(Observation{
		Server: c.instance, Via: c.Via, Status: resp.Status, Notice: resp.Notice, SentAt: sentAt, HeardAt: time.Now(),
	})
}

// send writes the request. It returns before a body longer than inlineBodyBytes
// is written; the write continues in a goroutine.
func (c *Conn) send(r *Request) error {
	head := appendHead(make([]byte, 0, 1024), r)
	c.written = make(chan struct{})
	c.writeErr = nil
	if len(r.Body) <= inlineBodyBytes {
		defer close(c.written)
		n, err := c.Write(appendBody(head, r))
		c.writeErr = err
		if err != nil && n == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return err
	}
	go func() {
		defer close(c.written)
		_, c.writeErr = c.Write(appendBody(head, r))
	}()
	return nil
}

// appendHead appends the request line and the header fields to b.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	switch {
	case r.Chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case len(r.Body) > 0 || bodyExpected(r.Method):
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// bodyExpected reports whether a request with this method states a
// Content-Length even if its body is empty.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// appendBody appends the body to b with the coding that the request selects.
func appendBody(b []byte, r *Request) []byte {
	if !r.Chunked {
		return append(b, r.Body...)
	}
	if len(r.Body) > 0 {
		b = strconv.AppendInt(b, int64(len(r.Body)), 16)
		b = append(b, "\r\n"...)
		b = append(b, r.Body...)
		b = append(b, "\r\n"...)
	}
	return append(b, "0\r\n\r\n"...)
}

// readResponse reads the head of the next final response and skips
// informational ones.
func (c *Conn) readResponse(r *Request) (*Response, error) {
	c.input.limit(maxHeadBytes)
	defer c.input.unlimit()
	for range maxInformational {
		res, err := c.readHead(r.Method)
		if err != nil {
			return nil, readError(err)
		}
		if c.Via == "" {
			c.pool.connector.Heard(c.instance)
		}
		if res.StatusCode >= http.StatusOK {
			return c.newResponse(r.Method, res), nil
		}
	}
	return nil, fmt.Errorf("%w: %d informational responses", ErrMalformed, maxInformational)
}

// readError wraps errors of the HTTP parser with ErrMalformed. Errors of the
// connection are returned unchanged.
func readError(err error) error {
	var netErr net.Error
	if errors.Is(err, ErrMalformed) {
		return err
	}
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// newResponse converts a parsed response and records what it says about reuse
// of the connection.
func (c *Conn) newResponse(method string, res *http.Response) *Response {
	resp := &Response{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, parsed: res, conn: c}
	resp.Notice = c.pool.cfg.ParseNotice(res.StatusCode, res.Header)
	c.closeAfterResponse = res.Close
	c.parseKeepAlive(res.Header)
	switch {
	case !hasBody(method, res.StatusCode):
		resp.Length = max(res.ContentLength, 0)
	case len(res.TransferEncoding) > 0:
		resp.Framing = Chunked
	case res.ContentLength < 0:
		resp.Framing = UntilClose
	}
	return resp
}

// parseKeepAlive records the idle timeout that the server states in a
// Keep-Alive field.
func (c *Conn) parseKeepAlive(h http.Header) {
	_, after, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return
	}
	after, _, _ = strings.Cut(after, ",")
	if s, err := strconv.Atoi(strings.TrimSpace(after)); err == nil {
		c.serverIdleTimeout = time.Duration(s) * time.Second
	}
}

// setReadTimeout sets the read deadline to the given time from now; zero
// removes it.
func (c *Conn) setReadTimeout(timeout time.Duration) {
	c.readDeadline, c.readTimeout = time.Time{}, timeout
	if timeout > 0 {
		c.readDeadline = time.Now().Add(timeout)
	}
	c.SetReadDeadline(c.readDeadline)
}

// SetReadTimeout sets the deadline for reads of the body to the given time from
// now; zero removes it. It has no effect once the body has ended.
func (resp *Response) SetReadTimeout(timeout time.Duration) {
	if !resp.ended {
		resp.conn.setReadTimeout(timeout)
	}
}

// Read reads the body. It returns io.EOF only at the end of a complete body. A body that ends with its connection counts
// as complete if the request was written before and the connection wasn't reset.
func (resp *Response) Read(p []byte) (int, error) {
	if len(resp.first) > 0 {
		n := copy(p, resp.first)
		resp.first = resp.first[n:]
		return n, nil
	}
	n, err := resp.parsed.Body.Read(p)
	resp.pauses.recordRead(n, time.Now())
	if n > 0 && resp.conn.Via == "" {
		resp.conn.pool.connector.Received()
	}
	if err == io.EOF && !resp.ended {
		err = resp.finish()
	}
	return n, err
}

// finish ends the exchange after the last byte of the body. It returns io.EOF if the body is complete. The connection
// is then returned to the pool, unless the body has ended with it.
func (resp *Response) finish() error {
	if err := httpcheck.CheckTrailer(resp.parsed.Trailer); err != nil {
		resp.conn.pool.countMalformed(err)
		return err
	}
	if resp.Framing == UntilClose {
		resp.endWatch()
		if err := resp.conn.checkEnd(); err != nil {
			return err
		}
		if !resp.stopCancel() { // The socket of a connection that was closed here tells nothing.
			return errClosedHere
		}
		resp.ended = true
		resp.hold()
		return io.EOF
	}
	resp.ended = true
	reusable := resp.stopCancel() && !resp.conn.closeAfterResponse
	resp.conn.pool.put(resp.conn, reusable)
	return io.EOF
}

// endWatch ends the goroutine of WatchEnd.
func (resp *Response) endWatch() {
	if resp.stopWatch != nil {
		resp.stopWatch()
	}
}

// Close ends the exchange. If the body was not read to the end, it closes the
// connection, which cancels the request at the server.
func (resp *Response) Close() {
	resp.endWatch()
	if resp.held != nil && resp.held.Stop() {
		resp.conn.pool.discard(resp.conn)
	}
	if resp.ended {
		return
	}
	resp.ended = true
	resp.stopCancel()
	resp.conn.pool.discard(resp.conn)
}

// Drain reads the rest of a short body so that the connection can be reused. It
// closes the connection if the rest is too long or takes too long to arrive.
func (resp *Response) Drain() {
	if resp.Framing == UntilClose {
		resp.Close()
		return
	}
	resp.SetReadTimeout(drainTimeout)
	if _, err := io.CopyN(io.Discard, resp, maxDrainBytes); err != io.EOF {
		resp.Close()
	}
}

const (
	// drainTimeout bounds the wait for the rest of a drained body.
	drainTimeout = 50 * time.Millisecond
	// maxDrainBytes is the longest body that is drained.
	maxDrainBytes = 16 << 10
)
