package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jacinththread/jacinththread/httpcheck"
)

const (
	// maxHeadBytes bounds what is read for the head of a response, including informational responses
	// before it.
	maxHeadBytes = 64 << 10
	// maxInformational is the number of informational responses after which an exchange fails.
	maxInformational = 16
	// maxHeadTime bounds the time from the first byte of a head to its end. Servers send heads at once.
	maxHeadTime = time.Second
)

var errHeadTooLong = &httpcheck.Error{Cause: httpcheck.LongHead, Detail: "too many bytes"}

// readerFunc is a function that reads like io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// limitedReader reads from a connection, up to a limit if one is set.
type limitedReader struct {
	source  io.Reader
	limited bool
	left    int
}

func (l *limitedReader) limit(n int) { l.limited, l.left = true, n }

func (l *limitedReader) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readHead reads the head of the next response. The deadline of the exchange applies to the wait for its
// first byte, and maxHeadTime to the rest.
func (c *Conn) readHead(method string) (*http.Response, error) {
	if _, err := c.br.Peek(1); err != nil {
		return nil, err
	}
	latest := time.Now().Add(maxHeadTime)
	if c.readDeadline.IsZero() || latest.Before(c.readDeadline) {
		c.SetReadDeadline(latest)
		defer func() { c.SetReadDeadline(c.readDeadline) }()
	}
	err := c.checkHead()
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && !time.Now().Before(latest) {
		return nil, &httpcheck.Error{Cause: httpcheck.LongHead, Detail: fmt.Sprintf("not complete after %v", maxHeadTime)}
	}
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.br, &http.Request{Method: method})
}

// checkHead waits until the next head has arrived and checks its bytes, which net/http reads afterwards.
func (c *Conn) checkHead() error {
	var head httpcheck.Head
	for {
		received, _ := c.br.Peek(c.br.Buffered())
		if n, err := head.Check(received); err != nil || n > 0 {
			return err
		}
		if len(received) >= maxHeadBytes {
			return errHeadTooLong
		}
		if len(received) == c.br.Size() {
			c.growBuffer()
		}
		if _, err := c.br.Peek(len(received) + 1); err != nil {
			return insideHead(err)
		}
	}
}

// insideHead returns the error for a connection that failed inside a head.
func insideHead(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growBuffer makes the read buffer large enough for any head.
func (c *Conn) growBuffer() {
	received, _ := c.br.Peek(c.br.Buffered())
	source := io.MultiReader(bytes.NewReader(bytes.Clone(received)), c.input)
	c.br = bufio.NewReaderSize(source, maxHeadBytes)
}

// hasBody reports whether a response has a body, whatever its fields say.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
