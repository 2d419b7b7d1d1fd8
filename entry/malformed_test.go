package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// It guards against requests inside the body of another one at the servers of net/http, such as the directory's.
func TestMalformedRequestToTheDirectorySmugglesNone(t *testing.T) {
	const inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
	length := fmt.Sprint(len(inner))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	for name, sent := range map[string]string{
		"blank behind the name of a length": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : " + length + "\r\n\r\n" + inner,
		"blank behind the name of a coding": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks,
		"coding in HTTP/1.0":                "POST / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"length and coding":                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
	} {
		t.Run(name, func(t *testing.T) {
			var smuggled atomic.Int32
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/inner" {
					smuggled.Add(1)
				}
			})
			server := httptest.NewUnstartedServer(nil)
			server.Config = newListener("", handler, log.New(io.Discard)).server
			server.Start()
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, sent)
			assert.NilError(t, err)
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			io.Copy(io.Discard, c)
			assert.Equal(t, smuggled.Load(), int32(0))
		})
	}
}
