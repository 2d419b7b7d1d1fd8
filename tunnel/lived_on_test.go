package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/upstream"
)

// throughDaemons opens all connections through other daemons.
type throughDaemons struct{ *Client }

func (c throughDaemons) Paths(backend.Instance, bool) upstream.Paths { return upstream.Paths{} }

func (c throughDaemons) Connect(ctx context.Context, s *backend.Server, _ upstream.Paths) (upstream.Link, error) {
	conn, via, err := c.Open(ctx, s.Instance())
	return upstream.Link{Conn: conn, Via: via}, err
}

func (c throughDaemons) ConnectSame(ctx context.Context, s *backend.Server, via string) (upstream.Link, error) {
	conn, err := c.OpenThrough(ctx, via, s.Instance())
	return upstream.Link{Conn: conn, Via: via}, err
}

func (c throughDaemons) Heard(backend.Instance) {}

func (c throughDaemons) Received() {}

func (c throughDaemons) Unanswered(backend.Instance, time.Time) {}

func (c throughDaemons) HasEnded(context.Context, *backend.Server) bool { return false }

// partServer answers with a part of a body that ends with its connection. It calls end before that, but for the first answer.
type partServer struct {
	end func()

	mu      sync.Mutex
	answers int
	conns   []net.Conn
}

func (s *partServer) serve(c net.Conn) {
	s.mu.Lock()
	s.conns = append(s.conns, c)
	s.mu.Unlock()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/probe" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		s.mu.Lock()
		s.answers++
		first := s.answers == 1
		s.mu.Unlock()
		if !first {
			s.end()
		}
		return
	}
}

func (s *partServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// livedOn sends a request through a tunnel and asks whether the process that answered it lived on.
func (f *fleet) livedOn(p *upstream.Pool) (upstream.Liveness, error) {
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	c, err := p.Connect(ctx, &f.server, upstream.Use{})
	assert.NilError(f.t, err)
	p.PrepareEnd(ctx, &f.server, c)
	own := func(http.Header) upstream.Attribution { return upstream.Own }
	resp, err := p.Do(ctx, c, &upstream.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Attribute: own}, testTimeout)
	assert.NilError(f.t, err)
	p.WatchEnd(ctx, resp, &f.server)
	if _, err := io.ReadAll(resp); err != nil {
		return upstream.NotShown, err
	}
	return p.LivedOn(ctx, resp, &f.server, upstream.Probe{
		Target: "/probe", Host: "a.example", Attribute: own,
		Identify: func(int, http.Header, []byte) upstream.Identity { return upstream.Unidentified },
	})
}

func TestEndThroughATunnelIsWholeOnlyIfTheServerLivedOn(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*partServer, *member)
		want upstream.Liveness
	}{
		"lives on":                  {func(*partServer, *member) {}, upstream.ByConnection},
		"ends":                      {func(s *partServer, _ *member) { s.closeConns() }, upstream.NotShown},
		"daemon between ends later": {func(_ *partServer, m *member) { time.AfterFunc(50*time.Millisecond, m.stop) }, upstream.NotShown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &partServer{}
			f := newFleet(t, s.serve)
			a := f.start("a", 10, tcpDialer{}, testKey)
			b := f.start("b", 10, tcpDialer{}, testKey)
			s.end = func() { c.end(s, b) }
			p := upstream.NewPool(upstream.Config{
				Connector: throughDaemons{a.client}, Metrics: metrics.NewRegistry(), Observe: func(upstream.Observation) {},
				ParseNotice: func(int, http.Header) backend.Notice { return backend.Notice{} },
			})
			f.livedOn(p) // The next request prepares for the end.
			got, err := f.livedOn(p)
			assert.Equal(t, got, c.want, "%v", err)
		})
	}
}
