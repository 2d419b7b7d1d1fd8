package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits of one frame.
const (
	// MaxPayloadBytes bounds the encoded message in a frame: one platform value
	// and what surrounds it.
	MaxPayloadBytes = 1<<20 + 4<<10
	// MaxElements bounds the values in one message, nested ones included.
	MaxElements = 1 << 16
	// MaxDepth bounds the nesting of values in one message.
	MaxDepth = 16

	protocolVersion  = 1
	frameHeaderBytes = 2
	maxFrameBytes    = MaxPayloadBytes + frameHeaderBytes
)

// Errors of decoding.
var (
	ErrVersion   = errors.New("frame has an unknown protocol version")
	ErrMalformed = errors.New("frame is malformed")
)

// encoder is a msgpack encoder with the buffer it writes to.
type encoder struct {
	enc *msgpack.Encoder
	buf []byte
}

// maxPooledBytes bounds the buffers kept for reuse.
const maxPooledBytes = 64 << 10

var encoders = sync.Pool{New: func() any {
	e := &encoder{buf: make([]byte, 0, 256)}
	e.enc = msgpack.NewEncoder(e)
	e.enc.UseArrayEncodedStructs(true)
	e.enc.UseCompactInts(true)
	return e
}}

// Write implements io.Writer.
func (e *encoder) Write(p []byte) (int, error) {
	e.buf = append(e.buf, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter.
func (e *encoder) WriteByte(c byte) error {
	e.buf = append(e.buf, c)
	return nil
}

func (e *encoder) release() {
	if cap(e.buf) > maxPooledBytes {
		return
	}
	e.buf = e.buf[:0]
	encoders.Put(e)
}

// AppendFrame appends the frame of a message to dst: its length as a uvarint,
// the protocol version, the kind, and the message as msgpack.
func AppendFrame(dst []byte, m Message) ([]byte, error) {
	e := encoders.Get().(*encoder)
	defer e.release()
	if err := e.enc.Encode(m); err != nil {
		return dst, fmt.Errorf("encode message of kind %d: %w", m.Kind(), err)
	}
	if len(e.buf) > MaxPayloadBytes {
		return dst, ErrTooLarge
	}
	dst = binary.AppendUvarint(dst, uint64(len(e.buf)+frameHeaderBytes))
	dst = append(dst, protocolVersion, byte(m.Kind()))
	return append(dst, e.buf...), nil
}

// SplitFrame returns the kind and payload of a frame without its length.
func SplitFrame(frame []byte) (Kind, []byte, error) {
	if len(frame) < frameHeaderBytes {
		return 0, nil, ErrMalformed
	}
	if frame[0] != protocolVersion {
		return 0, nil, ErrVersion
	}
	return Kind(frame[1]), frame[frameHeaderBytes:], nil
}

// NextFrame splits the first frame off a buffer. It returns a nil frame when
// the buffer does not hold a whole one.
func NextFrame(b []byte) (frame, rest []byte, err error) {
	n, used := binary.Uvarint(b)
	if used < 0 || n > maxFrameBytes {
		return nil, b, ErrTooLarge
	}
	if used == 0 || uint64(len(b)-used) < n {
		return nil, b, nil
	}
	return b[used : used+int(n)], b[used+int(n):], nil
}
