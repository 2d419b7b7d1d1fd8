package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
)

// serve starts a server that handles each connection with f.
func serve(t *testing.T, f func(c net.Conn, r *bufio.Reader)) *backend.Server {
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
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return &backend.Server{ID: "s", Addr: l.Addr().String()}
}

// readRequest reads a request and its body.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/p/1?q=%20", Host: "a.example", Body: []byte("question"),
		Header: http.Header{"Id": {id}},
		Attribute: func(h http.Header) Attribution {
			switch h.Get("Id") {
			case "":
				return Unattributed
			case id:
				return Own
			default:
				return Foreign
			}
		},
	}
}

func newPool() *Pool {
	return NewPool(Config{
		Connector: directConnector{}, Metrics: metrics.NewRegistry(), Observe: func(Observation) {},
		ParseNotice: func(int, http.Header) backend.Notice { return backend.Notice{} },
	})
}

// directConnector opens TCP connections.
type directConnector struct{}

func (directConnector) Paths(backend.Instance, bool) Paths { return Paths{Direct: true} }

func (directConnector) Connect(ctx context.Context, s *backend.Server, _ Paths) (Link, error) {
	c, err := Dial(ctx, s.Addr)
	return Link{Conn: c}, err
}

func (d directConnector) ConnectSame(ctx context.Context, s *backend.Server, _ string) (Link, error) {
	return d.Connect(ctx, s, Paths{})
}

func (directConnector) Usable(string) bool { return false }

func (directConnector) Heard(backend.Instance) {}

func (directConnector) Received() {}

func (directConnector) Unanswered(backend.Instance, time.Time) {}

func (directConnector) HasEnded(ctx context.Context, s *backend.Server) bool {
	return HasEnded(ctx, Dial, s.Addr)
}

// call runs one exchange and returns the status and the body.
func call(t *testing.T, p *Pool, s *backend.Server, r *Request) (int, string, error) {
	t.Helper()
	c, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	if err != nil {
		return 0, "", err
	}
	a, err := p.Do(t.Context(), c, r, 0)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(a)
	if err != nil {
		a.Close()
	}
	return a.Status, string(body), err
}

func TestSendsRequestUnchangedAndReusesConnection(t *testing.T) {
	conns := make(chan net.Conn, 10)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		conns <- c
		for {
			req, body, err := readRequest(r)
			if err != nil {
				return
			}
			if req.RequestURI != "/p/1?q=%20" || req.Host != "a.example" || body != "question" {
				io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 6\r\n\r\nanswer")
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		r := request(id)
		r.Chunked = id == "2"
		status, body, err := call(t, p, s, r)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "answer")
	}
	assert.Equal(t, len(conns), 1)
}

// TestBrokenAnswersAreNeverWhole checks that truncated and malformed responses
// and those to other requests are returned as errors, and not as ErrNotSent.
func TestBrokenAnswersAreNeverWhole(t *testing.T) {
	for name, bytes := range map[string]string{
		"nothing":         "",
		"half a head":     "HTTP/1.1 200 OK\r\nContent-",
		"no response":     "\x00\x01\x02garbage\r\n\r\n",
		"short body":      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"half a chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"no last chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"bad chunk size":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n",
		"only other's":    "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno",
		"other's, closed": "HTTP/1.1 200 OK\r\nId: other\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(c, bytes)
			})
			_, _, err := call(t, newPool(), s, request("1"))
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, ErrNotSent), "the request was sent: %v", err)
		})
	}
}

func TestLateAnswersToEarlierRequestsAreSkipped(t *testing.T) {
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 5\r\n\r\nwrong"+
			"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nright")
	})
	_, body, err := call(t, newPool(), s, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "right")
}

// TestConnectionWithUnsolicitedDataIsNotReused checks that a second response on
// an idle connection is not taken as the response to the next request.
func TestConnectionWithUnsolicitedDataIsNotReused(t *testing.T) {
	for name, extra := range map[string]time.Duration{"at once": 0, "later": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				response := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"
				if extra == 0 {
					io.WriteString(c, response+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
				} else {
					io.WriteString(c, response)
					time.Sleep(extra)
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
				}
				readRequest(r) // Keeps the connection open.
			})
			p := newPool()
			for _, id := range []string{"1", "2"} {
				_, body, err := call(t, p, s, request(id))
				assert.NilError(t, err)
				assert.Equal(t, body, "right")
				time.Sleep(3 * extra)
			}
		})
	}
}

func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		_, body, err := call(t, p, s, request(id))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		time.Sleep(10 * time.Millisecond)
	}
}

func TestDialErrorIsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	_, _, err = call(t, newPool(), &backend.Server{ID: "s", Addr: addr}, request("1"))
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

// TestEarlyResponseToLongBody checks a server that responds before it has read
// the body and keeps the connection open. What the server reads afterwards must be
// the rest of that body, so the connection must not be reused for the next request.
func TestEarlyResponseToLongBody(t *testing.T) {
	const size = 8 << 20
	rest := make(chan int, 4)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 413 Request Entity Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r)
		rest <- int(n)
	})
	p := newPool()
	r := request("1")
	r.Body = []byte(strings.Repeat("x", size))
	status, _, err := call(t, p, s, r)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	assert.Assert(t, <-rest <= size)
	c, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	assert.Equal(t, p.reuses.Count(), int64(0), "connection with a partly written body was reused")
	c.Close()
}

// TestServerStopsWorkWhenTheCallerLeaves checks that canceling the context
// closes the connection, so that the server can stop its work.
func TestServerStopsWorkWhenTheCallerLeaves(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	p := newPool()
	c, err := p.Connect(ctx, s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = p.Do(ctx, c, request("1"), 0)
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	<-closed
}

func TestTimeoutBoundsWaitForResponse(t *testing.T) {
	s := serve(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		r.ReadByte()
	})
	p := newPool()
	c, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	_, err = p.Do(t.Context(), c, request("1"), 30*time.Millisecond)
	var netErr net.Error
	assert.Assert(t, errors.As(err, &netErr) && netErr.Timeout(), "%v", err)
}

func TestHonorsServerIdleTimeout(t *testing.T) {
	var c Conn
	assert.Equal(t, c.idleTimeout(), maxIdleTime)
	c.parseKeepAlive(http.Header{"Keep-Alive": {"timeout=3, max=100"}})
	assert.Equal(t, c.idleTimeout(), 3*time.Second-serverIdleMargin)
	c.parseKeepAlive(http.Header{"Keep-Alive": {"timeout=1"}})
	assert.Assert(t, c.idleTimeout() <= 0)
}
