package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	unsizedHead = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	// earlyRepeats is the number of exchanges of each kind.
	earlyRepeats = 5
)

// upload returns a request with a body of a length.
func upload(bytesLong int, chunked bool) *Request {
	r := request("1")
	r.Body, r.Chunked = bytes.Repeat([]byte("x"), bytesLong), chunked
	return r
}

// answersEarly reads the head of a request, sends a response and calls end after a pause.
func answersEarly(response string, pause time.Duration, end func(*net.TCPConn)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, response)
		time.Sleep(pause)
		end(c.(*net.TCPConn))
	}
}

// earlyEnds are the ways in which a server ends a connection without having read the request.
var earlyEnds = map[string]func(*net.TCPConn){
	"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"closed": func(c *net.TCPConn) { c.Close() },
	"half closed, then closed": func(c *net.TCPConn) {
		c.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		c.Close()
	},
}

// It guards against a part of an early response that counts as complete, because the write has consumed the reset.
func TestEarlyResponseThatIsResetIsNotWhole(t *testing.T) {
	for name, end := range earlyEnds {
		for _, size := range []int{10 << 10, 8 << 20} {
			for _, chunked := range []bool{false, true} {
				for _, pause := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
					if name == "half closed, then closed" && size < 1<<20 {
						continue // The reset comes after the end, see TestResetAfterTheEndIsTold.
					}
					t.Run(fmt.Sprintf("%s/%d bytes/chunked %v/%v", name, size, chunked, pause), func(t *testing.T) {
						s := serve(t, answersEarly(unsizedHead+"part", pause, end))
						for range earlyRepeats {
							_, body, err := call(t, newPool(), s, upload(size, chunked))
							assert.Assert(t, err != nil, "%q counts as complete", body)
							assert.Assert(t, IsConnectionLost(err), "%v", err)
						}
					})
				}
			}
		}
	}
}

// It guards against whole responses without a length that count as broken off.
func TestResponseToAnUploadThatWasReadIsWhole(t *testing.T) {
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			io.WriteString(c, unsizedHead+"answer")
		}
	})
	for _, size := range []int{0, 10 << 10, 8 << 20} {
		for _, chunked := range []bool{false, true} {
			for range earlyRepeats {
				_, body, err := call(t, newPool(), s, upload(size, chunked))
				assert.NilError(t, err)
				assert.Equal(t, body, "answer")
			}
		}
	}
}

// It guards against early responses of a stated length that no longer count.
func TestEarlyResponseWithALengthIsWholeAfterAReset(t *testing.T) {
	for name, response := range map[string]string{
		"sized":   "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 4\r\n\r\npart",
		"chunked": "HTTP/1.1 413 Too Large\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
	} {
		s := serve(t, answersEarly(response, 30*time.Millisecond, earlyEnds["closed"]))
		status, body, err := call(t, newPool(), s, upload(8<<20, false))
		assert.NilError(t, err, name)
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
		assert.Equal(t, body, "part")
	}
}

// It guards against a reset that comes after an orderly end and that nobody can ask for.
func TestResetAfterTheEndIsTold(t *testing.T) {
	closing := make(chan struct{})
	s := serve(t, answersEarly(unsizedHead+"part", 30*time.Millisecond, func(c *net.TCPConn) {
		c.CloseWrite()
		<-closing
	}))
	p := newPool()
	c, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	resp, err := p.Do(t.Context(), c, upload(10<<10, false), 0)
	assert.NilError(t, err)
	defer resp.Close()
	_, err = io.ReadAll(resp)
	assert.NilError(t, err)
	assert.Assert(t, !resp.WasReset())
	close(closing)
	for deadline := time.Now().Add(heldAfterEnd / 2); !resp.WasReset(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the reset is not told")
	}
}

// It guards against sockets that stay open when nobody closes the response.
func TestConnectionThatEndedIsClosed(t *testing.T) {
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, unsizedHead+"answer")
	})
	for _, closes := range []bool{false, true} {
		p := newPool()
		c, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
		assert.NilError(t, err)
		resp, err := p.Do(t.Context(), c, request("1"), 0)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp)
		assert.NilError(t, err)
		if closes {
			resp.Close()
		} else {
			time.Sleep(heldAfterEnd + heldAfterEnd/2)
		}
		assert.Assert(t, errors.Is(c.Link.Close(), net.ErrClosed), "closed by the caller: %v", closes)
	}
}

// It guards against a body that counts as whole because its connection was closed here before its end was checked.
func TestEndOfAConnectionThatWasClosedHereIsNotWhole(t *testing.T) {
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, unsizedHead+"answer")
	})
	p := newPool()
	c, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := p.Do(ctx, c, request("1"), 0)
	assert.NilError(t, err)
	defer resp.Close()
	time.Sleep(20 * time.Millisecond) // The end of the connection arrives.
	c.br.Peek(c.br.Size())            // It is read.
	cancel()
	_, err = io.ReadAll(resp)
	assert.Assert(t, err != nil)
}
