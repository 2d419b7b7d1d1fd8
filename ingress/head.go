package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// statusError is the status and reason with which a request is refused before it
// is handled.
type statusError struct {
	status int
	reason string
}

func (e *statusError) Error() string { return e.reason }

// readHead reads and parses the head of a request. It refuses a request whose
// body framing is ambiguous.
func (c *conn) readHead(limits Limits, arrived time.Time) (*http.Request, error) {
	c.nc.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	raw, err := c.readRawHead(limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	if reason := ambiguousFraming(raw); reason != "" {
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

// readRawHead reads the bytes of a head, up to and including the empty line at
// its end.
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
			raw = raw[:0] // An empty line before the request line is allowed.
		}
	}
}

// ambiguousFraming returns the reason why the end of the request's body is
// ambiguous, which allows request smuggling, or "" if it isn't.
func ambiguousFraming(raw []byte) string {
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

// pathOf returns the path of a request target as sent. It removes the query and,
// from a target in absolute form, the scheme and host.
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
