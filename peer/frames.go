package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"
)

// readFrame reads one frame and returns it without its length prefix. It reuses
// buf if that is large enough, and fails for frames above limit bytes.
func readFrame(r *bufio.Reader, buf []byte, limit int) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if n > uint64(limit) {
		return nil, ErrTooLarge
	}
	if uint64(cap(buf)) < n {
		buf = make([]byte, n)
	}
	buf = buf[:n]
	_, err = io.ReadFull(r, buf)
	return buf, err
}

// deadlineReader sets a new deadline before each read of a connection.
type deadlineReader struct {
	conn net.Conn
	// timeout is the time allowed for each read; zero means no deadline.
	timeout time.Duration
	// onRead is called with the number of bytes of each read.
	onRead func(n int)
}

// Read implements io.Reader.
func (r *deadlineReader) Read(p []byte) (int, error) {
	if r.timeout > 0 {
		if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
			return 0, err
		}
	}
	n, err := r.conn.Read(p)
	if n > 0 {
		r.onRead(n)
	}
	return n, err
}
