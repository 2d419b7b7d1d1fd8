package tunnel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// copyBufferBytes is the size of the buffer for bytes to the server.
	copyBufferBytes = 8 << 10
	// lastWriteTimeout bounds a write to a server that has ended its side of the connection.
	lastWriteTimeout = 250 * time.Millisecond
)

var (
	// errBrokenEnd means that a server ended a connection, but not in order after it had received all that was sent.
	errBrokenEnd = errors.New("server broke off the connection")
	errUnread    = errors.New("server ended the connection before it was sent the rest")
)

// carry copies bytes both ways until one side ends. A server that is no longer asked learns it at once, and
// a connection to the server that breaks is broken towards the other daemon as well.
func carry(stream *peer.Stream, server net.Conn) error {
	u := startUpload(stream, server)
	err := copyFrames(stream.Conn, &serverEnd{Conn: server, check: u.checkEnd})
	if err != nil {
		reset(stream.Conn)
	}
	stream.Close()
	server.Close()
	<-u.done
	return err
}

// serverEnd is a connection whose end is read as io.EOF only if check returns nil.
type serverEnd struct {
	net.Conn
	check func() error
}

// Read implements net.Conn.
func (s *serverEnd) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if broken := s.check(); broken != nil {
		return n, fmt.Errorf("%w: %w", errBrokenEnd, broken)
	}
	return n, io.EOF
}

// upload copies what another daemon sends to a server.
type upload struct {
	stream *peer.Stream
	server net.Conn
	// stopping is closed before checkEnd ends the copying.
	stopping chan struct{}
	// done is closed at the end of the copying; readErr and writeErr are valid from then on.
	done              chan struct{}
	readErr, writeErr error
}

func startUpload(stream *peer.Stream, server net.Conn) *upload {
	u := &upload{stream: stream, server: server, stopping: make(chan struct{}), done: make(chan struct{})}
	go u.run()
	return u
}

// run copies until either side fails. It closes the connection to the server unless checkEnd has to look at it.
func (u *upload) run() {
	defer close(u.done)
	u.copy()
	select {
	case <-u.stopping:
	default:
		if u.writeErr == nil {
			u.server.Close()
		}
	}
}

func (u *upload) copy() {
	buf := make([]byte, copyBufferBytes)
	for {
		var n int
		n, u.readErr = u.stream.Read(buf)
		if n > 0 {
			if _, u.writeErr = u.server.Write(buf[:n]); u.writeErr != nil {
				return
			}
		}
		if u.readErr != nil {
			return
		}
	}
}

// checkEnd stops the copying once the server has ended the connection, and returns an error unless the server has
// received all that the other daemon sent. A write that fails consumes the error of a reset, so that the end looks
// orderly to the side that reads.
func (u *upload) checkEnd() error {
	close(u.stopping)
	u.server.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	u.stream.SetReadDeadline(time.Now())
	<-u.done
	if u.writeErr != nil {
		return u.writeErr
	}
	if u.stream.Buffered() > 0 || !upstream.IsQuiet(u.stream.Conn) {
		return errUnread
	}
	return upstream.CheckEnd(u.server)
}
