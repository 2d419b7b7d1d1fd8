// Package cuttest cuts the paths between daemons and backend servers in tests.
package cuttest

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/jacinththread/jacinththread/upstream"
)

// Mode is what happens on the path between a daemon and the servers.
type Mode int

// Modes of a path.
const (
	// None leaves the path alone.
	None Mode = iota
	// Silent drops all packets.
	Silent
	// Reset refuses new connections and resets old ones.
	Reset
	// NewReset refuses new connections; old ones live on.
	NewReset
	// Unresponsive accepts new connections and drops what is sent on any.
	Unresponsive
)

func (m Mode) String() string {
	return [...]string{"not cut", "silent", "reset", "new connections reset", "accepted and silent"}[m]
}

// giveUpTime is the time after which the kernel gives up a connection on which nothing is acknowledged.
const giveUpTime = 5 * time.Second

// Dialer opens the connections of one daemon to servers, on a path that can be cut. It is safe for
// concurrent use.
type Dialer struct {
	next func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	mode Mode
	// changed is closed at the next change of the mode.
	changed chan struct{}
	conns   map[*conn]bool
}

// NewDialer returns a Dialer that opens connections with next.
func NewDialer(next func(ctx context.Context, addr string) (net.Conn, error)) *Dialer {
	return &Dialer{next: next, changed: make(chan struct{}), conns: map[*conn]bool{}}
}

// state returns the mode and a channel that is closed when it changes.
func (d *Dialer) state() (Mode, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode, d.changed
}

// Set changes what happens on the path.
func (d *Dialer) Set(m Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	close(d.changed)
	d.changed = make(chan struct{})
	if m != Reset {
		return
	}
	for c := range d.conns {
		c.reset()
	}
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

// Dial opens a connection.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	mode, _ := d.state()
	switch mode {
	case Reset, NewReset:
		return nil, dialError(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	case Silent:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(upstream.DialTimeout):
			return nil, dialError(os.ErrDeadlineExceeded)
		}
	}
	next, err := d.next(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: next, dialer: d, closing: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = true
	return c, nil
}

// conn is a connection to a server. While its path drops packets, reads wait and writes are kept, as by a
// kernel that sends them again.
type conn struct {
	net.Conn
	dialer  *Dialer
	closing chan struct{}

	mu       sync.Mutex
	kept     []byte
	deadline time.Time
	closed   bool
	isReset  bool
}

func (c *conn) silent() (bool, <-chan struct{}) {
	mode, changed := c.dialer.state()
	return mode == Silent || mode == Unresponsive, changed
}

func (c *conn) reset() {
	c.mu.Lock()
	c.isReset = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
}

// resetError returns the error of a connection that was reset, or err.
func (c *conn) resetError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isReset {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.awaitPath(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, c.resetError(err)
	}
	return n, c.awaitPath()
}

// awaitPath waits while the path drops packets.
func (c *conn) awaitPath() error {
	silent, changed := c.silent()
	if !silent {
		return c.flush()
	}
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	giveUp := time.NewTimer(giveUpTime)
	defer giveUp.Stop()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		expired = time.After(time.Until(deadline))
	}
	for silent {
		select {
		case <-changed:
		case <-c.closing:
			return net.ErrClosed
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-giveUp.C:
			return os.NewSyscallError("read", syscall.ETIMEDOUT)
		}
		silent, changed = c.silent()
	}
	return c.flush()
}

// flush sends what was kept while the path dropped packets.
func (c *conn) flush() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.kept
	c.kept = nil
	if len(kept) == 0 || c.closed {
		return nil
	}
	_, err := c.Conn.Write(kept)
	return err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if silent, _ := c.silent(); silent {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.kept = append(c.kept, p...)
		return len(p), nil
	}
	if err := c.flush(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		err = c.resetError(err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.closing)
	}
	c.mu.Unlock()
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. It applies to reads that begin afterwards.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// IsQuiet is used by upstream.IsQuiet.
func (c *conn) IsQuiet() bool { return upstream.IsQuiet(c.Conn) }
