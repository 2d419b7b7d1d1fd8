package gossip

import (
	"context"
	"sync"
	"time"
)

// maxSyncWait is how long a daemon that starts waits for the records that others know.
const maxSyncWait = 300 * time.Millisecond

// Gate holds back work of a daemon that starts until the records of another daemon have been
// received, at most maxSyncWait after NewGate. It is safe for concurrent use.
type Gate struct {
	deadline time.Time
	opened   chan struct{}
	once     sync.Once
}

// NewGate returns a closed gate.
func NewGate() *Gate {
	return &Gate{deadline: time.Now().Add(maxSyncWait), opened: make(chan struct{})}
}

// Open opens the gate: records have been received, or there are no other daemons.
func (g *Gate) Open() { g.once.Do(func() { close(g.opened) }) }

// IsOpen reports whether Wait returns at once.
func (g *Gate) IsOpen() bool {
	select {
	case <-g.opened:
		return true
	default:
		return time.Now().After(g.deadline)
	}
}

// Wait waits until the gate is open or ctx ends.
func (g *Gate) Wait(ctx context.Context) {
	if g.IsOpen() {
		return
	}
	timer := time.NewTimer(time.Until(g.deadline))
	defer timer.Stop()
	select {
	case <-g.opened:
	case <-timer.C:
		g.Open()
	case <-ctx.Done():
	}
}
