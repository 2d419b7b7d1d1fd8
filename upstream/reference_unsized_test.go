package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against whole answers that are refused because what the server says of itself ends with its connection as well.
func TestAnswersAreWholeThoughReportsHaveNoLength(t *testing.T) {
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, _, err := readRequest(r)
		switch {
		case err != nil:
		case req.URL.Path == "/probe":
			io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n{\"born\":1000}")
		default:
			io.WriteString(c, "HTTP/1.0 200 OK\r\nId: "+req.Header.Get("Id")+"\r\n\r\nanswer")
		}
	})
	p := newPool()
	probe := namedProbe(s)
	probe.Identify = func(_ int, _ http.Header, body []byte) Identity {
		if string(body) == "{\"born\":1000}" {
			return SameProcess
		}
		return Unidentified
	}
	results := make(chan error)
	for i := range 8 {
		go func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			liveness, err := readAnswerWith(t, p, s, "r", probe, nil)
			if liveness != NotShown {
				err = nil
			}
			results <- err
		}()
	}
	refused := 0
	for range 8 {
		if err := <-results; err != nil {
			refused++
			t.Log(err)
		}
	}
	assert.Assert(t, refused == 0, "%d of 8 whole answers don't count as whole", refused)
}
