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

// drainListener can be closed without resetting the connections that have
// reached the host but were not accepted yet. Closing a plain listener resets
// them, and a caller that has sent its request sees it cut.
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
// wait already, and then closes the listener and returns net.ErrClosed.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	conn, err = l.acceptWaiting()
	if err == nil {
		return conn, nil
	}
	// Nothing waits, or no connection can be accepted any more.
	_ = l.Close()
	return nil, net.ErrClosed
}

// acceptWaiting accepts a connection without waiting for one. Accept of the
// standard library returns at once when its deadline has passed, even if
// connections wait.
func (l *drainListener) acceptWaiting() (net.Conn, error) {
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
	// The connection has a descriptor of its own.
	defer file.Close()
	return net.FileConn(file)
}

// Drain makes Accept end once no connection waits.
func (l *drainListener) Drain() error {
	l.draining.Store(true)
	return l.SetDeadline(time.Now())
}
