package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against a part that counts as whole though its connection is reset while the server is asked whether it lives.
func TestAnswerWhoseConnectionIsResetDuringTheProbeIsNotWhole(t *testing.T) {
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, _, err := readRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/probe" {
			time.Sleep(700 * time.Millisecond)
			io.WriteString(c, namedAnswer)
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r\r\n\r\npart")
		c.(*net.TCPConn).CloseWrite()
		time.Sleep(settleTime + 300*time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
	})
	p := newPool()
	liveness, err := readAnswer(t, p, s, "r", func(ctx context.Context) context.Context { return ctx })
	assert.Equal(t, liveness, NotShown)
	assert.ErrorIs(t, err, errReset)
}
