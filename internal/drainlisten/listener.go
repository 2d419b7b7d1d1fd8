// Package drainlisten provides TCP listeners that stop without resetting connections.
//
// Closing a listener resets the connections that wait to be accepted, and those whose handshake ends
// at that moment, although their callers may have sent requests. A Listener that is drained first drops new
// connection requests, lets handshakes that have begun end, and accepts what waits before it closes
// the port. A caller whose request was dropped repeats it after a second and is refused, so that it knows
// that nothing was sent.
package drainlisten

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// settleTime is how long a drained listener waits for handshakes that have begun. It is several round
// trips to callers.
const settleTime = 50 * time.Millisecond

// Listener is a TCP listener that can be drained.
type Listener struct {
	*net.TCPListener
	// dropping is set while new connection requests may be dropped.
	dropping atomic.Bool
	// draining is set when the connections that wait are the last ones.
	draining atomic.Bool
}

// Listen listens on a TCP address. Multipath TCP is disabled, because its sockets refuse the options that
// Drain sets.
func Listen(ctx context.Context, addr string) (*Listener, error) {
	var lc net.ListenConfig
	lc.SetMultipathTCP(false)
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept implements net.Listener. After Drain it returns the connections that remain, then closes the
// listener and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		conn, err = l.acceptWaiting()
		if err != nil {
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
	if err == nil && l.dropping.Load() {
		acceptPackets(conn)
	}
	return conn, err
}

// Drain makes Accept return net.ErrClosed when no connection is left, settleTime from now if new
// connection requests can be dropped until then, and otherwise at once. It doesn't wait for that.
func (l *Listener) Drain() {
	// Connections have the option of their listener from the moment at which it is set.
	l.dropping.Store(true)
	if !l.dropRequests() {
		l.acceptLast()
		return
	}
	time.AfterFunc(settleTime, l.acceptLast)
}

// acceptLast makes Accept return the connections that wait, without waiting for others.
func (l *Listener) acceptLast() {
	l.draining.Store(true)
	// A listener that is closed already needs no deadline.
	_ = l.SetDeadline(time.Now())
}
