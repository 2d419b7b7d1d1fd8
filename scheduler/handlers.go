package scheduler

import (
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/peer"
)

// retryAfter is what a gateway is told while no better estimate exists.
const retryAfter = time.Second

// register installs the message handlers.
func (s *Service) register() {
	handle(s, peer.KindReserve, s.onReserve)
	handle(s, peer.KindAccept, s.onAccept)
	handle(s, peer.KindDecline, s.onDecline)
	handle(s, peer.KindCancel, s.onCancel)
	handle(s, peer.KindDone, s.onDone)
	handle(s, peer.KindDeclare, s.onDeclare)
}

// handle registers a typed handler that runs under the lock.
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
		s.locked(func(now time.Time) { f(now, from, typed) })
	})
}

func (s *Service) onReserve(now time.Time, from string, m *Reserve) {
	s.metrics.reserved.Inc(1)
	key := requestKey{gateway: from, id: m.ID}
	if e := s.ledger.offered[key]; e != nil {
		s.sendGrant(e)
		return
	}
	p, class := s.pools[m.Pool], s.class(m.Class)
	if reason := s.check(p, class); reason != 0 {
		s.refuse(from, m.ID, reason)
		return
	}
	p.remove(key)
	if len(p.waiting) >= s.cfg.QueueLimit && !s.evict(p, class.Tier) {
		s.refuse(from, m.ID, ReasonQueueFull)
		return
	}
	p.insert(&reservation{
		key:      key,
		tier:     class.Tier,
		class:    m.Class,
		customer: m.Customer,
		deadline: now.Add(time.Duration(m.DeadlineMs) * time.Millisecond),
		avoid:    m.Avoid,
	})
	s.grant(now, p)
	if s.ledger.offered[key] == nil {
		s.send(from, &Queued{ID: m.ID})
	}
}

func (s *Service) check(p *pool, class *bundle.Class) InfeasibleReason {
	switch {
	case s.stopped:
		return ReasonStopping
	case class == nil || p == nil || len(p.servers) == 0:
		return ReasonNoServer
	}
	return 0
}

// evict withdraws the last reservation if its tier is lower than the given.
func (s *Service) evict(p *pool, tier int) bool {
	last := p.waiting[len(p.waiting)-1]
	if last.tier <= tier {
		return false
	}
	p.remove(last.key)
	s.refuse(last.key.gateway, last.key.id, ReasonEvicted)
	return true
}

func (s *Service) class(name string) *bundle.Class {
	active := s.cfg.Bundles.Current()
	if active == nil {
		return nil
	}
	return active.Class(name)
}

func (s *Service) refuse(gateway string, id uint64, reason InfeasibleReason) {
	s.metrics.refused.Inc(1)
	s.send(gateway, &Infeasible{ID: id, Reason: reason, RetryAfterMs: uint32(retryAfter.Milliseconds())})
}

// grantAll grants the free slots of all pools.
func (s *Service) grantAll(now time.Time) {
	for _, p := range s.pools {
		s.grant(now, p)
	}
}

// grant offers the free slots of a pool to its first reservations.
func (s *Service) grant(now time.Time, p *pool) {
	for !s.stopped {
		r, srv := p.next()
		if r == nil {
			return
		}
		srv.used++
		e := &entry{
			gateway:  r.key.gateway,
			id:       r.key.id,
			pool:     p.name,
			server:   srv.name,
			class:    r.class,
			customer: r.customer,
			expires:  now.Add(s.cfg.GrantFor + grantMargin),
			started:  now,
			waiting:  r,
		}
		s.ledger.offer(e)
		s.metrics.granted.Inc(1)
		s.sendGrant(e)
	}
}

func (s *Service) sendGrant(e *entry) {
	s.send(e.gateway, &Grant{
		ID:      e.id,
		GrantID: e.grantID,
		Server:  e.server,
		ValidMs: uint32(s.cfg.GrantFor.Milliseconds()),
	})
}

func (s *Service) onAccept(_ time.Time, from string, m *Accept) {
	e := s.ledger.grants[m.GrantID]
	if e != nil && e.gateway == from {
		s.metrics.accepted.Inc(1)
		s.ledger.accept(e)
		return
	}
	s.acceptLate(from, m)
}

// acceptLate counts the slot of a grant that was taken back, because the
// gateway runs the request.
func (s *Service) acceptLate(from string, m *Accept) {
	key := runKey{gateway: from, id: m.ID, server: m.Server}
	if s.ledger.running[key] != nil {
		return
	}
	s.metrics.lateAccepts.Inc(1)
	s.adopt(&entry{gateway: from, id: m.ID, grantID: m.GrantID, server: m.Server, started: time.Now()})
}

// adopt records a request in flight that the ledger did not know.
func (s *Service) adopt(e *entry) {
	for _, p := range s.pools {
		srv := p.server(e.server)
		if srv == nil {
			continue
		}
		srv.used++
		e.pool = p.name
		s.ledger.accept(e)
		p.remove(e.requestKey())
		return
	}
}

func (s *Service) onDecline(now time.Time, from string, m *Decline) {
	e := s.ledger.grants[m.GrantID]
	if e == nil || e.gateway != from {
		return
	}
	s.metrics.declined.Inc(1)
	s.free(now, e)
}

func (s *Service) onCancel(now time.Time, from string, m *Cancel) {
	key := requestKey{gateway: from, id: m.ID}
	for _, p := range s.pools {
		p.remove(key)
	}
	if e := s.ledger.offered[key]; e != nil {
		s.free(now, e)
	}
}

func (s *Service) onDone(now time.Time, from string, m *Done) {
	e := s.ledger.running[runKey{gateway: from, id: m.ID, server: m.Server}]
	if e == nil {
		e = s.ledger.grants[m.GrantID]
	}
	if e == nil || e.gateway != from {
		return
	}
	s.free(now, e)
}

func (s *Service) onDeclare(_ time.Time, from string, m *Declare) {
	for _, r := range m.Running {
		key := runKey{gateway: from, id: r.ID, server: r.Server}
		if s.ledger.running[key] != nil {
			continue
		}
		s.adopt(&entry{
			gateway:  from,
			id:       r.ID,
			grantID:  r.GrantID,
			server:   r.Server,
			class:    r.Class,
			customer: r.Customer,
			started:  time.Now(),
		})
	}
}

// free returns a slot and grants it again.
func (s *Service) free(now time.Time, e *entry) {
	s.ledger.remove(e)
	p := s.pools[e.pool]
	if p == nil {
		return
	}
	if srv := p.server(e.server); srv != nil {
		srv.used--
	}
	s.grant(now, p)
}

// tick takes back grants that were not accepted in time. Their reservations
// wait again, because the grant may have been lost.
func (s *Service) tick(now time.Time) {
	for _, e := range s.ledger.grants {
		if now.Before(e.expires) {
			continue
		}
		s.metrics.expired.Inc(1)
		if p := s.pools[e.pool]; p != nil {
			p.insert(e.waiting)
		}
		s.free(now, e)
	}
}

// dropLostGateways frees the slots and reservations of gateways that are gone.
func (s *Service) dropLostGateways() {
	live := map[string]bool{}
	for _, d := range s.cfg.View.Daemons() {
		live[d.Name] = true
	}
	now := time.Now()
	for _, e := range s.ledger.entries() {
		if !live[e.gateway] {
			s.free(now, e)
		}
	}
	for _, p := range s.pools {
		kept := p.waiting[:0]
		for _, r := range p.waiting {
			if live[r.key.gateway] {
				kept = append(kept, r)
			}
		}
		p.waiting = kept
	}
}

func (l *ledger) entries() []*entry {
	var all []*entry
	for _, e := range l.grants {
		all = append(all, e)
	}
	for _, e := range l.running {
		all = append(all, e)
	}
	return all
}

// refuseAll withdraws all reservations because the daemon stops.
func (s *Service) refuseAll(time.Time) {
	s.stopped = true
	for _, p := range s.pools {
		for _, r := range p.waiting {
			s.refuse(r.key.gateway, r.key.id, ReasonStopping)
		}
		p.waiting = nil
	}
}
