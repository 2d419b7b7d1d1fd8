package membership

import (
	"time"

	"github.com/jacinththread/jacinththread/peer"
)

const (
	// indirectProbes is the number of daemons asked to repeat a probe.
	indirectProbes = 3
	// relayTimeout is how long an indirect probe is remembered, in probe
	// intervals.
	relayTimeout = 2
)

// probe is a ping that waits for its ack.
type probe struct {
	target   string
	sent     time.Time
	indirect bool
}

// relay is a ping sent for another daemon.
type relay struct {
	origin string
	seq    uint64
	sent   time.Time
}

// startProbe pings the next daemon in a random order that visits all of them.
func (s *Service) startProbe() {
	for len(s.order) > 0 {
		name := s.order[0]
		s.order = s.order[1:]
		if m := s.members[name]; m != nil && m.failed != Dead {
			s.probe(name)
			return
		}
	}
	s.order = append(s.order, s.liveNames()...)
	s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	if len(s.order) > 0 {
		name := s.order[0]
		s.order = s.order[1:]
		s.probe(name)
	}
}

// probe pings a daemon unless a probe of it is under way.
func (s *Service) probe(name string) {
	for _, p := range s.probes {
		if p.target == name {
			return
		}
	}
	s.metrics.probesSent.Inc(1)
	seq := s.nextSeq()
	s.probes[seq] = &probe{target: name, sent: s.now()}
	s.sendPing(name, seq)
}

func (s *Service) sendPing(name string, seq uint64) {
	s.send(name, &ping{Seq: seq, Self: s.self, Updates: s.piggyback(name)})
}

func (s *Service) nextSeq() uint64 {
	s.seq++
	return s.seq
}

// checkProbes repeats unanswered probes through others and suspects the
// daemons that those did not reach either.
func (s *Service) checkProbes() {
	now := s.now()
	for seq, p := range s.probes {
		age := now.Sub(p.sent)
		if age >= s.cfg.ProbeInterval {
			delete(s.probes, seq)
			s.probeFailed(p.target)
			continue
		}
		if age >= s.cfg.ProbeTimeout && !p.indirect {
			p.indirect = true
			for _, helper := range s.randomPeersBut(indirectProbes, p.target) {
				s.send(helper, &pingRequest{Seq: seq, Target: p.target, Updates: s.piggyback(helper)})
			}
		}
	}
	for seq, r := range s.relays {
		if now.Sub(r.sent) >= relayTimeout*s.cfg.ProbeInterval {
			delete(s.relays, seq)
		}
	}
}

// probeFailed suspects a daemon and tells it so.
func (s *Service) probeFailed(name string) {
	s.metrics.probesFailed.Inc(1)
	m := s.members[name]
	if m == nil || m.failed != 0 {
		return
	}
	s.suspect(m)
	s.send(name, &gossip{Updates: updates{Daemons: []record{m.observed()}}})
}

// heard notes that a daemon answered. Messages that answer nothing do not count:
// their sender may be unable to receive.
func (s *Service) heard(from string) {
	if m := s.members[from]; m != nil {
		m.heard = s.now()
	}
}

func (s *Service) onPing(from string, msg peer.Message) {
	m := msg.(*ping)
	s.update(func() {
		if m.Self.Name == from {
			s.mergeDaemon(m.Self)
		}
		s.mergeUpdates(&m.Updates)
		s.send(from, &ack{Seq: m.Seq, Updates: s.piggyback(from)})
	})
}

func (s *Service) onPingRequest(from string, msg peer.Message) {
	m := msg.(*pingRequest)
	s.update(func() {
		s.mergeUpdates(&m.Updates)
		seq := s.nextSeq()
		s.relays[seq] = relay{origin: from, seq: m.Seq, sent: s.now()}
		s.sendPing(m.Target, seq)
	})
}

func (s *Service) onAck(from string, msg peer.Message) {
	m := msg.(*ack)
	s.update(func() {
		s.mergeUpdates(&m.Updates)
		if p := s.probes[m.Seq]; p != nil {
			s.heard(p.target)
			delete(s.probes, m.Seq)
		}
		s.heard(from)
		if r, ok := s.relays[m.Seq]; ok {
			delete(s.relays, m.Seq)
			s.send(r.origin, &ack{Seq: r.seq, Updates: s.piggyback(r.origin)})
		}
	})
}

func (s *Service) onGossip(from string, msg peer.Message) {
	m := msg.(*gossip)
	s.update(func() {
		s.mergeUpdates(&m.Updates)
	})
}

// onLinkDown probes a daemon out of turn when a link to it failed.
func (s *Service) onLinkDown(name string) {
	s.update(func() {
		if m := s.members[name]; m != nil && m.failed == 0 {
			s.probe(name)
		}
	})
}
