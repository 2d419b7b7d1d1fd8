package httpcheck

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// It guards against lines of chunks, cut off at a length, that are taken for an answer: net/http ignores the coding of a
// response in HTTP/1.0.
func TestTransportFailsOnBothFramingsInHTTP10(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
	body, err := fetch(t, http.MethodGet, serve(t, head+"6\r\nanswer\r\n0\r\n\r\n"))
	assert.Assert(t, err != nil, "%q counts as the answer", body)
}
