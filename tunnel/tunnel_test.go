package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/placement"
)

// testTimeout ends a test that hangs. No test result depends on it otherwise.
const testTimeout = 10 * time.Second

// stranger is a daemon that holds the key and isn't known to the others.
const stranger = "stranger"

var testKey = []byte("key-of-the-daemons")

// fleet is a set of daemons with peer nodes and one server.
type fleet struct {
	t       *testing.T
	catalog *backend.Catalog
	server  backend.Server
	addrs   sync.Map
	names   []string
}

// newFleet starts a server that handles each connection with serve.
func newFleet(t *testing.T, serve func(net.Conn)) *fleet {
	f := &fleet{t: t, catalog: backend.NewCatalog(log.New(io.Discard))}
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
				serve(c)
			}()
		}
	}()
	f.server = backend.Server{ID: "server", Service: "s", Addr: l.Addr().String(), Started: 1}
	f.put(f.server)
	return f
}

func (f *fleet) put(s backend.Server) {
	f.catalog.Apply([]backend.Change{{ID: s.ID, Server: &s}}, backend.Freshness{AsOf: time.Now()})
}

// tcpDialer opens direct connections over TCP.
type tcpDialer struct{ isolated bool }

func (d tcpDialer) DialDirect(ctx context.Context, s *backend.Server) (net.Conn, error) {
	if d.isolated {
		return nil, errors.New("isolated")
	}
	return new(net.Dialer).DialContext(ctx, "tcp", s.Addr)
}

func (d tcpDialer) IsIsolated() bool { return d.isolated }

func notHeldOff(backend.Instance) time.Duration { return 0 }

// member is a daemon of a fleet.
type member struct {
	*peer.Node
	client  *Client
	carrier *Server
}

func (f *fleet) start(name string, maxTunnels int, d tcpDialer, key []byte) *member {
	m := &member{}
	var err error
	m.Node, err = peer.New(peer.Config{Self: name, Listen: "127.0.0.1:0", Keys: [][]byte{key}, Resolve: func(to string) (string, bool) {
		addr, ok := f.addrs.Load(to)
		if !ok {
			return "", false
		}
		return addr.(string), true
	}})
	assert.NilError(f.t, err)
	registry := metrics.NewRegistry()
	m.carrier = NewServer(ServerConfig{Catalog: f.catalog, Dialer: d, MaxTunnels: maxTunnels, HeldOff: notHeldOff, IsMember: func(name string) bool { return name != stranger }, Log: log.New(io.Discard), Metrics: registry})
	m.HandleStreams(m.carrier.Serve)
	m.client = NewClient(ClientConfig{
		OpenStream: m.OpenStream, Log: log.New(io.Discard), Metrics: registry,
		Fleet: func() placement.Fleet {
			live := placement.Fleet{Self: placement.Peer{Name: name}}
			for _, other := range f.names {
				if other != name {
					live.Others = append(live.Others, placement.Peer{Name: other})
				}
			}
			return live
		},
	})
	assert.NilError(f.t, m.Start(f.t.Context()))
	f.addrs.Store(name, m.Addr())
	f.names = append(f.names, name)
	f.t.Cleanup(func() { m.stop() })
	return m
}

func (m *member) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	m.Stop(ctx)
}

// open opens a tunnel to the fleet's server.
func (f *fleet) open(m *member) net.Conn {
	f.t.Helper()
	c, _, err := m.client.Open(f.t.Context(), f.server.Instance())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	assert.NilError(f.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

func echo(c net.Conn) { io.Copy(c, c) }

func TestTunnelCarriesBytesBothWays(t *testing.T) {
	f := newFleet(t, echo)
	a := f.start("a", 10, tcpDialer{}, testKey)
	f.start("b", 10, tcpDialer{}, testKey)
	c := f.open(a)
	sent := bytes.Repeat([]byte("0123456789"), 100_000)
	go c.Write(sent)
	got := make([]byte, len(sent))
	_, err := io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, sent))
}

func TestTunnelLeadsThroughTheGivenDaemon(t *testing.T) {
	f := newFleet(t, echo)
	a := f.start("a", 10, tcpDialer{}, testKey)
	b := f.start("b", 10, tcpDialer{}, testKey)
	f.start("c", 10, tcpDialer{isolated: true}, testKey)
	for range 3 {
		c, err := a.client.OpenThrough(t.Context(), "b", f.server.Instance())
		assert.NilError(t, err)
		defer c.Close()
	}
	assert.Equal(t, b.carrier.Open(), 3)
	_, err := a.client.OpenThrough(t.Context(), "c", f.server.Instance())
	assert.Assert(t, err != nil)
}

// It guards against a broken response without a length that looks complete.
func TestOnlyTheServersOwnEndIsTheEndOfATunnel(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(server net.Conn, middle *member)
		complete bool
	}{
		"server closes":         {func(server net.Conn, _ *member) { server.Close() }, true},
		"server resets":         {func(server net.Conn, _ *member) { server.(*net.TCPConn).SetLinger(0); server.Close() }, false},
		"daemon between leaves": {func(_ net.Conn, middle *member) { middle.stop() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			accepted, end := make(chan net.Conn, 1), make(chan struct{})
			f := newFleet(t, func(c net.Conn) {
				io.WriteString(c, "part")
				accepted <- c
				<-end
			})
			defer close(end)
			a := f.start("a", 10, tcpDialer{}, testKey)
			middle := f.start("b", 10, tcpDialer{}, testKey)
			conn := f.open(a)
			got := make([]byte, len("part"))
			_, err := io.ReadFull(conn, got)
			assert.NilError(t, err)
			c.end(<-accepted, middle)
			_, err = conn.Read(got)
			assert.Equal(t, err == io.EOF, c.complete, "%v", err)
		})
	}
}

// It guards against servers that go on working for a caller that has left.
func TestServerSeesThatTheOtherEndOfATunnelClosed(t *testing.T) {
	closed := make(chan struct{})
	f := newFleet(t, func(c net.Conn) {
		c.Read(make([]byte, 1))
		close(closed)
	})
	a := f.start("a", 10, tcpDialer{}, testKey)
	f.start("b", 10, tcpDialer{}, testKey)
	f.open(a).Close()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server's connection is still open")
	}
}

// It guards against streams that are held for ever because nothing is asked on them.
func TestStreamWithoutARequestIsClosed(t *testing.T) {
	f := newFleet(t, echo)
	a := f.start("a", 10, tcpDialer{}, testKey)
	f.start("b", 10, tcpDialer{}, testKey)
	s, err := a.OpenStream(t.Context(), "b")
	assert.NilError(t, err)
	defer s.Close()
	assert.NilError(t, s.SetDeadline(time.Now().Add(2*requestTimeout)))
	_, err = s.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

func TestDaemonCarriesALimitedNumberOfTunnels(t *testing.T) {
	f := newFleet(t, echo)
	a := f.start("a", 10, tcpDialer{}, testKey)
	b := f.start("b", 2, tcpDialer{}, testKey)
	f.open(a)
	f.open(a)
	_, _, err := a.client.Open(t.Context(), f.server.Instance())
	assert.ErrorContains(t, err, "too many tunnels")
	_, _, err = a.client.Open(t.Context(), f.server.Instance())
	assert.ErrorIs(t, err, ErrNoDaemon, "the daemon is not asked again at once")
	assert.Equal(t, b.carrier.Open(), 2)
}

func TestTunnelsLeadOnlyToServersThatMayBeUsed(t *testing.T) {
	f := newFleet(t, echo)
	a := f.start("a", 10, tcpDialer{}, testKey)
	f.start("b", 10, tcpDialer{}, testKey)
	for name, instance := range map[string]backend.Instance{
		"unknown":         {ID: "other", Started: 1},
		"earlier process": {ID: "server", Started: 0},
	} {
		_, _, err := a.client.Open(t.Context(), instance)
		assert.ErrorContains(t, err, "unknown server", name)
	}
	draining := f.server
	draining.Draining = true
	f.put(draining)
	_, _, err := a.client.Open(t.Context(), f.server.Instance())
	assert.ErrorContains(t, err, "unknown server")
}

func TestOnlyDaemonsOfTheFleetOpenTunnels(t *testing.T) {
	f := newFleet(t, echo)
	outsider := f.start("a", 10, tcpDialer{}, []byte("some other key, no member"))
	b := f.start("b", 10, tcpDialer{}, testKey)
	_, _, err := outsider.client.Open(t.Context(), f.server.Instance())
	assert.Assert(t, err != nil)
	unknown := f.start(stranger, 10, tcpDialer{}, testKey)
	_, err = unknown.client.openThrough(t.Context(), "b", f.server.Instance())
	assert.ErrorContains(t, err, "unknown daemon")
	assert.Equal(t, b.carrier.Open(), 0)
}

// It guards against tunnels through daemons that have lost their own path.
func TestDaemonWithoutAPathIsNotAskedAgain(t *testing.T) {
	f := newFleet(t, echo)
	a := f.start("a", 10, tcpDialer{}, testKey)
	for _, name := range []string{"b", "c", "d"} {
		f.start(name, 10, tcpDialer{isolated: true}, testKey)
	}
	const tries = 20
	good := f.start("e", tries, tcpDialer{}, testKey)
	opened := 0
	for range tries {
		c, daemon, err := a.client.Open(t.Context(), f.server.Instance())
		if err == nil {
			assert.Equal(t, daemon, "e")
			defer c.Close()
			opened++
		}
	}
	assert.Assert(t, opened >= tries-1, "%d of %d tunnels opened", opened, tries)
	assert.Equal(t, good.carrier.Open(), opened)
}

// peekBuffer is a buffer that looks ahead and delivers its content in pieces.
type peekBuffer struct {
	bytes.Buffer
	piece int
}

func (b *peekBuffer) Peek(n int) ([]byte, error) {
	if b.Len() < n {
		return b.Bytes(), io.EOF
	}
	return b.Bytes()[:n], nil
}

func (b *peekBuffer) Read(p []byte) (int, error) { return b.Buffer.Read(p[:min(len(p), b.piece)]) }

// pieces is a connection that delivers data in pieces.
type pieces struct {
	net.Conn
	data []byte
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.data[:min(len(p.data), p.size)])
	p.data = p.data[n:]
	return n, nil
}

// TestFramesCarryAllBytesAndTheEnd also checks that frames that are cut off anywhere never look complete.
func TestFramesCarryAllBytesAndTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 3*maxFrameBytes).Draw(t, "data")
		var wire bytes.Buffer
		from := &pieces{data: bytes.Clone(data), size: rapid.IntRange(1, 2*maxFrameBytes).Draw(t, "sent in pieces of")}
		assert.NilError(t, copyFrames(&wire, from))
		read := &peekBuffer{piece: rapid.IntRange(1, maxFrameBytes).Draw(t, "read in pieces of")}
		read.Write(wire.Bytes())
		got, err := io.ReadAll(&frameReader{source: read})
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, data))

		cut := &peekBuffer{piece: read.piece}
		cut.Write(wire.Bytes()[:rapid.IntRange(0, wire.Len()-1).Draw(t, "cut after")])
		_, err = io.ReadAll(&frameReader{source: cut})
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}
