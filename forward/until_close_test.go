package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const untilCloseHead = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"

// streamsUntilClose sends the events from the resume point up to last in a body that ends with the
// connection. It calls end before it closes the connection.
func streamsUntilClose(last int, end func(net.Conn)) serverBehavior {
	return func(d *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
		d.recordRun(r)
		first := 1
		if r.last != "" {
			fmt.Sscan(r.last, &first)
			first++
		}
		fmt.Fprintf(c, untilCloseHead, r.id)
		io.WriteString(c, eventsFrom(first, last))
		end(c)
		return false
	}
}

func endWhole(net.Conn) {}

func endInsideEvent(c net.Conn) { io.WriteString(c, "id: 99\nda") }

// sendHTTP10 sends a request as an HTTP/1.0 caller and reads the response up to the end of the
// connection.
func (d *deployment) sendHTTP10(path, id string) result {
	c, err := net.Dial("tcp", d.ingress.Addr())
	assert.NilError(d.t, err)
	defer c.Close()
	assert.NilError(d.t, c.SetDeadline(time.Now().Add(5*time.Second)))
	fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: h\r\nId: %s\r\nKey: key\r\nContent-Length: 0\r\n\r\n", path, id)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, header: res.Header, body: string(body), err: err}
}

// sendBoth sends a request as an HTTP/1.0 and as an HTTP/1.1 caller.
func (d *deployment) sendBoth(path, id string) map[string]result {
	return map[string]result{"HTTP/1.0": d.sendHTTP10(path, id+"-10"), "HTTP/1.1": d.send(http.MethodPost, path, id+"-11")}
}

func TestWholeStreamThatEndsWithItsConnectionIsWhole(t *testing.T) {
	d := newDeployment(t, streamRoute)
	d.addServer("a", streamsUntilClose(3, endWhole))
	d.start()
	for caller, got := range d.sendBoth("/stream/", "r") {
		assert.NilError(t, got.err, caller)
		assert.Equal(t, got.body, eventsFrom(1, 3), caller)
	}
}

// It guards against a stream that broke off inside an event and is passed on as whole.
func TestStreamThatEndsInsideAnEventIsNotWhole(t *testing.T) {
	d := newDeployment(t, streamRoute)
	d.addServer("a", streamsUntilClose(3, endInsideEvent))
	d.start()
	for caller, got := range d.sendBoth("/stream/", "r") {
		assert.Assert(t, got.err != nil, "%s got a whole response: %q", caller, got.body)
		assert.Assert(t, strings.HasPrefix(eventsFrom(1, 3), got.body), "%s got %q", caller, got.body)
	}
}

// It guards against a stream that broke off inside an event and isn't resumed.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	d := newDeployment(t, resumeRoute)
	d.addServer("a", streamsUntilClose(2, endInsideEvent))
	d.start()
	d.addServer("b", streamsUntilClose(3, endWhole))
	for i := range 4 {
		for caller, got := range d.sendBoth("/resume/", fmt.Sprint("r", i)) {
			assert.NilError(t, got.err, caller)
			assert.Equal(t, got.body, eventsFrom(1, 3), caller)
		}
	}
}

// It guards against a server that crashed before its first event being taken for an empty stream.
func TestStreamWithoutAnyEventIsNotWhole(t *testing.T) {
	d := newDeployment(t, streamRoute)
	d.addServer("a", streamsUntilClose(0, endWhole))
	d.start()
	for caller, got := range d.sendBoth("/stream/", "r") {
		assert.Equal(t, got.status, http.StatusBadGateway, caller)
	}
}

// It guards against a server that crashed between two events and is taken to have ended its stream.
func TestStreamOfAServerThatEndedBetweenEventsIsNotWhole(t *testing.T) {
	d := newDeployment(t, streamRoute)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d.addServerAt("a", l, streamsUntilClose(2, func(net.Conn) { l.Close() }))
	d.start()
	got := d.send(http.MethodPost, "/stream/", "r")
	assert.Assert(t, got.err != nil, "got a whole response: %q", got.body)
}

func TestPlainResponseThatEndsWithItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(net.Conn)
		status int
	}{
		"closed": {endWhole, http.StatusOK},
		"reset": {func(c net.Conn) {
			time.Sleep(20 * time.Millisecond) // The bytes before the reset arrive.
			c.(*net.TCPConn).SetLinger(0)
		}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, streamRoute)
			d.addServer("a", func(d *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\nbytes", r.id)
				test.end(c)
				return false
			})
			d.start()
			for caller, got := range d.sendBoth("/stream/", "r") {
				assert.Equal(t, got.status, test.status, caller)
				if test.status == http.StatusOK {
					assert.Equal(t, got.body, "bytes", caller)
				}
			}
		})
	}
}
