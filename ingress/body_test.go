package ingress

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHeldBodiesAreBounded sends only the first part of many bodies. The received
// bytes count as held, and callers beyond the limit are refused.
func TestHeldBodiesAreBounded(t *testing.T) {
	const callers, sent, announced = 8, 300 << 10, 512 << 10
	s := startLimited(t, echo, Limits{})
	refused := 0
	for range callers {
		c, r := dial(t, s)
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", announced)
		assert.NilError(t, err)
		if _, err := io.WriteString(c, strings.Repeat("x", sent)); err != nil {
			refused++
			continue
		}
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		if res, err := http.ReadResponse(r, nil); err == nil {
			assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
			refused++
		}
	}
	assert.Assert(t, refused >= callers-3, "%d of %d callers were refused", refused, callers)
	assert.Assert(t, s.heldBodyBytes.Load() <= s.cfg.MaxHeldBodyBytes, "%d bytes are held", s.heldBodyBytes.Load())
}

// TestContentLengthDoesNotAllocateTheBody guards against allocating whole bodies for
// callers that announce a large Content-Length and send no body.
func TestContentLengthDoesNotAllocateTheBody(t *testing.T) {
	const callers, maxGrowth = 8, 8 << 20
	s := startLimited(t, echo, Limits{})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range callers {
		c, _ := dial(t, s)
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", defaultBodyBytes)
		assert.NilError(t, err)
	}
	time.Sleep(100 * time.Millisecond)
	runtime.ReadMemStats(&after)
	growth := int64(after.TotalAlloc) - int64(before.TotalAlloc)
	assert.Assert(t, growth < maxGrowth, "%d bytes were allocated", growth)
}

// TestBodiesAreCountedUntilTheirRequestsEnd guards against a leak in the count of
// held bytes when a request ends with a response or its body is incomplete.
func TestBodiesAreCountedUntilTheirRequestsEnd(t *testing.T) {
	s := start(t, echo)
	for range 5 {
		c, r := dial(t, s)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		assert.NilError(t, err)
		readResponse(t, r)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf")
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	for end := time.Now().Add(5 * time.Second); s.heldBodyBytes.Load() != 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are held", s.heldBodyBytes.Load())
	}
}
