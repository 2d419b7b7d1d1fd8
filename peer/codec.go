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
	// MaxPayloadBytes bounds the encoded message in a frame. It leaves room for
	// one platform value of 1 MiB and 4 KiB of other fields.
	MaxPayloadBytes = 1<<20 + 4<<10
	// MaxElements bounds the number of values in one message, including nested
	// ones.
	MaxElements = 1 << 16
	// MaxDepth bounds the nesting depth of values in one message.
	MaxDepth = 16

	protocolVersion  = 1
	frameHeaderBytes = 2
	maxFrameBytes    = MaxPayloadBytes + frameHeaderBytes
)

// Errors returned when a frame or its payload can't be decoded.
var (
	ErrVersion   = errors.New("frame has an unknown protocol version")
	ErrMalformed = errors.New("frame is malformed")
)

// encoder is a pooled msgpack encoder together with its output buffer.
type encoder struct {
	enc *msgpack.Encoder
	buf []byte
}

// maxPooledBytes is the capacity above which a buffer isn't kept for reuse.
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

// release returns the encoder to the pool unless its buffer has grown too large.
func (e *encoder) release() {
	if cap(e.buf) > maxPooledBytes {
		return
	}
	e.buf = e.buf[:0]
	encoders.Put(e)
}

// AppendFrame appends the frame of a message to dst. A frame consists of the
// length of the remaining bytes as a uvarint, the protocol version, the kind,
// and the message as msgpack.
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

// SplitFrame returns the kind and payload of a frame whose length prefix has
// been removed.
func SplitFrame(frame []byte) (Kind, []byte, error) {
	if len(frame) < frameHeaderBytes {
		return 0, nil, ErrMalformed
	}
	if frame[0] != protocolVersion {
		return 0, nil, ErrVersion
	}
	return Kind(frame[1]), frame[frameHeaderBytes:], nil
}

// NextFrame returns the first frame of a buffer, without its length prefix, and
// the bytes after it. The frame is nil when the buffer doesn't hold a complete
// one.
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
