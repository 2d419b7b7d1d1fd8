package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

const (
	// takeoverTimeout is how long grants of servers that were taken over stay
	// limited if not all daemons have declared their running requests.
	takeoverTimeout = time.Second
	// declareRetryAfter is the time after which a DeclareRequest is sent once more
	// to daemons whose Declare has not arrived.
	declareRetryAfter = 400 * time.Millisecond
	// roundLifetime is how long late Declare messages of a round are accepted.
	// After that they are ignored like those of unknown rounds.
	roundLifetime = 10 * time.Second
	// minAuditInterval is the minimum time between two audits of a gateway.
	minAuditInterval = time.Second
	// confirmInterval is the time after which a slot in use has to be confirmed
	// again.
	confirmInterval = 10 * time.Second
)

// declareRound is a set of DeclareRequests that ask gateways for their running
// requests on the same servers.
type declareRound struct {
	servers []string
	// pending holds the daemons whose Declare has not arrived.
	pending map[string]bool
	sent    time.Time
	// repeated is set once the pending daemons have been asked a second time.
	repeated bool
	// takeover is set while the round limits the grants of its servers.
	takeover bool
}

// takeOver asks all daemons for their running requests on servers that this
// daemon did not own before, and limits the grants of these servers meanwhile.
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
	s.startRound(now, &declareRound{servers: servers, pending: pending, takeover: true})
	for _, p := range s.ordered {
		s.updateRestrictions(p)
	}
}

// recheckAllServers treats all owned servers as taken over, because another
// daemon may have granted their slots while this one was paused.
func (s *Service) recheckAllServers(now time.Time) {
	s.cfg.Log.Warn("daemon was paused, asking gateways for their running requests")
	var servers []string
	for _, p := range s.ordered {
		for _, spec := range p.owned {
			servers = append(servers, spec.Name)
		}
	}
	s.takeOver(now, servers)
}

// startRound assigns a sequence number to a round and sends its requests.
func (s *Service) startRound(now time.Time, r *declareRound) {
	s.lastRoundSeq++
	r.sent = now
	s.rounds[s.lastRoundSeq] = r
	s.sendDeclareRequests(s.lastRoundSeq, r)
}

func (s *Service) sendDeclareRequests(seq uint64, r *declareRound) {
	for _, name := range slices.Sorted(maps.Keys(r.pending)) {
		s.send(name, &DeclareRequest{Seq: seq, Servers: r.servers})
	}
}

// checkRounds repeats DeclareRequests whose Declare has not arrived, ends
// takeovers that have timed out and removes old rounds.
func (s *Service) checkRounds(now time.Time) {
	for seq, r := range s.rounds {
		age := now.Sub(r.sent)
		if !r.repeated && age >= declareRetryAfter {
			r.repeated = true
			s.sendDeclareRequests(seq, r)
		}
		if r.takeover && age >= takeoverTimeout {
			s.endTakeover(r)
		}
		if age >= roundLifetime {
			delete(s.rounds, seq)
		}
	}
}

func (s *Service) endTakeover(r *declareRound) {
	r.takeover = false
	for _, p := range s.ordered {
		s.updateRestrictions(p)
	}
}

// updateRestrictions limits the grants of a pool's servers that are being taken
// over, and lifts the limit from all others.
func (s *Service) updateRestrictions(p *pool) {
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
		s.grantFreeSlots(now, p)
	}
}

// reconcile updates the ledger to the running requests that a gateway declared.
func (s *Service) reconcile(now time.Time, from string, r *declareRound, running []Running) {
	listed := map[policy.Key]bool{}
	for _, run := range running {
		key := policy.Key{Gateway: from, ID: run.ID}
		listed[key] = true
		if s.adopt(now, from, run) {
			s.metrics.adopted.Inc(1)
		} else if e := s.ledger.running[key]; e != nil {
			e.lastConfirmed = now
		}
	}
	// A slot that was accepted before the round started and is not listed has
	// been released, but its Done message was lost.
	released := s.ledger.entriesWhere(func(e *entry) bool {
		return e.accepted && e.key.Gateway == from && !listed[e.key] &&
			e.started.Before(r.sent) && slices.Contains(r.servers, e.server)
	})
	for _, e := range released {
		s.metrics.reclaimed.Inc(1)
		s.release(e)
	}
}

// audit asks gateways for their running requests if they use slots that were
// adopted or not confirmed for confirmInterval, or if messages from them may
// have been lost.
func (s *Service) audit(now time.Time) {
	stale := map[string][]string{}
	for _, e := range s.ledger.running {
		g := s.gateways[e.key.Gateway]
		if g == nil || now.Sub(g.lastAudit) < minAuditInterval {
			continue
		}
		if g.needsAudit || now.Sub(e.lastConfirmed) >= confirmInterval {
			stale[e.key.Gateway] = append(stale[e.key.Gateway], e.server)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(stale)) {
		g := s.gateways[name]
		g.lastAudit = now
		g.needsAudit = false
		servers := stale[name]
		slices.Sort(servers)
		s.startRound(now, &declareRound{servers: slices.Compact(servers), pending: map[string]bool{name: true}})
	}
}
