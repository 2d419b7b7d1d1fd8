package peer

import "sync"

// maxSpareBytes is the capacity above which a buffer isn't kept after a burst.
const maxSpareBytes = 4 << 10

// outbox is a bounded queue of encoded frames. Its writer takes all queued
// frames at once.
type outbox struct {
	// ready receives a value when a frame is added.
	ready chan struct{}
	// limit bounds the queued frames, in bytes.
	limit int

	mu     sync.Mutex
	buf    []byte
	frames int
	closed bool
}

func newOutbox(limit int) *outbox {
	return &outbox{ready: make(chan struct{}, 1), limit: limit}
}

// add appends a frame. It returns ErrQueueFull if the limit would be exceeded
// and ErrClosed if the outbox is closed.
func (o *outbox) add(frame []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return ErrClosed
	}
	if len(o.buf)+len(frame) > o.limit {
		return ErrQueueFull
	}
	o.buf = append(o.buf, frame...)
	o.frames++
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return nil
}

// take removes and returns the queued frames and their number. The spare buffer
// is reused for the frames that are added next.
func (o *outbox) take(spare []byte) ([]byte, int) {
	if cap(spare) > maxSpareBytes {
		spare = nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	buf, frames := o.buf, o.frames
	o.buf, o.frames = spare[:0], 0
	return buf, frames
}

// closeIfEmpty closes the outbox unless frames are queued, and reports whether
// it is closed.
func (o *outbox) closeIfEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.buf) == 0 {
		o.closed = true
	}
	return o.closed
}
