package ingress

import (
	"errors"
	"net"
	"syscall"
)

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
