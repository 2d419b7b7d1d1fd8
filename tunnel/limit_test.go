package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/peer"
)

// pipeDialer connects to servers that say nothing.
type pipeDialer struct{}

func (pipeDialer) DialDirect(context.Context, *backend.Server) (net.Conn, error) {
	conn, _ := net.Pipe()
	return conn, nil
}

func (pipeDialer) IsIsolated() bool { return false }

// newLimited returns a server for one tunnel at a time and the only backend server that it knows.
func newLimited() (*Server, backend.Server) {
	logger := log.New(io.Discard)
	known := backend.Server{ID: "server", Service: "s", Started: 1}
	catalog := backend.NewCatalog(logger)
	catalog.Apply([]backend.Change{{ID: known.ID, Server: &known}}, backend.Freshness{AsOf: time.Now()})
	return NewServer(ServerConfig{
		Catalog: catalog, Dialer: pipeDialer{}, MaxTunnels: 1, HeldOff: notHeldOff,
		IsMember: func(string) bool { return true }, Log: logger, Metrics: metrics.NewRegistry(),
	}), known
}

// ask sends a request to a server and returns once the reply has begun to arrive.
func ask(t *testing.T, s *Server, of backend.Instance) *peer.Stream {
	t.Helper()
	here, there := net.Pipe()
	var served sync.WaitGroup
	served.Go(func() {
		stream := peer.NewStream(there)
		defer stream.Close()
		s.Serve(t.Context(), "other", stream)
	})
	t.Cleanup(func() {
		here.Close()
		served.Wait()
	})
	assert.NilError(t, peer.NewStream(here).SendMessage(newOpenRequest(of)))
	first := make([]byte, 1)
	_, err := io.ReadFull(here, first)
	assert.NilError(t, err)
	return peer.NewStream(reread{here, io.MultiReader(bytes.NewReader(first), here)})
}

// reread is a connection of which bytes that were read are read again.
type reread struct {
	net.Conn
	from io.Reader
}

func (r reread) Read(p []byte) (int, error) { return r.from.Read(p) }

// TestRefusedRequestsDontCountAsTunnels guards against refused requests that push out tunnels and make a daemon look busier.
func TestRefusedRequestsDontCountAsTunnels(t *testing.T) {
	s, known := newLimited()
	ask(t, s, backend.Instance{ID: "unknown"}) // Its reply is still being sent.
	assert.Equal(t, s.Open(), 0)
	var reply openReply
	assert.NilError(t, ask(t, s, known.Instance()).ReceiveMessage(&reply))
	assert.Equal(t, reply.Result, opened)
	assert.Equal(t, reply.Tunnels, int32(1))
	assert.NilError(t, ask(t, s, known.Instance()).ReceiveMessage(&reply))
	assert.Equal(t, reply.Result, busy)
	assert.Equal(t, reply.Tunnels, int32(1))
}
