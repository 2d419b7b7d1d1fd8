package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jacinththread/jacinththread/httpcheck"
)

// statusError is the status and reason with which a request is refused before it
// is handled.
type statusError struct {
	status int
	reason string
}

func (e *statusError) Error() string { return e.reason }

// readHead reads and parses the head of a request. It refuses a request whose
// bytes a server could read as another request or as two.
func (c *conn) readHead(limits Limits, arrived time.Time) (*http.Request, error) {
	c.nc.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	raw, err := c.readRawHead(limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	if _, err := httpcheck.CheckRequestHead(raw); err != nil {
		return nil, malformedRequest("head", httpcheck.CauseOf(err).String())
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return nil, malformedRequest("head", err.Error())
	}
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		return nil, &statusError{http.StatusBadRequest, "request names no host"}
	}
	if req.Host != "" && !httpcheck.IsHost(req.Host) { // The target can name the host too.
		return nil, malformedRequest("head", "invalid host in its target")
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
		if string(raw) == "\n" || string(raw) == "\r\n" {
			raw = raw[:0] // An empty line before the request line is allowed.
		}
	}
}

// malformedRequest returns the refusal of a request of which a part is malformed. Its reason is logged, and must not quote
// values of fields, as they may be keys.
func malformedRequest(part, reason string) error {
	return &statusError{http.StatusBadRequest, "request " + part + " is malformed: " + reason}
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
