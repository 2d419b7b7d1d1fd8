package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds connection setup. A round trip between failure domains
	// takes a few milliseconds, and a lost SYN is retransmitted only after one
	// second.
	DialTimeout = 600 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect a dead peer
	// within four seconds while a server works on a long request and sends
	// nothing. A sound server may be silent for a second or two.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// userTimeout is the TCP_USER_TIMEOUT: how long sent data may stay
	// unacknowledged before the kernel closes the connection. It also ends the
	// probes, whatever their number.
	userTimeout = keepAliveIdle + keepAliveProbes*keepAliveInterval
)

var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
}

// Dial opens a TCP connection whose dead peer is detected while a request is outstanding.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, Control: setUserTimeout, KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", addr)
}

// DetectDeadPeer sets the options on an open connection that Dial sets. Connections other than TCP have none.
func DetectDeadPeer(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	if err := setUserTimeout("", "", raw); err != nil {
		return err
	}
	return tcp.SetKeepAliveConfig(keepAlive)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// IsQuiet reports whether a connection is open and has no unread data. It returns false if that can't be
// determined.
func IsQuiet(c net.Conn) bool {
	if q, ok := c.(interface{ IsQuiet() bool }); ok {
		return q.IsQuiet()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
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
