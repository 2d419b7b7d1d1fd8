package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connPollInterval is how often a stop checks for busy connections.
const connPollInterval = 10 * time.Millisecond

// connTracker tracks the connections that may carry a request: new ones, whose
// first request has not been read, and active ones. A stop waits for both
// before it calls http.Server.Shutdown, because a server that reads the first
// request of a new connection after that call closes it without a response.
type connTracker struct {
	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{busy: map[net.Conn]struct{}{}} }

// onStateChange records the state of a connection. It is the ConnState callback
// of the http.Server.
func (t *connTracker) onStateChange(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		t.busy[conn] = struct{}{}
	default:
		delete(t.busy, conn)
	}
}

func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.busy)
}

// waitIdle returns when no connection is busy or ctx ends.
func (t *connTracker) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(connPollInterval)
	defer ticker.Stop()
	for t.count() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
