// Package reservation implements the gateway side of the scheduling protocol.
// It sends each request to several schedulers, accepts the first slot that one
// of them grants, and releases the slot when the request ends.
package reservation

import (
	"fmt"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/scheduler"
)

// Spec describes a request that needs a slot on a backend server.
type Spec struct {
	Pool     *bundle.Pool
	Class    *bundle.Class
	Customer string
	// Arrived is when the gateway read the caller's request.
	Arrived time.Time
	// Target is the deadline for the first token.
	Target time.Time
	// StartDeadline is when the request is refused if it has no slot by then; the
	// zero time means that it waits without limit.
	StartDeadline time.Time
	// Cost is the estimated size of the request in tokens.
	Cost uint32
	// Prefix is the hash of the prompt's first block; zero means none.
	Prefix uint64
	// ExcludedServers names servers that already failed this request.
	ExcludedServers []string
	// Trace is the W3C traceparent of the request's span; empty if not sampled.
	Trace string
}

// Refusal is the error for a request that got no slot. The request was not
// sent to any backend server.
type Refusal struct {
	Reason scheduler.InfeasibleReason
	// RetryAfter is the delay after which the caller may try again.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no slot was granted: %v, retry after %v", r.Reason, r.RetryAfter)
}

// Report holds the outcome and the measurements of a request that used a slot.
type Report struct {
	Outcome scheduler.Outcome
	// Tokens is the number of tokens of the answer.
	Tokens int
	// FirstToken is the time from dispatch to the first token; zero if there was
	// none.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens.
	TokenGap time.Duration
}

// Slot is the right to run one request on a backend server.
type Slot struct {
	Server membership.Server

	manager *Manager
	key     grantKey
	running scheduler.Running
}

// Done releases the slot and reports the request's outcome to the scheduler.
// It must be called exactly once.
func (s *Slot) Done(r Report) { s.manager.release(s, r) }

// grantKey identifies a grant. Grant IDs are unique only within a scheduler.
type grantKey struct {
	scheduler string
	id        uint64
}
