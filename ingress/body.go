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
