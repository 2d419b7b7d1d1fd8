package ingress

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Framing tells the caller how the end of an answer's body is found.
type Framing uint8

// Framings of an answer.
const (
	// Sized answers state their length.
	Sized Framing = iota
	// Chunked answers end with a last chunk.
	Chunked
	// UntilClose answers end with the connection.
	UntilClose
)

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 5 * time.Second

var errNotStarted = errors.New("answer has no head yet")

// Writer writes one answer.
type Writer struct {
	conn    *conn
	method  string
	proto11 bool
	// close is set if the connection ends with this answer.
	close   bool
	framing Framing
	started bool
	ended   bool
	failed  bool
	buf     []byte
	left    atomic.Bool
}

// Started reports whether the head of an answer was written.
func (w *Writer) Started() bool { return w.started }

// Head begins an answer. The bytes are sent with the next Write or End.
func (w *Writer) Head(status int, h http.Header, framing Framing, length int64) {
	w.started = true
	w.framing = framing
	if framing == Chunked && !w.proto11 {
		w.framing = UntilClose
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

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// Write sends a part of the body, with the head if it was not sent yet.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.started {
		return 0, errNotStarted
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

// End completes the answer.
func (w *Writer) End() error {
	w.ended = true
	if w.framing == Chunked {
		w.buf = append(w.buf, "0\r\n\r\n"...)
	}
	if len(w.buf) == 0 {
		return nil
	}
	return w.flush()
}

// Answer writes a whole answer.
func (w *Writer) Answer(status int, h http.Header, body []byte) error {
	w.Head(status, h, Sized, int64(len(body)))
	if w.method != http.MethodHead {
		w.buf = append(w.buf, body...)
	}
	return w.End()
}

// Abort breaks the connection off, so that no caller takes the answer as whole.
func (w *Writer) Abort() {
	w.failed = true
	if tcp, ok := w.conn.nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	w.conn.nc.Close()
}

// reusable reports whether another request may follow on the connection.
func (w *Writer) reusable() bool {
	return w.ended && !w.failed && !w.close && !w.left.Load()
}
