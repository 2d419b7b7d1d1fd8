package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/jacinththread/jacinththread/httpcheck"
)

// readBody reads the body of a request within the limits and returns the whole
// request.
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
	body, err := c.bufferBody(head, limits)
	r.Body = body
	return r, err
}

func tooLarge(limits Limits) error {
	return &statusError{http.StatusRequestEntityTooLarge, fmt.Sprintf("request body exceeds %d bytes", limits.BodyBytes)}
}

// initialBodyBytes bounds the buffer allocated for a body before any of it is
// received. The buffer grows as bytes arrive, so that a large Content-Length alone
// doesn't cause a large allocation.
const initialBodyBytes = 64 << 10

// bodyMemoryRetryAfter is the value of Retry-After, in seconds, when the memory
// for request bodies is used up. Most bodies are read and forwarded in less time.
const bodyMemoryRetryAfter = "0.5"

var errBodyMemory = &statusError{http.StatusServiceUnavailable, "too many request bytes are held"}

// countingReader adds the bytes that it reads to the server's count of held body
// bytes, which is bounded over all connections.
type countingReader struct {
	io.Reader
	server *Server
	// held is the number of bytes that this reader has added to the count.
	held int64
}

// Read implements io.Reader. It fails when the server's limit is exceeded.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.held += int64(n)
	if r.server.heldBodyBytes.Add(int64(n)) > r.server.cfg.MaxHeldBodyBytes {
		return n, errBodyMemory
	}
	return n, err
}

// bufferBody reads a body into memory. Its bytes count as held until the request
// has ended or reading the body has failed.
func (c *conn) bufferBody(head *http.Request, limits Limits) ([]byte, error) {
	counted := &countingReader{Reader: c.bodyReader(head), server: c.server}
	body, err := c.readCounted(counted, head, limits)
	if err != nil {
		c.server.heldBodyBytes.Add(-counted.held)
		return nil, err
	}
	return body, nil
}

// readCounted reads the whole body through the counting reader, within the size
// limit and bodyTimeout.
func (c *conn) readCounted(counted *countingReader, head *http.Request, limits Limits) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(int(min(max(head.ContentLength, 0), initialBodyBytes)))
	c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	n, err := io.Copy(&buf, io.LimitReader(counted, int64(limits.BodyBytes)+1))
	if n > int64(limits.BodyBytes) {
		return nil, tooLarge(limits)
	}
	if err != nil && isTimeout(err) {
		return nil, &statusError{http.StatusRequestTimeout, "request body came too slowly"}
	}
	if err == nil {
		err = c.finishBody(head, n)
	}
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	return buf.Bytes(), nil
}

// bodyReader returns a reader of the body without its framing. It reads nothing
// beyond the body, so that the next request stays in the connection's buffer.
func (c *conn) bodyReader(head *http.Request) io.Reader {
	if len(head.TransferEncoding) > 0 {
		return httputil.NewChunkedReader(c.br)
	}
	return io.LimitReader(c.br, head.ContentLength)
}

// maxTrailerLines bounds the lines after the last chunk, including the empty line
// at the end.
const maxTrailerLines = 32

// finishBody checks that a body of n bytes is complete. It checks and discards
// the trailers of a chunked body.
func (c *conn) finishBody(head *http.Request, n int64) error {
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
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
		if len(line) == 0 {
			return nil
		}
		if err := httpcheck.CheckTrailerLine(line); err != nil {
			return malformedRequest("trailer", httpcheck.CauseOf(err).String())
		}
	}
	return &statusError{http.StatusBadRequest, "request has too many trailers"}
}
