package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func eventsFrom(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

// chunk encodes s as one chunk of a chunked body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

const streamHead = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// streams sends the events from the resume point up to last. Before event cutAt
// it calls cut and closes the connection.
func streams(last, cutAt int, cut func(c net.Conn, r *bufio.Reader)) serverBehavior {
	return func(d *deployment, c net.Conn, r *bufio.Reader, req run) bool {
		d.recordRun(req)
		first := 1
		if req.last != "" {
			n, _ := strconv.Atoi(req.last)
			first = n + 1
		}
		fmt.Fprintf(c, streamHead, req.id, req.server)
		for i := first; i <= last; i++ {
			if i == cutAt {
				cut(c, r)
				return false
			}
			io.WriteString(c, chunk(event(i)))
		}
		io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

func resetConn(c net.Conn, _ *bufio.Reader) { c.(*net.TCPConn).SetLinger(0) }

func closeInsideEvent(c net.Conn, _ *bufio.Reader) { io.WriteString(c, chunk("id: 99\nda")) }

func stall(_ net.Conn, r *bufio.Reader) { r.ReadByte() }

const eventCount = 12

func TestRelaysStream(t *testing.T) {
	d := newDeployment(t, streamRoute)
	d.addServer("a", streams(eventCount, 0, nil))
	d.start()
	for i := range 3 {
		got := d.send("POST", "/stream/", fmt.Sprint("r", i))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventsFrom(1, eventCount))
		assert.Equal(t, got.header.Get("Seal"), "a")
	}
}

func TestRelaysEventsAsTheyArrive(t *testing.T) {
	release := make(chan struct{})
	d := newDeployment(t, streamRoute)
	d.addServer("a", func(d *deployment, c net.Conn, _ *bufio.Reader, req run) bool {
		fmt.Fprintf(c, streamHead, req.id, "a")
		io.WriteString(c, chunk(event(1)))
		<-release
		io.WriteString(c, chunk(event(2))+"0\r\n\r\n")
		return true
	})
	d.start()
	c, err := net.Dial("tcp", d.ingress.Addr())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /stream/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	first := make([]byte, len(event(1)))
	_, err = io.ReadFull(res.Body, first)
	assert.NilError(t, err)
	assert.Equal(t, string(first), event(1))
	close(release)
	rest, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), event(2))
}

// TestTruncatedStreamIsNotCompleted checks that a broken stream that cannot be
// resumed never looks complete to the caller, and that a partial event is not
// relayed.
func TestTruncatedStreamIsNotCompleted(t *testing.T) {
	for name, cut := range map[string]func(net.Conn, *bufio.Reader){"reset": resetConn, "in an event": closeInsideEvent} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, streamRoute)
			d.addServer("a", streams(eventCount, 5, cut))
			d.addServer("b", streams(eventCount, 5, cut))
			d.start()
			got := d.send("POST", "/stream/", "r1")
			assert.Assert(t, got.err != nil)
			assert.Assert(t, strings.HasPrefix(eventsFrom(1, 4), got.body), got.body)
			assert.Equal(t, len(d.runsOf("r1")), 1)
		})
	}
}

func TestResumesStreamAtAnotherServer(t *testing.T) {
	for name, cut := range map[string]func(net.Conn, *bufio.Reader){"reset": resetConn, "in an event": closeInsideEvent, "silent": stall} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, resumeRoute)
			d.addServer("a", streams(eventCount, 5, cut))
			d.addServer("b", streams(eventCount, 8, cut))
			d.addServer("c", streams(eventCount, 0, nil))
			d.start()
			for i := range 4 {
				got := d.send("POST", "/resume/", fmt.Sprint("r", i))
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, eventsFrom(1, eventCount))
			}
		})
	}
}

// It guards against a stall that is waited out although the route allows one more attempt.
func TestStalledStreamIsResumedAtTheLastAttempt(t *testing.T) {
	r := resumeRoute
	r.MaxAttempts = 2
	d := newDeployment(t, r)
	d.addServer("a", streams(eventCount, 5, stall))
	d.addServer("b", streams(eventCount, 0, nil))
	d.start()
	for i := range 4 {
		got := d.send("POST", "/resume/", fmt.Sprint("r", i))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventsFrom(1, eventCount))
	}
}

// TestResumedStreamsHaveEachEventOnce cuts streams at random events. Callers
// must receive the events in order and without duplicates or omissions, and a
// complete response must have all of them.
func TestResumedStreamsHaveEachEventOnce(t *testing.T) {
	next := 0
	rapid.Check(t, func(rt *rapid.T) {
		d := newDeployment(t, resumeRoute)
		cuts := []func(net.Conn, *bufio.Reader){resetConn, closeInsideEvent}
		for i := range rapid.IntRange(1, 4).Draw(rt, "servers") {
			cut := cuts[rapid.IntRange(0, 1).Draw(rt, "cut")]
			d.addServer(fmt.Sprint(i), streams(eventCount, rapid.IntRange(0, eventCount).Draw(rt, "at"), cut))
		}
		d.start()
		defer d.ingress.Stop(t.Context())
		next++
		id := fmt.Sprint("r", next)
		got := d.send("POST", "/resume/", id)
		complete := eventsFrom(1, eventCount)
		if got.status == http.StatusOK && got.err == nil && got.body != complete {
			rt.Fatalf("complete response has body %q", got.body)
		}
		if got.status == http.StatusOK && !strings.HasPrefix(complete, got.body) {
			rt.Fatalf("body %q is not a prefix of the stream", got.body)
		}
		if n := len(d.runsOf(id)); n > resumeRoute.MaxAttempts {
			rt.Fatalf("request ran %d times", n)
		}
	})
}

// TestEventsOutOfOrderBreakTheStreamOff checks that a stream that skips an
// event ID is closed before the event that does not follow.
func TestEventsOutOfOrderBreakTheStreamOff(t *testing.T) {
	d := newDeployment(t, streamRoute)
	d.addServer("a", func(d *deployment, c net.Conn, _ *bufio.Reader, req run) bool {
		fmt.Fprintf(c, streamHead, req.id, "a")
		io.WriteString(c, chunk(event(1)))
		time.Sleep(10 * time.Millisecond)
		io.WriteString(c, chunk(event(3))+"0\r\n\r\n")
		return true
	})
	d.start()
	got := d.send("POST", "/stream/", "r1")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, event(1))
}

func TestStreamDelimitedByClose(t *testing.T) {
	d := newDeployment(t, streamRoute)
	body := eventsFrom(1, 3)
	head := "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"
	d.addServer("a", respondsWith(head+body))
	d.start()
	got := d.send("POST", "/stream/", "r1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, body)
}

// It guards against a resume that begins anew, so that the caller gets events twice.
func TestStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	unnumbered := func(d *deployment, c net.Conn, _ *bufio.Reader, req run) bool {
		d.recordRun(req)
		fmt.Fprintf(c, streamHead, req.id, req.server)
		io.WriteString(c, chunk("data: one\n\n"))
		io.WriteString(c, chunk("data: two\n\n"))
		time.Sleep(10 * time.Millisecond)
		return false
	}
	d := newDeployment(t, resumeRoute)
	d.addServer("a", unnumbered)
	d.addServer("b", unnumbered)
	d.start()
	got := d.send("POST", "/resume/", "r1")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, "data: one\n\ndata: two\n\n")
	assert.Equal(t, len(d.runsOf("r1")), 1)
}
