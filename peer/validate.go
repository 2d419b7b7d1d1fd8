package peer

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// validator validates a msgpack value before it is decoded, which bounds the
// memory that decoding can allocate.
type validator struct {
	rest     []byte
	elements int
}

// validatePayload returns an error unless the payload is exactly one complete
// msgpack value within MaxElements and MaxDepth. The msgpack decoder itself
// doesn't check array lengths against the input before it allocates.
func validatePayload(b []byte) error {
	v := validator{rest: b}
	if err := v.value(MaxDepth); err != nil {
		return err
	}
	if len(v.rest) != 0 {
		return ErrMalformed
	}
	return nil
}

// value validates one value, which may span at most depth levels of nesting,
// including its own.
func (v *validator) value(depth int) error {
	if depth == 0 || v.elements >= MaxElements {
		return ErrTooLarge
	}
	v.elements++
	if len(v.rest) == 0 {
		return ErrMalformed
	}
	code := v.rest[0]
	v.rest = v.rest[1:]
	switch {
	case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.True, code == msgpcode.False:
		return nil
	case msgpcode.IsFixedArray(code):
		return v.values(uint64(code&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedString(code):
		return v.skip(uint64(code & msgpcode.FixedStrMask))
	}
	return v.prefixed(code, depth)
}

// prefixed validates a number of fixed width, or a value whose length prefix
// follows its type code.
func (v *validator) prefixed(code byte, depth int) error {
	switch code {
	case msgpcode.Uint8, msgpcode.Int8:
		return v.skip(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return v.skip(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return v.skip(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return v.skip(8)
	}
	width := lengthWidth(code)
	if width == 0 || len(v.rest) < width {
		return ErrMalformed
	}
	n := readLength(v.rest[:width])
	v.rest = v.rest[width:]
	if code == msgpcode.Array16 || code == msgpcode.Array32 {
		return v.values(n, depth)
	}
	return v.skip(n)
}

// lengthWidth returns the size in bytes of the length prefix of a type code, or
// zero for a type that messages don't use.
func lengthWidth(code byte) int {
	switch code {
	case msgpcode.Str8, msgpcode.Bin8:
		return 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Array16:
		return 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Array32:
		return 4
	}
	return 0
}

func readLength(b []byte) uint64 {
	switch len(b) {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	}
	return uint64(binary.BigEndian.Uint32(b))
}

// values validates the n elements of an array. Each element takes at least one
// byte, so a count above the remaining bytes is malformed.
func (v *validator) values(n uint64, depth int) error {
	if n > uint64(len(v.rest)) {
		return ErrMalformed
	}
	for range n {
		if err := v.value(depth - 1); err != nil {
			return err
		}
	}
	return nil
}

func (v *validator) skip(n uint64) error {
	if n > uint64(len(v.rest)) {
		return ErrMalformed
	}
	v.rest = v.rest[n:]
	return nil
}
