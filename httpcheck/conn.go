package httpcheck

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// maxHeadBytes bounds the heads before and of one final response.
const maxHeadBytes = 64 << 10

// NewTransport returns a Transport that checks the bytes of each head on connections without TLS. It changes how base
// opens connections.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
		base.ForceAttemptHTTP2 = true // It is the default without a dial function.
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{Base: base}
}

// expectHead makes a connection check the next bytes as the head of a response.
func expectHead(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.expecting, c.head, c.received = true, Head{}, nil
	}
}

// conn is a connection that fails on malformed heads of responses.
type conn struct {
	net.Conn

	mu sync.Mutex
	// expecting is set until the head of a final response has arrived; received holds its bytes so far.
	expecting bool
	head      Head
	received  []byte
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		c.Conn.Close()
		return 0, malformed
	}
	return n, err
}

// check checks bytes that were read while a head is expected.
func (c *conn) check(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expecting {
		return nil
	}
	c.received = append(c.received, read...)
	for {
		length, err := c.head.Check(c.received)
		if err != nil {
			return err
		}
		if length == 0 && len(c.received) > maxHeadBytes {
			return &Error{Cause: LongHead, Detail: "too many bytes"}
		}
		if length == 0 {
			return nil
		}
		if c.head.status >= http.StatusOK {
			c.expecting, c.received = false, nil
			return nil
		}
		c.received, c.head = c.received[length:], Head{}
	}
}
