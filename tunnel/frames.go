package tunnel

import (
	"encoding/binary"
	"io"
	"net"
)

const (
	// frameHeaderBytes is the length of the header of a frame, which is the length of its data. An empty
	// frame is the end of the server's stream.
	frameHeaderBytes = 2
	// maxFrameBytes is the most data in a frame.
	maxFrameBytes = 8 << 10
)

// copyFrames copies a connection to w in frames. It returns nil after the end frame, and an error if either
// side fails.
func copyFrames(w io.Writer, from net.Conn) error {
	buf := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := from.Read(buf[frameHeaderBytes:])
		if n > 0 {
			if err := writeFrame(w, buf[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return writeFrame(w, buf[:frameHeaderBytes])
		}
		if err != nil {
			return err
		}
	}
}

// writeFrame writes a frame whose data follows the room for its header.
func writeFrame(w io.Writer, frame []byte) error {
	binary.BigEndian.PutUint16(frame, uint16(len(frame)-frameHeaderBytes))
	_, err := w.Write(frame)
	return err
}

// peeker reads and looks ahead.
type peeker interface {
	io.Reader
	Peek(n int) ([]byte, error)
}

// frameReader reads the data of frames.
type frameReader struct {
	source peeker
	// left is the number of bytes left of the current frame.
	left  int
	ended bool
}

// Read implements io.Reader. It returns io.EOF only after the end frame.
func (f *frameReader) Read(p []byte) (int, error) {
	if f.left == 0 && !f.ended {
		if err := f.nextFrame(); err != nil {
			return 0, err
		}
	}
	if f.ended {
		return 0, io.EOF
	}
	n, err := f.source.Read(p[:min(len(p), f.left)])
	f.left -= n
	return n, brokenOff(err)
}

// nextFrame reads a header. Until all of it has arrived nothing is consumed, so that a read that timed out
// can be repeated.
func (f *frameReader) nextFrame() error {
	header, err := f.source.Peek(frameHeaderBytes)
	if err != nil {
		return brokenOff(err)
	}
	f.left = int(binary.BigEndian.Uint16(header))
	f.ended = f.left == 0
	_, err = io.ReadFull(f.source, make([]byte, frameHeaderBytes))
	return brokenOff(err)
}

// brokenOff replaces the end of a stream that has no end frame.
func brokenOff(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
