package upstream

import (
	"errors"
	"net"
	"time"
)

// SilenceFunc is called when nothing arrived from a server for the read timeout. While it runs, the connection is still
// read: heard gets true when bytes arrive, and false when the connection ends. If it returns an error, the read fails
// with it; otherwise the read goes on.
type SilenceFunc func(heard <-chan bool) error

// OnSilence sets what is called when the body is silent for the read timeout, instead of failing the read. It has no
// effect on connections through other daemons, whose reads can't go on after a timeout.
func (resp *Response) OnSilence(f SilenceFunc) {
	if !resp.ended && resp.conn.Via == "" {
		resp.conn.onSilence = f
	}
}

// readLink reads from the link. The body of a response can't be read on after an error, so silence is handled below it.
func (c *Conn) readLink(p []byte) (int, error) {
	for {
		n, err := c.Link.Read(p)
		c.received.Add(int64(n))
		if n > 0 || c.onSilence == nil || !isReadTimeout(err) {
			return n, err
		}
		var again bool
		if n, again, err = c.readInSilence(p); !again {
			return n, err
		}
	}
}

func isReadTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readInSilence reads on while onSilence runs, and up to another read timeout after it. It returns true if the
// connection is still silent then.
func (c *Conn) readInSilence(p []byte) (n int, again bool, err error) {
	timeout := c.readTimeout
	c.SetReadDeadline(time.Time{})
	heard, done := make(chan bool, 1), make(chan struct{})
	go func() {
		defer close(done)
		n, err = c.Link.Read(p)
		c.received.Add(int64(n))
		heard <- n > 0
	}()
	if stop := c.onSilence(heard); stop != nil {
		c.SetReadDeadline(time.Now())
		<-done
		return 0, false, stop
	}
	c.setReadTimeout(timeout)
	<-done
	return n, n == 0 && isReadTimeout(err), err
}

// AwaitBody reads the body until enough returns true for the bytes received so far, or an error. The bytes are kept for
// Read.
func (resp *Response) AwaitBody(enough func(received []byte) (bool, error)) error {
	var received []byte
	buf := make([]byte, readBufferBytes)
	for {
		n, err := resp.Read(buf)
		received = append(received, buf[:n]...)
		if ok, unfit := enough(received); ok || unfit != nil {
			resp.first = received
			return unfit
		}
		if err != nil {
			return err
		}
	}
}
