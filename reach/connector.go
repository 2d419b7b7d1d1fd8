package reach

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/tunnel"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// tunnelDelay is how long a direct connection may take to open before a tunnel is tried beside it. It is
	// many round trips.
	tunnelDelay = 100 * time.Millisecond
	// tunnelInterval and tunnelBurst bound the tunnels that are opened for that reason, because connections also
	// open slowly when the daemon itself is overloaded.
	tunnelInterval = 100 * time.Millisecond
	tunnelBurst    = 10
	// lostDialTimeout bounds the setup of a direct connection on a path that may be lost. A request may wait for
	// several.
	lostDialTimeout = 150 * time.Millisecond
	// carriedDialTimeout bounds the setup of a connection for another daemon, which waits somewhat longer.
	carriedDialTimeout = 250 * time.Millisecond
	// othersTimeout bounds the question whether other daemons reach a server that seems to have ended.
	othersTimeout = 250 * time.Millisecond
)

// errNotReached is the result for a server that is neither reached directly nor through other daemons.
var errNotReached = errors.New("server isn't reached directly or through other daemons")

// DialFunc opens a connection to the address of a server.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Tunnels opens connections to servers through other daemons.
type Tunnels interface {
	Open(ctx context.Context, server backend.Instance) (conn net.Conn, daemon string, err error)
	// OpenThrough opens a connection through a given daemon.
	OpenThrough(ctx context.Context, daemon string, server backend.Instance) (net.Conn, error)
	// Usable reports whether idle tunnels through a daemon may still be used.
	Usable(daemon string) bool
	HasOthers() bool
}

// Connector opens connections to servers, directly or through other daemons, and records in a Table what
// they tell. It implements upstream.Connector.
type Connector struct {
	table   *Table
	dial    DialFunc
	tunnels Tunnels
	// slowTunnels bounds the tunnels that are opened because a direct connection is slow.
	slowTunnels *allowance
}

// NewConnector returns a Connector that opens direct connections with dial.
func NewConnector(t *Table, dial DialFunc, tunnels Tunnels) *Connector {
	return &Connector{table: t, dial: dial, tunnels: tunnels, slowTunnels: newAllowance(tunnelInterval, tunnelBurst)}
}

// Paths implements upstream.Connector.
func (c *Connector) Paths(server backend.Instance, repeatable bool) upstream.Paths {
	return upstream.Paths{
		Direct:      !c.tunnels.HasOthers() || c.table.UseDirect(server, repeatable, time.Now()),
		ProvenSince: c.table.ProvenSince(server),
	}
}

// Connect implements upstream.Connector.
func (c *Connector) Connect(ctx context.Context, s *backend.Server, p upstream.Paths) (upstream.Link, error) {
	if !c.tunnels.HasOthers() {
		return c.direct(ctx, s, upstream.DialTimeout)
	}
	if p.Direct {
		return c.connectDirect(ctx, s)
	}
	link, err := c.openTunnel(ctx, s)
	if err == nil || ctx.Err() != nil || !c.table.MayConnect(s.Instance()) {
		return link, err
	}
	return c.direct(ctx, s, lostDialTimeout)
}

// ConnectSame implements upstream.Connector. It tells nothing about other paths, so the Table isn't told.
func (c *Connector) ConnectSame(ctx context.Context, s *backend.Server, via string) (upstream.Link, error) {
	if via == "" {
		conn, err := c.dial(ctx, s.Addr)
		return upstream.Link{Conn: conn}, err
	}
	conn, err := c.tunnels.OpenThrough(ctx, via, s.Instance())
	return upstream.Link{Conn: conn, Via: via}, err
}

// attempt is the result of opening a connection.
type attempt struct {
	link upstream.Link
	err  error
}

// connectDirect opens a direct connection. If that fails or takes long, it opens a tunnel. The direct attempt
// goes on when the request ends, so that it tells whether the path is lost.
func (c *Connector) connectDirect(ctx context.Context, s *backend.Server) (upstream.Link, error) {
	direct := attemptOf(func() (upstream.Link, error) {
		return c.direct(context.WithoutCancel(ctx), s, upstream.DialTimeout)
	})
	slow := time.NewTimer(tunnelDelay)
	defer slow.Stop()
	select {
	case r := <-direct:
		if r.err == nil {
			return r.link, nil
		}
		return c.tunnelAfter(ctx, s, r.err)
	case <-ctx.Done():
		return abandon(ctx, direct)
	case <-slow.C:
	}
	if !c.slowTunnels.take(time.Now()) {
		return await(ctx, direct)
	}
	return c.race(ctx, s, direct, attemptOf(func() (upstream.Link, error) { return c.openTunnel(ctx, s) }))
}

// attemptOf makes an attempt in the background.
func attemptOf(open func() (upstream.Link, error)) <-chan attempt {
	result := make(chan attempt, 1)
	go func() {
		link, err := open()
		result <- attempt{link, err}
	}()
	return result
}

// race returns the connection that opens first, and closes the other one.
func (c *Connector) race(ctx context.Context, s *backend.Server, direct, tunneled <-chan attempt) (upstream.Link, error) {
	select {
	case r := <-direct:
		if r.err == nil {
			go closeLate(tunneled)
			return r.link, nil
		}
		link, err := await(ctx, tunneled)
		c.recordTunnel(s, err)
		return link, err
	case r := <-tunneled:
		c.recordTunnel(s, r.err)
		if r.err == nil {
			go closeLate(direct)
			return r.link, nil
		}
		return await(ctx, direct)
	case <-ctx.Done():
		go closeLate(tunneled)
		return abandon(ctx, direct)
	}
}

// await returns the result of an attempt, unless the request ends before.
func await(ctx context.Context, result <-chan attempt) (upstream.Link, error) {
	select {
	case r := <-result:
		return r.link, r.err
	case <-ctx.Done():
		return abandon(ctx, result)
	}
}

// abandon closes the connection of an attempt that the request doesn't wait for any more.
func abandon(ctx context.Context, result <-chan attempt) (upstream.Link, error) {
	go closeLate(result)
	return upstream.Link{}, ctx.Err()
}

// recordTunnel records the opening of a tunnel to a server that isn't reached directly, or not soon.
func (c *Connector) recordTunnel(s *backend.Server, err error) {
	if err == nil {
		c.table.Tunneled(s.Instance(), time.Now())
	}
}

// closeLate closes a connection that wasn't waited for.
func closeLate(result <-chan attempt) {
	if r := <-result; r.err == nil {
		r.link.Close()
	}
}

// tunnelAfter opens a tunnel after a direct connection failed.
func (c *Connector) tunnelAfter(ctx context.Context, s *backend.Server, directErr error) (upstream.Link, error) {
	link, err := c.openTunnel(ctx, s)
	c.recordTunnel(s, err)
	if err != nil {
		return link, fmt.Errorf("%w (%w)", directErr, err)
	}
	return link, nil
}

// openTunnel opens a connection through another daemon.
func (c *Connector) openTunnel(ctx context.Context, s *backend.Server) (upstream.Link, error) {
	conn, daemon, err := c.tunnels.Open(ctx, s.Instance())
	if err != nil {
		return upstream.Link{}, fmt.Errorf("%w: %w", errNotReached, err)
	}
	return upstream.Link{Conn: conn, Via: daemon}, nil
}

// direct opens a direct connection within a time limit.
func (c *Connector) direct(ctx context.Context, s *backend.Server, limit time.Duration) (upstream.Link, error) {
	conn, err := c.dialRecorded(ctx, s, limit)
	return upstream.Link{Conn: conn}, err
}

// dialRecorded opens a direct connection within a time limit and records the result, unless ctx ended
// before.
func (c *Connector) dialRecorded(ctx context.Context, s *backend.Server, limit time.Duration) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := c.dial(limited, s.Addr)
	switch {
	case err == nil:
		c.table.Connected(s.Instance(), time.Now())
	case ctx.Err() == nil:
		c.table.ConnectFailed(s.Instance(), err, time.Now())
	}
	return conn, err
}

// DialDirect implements tunnel.Dialer. A path that failed isn't tried for other daemons.
func (c *Connector) DialDirect(ctx context.Context, s *backend.Server) (net.Conn, error) {
	if !c.table.IsProven(s.Instance(), time.Now()) {
		return nil, errNotReached
	}
	return c.dialRecorded(ctx, s, carriedDialTimeout)
}

// IsIsolated implements tunnel.Dialer.
func (c *Connector) IsIsolated() bool { return c.table.IsIsolated() }

// Usable implements upstream.Connector.
func (c *Connector) Usable(daemon string) bool { return c.tunnels.Usable(daemon) }

// Heard implements upstream.Connector.
func (c *Connector) Heard(server backend.Instance) { c.table.Heard(server, time.Now()) }

// Received implements upstream.Connector.
func (c *Connector) Received() { c.table.Received() }

// Unanswered implements upstream.Connector.
func (c *Connector) Unanswered(server backend.Instance, sentAt time.Time) {
	c.table.Unanswered(server, sentAt, time.Now())
}

// HasEnded implements upstream.Connector. A connection that is refused here may also be due to a lost path,
// so it counts only if other daemons that have theirs don't reach the server either.
func (c *Connector) HasEnded(ctx context.Context, s *backend.Server) bool {
	if !upstream.HasEnded(ctx, c.dial, s.Addr) {
		return false
	}
	return !c.tunnels.HasOthers() || c.othersMiss(ctx, s)
}

// othersMiss reports whether other daemons don't reach a server either, as far as they can tell.
func (c *Connector) othersMiss(ctx context.Context, s *backend.Server) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), othersTimeout)
	defer cancel()
	conn, _, err := c.tunnels.Open(ctx, s.Instance())
	if err == nil {
		conn.Close()
		return false
	}
	var openErr *tunnel.OpenError
	if errors.As(err, &openErr) && openErr.Isolated() {
		return false
	}
	return !c.table.IsIsolated()
}
