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

// earlyUploadBytes is the length of an upload that doesn't fit into the buffers of a connection.
const earlyUploadBytes = 3 << 20

// addEarlyServer starts a server that responds to the head of each request and closes the connection without having
// read the body.
func (d *deployment) addEarlyServer(response string, pause time.Duration, linger int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { l.Close() })
	d.put(testServer("a", l))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				d.recordRun(run{id: req.Header.Get("Id")})
				io.WriteString(c, strings.ReplaceAll(response, "$ID", req.Header.Get("Id")))
				time.Sleep(pause)
				c.(*net.TCPConn).SetLinger(linger)
			}()
		}
	}()
}

// upload sends a request with a long body and returns the response.
func (d *deployment) upload(path, id string, chunked bool) result {
	var body io.Reader = strings.NewReader(strings.Repeat("x", earlyUploadBytes))
	if chunked {
		body = struct{ io.Reader }{body}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.ingress.Addr()+path, body)
	assert.NilError(d.t, err)
	req.Host = "h"
	req.Header.Set("Id", id)
	req.Header.Set("Key", "key")
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, header: res.Header, body: string(got), err: err}
}

// It guards against a part of an early response that callers get as a complete answer.
func TestEarlyAnswerThatIsResetIsNotPassedOnAsComplete(t *testing.T) {
	for name, response := range map[string]string{
		"plain":  "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n\r\npart",
		"long":   "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n\r\n" + strings.Repeat("part", 100_000),
		"stream": strings.ReplaceAll(untilCloseHead, "%s", "$ID") + eventsFrom(1, 3),
	} {
		for end, linger := range map[string]int{"reset": 0, "closed": -1} {
			for _, pause := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
				t.Run(fmt.Sprint(name, " ", end, " ", pause), func(t *testing.T) {
					d := newDeployment(t, streamRoute)
					d.addEarlyServer(response, pause, linger)
					d.start()
					for i := range 4 {
						id := fmt.Sprint("r", i)
						got := d.upload("/stream/", id, i%2 == 0)
						assert.Equal(t, len(d.runsOf(id)), 1)
						assert.Assert(t, got.err != nil || got.status != http.StatusOK, "got a complete answer of %d bytes", len(got.body))
					}
				})
			}
		}
	}
}
