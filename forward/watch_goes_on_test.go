package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against connections that are opened again and again to a server that has ended, while the stream goes on at
// another one.
func TestReferenceIsNotOpenedAgainAfterTheStreamHasMovedOn(t *testing.T) {
	d := newDeployment(t, resumeRoute)
	goesOn := func(_ *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.id+"\r\nSeal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := 3; i <= 40; i++ {
			if _, err := io.WriteString(c, chunk(event(i))); err != nil {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
		io.WriteString(c, "0\r\n\r\n")
		return false
	}
	p := &process{d: d, id: "a", names: true, kind: "text/event-stream", body: eventsFrom(1, 2), end: func(p *process, c net.Conn) {
		d.addServer("b", goesOn)
		p.exit(c, 0)
	}}
	p.listen("127.0.0.1:0")
	var dials atomic.Int64
	addr, direct := p.listener.Addr().String(), d.dial
	d.dial = func(ctx context.Context, to string) (net.Conn, error) {
		if to == addr {
			dials.Add(1)
		}
		return direct(ctx, to)
	}
	d.put(p.record())
	d.start()
	d.send(http.MethodPost, "/resume/", "warm")
	before := dials.Load()
	got := d.send(http.MethodPost, "/resume/", "r")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventsFrom(1, 40))
	opened := dials.Load() - before
	assert.Assert(t, opened <= 4, "%d connections were opened to the server of the first two events", opened)
}
