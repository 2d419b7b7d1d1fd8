// Package ingress accepts callers' connections and reads their requests.
//
// Heads and bodies are parsed by net/http. The loop over the requests of a
// connection is the package's own, because net/http's server hides a request
// with two different framings, and a router must refuse those.
package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/internal/defaults"
)

// Limits bound what a caller may send. Zero values mean the defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Defaults of Limits, in force until a configuration is known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

func (l Limits) orDefaults() Limits {
	l.HeaderBytes = defaults.Positive(l.HeaderBytes, defaultHeaderBytes)
	l.BodyBytes = defaults.Positive(l.BodyBytes, defaultBodyBytes)
	l.HeaderTimeout = defaults.Positive(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = defaults.Positive(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// Handler answers one request. It returns after the answer was written or the
// connection aborted. The context ends when the caller leaves.
type Handler func(ctx context.Context, r *Request, w *Writer)

// Config configures a Server.
type Config struct {
	Addr    string
	Handler Handler
	// Limits returns the bounds in force.
	Limits func() Limits
	// MaxConns bounds the open connections; those that are idle longest are
	// closed first.
	MaxConns int
	// MaxBodies bounds the bytes of request bodies held at once.
	MaxBodies int64
	Log       *log.Logger
	Metrics   metrics.Registry
}

// Server serves callers.
type Server struct {
	cfg      Config
	listener net.Listener
	accepted sync.WaitGroup
	// stopping makes each connection end with its next answer.
	stopping atomic.Bool
	// closed is set once no request is awaited any more.
	closed atomic.Bool
	bodies atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}

	opened, refused metrics.Counter
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	return &Server{
		cfg: cfg, conns: map[*conn]struct{}{},
		opened:  metrics.GetOrRegisterCounter("ingress.connections", cfg.Metrics),
		refused: metrics.GetOrRegisterCounter("ingress.refused", cfg.Metrics),
	}
}

// Start implements kernel.Service.
func (s *Server) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.cfg.Addr)
	if err != nil {
		return err
	}
	s.listener = l
	s.accepted.Go(s.accept)
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptPause is the pause after a failed accept, such as for want of
// descriptors.
const acceptPause = 20 * time.Millisecond

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			s.cfg.Log.Warn("connection was not accepted", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		s.opened.Inc(1)
		c := newConn(s, nc)
		if !s.add(c) {
			s.refused.Inc(1)
			nc.Close()
			continue
		}
		go c.serve()
	}
}

// add registers a connection, closing an idle one if there are too many.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConns && !s.closeIdlest() {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) closeIdlest() bool {
	var oldest *conn
	for c := range s.conns {
		if since := c.idleSince.Load(); since > 0 && (oldest == nil || since < oldest.idleSince.Load()) {
			oldest = c
		}
	}
	if oldest == nil || !oldest.closeIdle() {
		return false
	}
	delete(s.conns, oldest)
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Busy returns the number of connections on which a request is in progress or
// may have come in the instant in which they were closed.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.idleSince.Load() <= 0 {
			n++
		}
	}
	return n
}

// CloseAfterAnswers makes the server end each connection with its next answer.
func (s *Server) CloseAfterAnswers() { s.stopping.Store(true) }

// lastAccept is how long connections that the kernel has set up already are
// still accepted: closing the listener would reset them with the requests that
// their callers have sent.
const lastAccept = 20 * time.Millisecond

// StopAccepting closes the listener after the last connections were accepted.
func (s *Server) StopAccepting() {
	s.stopping.Store(true)
	if l, ok := s.listener.(*net.TCPListener); ok && l.SetDeadline(time.Now().Add(lastAccept)) == nil {
		s.accepted.Wait()
	}
	s.listener.Close()
	s.accepted.Wait()
}

// CloseIdle closes the idle connections.
func (s *Server) CloseIdle() {
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// Stop implements kernel.Service. It closes all connections.
func (s *Server) Stop(context.Context) error {
	s.stopping.Store(true)
	s.listener.Close()
	s.accepted.Wait()
	s.CloseIdle()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.nc.Close()
	}
	return nil
}
