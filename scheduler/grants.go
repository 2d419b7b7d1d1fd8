package scheduler

import (
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// maxGrantAttempts is the number of grants without an Accept or Decline after
// which a reservation is refused.
const maxGrantAttempts = 3

// grantFreeSlots offers the free slots of a pool to the next reservations in the
// policy's order.
func (s *Service) grantFreeSlots(now time.Time, p *pool) {
	for !s.stopped {
		pick, ok := p.Next(now)
		s.refuseWithdrawn(now, p, 0, 0)
		if !ok {
			return
		}
		s.offerSlot(now, p, pick)
	}
}

// offerSlot records a picked slot as granted and sends the grant to its gateway.
func (s *Service) offerSlot(now time.Time, p *pool, pick policy.Pick) {
	r := &pick.Reservation
	g := s.gatewayFor(r.Key.Gateway)
	e := &entry{
		key:      r.Key,
		pool:     p.name,
		server:   pick.Server,
		class:    r.Class,
		owner:    r.Owner,
		pick:     pick,
		attempts: g.unanswered[r.Key] + 1,
		expires:  now.Add(s.cfg.GrantValidity + grantMargin),
		started:  now,
	}
	s.ledger.offer(e)
	s.metrics.granted.Inc(1)
	s.metrics.wait.Update(now.Sub(r.Arrived).Milliseconds())
	if pick.Allowance {
		s.metrics.allowance.Inc(1)
	}
	s.record(EventGranted, now, p.name, r, func(ev *Event) {
		ev.Server = pick.Server
		ev.Allowance = pick.Allowance
	})
	s.traceGrant(now, r, pick.Server)
	s.sendGrant(e)
}

func (s *Service) sendGrant(e *entry) {
	s.send(e.key.Gateway, &Grant{
		ID:      e.key.ID,
		GrantID: e.grantID,
		Server:  e.server,
		ValidMs: milliseconds(s.cfg.GrantValidity),
	})
}

func (s *Service) onAccept(now time.Time, from string, m *Accept) {
	key := policy.Key{Gateway: from, ID: m.ID}
	e := s.ledger.grants[m.GrantID]
	if e != nil && e.key == key {
		s.metrics.accepted.Inc(1)
		s.ledger.accept(e, now)
		e.lastConfirmed = now
		delete(s.gatewayFor(from).unanswered, key)
		if p := s.pools[e.pool]; p != nil {
			p.RecordAccepted()
		}
		return
	}
	if s.adopt(now, from, Running{ID: m.ID, GrantID: m.GrantID, Server: m.Server}) {
		s.metrics.lateAccepts.Inc(1)
	}
}

// adopt records a slot that a gateway uses but the ledger does not list, such as
// one granted by the server's previous owner. It returns false if the request is
// already recorded or has ended, or if this daemon does not own the server.
func (s *Service) adopt(now time.Time, from string, r Running) bool {
	key := policy.Key{Gateway: from, ID: r.ID}
	if s.ledger.running[key] != nil || s.ended.contains(key) {
		return false
	}
	p := s.poolOf(r.Server)
	if p == nil {
		return false
	}
	if p.Cancel(key) {
		s.record(EventCanceled, now, p.name, &policy.Reservation{Key: key}, nil)
	}
	if e := s.ledger.offered[key]; e != nil {
		s.releaseUnused(now, e)
	}
	e := &entry{key: key, grantID: r.GrantID, pool: p.name, server: r.Server, class: r.Class}
	if c := s.active.Customer(r.Customer); c != nil {
		e.owner = c.Owner
	}
	p.Occupy(e.server, e.owner, e.class)
	s.ledger.accept(e, now)
	return true
}

// poolOf returns the pool of an owned server, or nil.
func (s *Service) poolOf(server string) *pool {
	for _, p := range s.ordered {
		if p.Server(server) != nil {
			return p
		}
	}
	return nil
}

func (s *Service) onDecline(now time.Time, from string, m *Decline) {
	e := s.ledger.grants[m.GrantID]
	if e == nil || e.key.Gateway != from {
		return
	}
	s.metrics.declined.Inc(1)
	// The gateway may reserve again. It may know something about the server that
	// this daemon does not know yet, for example that the server is leaving, so
	// the server is not offered to this request again.
	servers, _ := s.declined.get(e.key)
	s.declined.add(e.key, append(servers, e.server), now)
	s.releaseUnused(now, e)
}

// releaseUnused frees the slot of a grant whose request runs elsewhere or has
// ended, or that its gateway declined, and grants the pool's free slots again.
func (s *Service) releaseUnused(now time.Time, e *entry) {
	delete(s.gatewayFor(e.key.Gateway).unanswered, e.key)
	p := s.release(e)
	if p == nil {
		return
	}
	p.RefundGrant(&e.pick.Reservation)
	s.grantFreeSlots(now, p)
}

// release removes an entry from the ledger and frees its slot. It returns the
// entry's pool, or nil if the pool no longer exists.
func (s *Service) release(e *entry) *pool {
	s.ledger.remove(e)
	p := s.pools[e.pool]
	if p != nil {
		p.Release(e.server, e.owner, e.class)
	}
	return p
}

func (s *Service) onDone(now time.Time, from string, m *Done) {
	key := policy.Key{Gateway: from, ID: m.ID}
	s.ended.add(key, struct{}{}, now)
	e := s.ledger.running[key]
	if e == nil {
		// The Accept was lost or has not arrived yet.
		e = s.ledger.offered[key]
	}
	if e == nil || e.server != m.Server {
		return
	}
	delete(s.gatewayFor(from).unanswered, key)
	if p := s.release(e); p != nil {
		p.Observe(now, finishedRequest(now, e, m))
		s.grantFreeSlots(now, p)
	}
}

// finishedRequest converts the report of a released slot for the policy.
func finishedRequest(now time.Time, e *entry, m *Done) policy.FinishedRequest {
	cost := e.pick.Reservation.Cost
	if cost == 0 {
		cost = m.Tokens
	}
	return policy.FinishedRequest{
		Server:    m.Server,
		Class:     m.Class,
		Cost:      cost,
		SlotTime:  now.Sub(e.started),
		Allowance: e.pick.Allowance,
		Canceled:  m.Outcome == OutcomeCanceled,
		Observation: policy.Observation{
			FirstToken: time.Duration(m.FirstTokenMs) * time.Millisecond,
			TokenGap:   time.Duration(m.TokenGapUs) * time.Microsecond,
			Failed:     m.Outcome == OutcomeFailed || m.Outcome == OutcomeNoProgress,
		},
	}
}

// expireGrants withdraws the grants that were not accepted in time. The Grant
// message may have been lost, so their reservations are queued again, but the
// gateway gets no grants until a message arrives from it.
func (s *Service) expireGrants(now time.Time) {
	expired := s.ledger.entriesWhere(func(e *entry) bool { return !e.accepted && !now.Before(e.expires) })
	for _, e := range expired {
		s.metrics.expired.Inc(1)
		p := s.release(e)
		if p == nil {
			continue
		}
		g := s.gatewayFor(e.key.Gateway)
		s.holdGateway(now, e.key.Gateway, g)
		if e.attempts >= maxGrantAttempts {
			delete(g.unanswered, e.key)
			p.RefundGrant(&e.pick.Reservation)
			s.refuse(e.key, ReasonNoServer, defaultRetryAfter)
			continue
		}
		g.unanswered[e.key] = e.attempts
		p.Requeue(e.pick.Reservation)
		s.record(EventRequeued, now, p.name, &e.pick.Reservation, nil)
	}
}

// reportOverdue passes the number of overdue requests of each server to the policy,
// which isolates servers with too many of them.
func (s *Service) reportOverdue(now time.Time) {
	overdue := map[string]int{}
	for _, e := range s.ledger.running {
		p := s.pools[e.pool]
		if p != nil && p.Overdue(now.Sub(e.started), e.pick.Reservation.Cost) {
			overdue[e.server]++
		}
	}
	for _, p := range s.ordered {
		for _, srv := range p.Servers() {
			p.IsolateIfOverdue(now, srv.Name, overdue[srv.Name])
		}
	}
}
