package tunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// requestTimeout bounds the time until the request on a stream has arrived.
	requestTimeout = time.Second
	// busyRetryAfter is how long a daemon that carries too many tunnels isn't asked for another.
	busyRetryAfter = 500 * time.Millisecond
)

// Dialer opens direct connections to servers.
type Dialer interface {
	// DialDirect opens a connection to a server.
	DialDirect(ctx context.Context, s *backend.Server) (net.Conn, error)
	// IsIsolated reports whether the local daemon has lost its path to the servers.
	IsIsolated() bool
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Catalog *backend.Catalog
	Dialer  Dialer
	// HeldOff returns for how long a server wants no requests from the local host.
	HeldOff func(backend.Instance) time.Duration
	// IsMember reports whether a daemon belongs to the fleet.
	IsMember func(daemon string) bool
	// MaxTunnels is the number of tunnels carried at the same time.
	MaxTunnels int
	Log        *log.Logger
	Metrics    metrics.Registry
}

// Server carries the tunnels that other daemons open. It is safe for concurrent use.
type Server struct {
	cfg     ServerConfig
	leaving atomic.Bool

	opened, refused metrics.Counter
	// brokenEnds counts the connections that a server ended before it had received all that was sent to it.
	brokenEnds metrics.Counter
	openGauge  metrics.Gauge

	mu sync.Mutex
	// open is the number of tunnels that are open or being opened; at most MaxTunnels.
	open int
	// users counts these by daemon and server.
	users map[userKey]int
}

type userKey struct {
	daemon string
	server backend.Instance
}

// Users returns the daemons that have tunnels to a server.
func (s *Server) Users(server backend.Instance) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for k := range s.users {
		if k.server == server {
			names = append(names, k.daemon)
		}
	}
	return names
}

// reserve takes a place for a tunnel. It returns false if there is none.
func (s *Server) reserve(daemon string, server backend.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.cfg.MaxTunnels {
		return false
	}
	s.users[userKey{daemon, server}]++
	s.open++
	s.openGauge.Update(int64(s.open))
	return true
}

// release gives back the place of a tunnel that ended or wasn't opened.
func (s *Server) release(daemon string, server backend.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := userKey{daemon, server}
	if s.users[key]--; s.users[key] == 0 {
		delete(s.users, key)
	}
	s.open--
	s.openGauge.Update(int64(s.open))
}

// NewServer returns a Server and registers its metrics.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg:        cfg,
		users:      map[userKey]int{},
		opened:     metrics.GetOrRegisterCounter("tunnel.carried", cfg.Metrics),
		refused:    metrics.GetOrRegisterCounter("tunnel.refused", cfg.Metrics),
		openGauge:  metrics.GetOrRegisterGauge("tunnel.carrying", cfg.Metrics),
		brokenEnds: metrics.GetOrRegisterCounter("tunnel.ends_broken", cfg.Metrics),
	}
}

// Leave makes the server open no further tunnels. Those that are open go on.
func (s *Server) Leave() { s.leaving.Store(true) }

// Open returns the number of tunnels that are open or being opened.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Serve implements peer.StreamHandler.
func (s *Server) Serve(ctx context.Context, from string, stream *peer.Stream) {
	var req openRequest
	if err := receiveRequest(stream, &req); err != nil {
		s.cfg.Log.Warn("tunnel request not read", "daemon", from, "err", err)
		return
	}
	server, reply := s.connect(ctx, from, &req)
	if server == nil {
		s.refuse(from, &req, reply, stream.SendMessage(reply))
		return
	}
	defer s.release(from, req.instance())
	if err := stream.SendMessage(reply); err != nil {
		s.refuse(from, &req, reply, err)
		server.Close()
		return
	}
	s.opened.Inc(1)
	if err := upstream.DetectDeadPeer(stream.Conn); err != nil {
		s.cfg.Log.Warn("setting options of a tunnel's connection failed", "daemon", from, "err", err)
	}
	if err := carry(stream, server); errors.Is(err, errBrokenEnd) {
		s.brokenEnds.Inc(1)
		s.cfg.Log.Info("end of a tunnel's connection is not orderly", "daemon", from, "server", req.Server, "err", err)
	}
}

// refuse records a request that opened no tunnel.
func (s *Server) refuse(from string, req *openRequest, reply *openReply, err error) {
	s.refused.Inc(1)
	s.cfg.Log.Info("tunnel not opened for another daemon", "daemon", from, "server", req.Server,
		"result", reply.Result.String(), "tunnels", reply.Tunnels, "err", err)
}

// receiveRequest reads the request of a stream within requestTimeout.
func receiveRequest(stream *peer.Stream, req *openRequest) error {
	if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	if err := stream.ReceiveMessage(req); err != nil {
		return err
	}
	return stream.SetReadDeadline(time.Time{})
}

// connect connects to the server that a request of another daemon names. The connection is nil if that fails; otherwise it has
// a place, which the caller must release.
func (s *Server) connect(ctx context.Context, from string, req *openRequest) (net.Conn, *openReply) {
	reply := &openReply{Isolated: s.cfg.Dialer.IsIsolated()}
	conn := s.dial(ctx, from, req, reply)
	reply.Tunnels = int32(s.Open())
	return conn, reply
}

// dial connects to the server that a request names and sets the result of the reply.
func (s *Server) dial(ctx context.Context, from string, req *openRequest, reply *openReply) net.Conn {
	server := s.cfg.Catalog.Lookup(req.instance())
	switch {
	case !s.cfg.IsMember(from):
		reply.Result = unknownDaemon
		return nil
	case server == nil:
		reply.Result = unknownServer
		return nil
	case s.leaving.Load() || !s.reserve(from, req.instance()):
		reply.Result, reply.RetryAfterMs = busy, busyRetryAfter.Milliseconds()
		return nil
	}
	conn := s.dialReserved(ctx, server, reply)
	if conn == nil {
		s.release(from, req.instance())
	}
	return conn
}

// dialReserved connects to a server for a tunnel that has a place.
func (s *Server) dialReserved(ctx context.Context, server *backend.Server, reply *openReply) net.Conn {
	if wait := s.cfg.HeldOff(server.Instance()); wait > 0 {
		reply.Result, reply.RetryAfterMs = heldOff, wait.Milliseconds()+1
		return nil
	}
	conn, err := s.cfg.Dialer.DialDirect(ctx, server)
	reply.Result = resultOf(err)
	if err != nil {
		return nil
	}
	return conn
}

// resultOf returns the outcome of connecting to a server.
func resultOf(err error) result {
	switch {
	case err == nil:
		return opened
	case errors.Is(err, syscall.ECONNREFUSED):
		return refused
	default:
		return unreachable
	}
}
