package tunnel

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// openTimeout bounds one attempt to open a tunnel.
	openTimeout = 400 * time.Millisecond
)

// ErrNoDaemon means that no other daemon is left to ask for a tunnel.
var ErrNoDaemon = errors.New("no other daemon to open a tunnel through")

// ClientConfig configures a Client.
type ClientConfig struct {
	// OpenStream opens a stream to another daemon.
	OpenStream func(ctx context.Context, to string) (*peer.Stream, error)
	// Fleet returns the live daemons.
	Fleet   func() placement.Fleet
	Log     *log.Logger
	Metrics metrics.Registry
}

// Client opens tunnels through other daemons. It is safe for concurrent use.
type Client struct {
	cfg            ClientConfig
	opened, failed metrics.Counter

	mu      sync.Mutex
	daemons directory
}

// NewClient returns a Client and registers its metrics.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, daemons: newDirectory(),
		opened: metrics.GetOrRegisterCounter("tunnel.opened", cfg.Metrics),
		failed: metrics.GetOrRegisterCounter("tunnel.failed", cfg.Metrics),
	}
}

// Open opens a connection to a server through another daemon and returns the daemon's name. It asks several
// daemons in turn. The error is an *OpenError or ErrNoDaemon if none was reached that reaches the server.
func (c *Client) Open(ctx context.Context, server backend.Instance) (net.Conn, string, error) {
	lastErr, asked, notReached := ErrNoDaemon, 0, 0
	for n := range c.attempts() {
		daemon, ok := c.choose(server, n > 0)
		if !ok {
			break
		}
		asked++
		conn, err := c.openThrough(ctx, daemon, server)
		if err == nil {
			return conn, daemon, nil
		}
		if ctx.Err() != nil {
			return nil, "", ctx.Err()
		}
		if isNotReached(err) {
			notReached++
		}
		lastErr = err
	}
	if asked > 0 { // Otherwise a pause between searches would never end while requests arrive.
		c.searchFailed(server, notReached)
	}
	return nil, "", lastErr
}

// isNotReached reports whether a daemon that has its path to the servers doesn't reach one.
func isNotReached(err error) bool {
	var openErr *OpenError
	if !errors.As(err, &openErr) || openErr.isolated {
		return false
	}
	return openErr.result == unknownServer || openErr.result == refused || openErr.result == unreachable
}

func (c *Client) searchFailed(server backend.Instance, notReached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons.searchFailed(server, notReached, time.Now())
}

// attempts returns the number of daemons that may be asked for a tunnel.
func (c *Client) attempts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons.attempts()
}

// Usable reports whether idle tunnels through a daemon may still be used.
func (c *Client) Usable(daemon string) bool {
	for _, p := range c.cfg.Fleet().Others {
		if p.Name == daemon {
			return true
		}
	}
	return false
}

// HasOthers reports whether there are other daemons.
func (c *Client) HasOthers() bool { return len(c.cfg.Fleet().Others) > 0 }

func (c *Client) choose(server backend.Instance, again bool) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons.choose(c.cfg.Fleet(), server, again, time.Now(), rand.IntN)
}

// openThrough opens a tunnel through one daemon.
func (c *Client) openThrough(ctx context.Context, daemon string, server backend.Instance) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	began := time.Now()
	stream, reply, err := c.request(limited, daemon, server)
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err() // Tells nothing about the daemon.
	}
	c.mu.Lock()
	c.daemons.record(daemon, server, reply, err, time.Now())
	c.mu.Unlock()
	if err != nil {
		c.failed.Inc(1)
		c.cfg.Log.Info("tunnel not opened", "daemon", daemon, "server", server.ID, "took_ms", time.Since(began).Milliseconds(), "err", err)
		return nil, err
	}
	c.opened.Inc(1)
	return newConn(stream, func() { c.closed(daemon) }), nil
}

// OpenThrough opens a connection to a server through a given daemon.
func (c *Client) OpenThrough(ctx context.Context, daemon string, server backend.Instance) (net.Conn, error) {
	return c.openThrough(ctx, daemon, server)
}

func (c *Client) closed(daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons.closed(daemon)
}

// request opens a stream to a daemon and asks for a connection to a server. The reply is nil if there was
// none.
func (c *Client) request(ctx context.Context, daemon string, server backend.Instance) (*peer.Stream, *openReply, error) {
	stream, err := c.cfg.OpenStream(ctx, daemon)
	if err != nil {
		return nil, nil, fmt.Errorf("opening a stream to daemon %s: %w", daemon, err)
	}
	reply, err := exchange(ctx, stream, server)
	if err == nil && reply.Result != opened {
		err = &OpenError{Daemon: daemon, result: reply.Result, isolated: reply.Isolated}
	}
	if err == nil {
		err = upstream.DetectDeadPeer(stream.Conn)
	}
	if err != nil {
		stream.Close()
	}
	return stream, reply, err
}

// exchange sends the request on a stream and returns the reply. It closes the stream when ctx ends.
func exchange(ctx context.Context, stream *peer.Stream, server backend.Instance) (*openReply, error) {
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if err := stream.SendMessage(newOpenRequest(server)); err != nil {
		return nil, err
	}
	var reply openReply
	if err := stream.ReceiveMessage(&reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Forget removes what is known of servers and daemons that are gone.
func (c *Client) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons.forget(c.cfg.Fleet().Others, now)
}
