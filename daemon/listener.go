package daemon

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// drainListener can be closed without resetting the connections in the accept
// backlog. Closing a net.TCPListener resets them, so that callers that have
// already sent a request get a connection reset instead of a response.
type drainListener struct {
	*net.TCPListener
	draining atomic.Bool
}

func listen(addr string) (*drainListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", addr)
	}
	return &drainListener{TCPListener: ln.(*net.TCPListener)}, nil
}

// Accept implements net.Listener. After Drain it returns the connections that
// are already in the backlog, then closes the listener and returns
// net.ErrClosed.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	conn, err = l.acceptBacklog()
	if err == nil {
		return conn, nil
	}
	// The backlog is empty, or accepting failed.
	_ = l.Close()
	return nil, net.ErrClosed
}

// acceptBacklog accepts a connection from the backlog and fails if there is
// none. It calls accept4 itself because Accept of the standard library returns
// an error once its deadline has passed, even if the backlog holds connections.
func (l *drainListener) acceptBacklog() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	accepted := -1
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		accepted, _, acceptErr = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err = errors.Join(err, acceptErr); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(accepted), "")
	// net.FileConn duplicates the descriptor.
	defer file.Close()
	return net.FileConn(file)
}

// Drain makes Accept return net.ErrClosed as soon as the backlog is empty.
func (l *drainListener) Drain() error {
	l.draining.Store(true)
	return l.SetDeadline(time.Now())
}
