// Package logtest collects what programs and services log in tests.
package logtest

import (
	"bytes"
	"sync"
)

// Buffer is a log sink that is safe for concurrent use. Its zero value keeps
// all that is written.
type Buffer struct {
	// Most bounds the bytes that are kept, of which the last are; zero keeps all.
	Most int

	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data.Write(p)
	if extra := b.data.Len() - b.Most; b.Most > 0 && extra > 0 {
		b.data.Next(extra)
	}
	return len(p), nil
}

// String returns what was kept.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}
