package claims

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/internal/pause"
)

// maxBacklog limits the number of writes queued for the store. When it is
// exceeded, the oldest write is dropped. Its claim stays in progress: the call
// is never run again, but retries with the same key do not get its outcome.
const maxBacklog = 20_000

// backlog is a FIFO queue of claim writes that are retried in the background.
type backlog struct {
	counts *counts
	// wake is buffered by one and signals the worker that a write was added.
	wake chan struct{}

	mu    sync.Mutex
	items []*pendingWrite
	// busy is set while the worker attempts a write that it removed from items.
	busy bool
	// drained is closed when the queue becomes empty. It is nil unless
	// waitDrained is waiting.
	drained chan struct{}
}

func newBacklog(c *counts) *backlog {
	return &backlog{counts: c, wake: make(chan struct{}, 1)}
}

func (b *backlog) add(w *pendingWrite) {
	b.mu.Lock()
	if len(b.items) >= maxBacklog {
		b.items = b.items[1:]
		b.counts.dropped.Inc(1)
	}
	b.items = append(b.items, w)
	b.counts.background.Update(int64(len(b.items)))
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// next removes and returns the oldest write, or returns nil if there is none.
func (b *backlog) next() *pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) == 0 {
		return nil
	}
	w := b.items[0]
	b.items[0] = nil
	b.items = b.items[1:]
	b.busy = true
	return w
}

// finish marks the write returned by next as handled and signals drained if no
// writes are left.
func (b *backlog) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy = false
	b.counts.background.Update(int64(len(b.items)))
	if len(b.items) == 0 && b.drained != nil {
		close(b.drained)
		b.drained = nil
	}
}

// waitDrained waits until all writes are handled. It returns an error if ctx
// ends first.
func (b *backlog) waitDrained(ctx context.Context) error {
	b.mu.Lock()
	remaining := len(b.items)
	if remaining == 0 && !b.busy {
		b.mu.Unlock()
		return nil
	}
	if b.drained == nil {
		b.drained = make(chan struct{})
	}
	empty := b.drained
	b.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return trace.LimitExceeded("%d claim writes are not stored", remaining)
	}
}

// runBacklog attempts the queued writes in order until ctx ends. It backs off
// exponentially while the store fails.
func (s *Service) runBacklog(ctx context.Context) {
	delay := newRetryBackoff()
	for {
		w := s.backlog.next()
		if w == nil {
			select {
			case <-s.backlog.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if s.retry(ctx, w) {
			delay.Reset()
			continue
		}
		if !pause.For(ctx, delay.NextBackOff()) {
			return
		}
	}
}

// retry attempts a write once and requeues it on failure, unless the claim is
// superseded. It returns true if the next write needs no delay, because the
// store responded.
func (s *Service) retry(ctx context.Context, w *pendingWrite) (ok bool) {
	defer s.backlog.finish()
	err := s.apply(ctx, w)
	switch {
	case err == nil:
		return true
	case errors.Is(err, errSuperseded):
		s.log.Warn("claim write dropped, claim is superseded", "key", w.key, "err", err)
		return true
	default:
		s.backlog.add(w)
		return classifyWriteError(err) == writeRefused
	}
}
