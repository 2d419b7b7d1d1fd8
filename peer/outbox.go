package peer

import "sync"

// maxSpareBytes bounds the buffer that an outbox keeps between bursts.
const maxSpareBytes = 4 << 10

// outbox holds encoded frames until a writer takes all of them at once.
type outbox struct {
	// ready has a value while frames wait.
	ready chan struct{}
	limit int

	mu     sync.Mutex
	buf    []byte
	frames int
	closed bool
}

func newOutbox(limit int) *outbox {
	return &outbox{ready: make(chan struct{}, 1), limit: limit}
}

// add appends a frame. It returns ErrQueueFull beyond the limit and ErrClosed
// after close.
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

// take returns the waiting frames and their number. The spare buffer takes
// the frames to come.
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

// closeIfEmpty closes the outbox unless frames wait, and reports whether it
// is closed.
func (o *outbox) closeIfEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.buf) == 0 {
		o.closed = true
	}
	return o.closed
}
