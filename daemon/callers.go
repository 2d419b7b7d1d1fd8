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
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/membership"
)

const (
	// leaveSpread bounds the time until no daemon gives out the address of one
	// that leaves.
	leaveSpread = time.Second
	idleTimeout = 2 * time.Minute
	// operatorStopTimeout bounds the wait for operators' calls at a stop.
	operatorStopTimeout = 2 * time.Second
)

// callers serves the callers' interface and conducts the planned stop.
type callers struct {
	server *http.Server
	addr   string
	view   *membership.Service
	gw     *gateway.Gateway
	// ttl is how long callers may keep an address.
	ttl time.Duration
	log *log.Logger
}

func (p *parts) newCallers(r kernel.Registry) (kernel.Service, error) {
	f := finder{registry: r}
	m := find[*membership.Service](&f, membershipName)
	g := find[gatewayService](&f, gatewayName)
	if f.err != nil {
		return nil, f.err
	}
	limits := p.settings.Callers
	return &callers{
		server: &http.Server{
			Handler:           g.Handler(),
			ReadHeaderTimeout: time.Duration(limits.ReadTimeoutMs) * time.Millisecond,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ErrorLog:          p.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		},
		addr: p.settings.Listen.Callers,
		view: m,
		gw:   g.Gateway,
		ttl:  time.Duration(limits.EntryTTLMs) * time.Millisecond,
		log:  p.log,
	}, nil
}

// Start implements kernel.Service.
func (c *callers) Start(context.Context) error { return serve(c.server, c.addr, c.log) }

// serve listens on an address and serves it in the background.
func serve(server *http.Server, addr string, logger *log.Logger) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return trace.Wrap(err, "listening on %s", addr)
	}
	go func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("listener failed", "addr", addr, "err", err)
		}
	}()
	return nil
}

// Stop leaves the entry directory and hands the scheduling over, goes on
// accepting for as long as callers may keep the address, and then waits for
// every request in flight. The end of ctx cuts it short, and requests that are
// cut off give a *cutError.
func (c *callers) Stop(ctx context.Context) error {
	c.view.Leave()
	c.gw.Drain()
	select {
	case <-time.After(c.ttl + leaveSpread):
	case <-ctx.Done():
	}
	err := c.server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	cut := c.gw.Held()
	c.log.Warn("planned stop was cut short", "requests_cut", cut, "err", err)
	if err := c.server.Close(); err != nil || cut == 0 {
		return err
	}
	return &cutError{requests: cut}
}

// cutError tells how many requests in flight a planned stop cut off.
type cutError struct{ requests int }

// Error implements error.
func (e *cutError) Error() string {
	return fmt.Sprintf("planned stop was cut short with %d requests in flight", e.requests)
}
