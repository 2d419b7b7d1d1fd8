// Package logtest captures the log output of programs and services under test.
package logtest

import (
	"bytes"
	"sync"
)

// Buffer is an in-memory log sink, safe for concurrent use. The zero value has
// no size limit.
type Buffer struct {
	// MaxBytes limits the size of the buffer: older bytes are dropped first. Zero
	// means no limit.
	MaxBytes int

	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data.Write(p)
	if extra := b.data.Len() - b.MaxBytes; b.MaxBytes > 0 && extra > 0 {
		b.data.Next(extra)
	}
	return len(p), nil
}

// String returns the buffered output.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}
