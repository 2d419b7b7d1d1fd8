package scheduler

import (
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// EventKind tells what the scheduler decided.
type EventKind uint8

// Kinds of events.
const (
	EventQueued EventKind = iota + 1
	EventGranted
	EventRefused
	EventEvicted
	EventCanceled
	// EventRequeued means a grant was lost and its reservation waits again.
	EventRequeued
	// EventHeld and EventResumed bound the time in which a gateway that does
	// not answer gets no grants.
	EventHeld
	EventResumed
)

// Event is one decision, for history checks and debugging.
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
	// Server and Allowance are set for grants.
	Server    string
	Allowance bool
	// Reason is set for refusals and evictions.
	Reason InfeasibleReason
	// NewcomerTier is the tier an eviction made room for.
	NewcomerTier int
}

// record reports an event to the observer. The caller holds the lock.
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
