package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against requests that are smuggled inside the body of another one: a blank before the colon hides the length or
// the coding of a body here, while a server may see it.
func TestRequestsWithMalformedFieldsAreRefused(t *testing.T) {
	const inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	length := fmt.Sprint(len(inner))
	for name, raw := range map[string]string{
		"blank before the colon of a length": "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : " + length + "\r\n\r\n" + inner,
		"tab before the colon of a length":   "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length\t: " + length + "\r\n\r\n" + inner,
		"blank before the colon of a coding": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n" + chunk,
		"coding in HTTP/1.0":                 "POST /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
		"blank inside a name":                "GET /a HTTP/1.1\r\nHost: h\r\nX Attempt: 1\r\n\r\n",
		"folded first line":                  "GET /a HTTP/1.1\r\n X-A: b\r\nHost: h\r\n\r\n",
		"carriage return in a value":         "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\rc\r\n\r\n",
		"NUL in a value":                     "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\x00c\r\n\r\n",
		"byte over 127 in a name":            "GET /a HTTP/1.1\r\nHost: h\r\nX\xe4: b\r\n\r\n",
		"two hosts":                          "GET /a HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n",
		"empty length":                       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n" + inner,
		"control byte in the target":         "GET /a\x01b HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			handled := make(chan string, 8)
			s := start(t, func(ctx context.Context, r *Request, w *Writer) {
				handled <- fmt.Sprintf("%s %s %q %q", r.Method, r.Target, r.Header, r.Body)
				echo(ctx, r, w)
			})
			c, r := dial(t, s)
			_, err := io.WriteString(c, raw)
			assert.NilError(t, err)
			res, _ := readResponse(t, r)
			time.Sleep(20 * time.Millisecond)
			for len(handled) > 0 {
				t.Errorf("handled: %s", <-handled)
			}
			assert.Equal(t, res.StatusCode, http.StatusBadRequest)
		})
	}
}
