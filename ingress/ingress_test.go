package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

var testLimits = Limits{HeaderBytes: 2000, BodyBytes: 10000, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 5 * time.Second}

func start(t *testing.T, h Handler) *Server {
	t.Helper()
	return startLimited(t, h, testLimits)
}

func startLimited(t *testing.T, h Handler, l Limits) *Server {
	t.Helper()
	s := New(Config{
		Addr: "127.0.0.1:0", Handler: h, Limits: func() Limits { return l },
		MaxConns: 10, MaxHeldBodyBytes: 1 << 20, Log: log.New(io.Discard), Metrics: metrics.NewRegistry(),
	})
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(func() { s.Stop(context.Background()) })
	return s
}

// echo responds with the method, target and body of the request.
func echo(_ context.Context, r *Request, w *Writer) {
	w.Respond(http.StatusOK, http.Header{"Seen": {r.Method + " " + r.Target}}, r.Body)
}

// dial opens a connection with a deadline for all reads and writes.
func dial(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

// readResponse reads one response and its body.
func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res, string(body)
}

func TestRequestsOfAConnectionAreAnsweredInOrder(t *testing.T) {
	s := start(t, echo)
	c, r := dial(t, s)
	_, err := io.WriteString(c,
		"GET /a/1?x=%2f HTTP/1.1\r\nHost: h\r\n\r\n"+
			"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+
			"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\nTrailer: x\r\n\r\n"+
			"GET /d HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for _, want := range []struct{ seen, body string }{
		{"GET /a/1?x=%2f", ""}, {"POST /b", "abc"}, {"POST /c", "def"}, {"GET /d", ""},
	} {
		res, body := readResponse(t, r)
		assert.Equal(t, res.Header.Get("Seen"), want.seen)
		assert.Equal(t, body, want.body)
		assert.Assert(t, !res.Close)
	}
}

// TestBadHeadsGetTheirStatusAndAreNotHandled checks that a malformed or oversized
// request is refused and its connection closed. Otherwise the bytes after it could
// be read as a smuggled request.
func TestBadHeadsGetTheirStatusAndAreNotHandled(t *testing.T) {
	for name, c := range map[string]struct {
		sent   string
		status int
	}{
		"length and chunks":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"two lengths":        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		"two encodings":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"unknown encoding":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
		"no host":            {"GET / HTTP/1.1\r\n\r\n", 400},
		"no request":         {"nonsense\r\n\r\n", 400},
		"folded header":      {"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c: d\r\n\r\n", 0},
		"head too long":      {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", testLimits.HeaderBytes) + "\r\n\r\n", 431},
		"body too long":      {fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", testLimits.BodyBytes+1), 413},
		"chunks too long":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2711\r\n" + strings.Repeat("x", 0x2711) + "\r\n0\r\n\r\n", 413},
		"head does not come": {"GET / HTTP/1.1\r\nHo", 408},
		"bad length":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", 400},
		"space before colon": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\nContent-Length: 1\r\n\r\nx", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handled := make(chan string, 4)
			s := start(t, func(ctx context.Context, r *Request, w *Writer) {
				handled <- r.Target
				echo(ctx, r, w)
			})
			conn, r := dial(t, s)
			_, err := io.WriteString(conn, c.sent)
			assert.NilError(t, err)
			if c.status == 0 { // It may be handled or refused, but never read as two requests.
				readResponse(t, r)
				assert.Assert(t, len(handled) <= 1)
				return
			}
			res, _ := readResponse(t, r)
			assert.Equal(t, res.StatusCode, c.status)
			assert.Assert(t, res.Close)
			_, err = r.ReadByte()
			assert.Assert(t, err != nil, "the connection stays open")
			assert.Equal(t, len(handled), 0)
		})
	}
}

// maxCancelDelay is the time within which a handler's context must be cancelled
// after the caller has closed the connection.
const maxCancelDelay = 500 * time.Millisecond

func TestHandlerLearnsThatTheCallerLeft(t *testing.T) {
	left := make(chan struct{})
	begun := make(chan struct{})
	s := start(t, func(ctx context.Context, _ *Request, w *Writer) {
		close(begun)
		select {
		case <-ctx.Done():
			close(left)
		case <-time.After(maxCancelDelay):
		}
		w.Abort()
	})
	c, _ := dial(t, s)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	assert.NilError(t, err)
	<-begun
	assert.NilError(t, c.Close())
	select {
	case <-left:
	case <-time.After(maxCancelDelay):
		t.Fatalf("the handler is still running %s after the caller has left", maxCancelDelay)
	}
}

// TestAbortedAnswersDoNotLookWhole checks for all framings that a caller sees an
// error, rather than a complete response, after an abort.
func TestAbortedAnswersDoNotLookWhole(t *testing.T) {
	for name, framing := range map[string]Framing{"sized": Sized, "chunked": Chunked, "until close": UntilClose} {
		t.Run(name, func(t *testing.T) {
			s := start(t, func(_ context.Context, _ *Request, w *Writer) {
				w.WriteHead(http.StatusOK, http.Header{}, framing, 100)
				w.Write([]byte("half"))
				time.Sleep(20 * time.Millisecond)
				w.Abort()
			})
			c, r := dial(t, s)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			res, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			_, err = io.ReadAll(res.Body)
			assert.Assert(t, err != nil)
		})
	}
}

func TestPlannedStopAnswersWhatWasReadAndThenCloses(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 1)
	s := start(t, func(ctx context.Context, r *Request, w *Writer) {
		begun <- struct{}{}
		<-release
		echo(ctx, r, w)
	})
	busy, busyReader := dial(t, s)
	_, idleReader := dial(t, s)
	_, err := io.WriteString(busy, "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-begun
	s.CloseAfterResponses()
	s.StopAccepting()
	s.CloseIdle()
	_, err = idleReader.ReadByte()
	assert.Equal(t, err, io.EOF, "an idle connection was not closed")
	assert.Equal(t, s.ActiveConns(), 1)
	close(release)
	res, _ := readResponse(t, busyReader)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Assert(t, res.Close)
	_, err = net.Dial("tcp", s.Addr())
	assert.Assert(t, err != nil, "a new connection was accepted")
}

func TestIdleConnectionsAreClosedAtTheLimit(t *testing.T) {
	s := start(t, echo)
	for range 3 * s.cfg.MaxConns {
		c, r := dial(t, s)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		readResponse(t, r)
	}
}

func TestPathOfATarget(t *testing.T) {
	for target, want := range map[string]string{
		"/a/b?c=d/e": "/a/b", "/": "/", "http://h/a/b?x": "/a/b", "http://h": "/", "*": "*", "/a%2fb/": "/a%2fb/",
	} {
		assert.Equal(t, pathOf(target), want, target)
	}
}
