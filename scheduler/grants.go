package scheduler

import (
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// maxAttempts is the number of grants offered for a reservation before it is
// given up because none was answered.
const maxAttempts = 3

// grant offers the free slots of a pool to the reservations that are next.
func (s *Service) grant(now time.Time, p *pool) {
	for !s.stopped {
		pick, ok := p.Next(now)
		s.refuseWithdrawn(now, p, 0, 0)
		if !ok {
			return
		}
		s.offer(now, p, pick)
	}
}

func (s *Service) offer(now time.Time, p *pool, pick policy.Pick) {
	r := &pick.Reservation
	g := s.gateway(r.Key.Gateway)
	e := &entry{
		key:      r.Key,
		pool:     p.name,
		server:   pick.Server,
		class:    r.Class,
		owner:    r.Owner,
		pick:     pick,
		attempts: g.lost[r.Key] + 1,
		expires:  now.Add(s.cfg.GrantFor + grantMargin),
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
		ValidMs: milliseconds(s.cfg.GrantFor),
	})
}

func (s *Service) onAccept(now time.Time, from string, m *Accept) {
	key := policy.Key{Gateway: from, ID: m.ID}
	e := s.ledger.grants[m.GrantID]
	if e != nil && e.key == key {
		s.metrics.accepted.Inc(1)
		s.ledger.accept(e, now)
		e.confirmed = now
		delete(s.gateway(from).lost, key)
		if p := s.pools[e.pool]; p != nil {
			p.Accepted()
		}
		return
	}
	if s.adopt(now, from, Running{ID: m.ID, GrantID: m.GrantID, Server: m.Server}) {
		s.metrics.lateAccepts.Inc(1)
	}
}

// adopt counts a slot that a gateway uses although the ledger did not know. It
// reports false if the slot is known or its server not owned.
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
		s.unused(now, e)
	}
	e := &entry{key: key, grantID: r.GrantID, pool: p.name, server: r.Server, class: r.Class}
	if c := s.active.Customer(r.Customer); c != nil {
		e.owner = c.Owner
	}
	p.Occupy(e.server, e.owner, e.class)
	s.ledger.accept(e, now)
	return true
}

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
	// The gateway may ask again: it knows of the server what this daemon does
	// not yet know, such as that it is leaving.
	before, _ := s.declined.get(e.key)
	s.declined.add(e.key, append(before, e.server), now)
	s.unused(now, e)
}

// unused returns the slot of a grant whose request runs elsewhere or is gone.
func (s *Service) unused(now time.Time, e *entry) {
	delete(s.gateway(e.key.Gateway).lost, e.key)
	p := s.release(e)
	if p == nil {
		return
	}
	p.Declined(&e.pick.Reservation)
	s.grant(now, p)
}

// release removes an entry and frees its slot. It returns nil if the pool is
// gone.
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
		// The accept was lost or is late.
		e = s.ledger.offered[key]
	}
	if e == nil || e.server != m.Server {
		return
	}
	delete(s.gateway(from).lost, key)
	if p := s.release(e); p != nil {
		p.Observe(now, finished(now, e, m))
		s.grant(now, p)
	}
}

// finished describes the request of a returned slot to the policy.
func finished(now time.Time, e *entry, m *Done) policy.Finished {
	cost := e.pick.Reservation.Cost
	if cost == 0 {
		cost = m.Tokens
	}
	return policy.Finished{
		Server:    m.Server,
		Class:     m.Class,
		Cost:      cost,
		Took:      now.Sub(e.started),
		Allowance: e.pick.Allowance,
		Canceled:  m.Outcome == OutcomeCanceled,
		Observation: policy.Observation{
			FirstToken: time.Duration(m.FirstTokenMs) * time.Millisecond,
			TokenGap:   time.Duration(m.TokenGapUs) * time.Microsecond,
			Failed:     m.Outcome == OutcomeFailed || m.Outcome == OutcomeSilent,
		},
	}
}

// expireGrants takes back grants that were not accepted in time. Their
// reservations wait again, because the grant may have been lost, until their
// gateway is heard from.
func (s *Service) expireGrants(now time.Time) {
	expired := s.ledger.matching(func(e *entry) bool { return !e.accepted && !now.Before(e.expires) })
	for _, e := range expired {
		s.metrics.expired.Inc(1)
		p := s.release(e)
		if p == nil {
			continue
		}
		g := s.gateway(e.key.Gateway)
		s.hold(now, e.key.Gateway, g)
		if e.attempts >= maxAttempts {
			delete(g.lost, e.key)
			p.Declined(&e.pick.Reservation)
			s.refuse(e.key, ReasonNoServer, defaultRetryAfter)
			continue
		}
		g.lost[e.key] = e.attempts
		p.Requeue(e.pick.Reservation)
		s.record(EventRequeued, now, p.name, &e.pick.Reservation, nil)
	}
}

// suspectStragglers counts the overdue requests of each server.
func (s *Service) suspectStragglers(now time.Time) {
	overdue := map[string]int{}
	for _, e := range s.ledger.running {
		p := s.pools[e.pool]
		if p != nil && p.Overdue(now.Sub(e.started), e.pick.Reservation.Cost) {
			overdue[e.server]++
		}
	}
	for _, p := range s.ordered {
		for _, srv := range p.Servers() {
			p.Suspect(now, srv.Name, overdue[srv.Name])
		}
	}
}
