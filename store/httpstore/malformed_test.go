package httpstore_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/store"
)

// serveBytes starts a platform that sends the same bytes to every request and closes the connection.
func serveBytes(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.Copy(io.Discard, req.Body)
				io.WriteString(c, response)
			}
			c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// It guards against values that are a part of what was stored, and against answers of a store in trouble.
func TestAnswersThatAreNotCertainlyWholeAreNotUsed(t *testing.T) {
	for name, response := range map[string]string{
		"no length":       "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\npart",
		"status 000":      "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"blank in a name": "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nA b: c\r\nContent-Length: 4\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, serveBytes(t, response))
			_, err := c.Get(t.Context(), "key")
			assert.ErrorIs(t, err, store.ErrUnavailable)
			_, err = c.Create(t.Context(), "key", []byte("value"))
			assert.ErrorIs(t, err, store.ErrOutcomeUnknown)
		})
	}
}
