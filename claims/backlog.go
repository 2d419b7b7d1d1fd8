package claims

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"
)

// backlogLimit bounds the changes that wait for the store. A change that is
// dropped leaves its claim in progress: it is never run again, but repeats are
// not told its outcome.
const backlogLimit = 20_000

// backlog holds changes until the store takes them.
type backlog struct {
	counts *counts
	// wake has a token when a change was added.
	wake chan struct{}

	mu    sync.Mutex
	items []*change
	// busy is set while the worker tries an item that is not in items.
	busy bool
	// empty is closed when nothing waits; nil if nobody asked.
	empty chan struct{}
}

func newBacklog(c *counts) *backlog {
	return &backlog{counts: c, wake: make(chan struct{}, 1)}
}

func (b *backlog) add(c *change) {
	b.mu.Lock()
	if len(b.items) >= backlogLimit {
		b.items = b.items[1:]
		b.counts.dropped.Inc(1)
	}
	b.items = append(b.items, c)
	b.counts.background.Update(int64(len(b.items)))
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// next takes the oldest change, or nil.
func (b *backlog) next() *change {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) == 0 {
		return nil
	}
	c := b.items[0]
	b.items[0] = nil
	b.items = b.items[1:]
	b.busy = true
	return c
}

// finish ends the work on a taken change.
func (b *backlog) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy = false
	b.counts.background.Update(int64(len(b.items)))
	if len(b.items) == 0 && b.empty != nil {
		close(b.empty)
		b.empty = nil
	}
}

// waitEmpty returns when nothing waits, or an error if ctx ends first.
func (b *backlog) waitEmpty(ctx context.Context) error {
	b.mu.Lock()
	left := len(b.items)
	if left == 0 && !b.busy {
		b.mu.Unlock()
		return nil
	}
	if b.empty == nil {
		b.empty = make(chan struct{})
	}
	empty := b.empty
	b.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return trace.LimitExceeded("%d claim writes are not stored", left)
	}
}

// runBacklog tries the waiting changes in turn until ctx ends. It slows down
// while the store fails.
func (s *Service) runBacklog(ctx context.Context) {
	pause := newPause()
	for {
		c := s.backlog.next()
		if c == nil {
			select {
			case <-s.backlog.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if s.retry(ctx, c) {
			pause.Reset()
			continue
		}
		if !sleep(ctx, pause.NextBackOff()) {
			return
		}
	}
}

// retry tries a change once and keeps it if the store failed.
func (s *Service) retry(ctx context.Context, c *change) (ok bool) {
	defer s.backlog.finish()
	err := s.apply(ctx, c)
	switch {
	case err == nil:
		return true
	case errors.Is(err, errSuperseded):
		s.log.Warn("claim change is void", "key", c.key, "err", err)
		return true
	default:
		s.backlog.add(c)
		return resultOf(err) == writeRefused
	}
}
