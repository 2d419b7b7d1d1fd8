package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/gateway"
	"github.com/jacinththread/jacinththread/internal/drainlisten"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/membership"
)

const (
	// leavePropagation is the time allowed for the other daemons to learn that
	// this one is leaving. After it none of them returns its address to callers.
	leavePropagation = time.Second
	idleTimeout      = 2 * time.Minute
	// operatorStopTimeout limits how long a stop waits for operators' requests.
	operatorStopTimeout = 2 * time.Second
)

// callerServer is the HTTP server for callers. Its Stop carries out the planned
// stop.
type callerServer struct {
	server *http.Server
	addr   string
	view   *membership.Service
	gw     *gateway.Gateway
	// ttl is how long callers may cache the address of an entry daemon.
	ttl time.Duration
	log *log.Logger

	listener *drainlisten.Listener
	conns    *connTracker
	// served is closed when the server has stopped accepting connections.
	served chan struct{}
}

func (b *builder) newCallers(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	m := find[*membership.Service](&f, membershipName)
	g := find[gatewayService](&f, gatewayName)
	if f.err != nil {
		return nil, f.err
	}
	limits := b.settings.Callers
	conns := newConnTracker()
	return &callerServer{
		conns: conns,
		server: &http.Server{
			Handler:           g.Handler(),
			ConnState:         conns.onStateChange,
			ReadHeaderTimeout: time.Duration(limits.ReadTimeoutMs) * time.Millisecond,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ErrorLog:          b.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		},
		addr: b.settings.Listen.Callers,
		view: m,
		gw:   g.Gateway,
		ttl:  time.Duration(limits.EntryTTLMs) * time.Millisecond,
		log:  b.log,
	}, nil
}

// Start implements kernel.Service.
func (c *callerServer) Start(ctx context.Context) (err error) {
	c.listener, c.served, err = serve(ctx, c.server, c.addr, c.log)
	return err
}

// serve listens on addr and runs the server in the background. The channel is
// closed when the server has stopped accepting connections.
func serve(ctx context.Context, server *http.Server, addr string, logger *log.Logger) (*drainlisten.Listener, chan struct{}, error) {
	ln, err := drainlisten.Listen(ctx, addr)
	if err != nil {
		return nil, nil, trace.Wrap(err, "listening on %s", addr)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		err := server.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			logger.Error("listener failed", "addr", addr, "err", err)
		}
	}()
	return ln, served, nil
}

// Stop removes this daemon from the entry directory and hands scheduling over
// to the other daemons. It keeps accepting connections for as long as callers
// may cache the address, and then waits for all requests in flight. When ctx
// ends first, it aborts the remaining requests and returns an
// *abortedRequestsError.
func (c *callerServer) Stop(ctx context.Context) error {
	c.view.Leave()
	c.gw.Drain()
	select {
	case <-time.After(c.ttl + leavePropagation):
	case <-ctx.Done():
	}
	err := c.drain(ctx)
	if err == nil {
		return nil
	}
	cut := c.gw.InFlight()
	c.log.Warn("planned stop was cut short", "requests_cut", cut, "err", err)
	if err := c.server.Close(); err != nil || cut == 0 {
		return err
	}
	return &abortedRequestsError{requests: cut}
}

// drain closes the port and returns when every request that has reached it has
// had its response.
func (c *callerServer) drain(ctx context.Context) error {
	c.listener.Drain()
	<-c.served
	c.server.SetKeepAlivesEnabled(false)
	if err := c.conns.waitIdle(ctx); err != nil {
		return err
	}
	return c.server.Shutdown(ctx)
}

// abortedRequestsError reports how many requests in flight a planned stop
// aborted.
type abortedRequestsError struct{ requests int }

// Error implements error.
func (e *abortedRequestsError) Error() string {
	return fmt.Sprintf("planned stop was cut short with %d requests in flight", e.requests)
}
