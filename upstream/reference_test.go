package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
)

// untilCloseServer answers requests with a body that ends with its connection, and probes with a status.
type untilCloseServer struct {
	probes, conns atomic.Int64
	// probeHead is the head of its answers to probes.
	probeHead string
	// pause is the time between the parts of a body, except in the answer to the request "first".
	pause time.Duration
}

func (u *untilCloseServer) serve(c net.Conn, r *bufio.Reader) {
	u.conns.Add(1)
	for {
		req, _, err := readRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/probe" {
			u.probes.Add(1)
			io.WriteString(c, u.probeHead)
			if strings.Contains(u.probeHead, "close") {
				return
			}
			continue
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\n\r\n")
		for range 3 {
			io.WriteString(c, "part")
			if req.Header.Get("Id") != "first" {
				time.Sleep(u.pause)
			}
		}
		return
	}
}

// answerOf sends a request whose answer ends with its connection, reads it and asks whether its process lived on.
func answerOf(t *testing.T, p *Pool, s *backend.Server, id string) Liveness {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	resp := p.answer(ctx, t, s, id)
	_, err := io.ReadAll(resp)
	assert.NilError(t, err)
	liveness, _ := p.LivedOn(ctx, resp, s, anyProbe(s))
	return liveness
}

// answer sends a request and returns the response, whose end is watched.
func (p *Pool) answer(ctx context.Context, t *testing.T, s *backend.Server, id string) *Response {
	c, err := p.Connect(ctx, s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	p.PrepareEnd(ctx, s, c)
	resp, err := p.Do(ctx, c, request(id), 0)
	assert.NilError(t, err)
	p.WatchEnd(ctx, resp, s)
	return resp
}

// anyProbe returns a probe whose responses name no process.
func anyProbe(s *backend.Server) Probe {
	return Probe{
		Target: "/probe", Host: s.Addr,
		Attribute: func(http.Header) Attribution { return Own },
		Identify:  func(int, http.Header, []byte) Identity { return Unidentified },
	}
}

func TestAnswersThatEndTogetherShareTheEvidence(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		u := &untilCloseServer{probeHead: head, pause: 300 * time.Millisecond}
		s, p := serve(t, u.serve), newPool()
		results := make(chan Liveness)
		for _, id := range []string{"a", "b", "c", "d"} {
			go func() { results <- answerOf(t, p, s, id) }()
		}
		for range 4 {
			assert.Equal(t, <-results, ByConnection)
		}
		assert.Assert(t, u.probes.Load() < 4)
	}
}

func TestReferenceServesOneAnswerAfterTheOtherAndIsClosedWhenIdle(t *testing.T) {
	u := &untilCloseServer{probeHead: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}
	s, p := serve(t, u.serve), newPool()
	answerOf(t, p, s, "first") // Too short for a reference that was opened at its head.
	for _, id := range []string{"a", "b", "c"} {
		assert.Equal(t, answerOf(t, p, s, id), ByConnection)
	}
	r := p.referenceOf(referenceKey{server: s.Instance()})
	opened := r.conn
	assert.Assert(t, opened != nil)
	used := func(ago time.Duration) {
		p.mu.Lock()
		defer p.mu.Unlock()
		r.usedAt = time.Now().Add(-ago)
	}
	time.Sleep(50 * time.Millisecond) // The answers release it.
	used(maxReferenceIdle - time.Second)
	p.Sweep(func(backend.Instance) bool { return false })
	assert.Assert(t, opened.healthy(), "a reference to a server that leaves is kept")
	used(maxReferenceIdle + time.Second)
	p.Sweep(func(backend.Instance) bool { return true })
	assert.Assert(t, !opened.healthy())
}

func TestReferenceIsAnIdleConnectionIfThereIsOne(t *testing.T) {
	u := &untilCloseServer{probeHead: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}
	s, p := serve(t, u.serve), newPool()
	idle, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	c, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	p.Release(idle)
	assert.Equal(t, p.openReference(t.Context(), s, c), idle.openedAt)
	assert.Equal(t, len(p.idle[c.idleKey()]), 0)
}

// It guards against a new connection for each request to a server that resets those beyond its bound.
func TestServerThatResetsReferencesIsNotAskedForOneEachTime(t *testing.T) {
	var conns atomic.Int64
	s := serve(t, func(c net.Conn, _ *bufio.Reader) {
		conns.Add(1)
		c.(*net.TCPConn).SetLinger(0)
	})
	p := newPool()
	c := p.newConn(s, Link{})
	for range 10 {
		p.openReference(t.Context(), s, c)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, conns.Load() <= 2, "%d connections", conns.Load())
}
