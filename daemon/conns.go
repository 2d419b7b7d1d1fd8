package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connPollInterval is how often a stop looks whether connections are busy.
const connPollInterval = 10 * time.Millisecond

// busyConns holds the connections that may carry a request: new ones, whose
// request is not read yet, and active ones. http.Server.Shutdown closes a new
// connection without an answer when it reads the request after the call.
type busyConns struct {
	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

func newBusyConns() *busyConns { return &busyConns{busy: map[net.Conn]struct{}{}} }

// change follows the state of a connection; it is a http.Server.ConnState.
func (b *busyConns) change(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		b.busy[conn] = struct{}{}
	default:
		delete(b.busy, conn)
	}
}

func (b *busyConns) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.busy)
}

// wait returns when no connection is busy or ctx ends.
func (b *busyConns) wait(ctx context.Context) error {
	ticker := time.NewTicker(connPollInterval)
	defer ticker.Stop()
	for b.count() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
