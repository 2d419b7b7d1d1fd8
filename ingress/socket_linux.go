package ingress

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// acceptBacklog accepts the connections that wait in the listen backlog, without
// waiting for others. Unlike Accept, it ignores the deadline of the listener. If it
// fails, it returns the connections accepted until then.
func acceptBacklog(l *net.TCPListener) ([]net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var conns []net.Conn
	var acceptErr error
	err = raw.Control(func(listener uintptr) {
		for acceptErr == nil {
			var c net.Conn
			if c, acceptErr = acceptPending(int(listener)); c != nil {
				conns = append(conns, c)
			}
		}
	})
	if errors.Is(acceptErr, syscall.EAGAIN) {
		acceptErr = nil
	}
	return conns, errors.Join(err, acceptErr)
}

// acceptPending accepts one connection of a non-blocking listener. It returns EAGAIN
// if there is none, and neither a connection nor an error if the call must be
// repeated.
func acceptPending(listener int) (net.Conn, error) {
	fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
		return nil, nil
	}
	if err != nil {
		return nil, os.NewSyscallError("accept4", err)
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	return net.FileConn(f) // The connection has a descriptor of its own.
}

// mayHaveReceived reports whether bytes that were not read yet have been received on
// a connection. It returns true if that cannot be determined.
func mayHaveReceived(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	received := true
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		received = !errors.Is(err, syscall.EAGAIN)
	})
	return received || err != nil
}
