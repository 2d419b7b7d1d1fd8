package dispatch

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jacinththread/jacinththread/membership"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// serveBytes starts a server that answers the head of every request with the same bytes and calls end.
func serveBytes(t *testing.T, response string, end func(*net.TCPConn)) membership.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					io.WriteString(c, response)
					end(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return server(l.Addr().String())
}

func closes(*net.TCPConn) {}

func resets(c *net.TCPConn) {
	time.Sleep(10 * time.Millisecond)
	c.SetLinger(0)
}

func malformed(c *Client) metrics.Counter { return c.malformed }

func endsUnknown(c *Client) metrics.Counter { return c.endsUnknown }

// It guards against malformed answers, and parts of answers, that callers get as complete ones.
func TestAnswersThatAreNotCertainlyWholeAreIncomplete(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		end      func(*net.TCPConn)
		counted  func(*Client) metrics.Counter
	}{
		"status 000":            {"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", closes, malformed},
		"status 600":            {"HTTP/1.1 600 Large\r\nContent-Length: 0\r\n\r\n", closes, malformed},
		"blank in a name":       {"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 4\r\n\r\npart", closes, malformed},
		"blank behind a length": {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\npart", closes, malformed},
		"no length":             {"HTTP/1.1 200 OK\r\n\r\npart", closes, endsUnknown},
		"no length, reset":      {"HTTP/1.1 200 OK\r\n\r\npart", resets, nil},
		"error without length":  {"HTTP/1.1 400 Bad Request\r\n\r\npart", closes, endsUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			srv := serveBytes(t, test.response, test.end)
			for _, size := range []int{2, 8 << 20} {
				for _, once := range []bool{false, true} {
					call := chat("")
					call.Body, call.Once = bytes.Repeat([]byte("x"), size), once
					client := newClient()
					resp, err := client.Do(t.Context(), srv, call)
					assert.ErrorIs(t, err, ErrIncomplete, "%v", resp)
					if size == 2 && test.counted != nil {
						assert.Equal(t, test.counted(client).Count(), int64(1), "%v", err)
					}
				}
			}
			_, err := newClient().OpenStream(t.Context(), srv, chat(`{"stream":true}`), 0)
			if err == nil {
				return // The stream has no terminal marker, see TestStreamWithoutTerminalMarkerIsIncomplete.
			}
			assert.ErrorIs(t, err, ErrIncomplete)
		})
	}
}

// It guards against a server that refuses a call without a length and is taken to have run it.
func TestRefusalWithoutALengthIsARefusal(t *testing.T) {
	srv := serveBytes(t, "HTTP/1.1 503 Unavailable\r\n\r\n"+`{"error":{"code":"draining"}}`, closes)
	_, err := newClient().Do(t.Context(), srv, chat("{}"))
	assert.ErrorIs(t, err, ErrDraining)
	_, err = newClient().OpenStream(t.Context(), srv, chat("{}"), 0)
	assert.ErrorIs(t, err, ErrDraining)
}

// It guards against streams with a terminal marker that count as incomplete.
func TestStreamWithoutALengthEndsWithItsMarker(t *testing.T) {
	srv := serveBytes(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: {}\n\ndata: [DONE]\n\n", closes)
	s, err := newClient().OpenStream(t.Context(), srv, chat("{}"), 0)
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.NilError(t, err)
	_, err = s.Next()
	assert.Assert(t, err == io.EOF, "%v", err)
}
