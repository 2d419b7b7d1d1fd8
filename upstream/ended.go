package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

// endedTimeout bounds the check whether a server has ended. It is a few round trips: the host of
// a process that ended refuses connections at once.
const endedTimeout = 250 * time.Millisecond

// IsConnectionLost reports whether an error of an exchange means that the server's end of the
// connection was closed or reset before the response was complete. Timeouts and connections that
// were closed locally don't count.
func IsConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// HasEnded reports whether the process of a server that just broke a connection has ended.
func (p *Pool) HasEnded(ctx context.Context, s *backend.Server) bool {
	p.endChecks.Inc(1)
	return p.connector.HasEnded(ctx, s)
}

// HasEnded reports whether the process of a server that just broke a connection has ended: its host
// answers, and nothing listens at the server's address. It returns false for a server that accepts connections
// and for a host that can't be reached. On a path that resets connections it is wrong.
func HasEnded(ctx context.Context, dial func(ctx context.Context, addr string) (net.Conn, error), addr string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedTimeout)
	defer cancel()
	conn, err := dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}
