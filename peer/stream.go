package peer

import (
	"bufio"
	"context"
	"net"
	"time"
)

// streamBufferBytes is the read buffer of a stream, in bytes.
const streamBufferBytes = 4 << 10

// Stream is a connection between two daemons that carries bytes of its own instead of messages. Both
// ends are authenticated as those of a link.
type Stream struct {
	net.Conn
	r *bufio.Reader
}

// NewStream returns a stream on a connection whose ends are authenticated.
func NewStream(c net.Conn) *Stream {
	return &Stream{Conn: c, r: bufio.NewReaderSize(c, streamBufferBytes)}
}

// Read implements net.Conn.
func (s *Stream) Read(p []byte) (int, error) { return s.r.Read(p) }

// Peek returns the next n bytes without reading them.
func (s *Stream) Peek(n int) ([]byte, error) { return s.r.Peek(n) }

// Buffered returns the number of bytes that were received and not read yet.
func (s *Stream) Buffered() int { return s.r.Buffered() }

// SendMessage writes a message. Messages are the beginning of a stream; what follows is up to its users.
func (s *Stream) SendMessage(m Message) error { return writeMessage(s.Conn, m) }

// ReceiveMessage reads a message of the kind of m.
func (s *Stream) ReceiveMessage(m Message) error { return readHandshake(s.r, m) }

// StreamHandler serves a stream that another daemon opened. The stream is closed when it returns.
type StreamHandler func(ctx context.Context, from string, s *Stream)

// HandleStreams sets the handler of streams that other daemons open. It must be called before Start.
func (n *Node) HandleStreams(h StreamHandler) { n.streams = h }

// OpenStream opens a stream to a peer.
func (n *Node) OpenStream(ctx context.Context, to string) (*Stream, error) {
	conn, r, err := n.dial(ctx, to, streamPurpose, streamBufferBytes)
	if err != nil {
		return nil, err
	}
	return &Stream{Conn: conn, r: r}, nil
}

// serveStream calls the handler of streams.
func (n *Node) serveStream(from string, conn net.Conn, r *bufio.Reader) {
	if n.streams == nil {
		return
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	n.streams(n.ctx, from, &Stream{Conn: conn, r: r})
}
