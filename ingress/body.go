package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"time"
)

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

// bodyGrowth is the memory taken for a body before any of it has come. Longer
// ones take more as their bytes come, so that a stated length alone costs little.
const bodyGrowth = 64 << 10

// bodiesRetry is the pause, in seconds, that callers are told when too many
// bytes are held: most bodies are read and passed on sooner.
const bodiesRetry = "0.5"

var errTooManyBytes = &statusError{http.StatusServiceUnavailable, "too many request bytes are held"}

// countedReader counts the bytes that it reads as held by the server, which
// bounds them over all connections.
type countedReader struct {
	io.Reader
	server *Server
	held   int64
}

func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.held += int64(n)
	if r.server.bodies.Add(int64(n)) > r.server.cfg.MaxBodies {
		return n, errTooManyBytes
	}
	return n, err
}

// collect reads a body into memory. Its bytes count as held until the request
// has ended, or until the reading fails.
func (c *conn) collect(head *http.Request, limits Limits) ([]byte, error) {
	counted := &countedReader{Reader: c.bodyReader(head), server: c.server}
	body, err := c.readCounted(counted, head, limits)
	if err != nil {
		c.server.bodies.Add(-counted.held)
		return nil, err
	}
	return body, nil
}

func (c *conn) readCounted(counted *countedReader, head *http.Request, limits Limits) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(int(min(max(head.ContentLength, 0), bodyGrowth)))
	c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	n, err := io.Copy(&buf, io.LimitReader(counted, int64(limits.BodyBytes)+1))
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
