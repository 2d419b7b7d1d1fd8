package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// dialTimeout bounds the set-up of a connection. A round trip between
	// failure domains takes a few milliseconds and a lost first packet is sent
	// again after a second.
	dialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes find connections that
	// went silent while a server works on a long request, within five seconds.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// idleLimit is how long an idle connection is kept.
	idleLimit = 8 * time.Second
	// serverIdleMargin is left of the server's own idle timeout, so that a
	// request does not cross its close.
	serverIdleMargin = 1200 * time.Millisecond
	// idlePerServer bounds the idle connections kept to one server.
	idlePerServer = 16
)

// Conn is a connection to a server.
type Conn struct {
	net.Conn
	br   *bufio.Reader
	pool *Pool
	life backend.Life
	// idleSince is when the last answer ended.
	idleSince time.Time
	// serverIdle is the server's idle timeout if it stated one.
	serverIdle time.Duration
	// closing is set after an answer that ends the connection.
	closing bool
	// sent is closed when the last request was written; sendErr is valid then.
	sent    chan struct{}
	sendErr error
}

// Pool holds the connections to all servers.
type Pool struct {
	mu   sync.Mutex
	idle map[backend.Life][]*Conn

	dials, dialFailures, reuses, strays metrics.Counter
}

// NewPool returns an empty pool.
func NewPool(registry metrics.Registry) *Pool {
	return &Pool{
		idle:         map[backend.Life][]*Conn{},
		dials:        metrics.GetOrRegisterCounter("upstream.dials", registry),
		dialFailures: metrics.GetOrRegisterCounter("upstream.dials_failed", registry),
		reuses:       metrics.GetOrRegisterCounter("upstream.reuses", registry),
		strays:       metrics.GetOrRegisterCounter("upstream.stray_answers", registry),
	}
}

// Connect returns an idle connection that was used within maxIdle, or a new
// one. An error means that nothing was sent.
func (p *Pool) Connect(ctx context.Context, s *backend.Server, maxIdle time.Duration) (*Conn, error) {
	if c := p.take(s.Life(), maxIdle); c != nil {
		p.reuses.Inc(1)
		return c, nil
	}
	p.dials.Inc(1)
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	nc, err := d.DialContext(ctx, "tcp", s.Addr)
	if err != nil {
		p.dialFailures.Inc(1)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &Conn{Conn: nc, br: newReader(nc), pool: p, life: s.Life()}, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// take removes the most recently used connection that is still sound.
func (p *Pool) take(life backend.Life, maxIdle time.Duration) *Conn {
	for {
		c := p.pop(life)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) <= min(maxIdle, c.keep()) && c.quiet() {
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(life backend.Life) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[life]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[life] = list[:len(list)-1]
	return c
}

// keep is how long the connection may stay idle.
func (c *Conn) keep() time.Duration {
	if c.serverIdle == 0 {
		return idleLimit
	}
	return min(idleLimit, c.serverIdle-serverIdleMargin)
}

// quiet reports whether an idle connection is open and has received nothing.
// Bytes that come while no request waits belong to no request.
func (c *Conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
	})
	return err == nil && empty
}

// put gives a connection back after a whole answer.
func (p *Pool) put(c *Conn, reusable bool) {
	select {
	case <-c.sent:
		reusable = reusable && c.sendErr == nil
	default:
		reusable = false
	}
	if !reusable || c.br.Buffered() > 0 || c.keep() <= 0 {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[c.life]
	full := len(list) >= idlePerServer
	if !full {
		p.idle[c.life] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		p.discard(c)
	}
}

func (p *Pool) discard(c *Conn) { c.Close() }

// Release gives back a connection on which nothing was sent.
func (p *Pool) Release(c *Conn) {
	if c.sent == nil {
		c.sent = make(chan struct{})
		close(c.sent)
	}
	p.put(c, true)
}

// Sweep closes connections that are idle for too long and those to servers
// that are not usable.
func (p *Pool) Sweep(usable func(backend.Life) bool) {
	p.mu.Lock()
	var stale []*Conn
	for life, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if usable(life) && time.Since(c.idleSince) <= c.keep() {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, life)
			continue
		}
		p.idle[life] = kept
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}
