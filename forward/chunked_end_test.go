package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// breaksOff sends two events in chunks and then calls end.
func breaksOff(end func(net.Conn, *bufio.Reader)) serverBehavior {
	return func(d *deployment, c net.Conn, r *bufio.Reader, req run) bool {
		d.recordRun(req)
		fmt.Fprintf(c, streamHead, req.id, req.server)
		io.WriteString(c, chunk(eventsFrom(1, 2)))
		end(c, r)
		return false
	}
}

// endsEmpty ends a stream in order without any event.
func endsEmpty(d *deployment, c net.Conn, _ *bufio.Reader, req run) bool {
	d.recordRun(req)
	fmt.Fprintf(c, streamHead, req.id, req.server)
	io.WriteString(c, "0\r\n\r\n")
	return true
}

func TestDeadlineInAStreamInChunksDoesNotCompleteIt(t *testing.T) {
	shortStream, shortResume := streamRoute, resumeRoute
	shortStream.Timeout, shortResume.Timeout = 700*time.Millisecond, 700*time.Millisecond
	for _, tunneled := range []bool{false, true} {
		d := newDeployment(t, shortStream, shortResume)
		if tunneled {
			d.dial, d.tunnels = noPath, directTunnels{d}
		}
		d.addServer("a", breaksOff(stall))
		d.start()
		for _, path := range []string{"/stream/", "/resume/"} {
			for caller, got := range d.sendBoth(path, "r"+path[1:3]) {
				assert.Assert(t, got.err != nil, "%s %s got a whole response: %q", path, caller, got.body)
			}
		}
	}
}

func TestEndOfTheConnectionBetweenChunksDoesNotCompleteAStream(t *testing.T) {
	for _, tunneled := range []bool{false, true} {
		d := newDeployment(t, streamRoute, resumeRoute)
		if tunneled {
			d.dial, d.tunnels = noPath, directTunnels{d}
		}
		d.addServer("a", breaksOff(func(net.Conn, *bufio.Reader) {}))
		d.start()
		for _, path := range []string{"/stream/", "/resume/"} {
			for caller, got := range d.sendBoth(path, "r"+path[1:3]) {
				assert.Assert(t, got.err != nil, "%s %s got a whole response: %q", path, caller, got.body)
			}
		}
	}
}

// A silent stream isn't given to a server that ends it without an event.
func TestServerThatEndsASilentStreamWithoutAnEventDoesNotTakeItUp(t *testing.T) {
	short := pauseRoute
	short.Timeout = 3 * time.Second
	for range 4 {
		d := newDeployment(t, short)
		d.addServer("a", breaksOff(stall))
		d.start()
		d.addServer("b", func(d *deployment, c net.Conn, r *bufio.Reader, req run) bool {
			if req.last == "" {
				return breaksOff(stall)(d, c, r, req)
			}
			return endsEmpty(d, c, r, req)
		})
		got := d.send("POST", "/pause/", "r")
		assert.Assert(t, got.err != nil, "got a whole response: %q", got.body)
	}
}
