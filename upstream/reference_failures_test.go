package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
)

// soundServer lives on, says which process it is, and ends its answers with their connection.
type soundServer struct {
	// answerTime is how long an answer takes.
	answerTime time.Duration
	// idleTimeout is after what time without a request it closes a connection, or zero.
	idleTimeout time.Duration
	// maxConns is the number of connections beyond which it resets others, or zero.
	maxConns int64
	// probeTime is how long it takes to answer a probe, probeAnswer what it answers.
	probeTime   time.Duration
	probeAnswer string

	open atomic.Int64
}

const namedAnswer = "HTTP/1.1 200 OK\r\nServer-Id: s\r\nContent-Length: 0\r\n\r\n"

func (u *soundServer) serve(c net.Conn, r *bufio.Reader) {
	defer u.open.Add(-1)
	if n := u.open.Add(1); u.maxConns > 0 && n > u.maxConns {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	for {
		if u.idleTimeout > 0 {
			c.SetReadDeadline(time.Now().Add(u.idleTimeout))
		}
		req, _, err := readRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/probe" {
			time.Sleep(u.probeTime)
			io.WriteString(c, u.probeAnswer)
			continue
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nConnection: close\r\n\r\n")
		for end := time.Now().Add(u.answerTime); ; time.Sleep(50 * time.Millisecond) {
			io.WriteString(c, "part")
			if time.Now().After(end) {
				return
			}
		}
	}
}

// namedProbe is a probe to which the server says which process it is.
func namedProbe(s *backend.Server) Probe {
	return Probe{
		Target: "/probe", Host: s.Addr,
		Attribute: func(http.Header) Attribution { return Own },
		Identify: func(_ int, h http.Header, _ []byte) Identity {
			if h.Get("Server-Id") == s.ID {
				return SameProcess
			}
			return Unidentified
		},
	}
}

// readAnswer sends a request and reads its answer. atEnd is called before the end is checked and returns the context for that.
func readAnswer(t *testing.T, p *Pool, s *backend.Server, id string, atEnd func(context.Context) context.Context) (Liveness, error) {
	return readAnswerWith(t, p, s, id, namedProbe(s), atEnd)
}

func readAnswerWith(t *testing.T, p *Pool, s *backend.Server, id string, probe Probe, atEnd func(context.Context) context.Context) (Liveness, error) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c, err := p.Connect(ctx, s, Use{MaxIdle: time.Hour})
	if err != nil {
		return NotShown, err
	}
	p.PrepareEnd(ctx, s, c)
	resp, err := p.Do(ctx, c, request(id), 0)
	if err != nil {
		return NotShown, err
	}
	defer resp.Close()
	p.WatchEnd(ctx, resp, s)
	if _, err = io.ReadAll(resp); err != nil {
		return NotShown, err
	}
	if atEnd != nil {
		ctx = atEnd(ctx)
	}
	return p.LivedOn(ctx, resp, s, probe)
}

// checkAnswers sends n requests, one each interval, and checks that their answers are whole.
func checkAnswers(t *testing.T, u *soundServer, n int, interval time.Duration) {
	s, p := serve(t, u.serve), newPool()
	_, err := readAnswer(t, p, s, "warm", nil)
	assert.NilError(t, err)
	var wg sync.WaitGroup
	var refused atomic.Int64
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			if liveness, err := readAnswer(t, p, s, "r", nil); liveness == NotShown {
				refused.Add(1)
				t.Logf("answer %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, refused.Load() == 0, "%d of %d whole answers don't count as whole", refused.Load(), n)
}
