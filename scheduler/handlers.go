package scheduler

import (
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/policy"
)

// defaultRetryAfter is the retry delay for refusals without a policy estimate.
const defaultRetryAfter = time.Second

// registerHandlers registers the message handlers on the bus.
func (s *Service) registerHandlers() {
	handle(s, peer.KindReserve, s.onReserve)
	handle(s, peer.KindAccept, s.onAccept)
	handle(s, peer.KindDecline, s.onDecline)
	handle(s, peer.KindCancel, s.onCancel)
	handle(s, peer.KindDone, s.onDone)
	handle(s, peer.KindDeclare, s.onDeclare)
	s.cfg.Bus.OnLinkDown(func(name string) {
		s.withLock(func(now time.Time) { s.onLinkDown(now, name) })
	})
}

// handle registers a handler for one message type. The handler runs under s.mu,
// after grants to the sender have been resumed.
func handle[T any, P interface {
	*T
	peer.Message
}](s *Service, kind peer.Kind, f func(now time.Time, from string, m P)) {
	factory := func() peer.Message { return P(new(T)) }
	s.cfg.Bus.Handle(kind, factory, func(from string, m peer.Message) {
		typed, ok := m.(P)
		if !ok {
			return
		}
		s.withLock(func(now time.Time) {
			s.resumeGateway(now, from)
			f(now, from, typed)
		})
	})
}

func (s *Service) onReserve(now time.Time, from string, m *Reserve) {
	s.metrics.reserved.Inc(1)
	key := policy.Key{Gateway: from, ID: m.ID}
	if e := s.ledger.offered[key]; e != nil {
		s.sendGrant(e)
		return
	}
	if s.ledger.running[key] != nil || s.ended.contains(key) {
		// A late duplicate: a request uses at most one slot and ends once.
		return
	}
	p := s.pools[m.Pool]
	if s.stopped || p == nil {
		s.refuse(key, s.unavailableReason(), defaultRetryAfter)
		return
	}
	r := s.newReservation(now, key, m)
	verdict := p.Reserve(now, r)
	s.refuseWithdrawn(now, p, 0, r.Tier)
	if verdict.Refusal != policy.NotRefused {
		reason := infeasibleReason(verdict.Refusal)
		s.record(EventRefused, now, p.name, &r, func(e *Event) { e.Reason = reason })
		s.refuse(key, reason, verdict.RetryAfter)
		return
	}
	s.record(EventQueued, now, p.name, &r, nil)
	s.grantFreeSlots(now, p)
	if p.Queue().Contains(key) {
		s.send(from, &Queued{ID: m.ID, WaitMs: milliseconds(verdict.Wait)})
	}
}

// unavailableReason is the reason for refusing a reservation that no pool can
// take.
func (s *Service) unavailableReason() InfeasibleReason {
	if s.stopped {
		return ReasonStopping
	}
	return ReasonNoServer
}

// newReservation converts a Reserve message for the policy. Its relative times
// become absolute, and the servers that the gateway declined are avoided.
func (s *Service) newReservation(now time.Time, key policy.Key, m *Reserve) policy.Reservation {
	r := policy.Reservation{
		Key:      key,
		Class:    m.Class,
		Customer: m.Customer,
		Deadline: now.Add(time.Duration(m.DeadlineMs) * time.Millisecond),
		Arrived:  now.Add(-time.Duration(m.WaitedMs) * time.Millisecond),
		Cost:     m.Cost,
		Prefix:   m.Prefix,
		Queued:   now,
		Trace:    m.Trace,
		Avoid:    m.Avoid,
	}
	if declined, ok := s.declined.get(key); ok {
		r.Avoid = append(slices.Clone(r.Avoid), declined...)
	}
	if c := s.active.Class(m.Class); c != nil {
		r.Tier = classSpec(*c).Tier
	}
	if c := s.active.Customer(m.Customer); c != nil {
		r.Owner = c.Owner
		r.Weight = c.Weight
	}
	return r
}

func (s *Service) onCancel(now time.Time, from string, m *Cancel) {
	key := policy.Key{Gateway: from, ID: m.ID}
	s.ended.add(key, struct{}{}, now)
	for _, p := range s.ordered {
		if p.Cancel(key) {
			s.record(EventCanceled, now, p.name, &policy.Reservation{Key: key}, nil)
		}
	}
	if e := s.ledger.offered[key]; e != nil {
		s.releaseUnused(now, e)
	}
}

// refuse sends a refusal of a reservation to its gateway.
func (s *Service) refuse(key policy.Key, reason InfeasibleReason, retryAfter time.Duration) {
	s.metrics.refused.Inc(1)
	s.send(key.Gateway, &Infeasible{ID: key.ID, Reason: reason, RetryAfterMs: milliseconds(retryAfter)})
}

// refuseWithdrawn refuses the reservations that the policy has withdrawn. The
// override, if not zero, replaces the policy's reasons. The newcomer tier is that
// of the reservation that evictions made room for.
func (s *Service) refuseWithdrawn(now time.Time, p *pool, override InfeasibleReason, newcomerTier int) {
	for _, w := range p.TakeWithdrawn() {
		reason := override
		if reason == 0 {
			reason = infeasibleReason(w.Refusal)
		}
		kind := EventRefused
		if w.Refusal == policy.RefusedEvicted {
			kind = EventEvicted
			s.metrics.evicted.Inc(1)
		}
		s.record(kind, now, p.name, &w.Reservation, func(e *Event) {
			e.Reason = reason
			e.NewcomerTier = newcomerTier
		})
		s.refuse(w.Reservation.Key, reason, w.RetryAfter)
	}
}

func infeasibleReason(r policy.Refusal) InfeasibleReason {
	switch r {
	case policy.RefusedDeadline:
		return ReasonDeadline
	case policy.RefusedFull:
		return ReasonQueueFull
	case policy.RefusedEvicted:
		return ReasonEvicted
	}
	return ReasonNoServer
}

// milliseconds converts a duration for a message; negative ones become zero.
func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }
