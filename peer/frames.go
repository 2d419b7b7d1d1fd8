package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"
)

// readFrame reads one frame without its length into buf, which grows as
// needed up to limit bytes.
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

// deadlineReader gives each read of a connection a deadline of its own.
type deadlineReader struct {
	conn    net.Conn
	timeout time.Duration
	// onRead is called with the bytes of each read.
	onRead func(n int)
}

// Read implements io.Reader.
func (r *deadlineReader) Read(p []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(p)
	if n > 0 {
		r.onRead(n)
	}
	return n, err
}
