// Package reservation is the gateway's side of the scheduling protocol. It
// places a request with several schedulers, takes the first grant and returns
// the slot when the work is done.
package reservation

import (
	"fmt"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/scheduler"
)

// Spec describes a request that needs a slot.
type Spec struct {
	Pool     *bundle.Pool
	Class    *bundle.Class
	Customer string
	// Arrived is when the caller's request was read.
	Arrived time.Time
	// Target is when the first token is due.
	Target time.Time
	// GiveUp is when the request is refused if it has no slot; zero means
	// never.
	GiveUp time.Time
	// Cost is the estimated work in tokens.
	Cost uint32
	// Prefix is the hash of the prompt's first block; zero means none.
	Prefix uint64
	// Avoid names servers that already failed this request.
	Avoid []string
	// Trace is the W3C traceparent of the request's span; empty if not sampled.
	Trace string
}

// Refusal means that no slot was granted and the request was not run.
type Refusal struct {
	Reason scheduler.InfeasibleReason
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no slot was granted: %v, retry after %v", r.Reason, r.RetryAfter)
}

// Report is what was observed while a slot was used.
type Report struct {
	Outcome scheduler.Outcome
	Tokens  int
	First   time.Duration
	Gap     time.Duration
}

// Slot is the right to run one request on a backend server.
type Slot struct {
	Server membership.Server

	manager *Manager
	key     grantKey
	running scheduler.Running
}

// Done returns the slot. It must be called exactly once.
func (s *Slot) Done(r Report) { s.manager.done(s, r) }

// grantKey identifies a grant: grant ids are unique per scheduler only.
type grantKey struct {
	scheduler string
	id        uint64
}
