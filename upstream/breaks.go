package upstream

import (
	"errors"
	"io"
	"net"
	"time"
)

var errReferenceBroken = errors.New("another connection to the server ended at about the same time")

// dropBroken is like drop for a connection of which an end or a reset was read. The caller must hold r.mu.
func (r *reference) dropBroken(wasReset bool) {
	now := time.Now()
	if now.Sub(r.conn.openedAt) < failedPause { // The server has too many connections.
		r.failedAt = now
	}
	refused := wasReset && !r.answered && now.Sub(r.conn.openedAt) < refusedTime
	if !refused && !r.reachedIdleTimeout(now) {
		r.brokeAfter, r.brokeAt, r.idleBroke = r.healthyAt, now, now.Sub(r.activeAt)
	}
	r.drop()
}

// reachedIdleTimeout reports whether the connection was idle for as long as the server is known to allow. The caller must
// hold r.mu.
func (r *reference) reachedIdleTimeout(now time.Time) bool {
	idle := now.Sub(r.activeAt) + 2*watchInterval
	stated := r.conn.serverIdleTimeout
	return stated > 0 && idle >= stated || r.idleLimit > 0 && idle >= r.idleLimit
}

// learnIdleLimit records the idle time after which a connection broke while a response went on. The caller must hold r.mu.
func (r *reference) learnIdleLimit() {
	if r.idleBroke >= time.Second && time.Since(r.brokeAt) > breakInterval {
		r.idleLimit, r.idleBroke = r.idleBroke, 0
	}
}

// brokeWith reports whether a reference connection broke at about the time at which a response ended. Both may have ended with
// the process or with the path.
func (r *reference) brokeWith(resp *Response, ended time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	near := r.brokeAt.After(ended.Add(-breakInterval)) && r.brokeAfter.Before(ended.Add(breakInterval))
	return near && r.brokeAt.After(resp.conn.sentAt)
}

// isBreak reports whether an error means that the other end or the path has ended a connection.
func isBreak(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return true
	}
	var netErr *net.OpError
	return errors.As(err, &netErr) && !netErr.Timeout() && !errors.Is(err, net.ErrClosed)
}
