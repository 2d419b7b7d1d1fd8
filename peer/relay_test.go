package peer_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards connections to an address. After silence is called, the open
// connections stay open and forward nothing; connections made later are
// forwarded.
type relay struct {
	listener net.Listener
	target   string
	accepted atomic.Int64
	done     sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn
	silent []*atomic.Bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l, target: target}
	r.done.Go(r.accept)
	t.Cleanup(r.stop)
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// silence makes the open connections discard all further bytes.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.silent {
		s.Store(true)
	}
}

func (r *relay) stop() {
	r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		silent := &atomic.Bool{}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.silent = append(r.silent, silent)
		r.mu.Unlock()
		r.done.Go(func() { forward(out, in, silent) })
		r.done.Go(func() { forward(in, out, silent) })
	}
}

// forward copies bytes from src to dst until src ends. While silent is set, it
// discards the bytes it reads and doesn't close dst at the end of src.
func forward(dst, src net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if !silent.Load() && n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && !silent.Load() {
				dst.Close()
			}
			return
		}
	}
}
