package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// deliveryTimeout bounds the wait until the other end of a connection that has ended has acknowledged all that was
	// sent, or has reset the connection.
	deliveryTimeout = 250 * time.Millisecond
	// deliveryPoll is the time between two looks at the socket during that wait.
	deliveryPoll = time.Millisecond
	// heldAfterEnd is how long the connection of a body that has ended with it stays open at most for Response.WasReset: until
	// LivedOn has returned.
	heldAfterEnd = settleTime + livenessTimeout + 250*time.Millisecond
)

// tcpClose and tcpCloseWait are states of a socket as Linux numbers them: the connection was reset or timed out, or the
// other end has sent all it will.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// End tells how the other end of a connection has ended it.
type End uint8

// Ends of a connection.
const (
	// EndUnknown means that the state of the socket can't be determined.
	EndUnknown End = iota
	// EndNone means that the other end hasn't ended the connection.
	EndNone
	// EndUndelivered means that the other end has closed the connection, and hasn't acknowledged all that was sent. It
	// resets the connection if nobody reads the rest.
	EndUndelivered
	// EndOrderly means that the other end has closed the connection after it had acknowledged all that was sent.
	EndOrderly
	// EndReset means that the connection was reset or timed out.
	EndReset
)

var (
	errReset      = fmt.Errorf("connection was reset: %w", syscall.ECONNRESET)
	errNotWritten = fmt.Errorf("connection ended before the request was written: %w", io.ErrUnexpectedEOF)
	errClosedHere = fmt.Errorf("connection was closed while its end was checked: %w", net.ErrClosed)
	errNotEnded   = fmt.Errorf("connection ended before the request was delivered: %w", io.ErrUnexpectedEOF)
)

// EndOf returns how the other end has ended a connection. A read doesn't tell that: if a write has failed with the
// error of a reset, the next read returns io.EOF.
func EndOf(c net.Conn) End {
	if e, ok := c.(interface{ End() End }); ok {
		return e.End()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return EndUnknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return EndUnknown
	}
	end := EndUnknown
	if err := raw.Control(func(fd uintptr) { end = endOfSocket(int(fd)) }); err != nil {
		return EndUnknown
	}
	return end
}

func endOfSocket(fd int) End {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	switch {
	case err != nil:
		return EndUnknown
	case info.State == tcpClose:
		return EndReset
	case info.State != tcpCloseWait:
		return EndNone
	case info.Unacked > 0 || info.Notsent_bytes > 0:
		return EndUndelivered
	default:
		return EndOrderly
	}
}

// CheckEnd returns an error unless the other end has closed a connection in order, after it had received all that was
// sent. It waits up to deliveryTimeout until that is known. If the socket tells nothing, it returns nil.
func CheckEnd(c net.Conn) error {
	for deadline := time.Now().Add(deliveryTimeout); ; time.Sleep(deliveryPoll) {
		switch EndOf(c) {
		case EndUnknown, EndOrderly:
			return nil
		case EndReset:
			return errReset
		}
		if time.Now().After(deadline) {
			return errNotEnded
		}
	}
}

// checkEnd returns an error if a body that has ended with its connection isn't known to be whole: if the request wasn't
// written completely, or the connection was reset.
func (c *Conn) checkEnd() error {
	if err := c.awaitWritten(); err != nil {
		c.pool.unwrittenEnds.Inc(1)
		return err
	}
	err := CheckEnd(c.Link.Conn)
	if err != nil {
		c.pool.resetEnds.Inc(1)
	}
	return err
}

// awaitWritten waits until the request is written. A server that has read all of it may end the connection before the
// goroutine that writes goes on.
func (c *Conn) awaitWritten() error {
	timer := time.NewTimer(deliveryTimeout)
	defer timer.Stop()
	select {
	case <-c.written:
	case <-timer.C:
		return errNotWritten
	}
	if c.writeErr != nil {
		return errors.Join(errNotWritten, c.writeErr)
	}
	return nil
}

// hold keeps the connection open for WasReset.
func (resp *Response) hold() {
	resp.held = time.AfterFunc(heldAfterEnd, func() { resp.conn.Close() })
}

// WasReset reports whether the connection of a body that has ended with it has been reset since. A server that closes
// its socket before it has received all of the request resets the connection only when the rest arrives. It tells
// nothing after Close and later than heldAfterEnd after the end.
func (resp *Response) WasReset() bool { return EndOf(resp.conn.Link.Conn) == EndReset }

// wasReset reports whether a connection has been reset.
func (c *Conn) wasReset() bool { return EndOf(c.Link.Conn) == EndReset }
