package test

import (
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to one address. It can make the open ones go
// silent for good while new ones work.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*relayed]bool
}

// relayed is one forwarded connection.
type relayed struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, conns: map[*relayed]bool{}}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(near)
	}
}

func (r *relay) forward(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	c := &relayed{near: near, far: far}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(far, near) })
	both.Go(func() { c.copy(near, far) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy forwards one direction. Bytes and the end of a silent connection are
// dropped, so that the other side notices nothing.
func (c *relayed) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent && n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if !silent {
				to.Close()
			}
			return
		}
	}
}

// silence makes the open connections silent and returns how many there were.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(r.conns)
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.near.Close()
		c.far.Close()
	}
}
