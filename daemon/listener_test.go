package daemon

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/internal/drainlisten"
	"github.com/jacinththread/jacinththread/internal/proctest"
)

// Connections in the accept backlog when the listener is drained are served,
// because their callers may have sent requests already.
func TestDrainServesWaitingConnections(t *testing.T) {
	ln, err := drainlisten.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	var waiting []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		waiting = append(waiting, conn)
	}
	conns := newConnTracker()
	server := &http.Server{ConnState: conns.onStateChange, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served")
	})}
	served := make(chan struct{})
	c := &callerServer{server: server, listener: ln, conns: conns, served: served}
	go func() {
		defer close(served)
		_ = server.Serve(ln)
	}()
	assert.NilError(t, c.drain(t.Context()))
	for _, conn := range waiting {
		response, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Assert(t, len(response) > 0)
	}
	_, err = net.Dial("tcp", ln.Addr().String())
	assert.Assert(t, err != nil, "the port is closed")
}

func TestServeReportsAnAddressInUse(t *testing.T) {
	ln, err := drainlisten.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	_, _, err = serve(t.Context(), &http.Server{}, ln.Addr().String(), log.New(io.Discard))
	assert.ErrorContains(t, err, "address already in use")
}

// It guards against connections that are reset because they are made while the port closes.
func TestDrainResetsNoConnectionMadeWhileThePortCloses(t *testing.T) {
	proctest.CheckStops(t, func(t *testing.T) (addr string, stop func()) {
		ln, err := drainlisten.Listen(t.Context(), "127.0.0.1:0")
		assert.NilError(t, err)
		conns := newConnTracker()
		server := &http.Server{ConnState: conns.onStateChange, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "served")
		})}
		served := make(chan struct{})
		c := &callerServer{server: server, listener: ln, conns: conns, served: served}
		go func() {
			defer close(served)
			_ = server.Serve(ln)
		}()
		return ln.Addr().String(), func() { assert.NilError(t, c.drain(t.Context())) }
	})
}
