package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

const (
	// takeoverBound is how long grants stay limited after servers were taken
	// over while daemons have not declared what they run.
	takeoverBound = time.Second
	// askAgainAfter is when a daemon that has not answered is asked once more.
	askAgainAfter = 400 * time.Millisecond
	// roundLifetime is how long a late answer can still be told from a stray.
	roundLifetime = 10 * time.Second
	// auditInterval is the least time between two questions to a gateway.
	auditInterval = time.Second
	// confirmEvery is the age from which a slot in use is confirmed again.
	confirmEvery = 10 * time.Second
)

// round is one question to gateways about what they run on some servers.
type round struct {
	servers []string
	pending map[string]bool
	sent    time.Time
	again   bool
	// takeover is set while the servers' grants are limited by the round.
	takeover bool
}

// takeOver asks all daemons what they run on servers that are new to this one.
func (s *Service) takeOver(now time.Time, servers []string) {
	if len(servers) == 0 {
		return
	}
	s.metrics.takeovers.Inc(1)
	s.cfg.Log.Debug("servers taken over", "count", len(servers))
	pending := map[string]bool{}
	for _, d := range s.cfg.View.Daemons() {
		pending[d.Name] = true
	}
	s.ask(now, &round{servers: servers, pending: pending, takeover: true})
	for _, p := range s.ordered {
		s.restrict(p)
	}
}

// recheckAll treats all servers as taken over, because another daemon may have
// granted their slots while this one was paused.
func (s *Service) recheckAll(now time.Time) {
	s.cfg.Log.Warn("the daemon was paused; asking gateways what they run")
	var servers []string
	for _, p := range s.ordered {
		for _, spec := range p.owned {
			servers = append(servers, spec.Name)
		}
	}
	s.takeOver(now, servers)
}

func (s *Service) ask(now time.Time, r *round) {
	s.lastSeq++
	r.sent = now
	s.rounds[s.lastSeq] = r
	s.askPending(s.lastSeq, r)
}

func (s *Service) askPending(seq uint64, r *round) {
	for _, name := range slices.Sorted(maps.Keys(r.pending)) {
		s.send(name, &DeclareRequest{Seq: seq, Servers: r.servers})
	}
}

// checkRounds repeats questions and lifts limits whose bound has passed.
func (s *Service) checkRounds(now time.Time) {
	for seq, r := range s.rounds {
		age := now.Sub(r.sent)
		if !r.again && age >= askAgainAfter {
			r.again = true
			s.askPending(seq, r)
		}
		if r.takeover && age >= takeoverBound {
			s.endTakeover(r)
		}
		if age >= roundLifetime {
			delete(s.rounds, seq)
		}
	}
}

func (s *Service) endTakeover(r *round) {
	r.takeover = false
	for _, p := range s.ordered {
		s.restrict(p)
	}
}

// restrict limits the grants of the servers that are being taken over.
func (s *Service) restrict(p *pool) {
	limited := map[string]bool{}
	for _, r := range s.rounds {
		for _, name := range r.servers {
			limited[name] = limited[name] || r.takeover
		}
	}
	for i := range p.owned {
		p.owned[i].Restricted = limited[p.owned[i].Name]
	}
	p.SetServers(p.owned)
}

func (s *Service) onDeclare(now time.Time, from string, m *Declare) {
	r := s.rounds[m.Seq]
	if r == nil || !r.pending[from] {
		return
	}
	delete(r.pending, from)
	s.reconcile(now, from, r, m.Running)
	if r.takeover && len(r.pending) == 0 {
		s.endTakeover(r)
	}
	for _, p := range s.ordered {
		s.grant(now, p)
	}
}

// reconcile brings the ledger in line with what a gateway declared.
func (s *Service) reconcile(now time.Time, from string, r *round, running []Running) {
	listed := map[policy.Key]bool{}
	for _, run := range running {
		key := policy.Key{Gateway: from, ID: run.ID}
		listed[key] = true
		if s.adopt(now, from, run) {
			s.metrics.adopted.Inc(1)
		} else if e := s.ledger.running[key]; e != nil {
			e.confirmed = now
		}
	}
	// A slot that the gateway accepted before the question and does not list
	// was returned by a message that was lost.
	unused := s.ledger.matching(func(e *entry) bool {
		return e.accepted && e.key.Gateway == from && !listed[e.key] &&
			e.started.Before(r.sent) && slices.Contains(r.servers, e.server)
	})
	for _, e := range unused {
		s.metrics.reclaimed.Inc(1)
		s.release(e)
	}
}

// audit asks gateways about slots that were not confirmed for a while, that
// were adopted, or whose messages may have been lost.
func (s *Service) audit(now time.Time) {
	stale := map[string][]string{}
	for _, e := range s.ledger.running {
		g := s.gateways[e.key.Gateway]
		if g == nil || now.Sub(g.audited) < auditInterval {
			continue
		}
		if g.suspect || now.Sub(e.confirmed) >= confirmEvery {
			stale[e.key.Gateway] = append(stale[e.key.Gateway], e.server)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(stale)) {
		g := s.gateways[name]
		g.audited = now
		g.suspect = false
		servers := stale[name]
		slices.Sort(servers)
		s.ask(now, &round{servers: slices.Compact(servers), pending: map[string]bool{name: true}})
	}
}
