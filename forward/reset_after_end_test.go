package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against a part of an answer that counts as whole although its connection is reset right after its end: the server
// ends its side after a part, and then closes the connection before it has read the request.
func TestAnswerWhoseConnectionIsResetAfterItsEndIsNotWhole(t *testing.T) {
	d := newDeployment(t, onceRoute)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	d.put(testServer("a", l))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReaderSize(c, 16)
				var head strings.Builder
				for !strings.HasSuffix(head.String(), "\r\n\r\n") {
					b, err := r.ReadByte()
					if err != nil {
						return
					}
					head.WriteByte(b)
				}
				req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head.String())))
				if err != nil {
					return
				}
				if req.URL.Path == probePath {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nServer-Id: a\r\nStarted: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nSeal: s\r\n\r\npart")
				c.(*net.TCPConn).CloseWrite()
				time.Sleep(100 * time.Millisecond) // The rest of the request arrives and is not read.
			}()
		}
	}()
	d.start()
	for range 3 {
		got := sendLarge(t, d, "/once/", "r", 20<<10)
		assert.Assert(t, got.err != nil || got.status >= http.StatusInternalServerError, "status %d, %q looks whole", got.status, got.body)
	}
}

// sendLarge sends a request with a body of a size.
func sendLarge(t *testing.T, d *deployment, path, id string, size int) result {
	c, err := net.Dial("tcp", d.ingress.Addr())
	assert.NilError(t, err)
	defer c.Close()
	req, err := http.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(strings.Repeat("x", size)))
	assert.NilError(t, err)
	req.Header.Set("Id", id)
	req.Header.Set("Key", "key")
	assert.NilError(t, req.Write(c))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, header: res.Header, body: string(body), err: err}
}
