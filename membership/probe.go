package membership

import (
	"time"

	"github.com/jacinththread/jacinththread/peer"
)

const (
	// indirectProbes is the number of daemons asked to probe a daemon that did
	// not acknowledge a direct probe.
	indirectProbes = 3
	// relayTimeoutProbes is how long a relay waits for the ack of its ping, in
	// probe intervals.
	relayTimeoutProbes = 2
)

// probe is a ping whose ack is pending.
type probe struct {
	target   string
	sent     time.Time
	indirect bool
}

// relay is a ping sent on behalf of another daemon.
type relay struct {
	origin string
	seq    uint64
	sent   time.Time
}

// startProbe pings the next daemon of a shuffled round-robin order.
func (s *Service) startProbe() {
	for len(s.probeOrder) > 0 {
		name := s.probeOrder[0]
		s.probeOrder = s.probeOrder[1:]
		if m := s.members[name]; m != nil && m.failure != Dead {
			s.probe(name)
			return
		}
	}
	s.probeOrder = append(s.probeOrder, s.liveNames()...)
	s.rng.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
	if len(s.probeOrder) > 0 {
		name := s.probeOrder[0]
		s.probeOrder = s.probeOrder[1:]
		s.probe(name)
	}
}

// probe pings a daemon unless a probe of it is in flight.
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

// checkProbes sends indirect probes for direct ones that were not acknowledged
// within ProbeTimeout, and suspects daemons from which neither kind of probe got
// an ack within ProbeInterval.
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
			for _, helper := range s.randomPeersExcept(indirectProbes, p.target) {
				s.send(helper, &pingRequest{Seq: seq, Target: p.target, Updates: s.piggyback(helper)})
			}
		}
	}
	for seq, r := range s.relays {
		if now.Sub(r.sent) >= relayTimeoutProbes*s.cfg.ProbeInterval {
			delete(s.relays, seq)
		}
	}
}

// probeFailed marks a daemon as a suspect and notifies it, so that it can refute
// the suspicion.
func (s *Service) probeFailed(name string) {
	s.metrics.probesFailed.Inc(1)
	m := s.members[name]
	if m == nil || m.failure != 0 {
		return
	}
	s.suspect(m)
	s.send(name, &gossip{Updates: updates{Daemons: []record{m.observed()}}})
}

// recordAck notes that a daemon sent an ack. Other messages do not count, because
// their sender may be unable to receive.
func (s *Service) recordAck(from string) {
	if m := s.members[from]; m != nil {
		m.lastAck = s.now()
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
			s.recordAck(p.target)
			delete(s.probes, m.Seq)
		}
		s.recordAck(from)
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

// onLinkDown probes a daemon immediately when a link to it failed.
func (s *Service) onLinkDown(name string) {
	s.update(func() {
		if m := s.members[name]; m != nil && m.failure == 0 {
			s.probe(name)
		}
	})
}
