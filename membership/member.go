package membership

import (
	"math"
	"time"
)

const (
	// suspicionMult is the time from suspicion to death in probe intervals, for
	// up to ten daemons. It grows with the logarithm of their number.
	suspicionMult = 3
	// confirmProbes is the shortest time that a daemon has to refute what
	// others say of its death, in probe intervals.
	confirmProbes = 2
)

// member is what the local daemon knows about another.
type member struct {
	// rec is the daemon's own latest declaration: Alive or Leaving.
	rec    record
	sample sample
	// failed is Suspect or Dead, or zero.
	failed DaemonState
	// since is when failed was set.
	since time.Time
	// deadline is when a suspect is declared dead.
	deadline time.Time
	// heard is when the daemon last answered.
	heard time.Time
}

// state returns the state shown to others.
func (m *member) state() DaemonState {
	if m.failed == Dead || m.rec.State == Leaving {
		return max(m.failed, m.rec.State)
	}
	if m.failed == Suspect {
		return Suspect
	}
	return m.rec.State
}

// observed returns what to tell others about the daemon.
func (m *member) observed() record {
	if m.failed == 0 {
		return m.rec
	}
	return record{Name: m.rec.Name, Incarnation: m.rec.Incarnation, State: m.failed}
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

// suspicionTimeout is the time a suspect has to refute among n daemons.
func suspicionTimeout(n int, probe time.Duration) time.Duration {
	scale := math.Max(1, math.Log10(float64(n)))
	return time.Duration(suspicionMult * scale * float64(probe))
}

// mergeDaemon takes over what a record says beyond what is known.
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
		if m != nil && m.failed == 0 && r.Incarnation == m.rec.Incarnation {
			s.suspect(m)
		}
	case Dead:
		if m != nil && m.failed != Dead && r.Incarnation == m.rec.Incarnation {
			s.mergeDead(m)
		}
	}
}

// mergeDeclared takes over what a daemon declared of itself. A higher
// incarnation replaces everything known, so that a refutation ends a suspicion
// and a replaced host supersedes the old one.
func (s *Service) mergeDeclared(m *member, r record) {
	if r.PeerAddr == "" || m != nil && r.Incarnation <= m.rec.Incarnation {
		return
	}
	if m == nil {
		m = &member{}
		s.members[r.Name] = m
		s.cfg.Log.Info("daemon joined", "daemon", r.Name, "domain", r.Domain)
	} else if m.rec.State != r.State || m.failed == Dead {
		s.cfg.Log.Info("daemon changed", "daemon", r.Name, "from", m.state(), "to", r.State)
	}
	m.rec = r
	m.failed = 0
	s.spreadNow(daemonKey(r.Name))
	s.touchDaemons()
}

// mergeDead treats a reported death as a suspicion until the daemon has had
// the time to refute it, so that a daemon that was cut off does not take
// others down when it returns. A daemon that was leaving is dead at once.
func (s *Service) mergeDead(m *member) {
	confirm := confirmProbes * s.cfg.ProbeInterval
	if m.rec.State == Leaving || m.failed == Suspect && s.now().Sub(m.since) >= confirm {
		s.declareDead(m)
		return
	}
	if m.failed == 0 {
		s.suspect(m)
	}
	if end := s.now().Add(confirm); end.Before(m.deadline) {
		m.deadline = end
	}
}

// mergeSelf refutes what others wrongly say about the local daemon.
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
	s.spreadNow(daemonKey(s.self.Name))
	s.touchDaemons()
}

// supersede stops the local daemon's claim to its name: a newer daemon has
// taken its place.
func (s *Service) supersede(r record) {
	s.cfg.Log.Error("another daemon has taken the local name", "daemon", r.Name, "addr", r.PeerAddr)
	s.superseded = true
	s.self.State = Leaving
	s.touchDaemons()
}

func (s *Service) suspect(m *member) {
	s.metrics.suspicions.Inc(1)
	s.cfg.Log.Warn("daemon is suspected", "daemon", m.rec.Name)
	now := s.now()
	m.failed = Suspect
	m.since = now
	m.deadline = now.Add(suspicionTimeout(s.liveCount(), s.cfg.ProbeInterval))
	s.spread(daemonKey(m.rec.Name))
	s.touchDaemons()
}

func (s *Service) declareDead(m *member) {
	s.metrics.deaths.Inc(1)
	s.cfg.Log.Warn("daemon is dead", "daemon", m.rec.Name)
	m.failed = Dead
	m.since = s.now()
	if m.rec.State == Leaving {
		s.spreadNow(daemonKey(m.rec.Name))
	} else {
		s.spread(daemonKey(m.rec.Name))
	}
	s.touchDaemons()
}

// checkSuspects declares suspects dead whose time is over, unless they
// answered since, and forgets the dead after a while.
func (s *Service) checkSuspects() {
	now := s.now()
	for name, m := range s.members {
		switch {
		case m.failed == Suspect && !now.Before(m.deadline):
			if m.heard.After(m.since) {
				m.failed = 0
				s.touchDaemons()
				continue
			}
			s.declareDead(m)
		case m.failed == Dead && now.Sub(m.since) >= s.cfg.ForgetAfter:
			delete(s.members, name)
			s.touchDaemons()
		}
	}
}

// liveCount returns the number of daemons that are not dead, self included.
func (s *Service) liveCount() int {
	n := 1
	for _, m := range s.members {
		if m.failed != Dead {
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
