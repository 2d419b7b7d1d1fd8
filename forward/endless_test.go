package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/route"
)

// maxEndlessTime bounds the time until a response without end is given up. The routes' timeouts are longer.
const maxEndlessTime = 2500 * time.Millisecond

// slowPieces is the pause between two pieces of a slow response.
const slowPieces = 30 * time.Millisecond

// sendsWithoutEnd runs the request, sends a head and then one piece after the other until the connection
// is closed. It reports the end.
func sendsWithoutEnd(head, piece string, pause time.Duration, closed chan<- struct{}) serverBehavior {
	return func(d *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
		d.recordRun(r)
		io.WriteString(c, strings.ReplaceAll(head, "$ID", r.id))
		for {
			if _, err := io.WriteString(c, piece); err != nil {
				closed <- struct{}{}
				return false
			}
			time.Sleep(pause)
		}
	}
}

var patientRoutes = []route.Route{
	{Name: "repeatable", Prefix: "/repeatable/", Kind: route.Idempotent, Timeout: 10 * time.Second, Target: 100 * time.Millisecond, MaxAttempts: 2},
	{Name: "once", Prefix: "/once/", Kind: route.NonIdempotent, Timeout: 10 * time.Second, Target: 100 * time.Millisecond, MaxAttempts: 1},
	{Name: "resumable", Prefix: "/resumable/", Kind: route.Streaming, Resumable: true, Timeout: 10 * time.Second, Target: 100 * time.Millisecond, GapTarget: 50 * time.Millisecond, MaxAttempts: 2},
}

// It guards against bodies without end that run until the deadline of the request.
func TestBodyWithoutEndIsGivenUp(t *testing.T) {
	const chunked = "Id: $ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n"
	long := chunk(strings.Repeat("x", 4096))
	for name, test := range map[string]struct {
		path, head, piece string
		pause             time.Duration
		// other handles requests at a second server, if the request may be sent there.
		other  serverBehavior
		status int
	}{
		"error, fast":          {"/once/", "HTTP/1.1 500 Error\r\n" + chunked + "\r\n", long, 0, nil, http.StatusBadGateway},
		"error, slow":          {"/once/", "HTTP/1.1 500 Error\r\n" + chunked + "\r\n", chunk("x"), slowPieces, nil, http.StatusBadGateway},
		"error, tried again":   {"/repeatable/", "HTTP/1.1 500 Error\r\n" + chunked + "\r\n", long, 0, serves, http.StatusOK},
		"answer, slow":         {"/repeatable/", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n", chunk("x"), slowPieces, serves, http.StatusOK},
		"event, slow, resumed": {"/resumable/", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + chunked + "\r\n", chunk("x"), slowPieces, streams(3, 0, nil), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, slices.Clone(patientRoutes)...)
			closed := make(chan struct{}, 10)
			d.addServer("a", sendsWithoutEnd(test.head, test.piece, test.pause, closed))
			if test.other != nil {
				d.addServer("b", test.other)
			}
			d.start()
			for i := range 3 {
				began := time.Now()
				got := d.send(http.MethodPost, test.path, fmt.Sprint("r", i))
				assert.Equal(t, got.status, test.status)
				assert.NilError(t, got.err)
				assert.Assert(t, time.Since(began) < maxEndlessTime, "took %v", time.Since(began))
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}

// It guards against a success without length or end that is passed on until the deadline of the request.
func TestSuccessWithoutEndIsBrokenOff(t *testing.T) {
	d := newDeployment(t, slices.Clone(patientRoutes)...)
	closed := make(chan struct{}, 1)
	d.addServer("a", sendsWithoutEnd("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n\r\n", strings.Repeat("x", 64<<10), 0, closed))
	d.start()
	got := d.send(http.MethodPost, "/once/", "r")
	assert.Assert(t, got.err != nil, "a response without end looked whole after %d bytes", len(got.body))
	assert.Assert(t, len(got.body) <= maxUnsizedBytes+streamReadBytes)
	<-closed
}
