package peer

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// checker walks a msgpack value and bounds what its decoding may allocate.
type checker struct {
	rest     []byte
	elements int
}

// checkPayload reports whether a payload is one whole msgpack value within the
// limits of a frame. The msgpack decoder itself trusts the lengths of arrays.
func checkPayload(b []byte) error {
	c := checker{rest: b}
	if err := c.value(MaxDepth); err != nil {
		return err
	}
	if len(c.rest) != 0 {
		return ErrMalformed
	}
	return nil
}

// value walks one value with at most depth levels below it.
func (c *checker) value(depth int) error {
	if depth == 0 || c.elements >= MaxElements {
		return ErrTooLarge
	}
	c.elements++
	if len(c.rest) == 0 {
		return ErrMalformed
	}
	code := c.rest[0]
	c.rest = c.rest[1:]
	switch {
	case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.True, code == msgpcode.False:
		return nil
	case msgpcode.IsFixedArray(code):
		return c.values(uint64(code&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedString(code):
		return c.skip(uint64(code & msgpcode.FixedStrMask))
	}
	return c.sized(code, depth)
}

// sized walks a value whose length is in the bytes after its code.
func (c *checker) sized(code byte, depth int) error {
	switch code {
	case msgpcode.Uint8, msgpcode.Int8:
		return c.skip(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return c.skip(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return c.skip(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return c.skip(8)
	}
	width := lengthWidth(code)
	if width == 0 || len(c.rest) < width {
		return ErrMalformed
	}
	n := readLength(c.rest[:width])
	c.rest = c.rest[width:]
	if code == msgpcode.Array16 || code == msgpcode.Array32 {
		return c.values(n, depth)
	}
	return c.skip(n)
}

// lengthWidth returns the number of length bytes after a code; zero means that
// messages never hold such a value.
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

// values walks the n values of an array.
func (c *checker) values(n uint64, depth int) error {
	if n > uint64(len(c.rest)) {
		return ErrMalformed
	}
	for range n {
		if err := c.value(depth - 1); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) skip(n uint64) error {
	if n > uint64(len(c.rest)) {
		return ErrMalformed
	}
	c.rest = c.rest[n:]
	return nil
}
