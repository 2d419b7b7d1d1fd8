package ingress

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Framing is the way in which the end of a response body is marked.
type Framing uint8

// Framings of a response.
const (
	// Sized responses have a Content-Length.
	Sized Framing = iota
	// Chunked responses use chunked transfer encoding.
	Chunked
	// UntilClose responses end when the connection is closed.
	UntilClose
)

// writeTimeout bounds one write to a caller that doesn't read its response.
const writeTimeout = 5 * time.Second

var errNoHead = errors.New("response head must be written before the body")

// Writer writes the response to one request.
type Writer struct {
	conn   *conn
	method string
	// proto11 is set if the request uses HTTP/1.1 or later.
	proto11 bool
	// close is set if the connection is closed after this response.
	close   bool
	framing Framing
	started bool
	ended   bool
	// failed is set after a failed write or an abort.
	failed bool
	buf    []byte
	// callerLeft is set when the caller has closed the connection.
	callerLeft atomic.Bool
}

// Started reports whether WriteHead was called.
func (w *Writer) Started() bool { return w.started }

// WriteHead begins a response. The head is sent with the next Write or End. Chunked
// framing falls back to UntilClose for callers of HTTP/1.0.
func (w *Writer) WriteHead(status int, h http.Header, framing Framing, length int64) {
	w.started = true
	w.framing = framing
	if framing == Chunked && !w.proto11 {
		w.framing = UntilClose
	}
	if w.framing == UntilClose {
		w.conn.resetOnClose(true)
	}
	if w.framing == UntilClose || w.conn.server.stopping.Load() {
		w.close = true
	}
	b := append(w.buf, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	for name, values := range h {
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	switch {
	case w.framing == Chunked:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case w.framing == Sized && bodyAllowed(status):
		b = appendField(b, "Content-Length", strconv.FormatInt(length, 10))
	}
	if w.close {
		b = appendField(b, "Connection", "close")
	}
	w.buf = append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// Write sends a part of the body, preceded by the head if that hasn't been sent.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.started {
		return 0, errNoHead
	}
	if len(p) == 0 {
		return 0, nil
	}
	if w.framing == Chunked {
		w.buf = strconv.AppendInt(w.buf, int64(len(p)), 16)
		w.buf = append(w.buf, "\r\n"...)
	}
	w.buf = append(w.buf, p...)
	if w.framing == Chunked {
		w.buf = append(w.buf, "\r\n"...)
	}
	return len(p), w.flush()
}

// flush sends the buffered bytes.
func (w *Writer) flush() error {
	if w.failed {
		return net.ErrClosed
	}
	w.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := w.conn.nc.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		w.failed = true
	}
	return err
}

// End completes the response.
func (w *Writer) End() error {
	w.ended = true
	if w.framing == Chunked {
		w.buf = append(w.buf, "0\r\n\r\n"...)
	}
	if len(w.buf) > 0 {
		if err := w.flush(); err != nil {
			return err
		}
	}
	if w.framing == UntilClose {
		w.conn.resetOnClose(false)
	}
	return nil
}

// Respond writes a complete response.
func (w *Writer) Respond(status int, h http.Header, body []byte) error {
	w.WriteHead(status, h, Sized, int64(len(body)))
	if w.method != http.MethodHead {
		w.buf = append(w.buf, body...)
	}
	return w.End()
}

// Abort resets the connection, so that the caller doesn't take a partial response
// as complete.
func (w *Writer) Abort() {
	w.failed = true
	w.conn.resetOnClose(true)
	w.conn.nc.Close()
}

// reusable reports whether the connection can be used for another request.
func (w *Writer) reusable() bool {
	return w.ended && !w.failed && !w.close && !w.callerLeft.Load()
}
