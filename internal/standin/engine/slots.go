package engine

import (
	"container/heap"
	"context"
	"sync"
)

// prioritySlots is a counting semaphore. Waiters acquire a slot in order of
// priority, lowest number first, then in order of arrival.
type prioritySlots struct {
	mu      sync.Mutex
	free    int
	running int
	seq     uint64
	waiting waiters
}

type waiter struct {
	priority int
	seq      uint64
	ready    chan struct{}
	index    int
}

func newPrioritySlots(n int) *prioritySlots { return &prioritySlots{free: n} }

// acquire waits until a slot is free or ctx is done.
func (s *prioritySlots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return nil
	}
	s.seq++
	w := &waiter{priority: priority, seq: s.seq, ready: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// abandon removes a waiter whose context is done. If the waiter was given a slot
// at the same time, the slot is released.
func (s *prioritySlots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.waiting, w.index)
		return
	}
	s.releaseLocked()
}

func (s *prioritySlots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *prioritySlots) releaseLocked() {
	if s.waiting.Len() > 0 {
		close(heap.Pop(&s.waiting).(*waiter).ready)
		return
	}
	s.running--
	s.free++
}

func (s *prioritySlots) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.waiting.Len()
}

// waiters implements heap.Interface.
type waiters []*waiter

func (h waiters) Len() int { return len(h) }

func (h waiters) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}

func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
