package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// record returns a handler that answers and records the requests that it handles.
func record(handled chan<- string) Handler {
	return func(ctx context.Context, r *Request, w *Writer) {
		handled <- fmt.Sprintf("%s %s %q", r.Method, r.Target, r.Body)
		echo(ctx, r, w)
	}
}

// assertRefused checks that the next response is the last one of its connection and has status 400, and that a refusal was
// counted.
func assertRefused(t *testing.T, s *Server, r *bufio.Reader) {
	t.Helper()
	res, _ := readResponse(t, r)
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
	assert.Assert(t, res.Close)
	_, err := r.ReadByte()
	assert.Assert(t, err != nil, "the connection stays open")
	assert.Equal(t, s.cfg.Metrics.Get("ingress.refused").(metrics.Counter).Count(), int64(1))
}

// It guards against heads that are checked only on new connections, and requests behind a malformed one that are handled.
func TestMalformedHeadOnAKeptConnectionIsRefused(t *testing.T) {
	const first = "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	const malformed = "POST /malformed HTTP/1.1\r\nHost: h\r\nContent-Length : 0\r\n\r\n"
	const behind = "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, send := range map[string]func(t *testing.T, c net.Conn, r *bufio.Reader){
		"pipelined": func(t *testing.T, c net.Conn, r *bufio.Reader) {
			_, err := io.WriteString(c, first+malformed+behind)
			assert.NilError(t, err)
			readResponse(t, r)
		},
		"after the response": func(t *testing.T, c net.Conn, r *bufio.Reader) {
			_, err := io.WriteString(c, first)
			assert.NilError(t, err)
			readResponse(t, r)
			_, err = io.WriteString(c, malformed+behind)
			assert.NilError(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			handled := make(chan string, 4)
			s := start(t, record(handled))
			c, r := dial(t, s)
			send(t, c, r)
			assertRefused(t, s, r)
			assert.Equal(t, len(handled), 1)
			assert.Equal(t, <-handled, `POST /first "body"`)
		})
	}
}

// It guards against trailers that a server could read otherwise.
func TestRequestsWithMalformedTrailersAreRefused(t *testing.T) {
	for _, trailer := range []string{"A b: c", "Content-Length : 3", "A", ": c", " A: b", " ", "A: b\x00c", "A: b\rc"} {
		t.Run(trailer, func(t *testing.T) {
			handled := make(chan string, 4)
			s := start(t, record(handled))
			c, r := dial(t, s)
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"+trailer+"\r\n\r\n")
			assert.NilError(t, err)
			assertRefused(t, s, r)
			assert.Equal(t, len(handled), 0)
		})
	}
}

// It guards against a target that names an invalid host.
func TestInvalidHostInTheTargetIsRefused(t *testing.T) {
	handled := make(chan string, 4)
	s := start(t, record(handled))
	c, r := dial(t, s)
	_, err := io.WriteString(c, "GET http://h%e4/a HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assertRefused(t, s, r)
	assert.Equal(t, len(handled), 0)
}

// It guards against a check that is too strict.
func TestProperRequestsAreHandled(t *testing.T) {
	for name, test := range map[string]struct{ sent, handled string }{
		"plain":          {"GET /a?b=%2f HTTP/1.1\r\nHost: h.example:8080\r\nAccept: */*\r\n\r\n", `GET /a?b=%2f ""`},
		"empty line":     {"\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", `GET /a ""`},
		"HTTP/1.0":       {"POST /a HTTP/1.0\r\nContent-Length: 1\r\n\r\nb", `POST /a "b"`},
		"other method":   {"PATCH /a HTTP/1.1\r\nHost: [::1]:80\r\nContent-Length: 0\r\n\r\n", `PATCH /a ""`},
		"lower case":     {"POST /a HTTP/1.1\r\nhost:h\r\ntransfer-encoding:chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n", `POST /a "b"`},
		"trailers":       {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nA: b\r\nC:\r\n\r\n", `POST /a "b"`},
		"empty value":    {"GET /a HTTP/1.1\r\nHost: h\r\nA:\r\n\r\n", `GET /a ""`},
		"bytes over 127": {"GET /a HTTP/1.1\r\nHost: h\r\nA: \xc3\xa4\tb\r\n\r\n", `GET /a ""`},
	} {
		t.Run(name, func(t *testing.T) {
			handled := make(chan string, 4)
			s := start(t, record(handled))
			c, r := dial(t, s)
			_, err := io.WriteString(c, test.sent)
			assert.NilError(t, err)
			res, _ := readResponse(t, r)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			assert.Equal(t, <-handled, test.handled)
		})
	}
}

// It guards against a continuation that is no longer sent.
func TestExpectedContinuationIsSent(t *testing.T) {
	s := start(t, echo)
	c, r := dial(t, s)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	assert.NilError(t, err)
	line, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, err = r.ReadString('\n')
	assert.NilError(t, err)
	_, err = io.WriteString(c, "body")
	assert.NilError(t, err)
	_, body := readResponse(t, r)
	assert.Equal(t, body, "body")
}

// It guards against keys of callers in the log and in responses.
func TestRefusalDoesNotQuoteTheHead(t *testing.T) {
	s := start(t, echo)
	var logged bytes.Buffer
	s.cfg.Log = log.New(&logged)
	c, r := dial(t, s)
	_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\nCaller-Key : secret\r\n\r\n")
	assert.NilError(t, err)
	_, body := readResponse(t, r)
	assert.Equal(t, body, "request head is malformed: field_name\n")
	assert.Assert(t, strings.Contains(logged.String(), "field_name"), logged.String())
	assert.Assert(t, !strings.Contains(logged.String(), "secret"), logged.String())
}
