package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/upstream"
)

// tunnelConnector opens all connections through other daemons.
type tunnelConnector struct{ *Client }

func (c tunnelConnector) Paths(backend.Instance, bool) upstream.Paths { return upstream.Paths{} }

func (c tunnelConnector) Connect(ctx context.Context, s *backend.Server, _ upstream.Paths) (upstream.Link, error) {
	conn, via, err := c.Open(ctx, s.Instance())
	return upstream.Link{Conn: conn, Via: via}, err
}

func (c tunnelConnector) ConnectSame(ctx context.Context, s *backend.Server, via string) (upstream.Link, error) {
	conn, err := c.OpenThrough(ctx, via, s.Instance())
	return upstream.Link{Conn: conn, Via: via}, err
}

func (c tunnelConnector) Heard(backend.Instance) {}

func (c tunnelConnector) Received() {}

func (c tunnelConnector) Unanswered(backend.Instance, time.Time) {}

func (c tunnelConnector) HasEnded(context.Context, *backend.Server) bool { return false }

// upload sends a request with a body through a tunnel and returns the body of the response.
func (f *fleet) upload(m *member, size int, chunked bool) (string, error) {
	p := upstream.NewPool(upstream.Config{
		Connector: tunnelConnector{m.client}, Metrics: metrics.NewRegistry(), Observe: func(upstream.Observation) {},
		ParseNotice: func(int, http.Header) backend.Notice { return backend.Notice{} },
	})
	c, err := p.Connect(f.t.Context(), &f.server, upstream.Use{})
	assert.NilError(f.t, err)
	resp, err := p.Do(f.t.Context(), c, &upstream.Request{
		Method: http.MethodPost, Target: "/", Host: "a.example", Body: bytes.Repeat([]byte("x"), size), Chunked: chunked,
		Attribute: func(http.Header) upstream.Attribution { return upstream.Own },
	}, testTimeout)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// It guards against a part of an early response that counts as complete, because the daemon between has lost the reset.
func TestEarlyResponseThatIsResetIsNotWholeThroughATunnel(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"closed": func(c *net.TCPConn) { c.Close() },
	} {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", pause), func(t *testing.T) {
				f := newFleet(t, func(c net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
					time.Sleep(pause)
					end(c.(*net.TCPConn))
				})
				a := f.start("a", 10, tcpDialer{}, testKey)
				f.start("b", 10, tcpDialer{}, testKey)
				for _, size := range []int{20 << 10, 8 << 20} {
					for _, chunked := range []bool{false, true} {
						for range 5 {
							body, err := f.upload(a, size, chunked)
							assert.Assert(t, err != nil, "%q counts as complete", body)
						}
					}
				}
			})
		}
	}
}

// It guards against whole responses through a tunnel that count as broken off.
func TestResponseToAnUploadThatWasReadIsWholeThroughATunnel(t *testing.T) {
	f := newFleet(t, func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nanswer")
		}
	})
	a := f.start("a", 10, tcpDialer{}, testKey)
	f.start("b", 10, tcpDialer{}, testKey)
	for _, size := range []int{0, 20 << 10, 8 << 20} {
		for _, chunked := range []bool{false, true} {
			for range 5 {
				body, err := f.upload(a, size, chunked)
				assert.NilError(t, err)
				assert.Equal(t, body, "answer")
			}
		}
	}
}

// It guards against early responses with a length that no longer arrive through a tunnel.
func TestEarlyResponseWithALengthIsWholeThroughATunnel(t *testing.T) {
	f := newFleet(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\npart")
			time.Sleep(30 * time.Millisecond)
		}
	})
	a := f.start("a", 10, tcpDialer{}, testKey)
	f.start("b", 10, tcpDialer{}, testKey)
	body, err := f.upload(a, 8<<20, false)
	assert.NilError(t, err)
	assert.Equal(t, body, "part")
}
