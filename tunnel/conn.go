package tunnel

import (
	"net"
	"sync"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/upstream"
)

// conn is a connection to a server that leads through another daemon.
type conn struct {
	*peer.Stream
	frames  frameReader
	onClose func()
	once    sync.Once
}

func newConn(s *peer.Stream, onClose func()) *conn {
	return &conn{Stream: s, frames: frameReader{source: s}, onClose: onClose}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.frames.Read(p) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(c.onClose)
	return c.Stream.Close()
}

// IsQuiet reports whether the connection is open and has no unread data, for upstream.IsQuiet.
func (c *conn) IsQuiet() bool {
	return c.frames.left == 0 && !c.frames.ended && c.Buffered() == 0 && upstream.IsQuiet(c.Stream.Conn)
}

// End returns how the other daemon has ended the connection, for upstream.EndOf. It ends it in order only if the server
// has done so.
func (c *conn) End() upstream.End { return upstream.EndOf(c.Stream.Conn) }

// reset closes a connection so that the other end sees an error and not the end of a stream.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
