package scheduler

import (
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// EventKind is the kind of a scheduling decision.
type EventKind uint8

// Kinds of events.
const (
	EventQueued EventKind = iota + 1
	EventGranted
	EventRefused
	EventEvicted
	EventCanceled
	// EventRequeued means that a grant was not accepted in time and its
	// reservation is queued again.
	EventRequeued
	// EventGatewayHeld and EventGatewayResumed mark the start and the end of a
	// period in which a gateway gets no grants because one expired without an
	// Accept or Decline.
	EventGatewayHeld
	EventGatewayResumed
)

// Event describes one scheduling decision, for checks of recorded histories and
// for debugging.
type Event struct {
	Kind      EventKind
	At        time.Time
	Scheduler string
	Pool      string
	Gateway   string
	ID        uint64
	Tier      int
	Class     string
	Customer  string
	Avoid     []string
	// Server and Allowance are set for grants. Allowance marks a grant out of tier
	// order that prevents starvation.
	Server    string
	Allowance bool
	// Reason is set for refusals and evictions.
	Reason InfeasibleReason
	// NewcomerTier is the tier of the reservation that an eviction made room for.
	NewcomerTier int
}

// record reports an event to the observer, if one is set. The change function,
// if not nil, sets further fields of the event. The caller holds s.mu.
func (s *Service) record(kind EventKind, now time.Time, pool string, r *policy.Reservation, change func(*Event)) {
	if s.cfg.Observe == nil {
		return
	}
	e := Event{
		Kind:      kind,
		At:        now,
		Scheduler: s.cfg.Bus.Self(),
		Pool:      pool,
		Gateway:   r.Key.Gateway,
		ID:        r.Key.ID,
		Tier:      r.Tier,
		Class:     r.Class,
		Customer:  r.Customer,
		Avoid:     r.Avoid,
	}
	if change != nil {
		change(&e)
	}
	s.cfg.Observe(e)
}
