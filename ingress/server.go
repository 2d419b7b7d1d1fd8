// Package ingress accepts callers' connections and reads their requests.
//
// Heads and bodies are parsed by net/http, after httpcheck has checked the bytes of
// the head. The package has its own loop over the requests of a connection, because
// net/http's server doesn't reveal that a request has two different framings, and a
// router must refuse such requests.
package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/internal/defaults"
	"github.com/jacinththread/jacinththread/internal/drainlisten"
)

// Limits bounds the size and the duration of requests. A zero value means the
// default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Default values of Limits, used until a configuration is known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// orDefaults returns the limits with zero values replaced by the defaults.
func (l Limits) orDefaults() Limits {
	l.HeaderBytes = defaults.Positive(l.HeaderBytes, defaultHeaderBytes)
	l.BodyBytes = defaults.Positive(l.BodyBytes, defaultBodyBytes)
	l.HeaderTimeout = defaults.Positive(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = defaults.Positive(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// Handler handles one request. It returns after the response is written or the
// connection is aborted. The context is cancelled when the caller closes the
// connection.
type Handler func(ctx context.Context, r *Request, w *Writer)

// Config configures a Server.
type Config struct {
	Addr    string
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConns bounds the open connections. At the limit, a new connection replaces
	// the one that has been idle longest, and is closed if none is idle.
	MaxConns int
	// MaxHeldBodyBytes bounds the request bodies held in memory over all
	// connections.
	MaxHeldBodyBytes int64
	Log              *log.Logger
	Metrics          metrics.Registry
}

// Server accepts connections from callers and passes their requests to a Handler.
type Server struct {
	cfg      Config
	listener *drainlisten.Listener
	// accepting tracks the goroutine that accepts connections.
	accepting sync.WaitGroup
	// stopping makes each connection close after its next response.
	stopping atomic.Bool
	// closed is set when idle connections are closed and no further requests are
	// awaited.
	closed atomic.Bool
	// heldBodyBytes is the total size of the request bodies in memory.
	heldBodyBytes atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}

	opened, refused metrics.Counter
}

// New returns a server that doesn't listen yet.
func New(cfg Config) *Server {
	return &Server{
		cfg: cfg, conns: map[*conn]struct{}{},
		opened:  metrics.GetOrRegisterCounter("ingress.connections", cfg.Metrics),
		refused: metrics.GetOrRegisterCounter("ingress.refused", cfg.Metrics),
	}
}

// Start implements kernel.Service.
func (s *Server) Start(ctx context.Context) error {
	l, err := drainlisten.Listen(ctx, s.cfg.Addr)
	if err != nil {
		return err
	}
	s.listener = l
	s.accepting.Go(s.accept)
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptRetryDelay is the delay after a failed accept, such as when the process
// has run out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// accept serves incoming connections until the listener is closed.
func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.cfg.Log.Warn("accepting a connection failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.serve(nc)
	}
}

// serve serves an accepted connection, or closes it if there are too many.
func (s *Server) serve(nc net.Conn) {
	s.opened.Inc(1)
	c := newConn(s, nc)
	if !s.add(c) {
		s.refused.Inc(1)
		nc.Close()
		return
	}
	go c.serve()
}

// add registers a connection. At MaxConns, it closes the connection that has been
// idle longest, and reports false if none is idle.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConns && !s.closeLongestIdle() {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// closeLongestIdle closes the connection that has been idle longest and reports
// whether there was one. The caller holds the lock.
func (s *Server) closeLongestIdle() bool {
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

// ActiveConns returns the number of connections on which a request is in
// progress, or which are being closed and may still receive a late request.
func (s *Server) ActiveConns() int {
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

// CloseAfterResponses makes the server close each connection after its next
// response.
func (s *Server) CloseAfterResponses() { s.stopping.Store(true) }

// StopAccepting accepts the connections that wait or are being made and closes the listener. It also
// makes each connection close after its next response.
func (s *Server) StopAccepting() {
	s.stopping.Store(true)
	s.listener.Drain()
	s.accepting.Wait()
}

// CloseIdle closes the idle connections and makes connections close when they
// become idle.
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
	s.accepting.Wait()
	s.CloseIdle()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.nc.Close()
	}
	return nil
}
