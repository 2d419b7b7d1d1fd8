// Package upstream speaks HTTP/1.1 with backend servers.
//
// It has its own connections instead of net/http's client, because that client
// repeats some requests by itself and does not tell whether any byte of a
// request was sent. Heads and bodies are parsed by net/http.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a request as it is sent to a server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked is set to send the body in chunks instead of with a length.
	Chunked bool
	// Owns reports whether an answer with this header belongs to the request.
	// Others are late answers to earlier requests on the connection.
	Owns func(http.Header) bool
}

// Framing tells how the end of a body is found.
type Framing uint8

// Framings of a body.
const (
	// Sized bodies have a length.
	Sized Framing = iota
	// Chunked bodies end with a last chunk.
	Chunked
	// UntilClose bodies end with the connection.
	UntilClose
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request reached the server.
	ErrNotSent = errors.New("request was not sent")
	// ErrMalformed means that the server's bytes are no answer.
	ErrMalformed = errors.New("answer is malformed")
)

const (
	// maxStrayAnswers is the number of answers to earlier requests that are
	// skipped on one connection before it is given up.
	maxStrayAnswers = 3
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
	// inlineBodyBytes is the largest body that is written before the answer is
	// read; longer ones are written meanwhile, as a server may answer early.
	inlineBodyBytes = 2 << 10
	readBufferBytes = 4 << 10
)

// Answer is a server's answer. Its body must be read to the end or closed.
type Answer struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Length is the length of a sized body.
	Length int64

	body  io.ReadCloser
	conn  *Conn
	stop  func() bool
	ended bool
}

// Do sends a request on a connection and returns the head of its answer. When
// ctx ends, the connection is closed. A positive silence bounds the wait for
// the head. An error that is not ErrNotSent leaves open whether the server runs
// the request.
func (p *Pool) Do(ctx context.Context, c *Conn, r *Request, silence time.Duration) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	c.limitRead(silence)
	a, err := c.exchange(r)
	if err != nil {
		stop()
		p.discard(c)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (c *Conn) exchange(r *Request) (*Answer, error) {
	if err := c.send(r); err != nil {
		return nil, err
	}
	for range maxStrayAnswers {
		a, err := c.readAnswer(r)
		if err != nil {
			return nil, err
		}
		if r.Owns(a.Header) {
			return a, nil
		}
		c.pool.strays.Inc(1)
		if a.Framing == UntilClose {
			return nil, fmt.Errorf("%w: it belongs to another request", ErrMalformed)
		}
		if _, err := io.CopyN(io.Discard, a.body, maxStrayBytes); err != io.EOF {
			return nil, fmt.Errorf("skipping the answer to another request: %w", err)
		}
	}
	return nil, fmt.Errorf("%w: %d answers belong to other requests", ErrMalformed, maxStrayAnswers)
}

// send writes the request. The write of a long body goes on in the background.
func (c *Conn) send(r *Request) error {
	head := appendHead(make([]byte, 0, 1024), r)
	c.sent = make(chan struct{})
	c.sendErr = nil
	if len(r.Body) <= inlineBodyBytes {
		defer close(c.sent)
		n, err := c.Write(appendBody(head, r))
		c.sendErr = err
		if err != nil && n == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return err
	}
	go func() {
		defer close(c.sent)
		_, c.sendErr = c.Write(appendBody(head, r))
	}()
	return nil
}

// appendHead encodes the request line and the header.
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

// bodyExpected reports whether requests of a method state a length even if
// they have no body.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

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

// readAnswer reads the head of the next final answer.
func (c *Conn) readAnswer(r *Request) (*Answer, error) {
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, readError(err)
		}
		if res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return c.newAnswer(res)
		}
	}
}

// readError tells malformed bytes from a broken connection.
func readError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

func (c *Conn) newAnswer(res *http.Response) (*Answer, error) {
	a := &Answer{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, body: res.Body, conn: c}
	c.closing = res.Close
	c.noteKeepAlive(res.Header)
	switch {
	case len(res.TransferEncoding) > 0:
		a.Framing = Chunked
	case res.ContentLength < 0:
		a.Framing = UntilClose
	}
	return a, nil
}

// noteKeepAlive takes over how long the server keeps idle connections.
func (c *Conn) noteKeepAlive(h http.Header) {
	_, after, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return
	}
	after, _, _ = strings.Cut(after, ",")
	if s, err := strconv.Atoi(strings.TrimSpace(after)); err == nil {
		c.serverIdle = time.Duration(s) * time.Second
	}
}

// limitRead bounds the wait for the next bytes; zero means no bound.
func (c *Conn) limitRead(silence time.Duration) {
	var deadline time.Time
	if silence > 0 {
		deadline = time.Now().Add(silence)
	}
	c.SetReadDeadline(deadline)
}

// LimitSilence bounds the wait for the next bytes of the body; zero means no
// bound.
func (a *Answer) LimitSilence(silence time.Duration) {
	if !a.ended {
		a.conn.limitRead(silence)
	}
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.end()
	}
	return n, err
}

// end gives the connection back after a whole answer.
func (a *Answer) end() {
	if a.ended {
		return
	}
	a.ended = true
	reusable := a.stop() && a.Framing != UntilClose && !a.conn.closing
	a.conn.pool.put(a.conn, reusable)
}

// Close ends the exchange. The connection is closed if the body was not read
// to its end, which cancels the request at the server.
func (a *Answer) Close() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	a.conn.pool.discard(a.conn)
}

// Drain reads a short body to its end, so that the connection can be used
// again, and closes the answer.
func (a *Answer) Drain() {
	if a.Framing == UntilClose {
		a.Close()
		return
	}
	a.LimitSilence(drainTimeout)
	if _, err := io.CopyN(io.Discard, a, maxDrainBytes); err != io.EOF {
		a.Close()
	}
}

const (
	// drainTimeout bounds the reading of an answer that nobody needs.
	drainTimeout = 50 * time.Millisecond
	// maxDrainBytes is the longest such answer that is read.
	maxDrainBytes = 16 << 10
)

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReaderSize(c, readBufferBytes) }
