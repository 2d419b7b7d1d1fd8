package test

import (
	"net"
	"sync"
	"testing"
)

// relay is a TCP proxy for one address. It can silence the connections that are
// open, which stay open but carry no more data, while new connections work.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*relayedConn]bool
}

// relayedConn is one proxied connection.
type relayedConn struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, conns: map[*relayedConn]bool{}}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *relay) forward(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	c := &relayedConn{client: client, server: server}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { c.copy(server, client) })
	directions.Go(func() { c.copy(client, server) })
	directions.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy forwards one direction. On a silenced connection it drops the data and
// does not forward a close, so that the peer sees an idle connection.
func (c *relayedConn) copy(to, from net.Conn) {
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

// silence silences all open connections and returns their number.
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
		c.client.Close()
		c.server.Close()
	}
}
