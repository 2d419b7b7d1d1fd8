package membership

import (
	"math"
	"time"
)

const (
	// suspicionMult is the suspicion timeout in probe intervals for up to ten
	// daemons. With more, it is multiplied by the base-10 logarithm of their
	// number.
	suspicionMult = 3
	// minRefuteProbes is the minimum time, in probe intervals, that a daemon
	// has to refute a death reported by others.
	minRefuteProbes = 2
)

// member is the local daemon's state for another daemon.
type member struct {
	// rec is the latest record that the daemon declared about itself: Alive or
	// Leaving.
	rec    record
	sample sample
	// failure is Suspect or Dead if the failure detector marked the daemon, and
	// zero otherwise.
	failure DaemonState
	// failureSince is when failure was set.
	failureSince time.Time
	// deadline is when a suspect is declared dead unless it has acknowledged a
	// probe since the suspicion began.
	deadline time.Time
	// lastAck is when the daemon last acknowledged a probe or relayed an ack.
	lastAck time.Time
}

// state combines the declared state with the detected failure.
func (m *member) state() DaemonState {
	if m.failure == Dead || m.rec.State == Leaving {
		return max(m.failure, m.rec.State)
	}
	if m.failure == Suspect {
		return Suspect
	}
	return m.rec.State
}

// observed returns the record to send to other daemons: the detected failure if
// there is one, otherwise the daemon's own declaration.
func (m *member) observed() record {
	if m.failure == 0 {
		return m.rec
	}
	return record{Name: m.rec.Name, Incarnation: m.rec.Incarnation, State: m.failure}
}

func (m *member) daemon() Daemon {
	return Daemon{
		Name:          m.rec.Name,
		Incarnation:   m.rec.Incarnation,
		State:         m.state(),
		Region:        m.rec.Region,
		Domain:        m.rec.Domain,
		PeerAddr:      m.rec.PeerAddr,
		CallerAddr:    m.rec.CallerAddr,
		BundleVersion: m.sample.BundleVersion,
		Load:          m.sample.Load,
	}
}

// suspicionTimeout returns how long a suspect in a group of n daemons has to
// refute the suspicion.
func suspicionTimeout(n int, probe time.Duration) time.Duration {
	scale := math.Max(1, math.Log10(float64(n)))
	return time.Duration(suspicionMult * scale * float64(probe))
}

// mergeDaemon applies a received record if it is newer than the local state.
func (s *Service) mergeDaemon(r record) {
	if r.Name == s.self.Name {
		s.mergeSelf(r)
		return
	}
	m := s.members[r.Name]
	switch r.State {
	case Alive, Leaving:
		s.mergeDeclared(m, r)
	case Suspect:
		if m != nil && m.failure == 0 && r.Incarnation == m.rec.Incarnation {
			s.suspect(m)
		}
	case Dead:
		if m != nil && m.failure != Dead && r.Incarnation == m.rec.Incarnation {
			s.mergeDead(m)
		}
	}
}

// mergeDeclared applies a record that a daemon declared about itself. A higher
// incarnation overrides the whole local state, so a refutation ends a suspicion
// and a replacement host supersedes the old one.
func (s *Service) mergeDeclared(m *member, r record) {
	if r.PeerAddr == "" || m != nil && r.Incarnation <= m.rec.Incarnation {
		return
	}
	if m == nil {
		m = &member{}
		s.members[r.Name] = m
		s.cfg.Log.Info("daemon joined", "daemon", r.Name, "domain", r.Domain)
	} else if m.rec.State != r.State || m.failure == Dead {
		s.cfg.Log.Info("daemon changed", "daemon", r.Name, "from", m.state(), "to", r.State)
	}
	m.rec = r
	m.failure = 0
	s.queueUrgent(daemonKey(r.Name))
	s.markDaemonsChanged()
}

// mergeDead treats a reported death as a suspicion until the daemon has had
// time to refute it. Otherwise a daemon that returns from a network partition,
// during which it declared the others dead, would remove them everywhere. A
// leaving daemon is declared dead without delay.
func (s *Service) mergeDead(m *member) {
	confirm := minRefuteProbes * s.cfg.ProbeInterval
	if m.rec.State == Leaving || m.failure == Suspect && s.now().Sub(m.failureSince) >= confirm {
		s.declareDead(m)
		return
	}
	if m.failure == 0 {
		s.suspect(m)
	}
	if end := s.now().Add(confirm); end.Before(m.deadline) {
		m.deadline = end
	}
}

// mergeSelf refutes a false suspicion or death of the local daemon by declaring
// a higher incarnation. A record with another peer address comes from a newer
// daemon of the same name, which supersedes the local one.
func (s *Service) mergeSelf(r record) {
	if r.Incarnation < s.self.Incarnation || s.superseded {
		return
	}
	if r.Incarnation == s.self.Incarnation && r.State != Suspect && r.State != Dead {
		return
	}
	if r.PeerAddr != "" && r.PeerAddr != s.self.PeerAddr {
		s.supersede(r)
		return
	}
	s.metrics.refutations.Inc(1)
	s.self.Incarnation = r.Incarnation + 1
	s.queueUrgent(daemonKey(s.self.Name))
	s.markDaemonsChanged()
}

// supersede marks the local daemon as replaced by a newer daemon of the same
// name. It stops refuting records under that name.
func (s *Service) supersede(r record) {
	s.cfg.Log.Error("local daemon was superseded by a newer daemon of the same name", "daemon", r.Name, "addr", r.PeerAddr)
	s.superseded = true
	s.self.State = Leaving
	s.markDaemonsChanged()
}

func (s *Service) suspect(m *member) {
	s.metrics.suspicions.Inc(1)
	s.cfg.Log.Warn("daemon suspected of failure", "daemon", m.rec.Name)
	now := s.now()
	m.failure = Suspect
	m.failureSince = now
	m.deadline = now.Add(suspicionTimeout(s.liveCount(), s.cfg.ProbeInterval))
	s.queueUpdate(daemonKey(m.rec.Name))
	s.markDaemonsChanged()
}

func (s *Service) declareDead(m *member) {
	s.metrics.deaths.Inc(1)
	s.cfg.Log.Warn("daemon is dead", "daemon", m.rec.Name)
	m.failure = Dead
	m.failureSince = s.now()
	if m.rec.State == Leaving {
		s.queueUrgent(daemonKey(m.rec.Name))
	} else {
		s.queueUpdate(daemonKey(m.rec.Name))
	}
	s.markDaemonsChanged()
}

// checkSuspects declares suspects dead at their deadline, unless they
// acknowledged a probe in the meantime, and removes daemons that have been dead
// for ForgetAfter.
func (s *Service) checkSuspects() {
	now := s.now()
	for name, m := range s.members {
		switch {
		case m.failure == Suspect && !now.Before(m.deadline):
			if m.lastAck.After(m.failureSince) {
				m.failure = 0
				s.markDaemonsChanged()
				continue
			}
			s.declareDead(m)
		case m.failure == Dead && now.Sub(m.failureSince) >= s.cfg.ForgetAfter:
			delete(s.members, name)
			s.markDaemonsChanged()
		}
	}
}

// liveCount returns the number of daemons that are not dead, self included.
func (s *Service) liveCount() int {
	n := 1
	for _, m := range s.members {
		if m.failure != Dead {
			n++
		}
	}
	return n
}

func (s *Service) mergeSample(p sample) {
	m := s.members[p.Name]
	if m == nil || p.Seq <= m.sample.Seq {
		return
	}
	if p.Load != m.sample.Load || p.BundleVersion != m.sample.BundleVersion {
		s.samplesChanged = true
	}
	m.sample = p
}
