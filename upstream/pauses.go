package upstream

import (
	"fmt"
	"io"
	"time"
)

// maxReadPause is the longest time between two reads of a body that ends with its connection. Servers that live on cut off
// responses that stay unread for some seconds, and nobody tells a lost path from a silent server.
const maxReadPause = 2 * time.Second

var errReadPause = fmt.Errorf("server may have cut off the response, of which nothing was read for over %v: %w", maxReadPause, io.ErrUnexpectedEOF)

// readPauses records how long a body was not read, because nothing arrived or the reader was busy. The time until
// its first byte doesn't count.
type readPauses struct {
	longest time.Duration
	began   bool
	last    time.Time
}

// recordRead records that a read has returned n bytes at a time.
func (r *readPauses) recordRead(n int, now time.Time) {
	if r.began {
		r.longest = max(r.longest, now.Sub(r.last))
	}
	r.began = r.began || n > 0
	r.last = now
}
