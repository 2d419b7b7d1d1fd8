package membership

import (
	"maps"
	"slices"
	"strings"
)

// daemonSnapshot is an immutable view of the daemons that is read without the
// lock.
type daemonSnapshot struct {
	self       Daemon
	daemons    []Daemon
	schedulers []string
	addrs      map[string]string
}

// serverSnapshot is an immutable view of the backend servers that is read
// without the lock.
type serverSnapshot struct {
	byService map[string][]Server
	byName    map[string]Server
}

// publish replaces the snapshots that changed and closes the channel returned by
// Changed. The caller holds the lock.
func (s *Service) publish() {
	if !s.daemonsChanged && !s.serversChanged {
		return
	}
	if s.daemonsChanged {
		s.publishDaemons()
	}
	if s.serversChanged {
		s.publishServers()
	}
	s.daemonsChanged, s.serversChanged = false, false
	close(s.changed)
	s.changed = make(chan struct{})
}

// publishDaemons replaces the snapshot of the daemons.
func (s *Service) publishDaemons() {
	snap := &daemonSnapshot{self: s.selfDaemon(), addrs: make(map[string]string, len(s.members))}
	snap.daemons = append(make([]Daemon, 0, len(s.members)+1), snap.self)
	var failed int64
	for name, m := range s.members {
		snap.addrs[name] = m.rec.PeerAddr
		if m.failure != 0 {
			failed++
		}
		if m.failure != Dead {
			snap.daemons = append(snap.daemons, m.daemon())
		}
	}
	slices.SortFunc(snap.daemons, func(a, b Daemon) int { return strings.Compare(a.Name, b.Name) })
	for _, d := range snap.daemons {
		if d.Region == s.self.Region && (d.State == Alive || d.State == Suspect) {
			snap.schedulers = append(snap.schedulers, d.Name)
		}
	}
	s.samplesChanged = false
	s.metrics.daemonsAlive.Update(int64(len(snap.daemons)))
	s.metrics.daemonsFailed.Update(failed)
	s.daemonSnap.Store(snap)
}

// publishServers replaces the snapshot of the backend servers.
func (s *Service) publishServers() {
	snap := &serverSnapshot{byService: map[string][]Server{}, byName: make(map[string]Server, len(s.servers))}
	var live, leaving int64
	for name, r := range s.servers {
		if r.State == serverGone {
			continue
		}
		srv := Server{
			Name: name, Addr: r.Addr, Service: r.Service, Region: r.Region, Domain: r.Domain,
			Leaving: r.State == serverLeaving,
		}
		if srv.Leaving {
			leaving++
		} else {
			live++
		}
		snap.byName[name] = srv
		snap.byService[r.Service] = append(snap.byService[r.Service], srv)
	}
	for _, list := range snap.byService {
		slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	}
	s.metrics.serversLive.Update(live)
	s.metrics.serversLeaving.Update(leaving)
	s.serverSnap.Store(snap)
}

func (s *Service) selfDaemon() Daemon {
	return Daemon{
		Name: s.self.Name, Incarnation: s.self.Incarnation, State: s.self.State,
		Region: s.self.Region, Domain: s.self.Domain,
		PeerAddr: s.self.PeerAddr, CallerAddr: s.self.CallerAddr,
		BundleVersion: s.bundleVersion.Load(), Load: s.load.Load(),
	}
}

// Self implements View.
func (s *Service) Self() Daemon {
	d := s.daemonSnap.Load().self
	d.BundleVersion, d.Load = s.bundleVersion.Load(), s.load.Load()
	return d
}

// Daemons implements View.
func (s *Service) Daemons() []Daemon { return s.daemonSnap.Load().daemons }

// Schedulers implements View.
func (s *Service) Schedulers() []string { return s.daemonSnap.Load().schedulers }

// Servers implements View.
func (s *Service) Servers(service string) []Server { return s.serverSnap.Load().byService[service] }

// Server implements View.
func (s *Service) Server(name string) (Server, bool) {
	srv, ok := s.serverSnap.Load().byName[name]
	return srv, ok
}

// Changed implements View.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Resolve returns the peer address of a daemon. It prefers the address that the
// daemon declared, then the one of its seed, then the one in the host list.
func (s *Service) Resolve(name string) (string, bool) {
	if addr, ok := s.daemonSnap.Load().addrs[name]; ok {
		return addr, true
	}
	for _, seed := range s.cfg.Seeds {
		if seed.Name == name {
			return seed.Addr, true
		}
	}
	addr, ok := (*s.listedSnap.Load())[name]
	return addr, ok
}

// Listed returns the sorted names of the daemons in the last host list that was
// read. It is empty before the first successful read.
func (s *Service) Listed() []string {
	return slices.Sorted(maps.Keys(*s.listedSnap.Load()))
}
