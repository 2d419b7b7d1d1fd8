package drainlisten

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxHops is a minimum number of remaining hops that no packet of another host has. The usual number at the sender
// is 64.
const maxHops = 255

// dropRequests makes the kernel drop connection requests, without an answer, and reports whether it does.
// Handshakes that have begun go on.
func (l *Listener) dropRequests() bool {
	raw, err := l.SyscallConn()
	return err == nil && setMinHops(raw, maxHops)
}

// acceptPackets undoes dropRequests on a connection, which has the option from its listener.
func acceptPackets(conn net.Conn) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		setMinHops(raw, 0)
	}
}

// setMinHops sets the minimum number of remaining hops of packets that a socket receives. A socket has an option
// for IPv4, one of IPv6 has one for IPv6 as well.
func setMinHops(raw syscall.RawConn, hops int) bool {
	set := false
	err := raw.Control(func(fd uintptr) {
		v4 := unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_MINTTL, hops)
		v6 := unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_MINHOPCOUNT, hops)
		set = v4 == nil || v6 == nil
	})
	return set && err == nil
}

// acceptWaiting accepts a connection that waits and fails if there is none. It calls accept4 itself because
// Accept of the standard library returns an error once its deadline has passed, even if connections wait.
func (l *Listener) acceptWaiting() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	accepted := -1
	var acceptErr error
	err = raw.Control(func(fd uintptr) { accepted, acceptErr = acceptOne(int(fd)) })
	if err = errors.Join(err, acceptErr); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(accepted), "")
	defer file.Close() // net.FileConn duplicates the descriptor.
	return net.FileConn(file)
}

// acceptOne accepts a connection of a non-blocking listener. Connections that their callers have closed
// meanwhile are skipped.
func acceptOne(listener int) (int, error) {
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		return fd, os.NewSyscallError("accept4", err)
	}
}
