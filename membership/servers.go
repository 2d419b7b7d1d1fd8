package membership

import (
	"time"

	"github.com/jacinththread/jacinththread/store"
)

// leavingHold is how long a server stays leaving or gone although the host list,
// which may be stale, shows it as live at the same address.
const leavingHold = 30 * time.Second

// mergeServer applies a received record of a backend server if it is newer than
// the local one.
func (s *Service) mergeServer(r serverRecord) {
	old, known := s.servers[r.Name]
	if known && r.Version <= old.Version {
		return
	}
	if known && sameServer(*old, r) {
		old.Version = r.Version
		return
	}
	if !known && r.State == serverGone {
		return
	}
	s.putServer(r)
}

// putServer stores a changed record and queues it as an urgent update.
func (s *Service) putServer(r serverRecord) {
	s.servers[r.Name] = &r
	s.serversChanged = true
	s.queueUrgent(serverKey(r.Name))
}

// nextVersion returns a version that is higher than the old one.
func (s *Service) nextVersion(old uint64) uint64 {
	return max(old+1, uint64(s.now().UnixMilli()))
}

// ReportLeaving implements View.
func (s *Service) ReportLeaving(server string) {
	s.update(func() {
		r, ok := s.servers[server]
		if !ok || r.State != serverLive {
			return
		}
		s.cfg.Log.Info("backend server announced that it is leaving", "server", server)
		next := *r
		next.State = serverLeaving
		next.Version = s.nextVersion(r.Version)
		s.putServer(next)
	})
}

// mergeHosts applies a host list that was just read. Servers that it does not
// contain are marked as gone.
func (s *Service) mergeHosts(hosts []store.Host) {
	listed := make(map[string]bool, len(hosts))
	daemons := make(map[string]string)
	for _, h := range hosts {
		if h.Service == s.cfg.DaemonService {
			daemons[h.Name] = h.Addr
			continue
		}
		listed[h.Name] = true
		s.mergeHost(h)
	}
	s.listedDaemons = daemons
	s.listedSnap.Store(&daemons)
	for name, r := range s.servers {
		if !listed[name] && r.State != serverGone {
			gone := *r
			gone.State = serverGone
			gone.Version = s.nextVersion(r.Version)
			s.putServer(gone)
			s.cfg.Log.Info("backend server is no longer in the host list", "server", name)
		}
	}
}

// mergeHost applies the host list entry of one backend server.
func (s *Service) mergeHost(h store.Host) {
	r := serverRecord{
		Name: h.Name, Addr: h.Addr, Service: h.Service, Region: h.Region, Domain: h.Domain, State: serverLive,
	}
	if h.State == store.HostLeaving {
		r.State = serverLeaving
	}
	old, known := s.servers[h.Name]
	if known && (sameServer(*old, r) || s.listedStateIsStale(old, &r)) {
		return
	}
	if known {
		r.Version = old.Version
	}
	r.Version = s.nextVersion(r.Version)
	s.cfg.Log.Info("backend server changed", "server", r.Name, "addr", r.Addr, "leaving", r.State == serverLeaving)
	s.putServer(r)
}

// listedStateIsStale reports whether the known state overrides the listed one:
// the server was marked as leaving or gone less than leavingHold ago and its
// address has not changed.
func (s *Service) listedStateIsStale(old, listed *serverRecord) bool {
	if old.State <= listed.State || old.Addr != listed.Addr {
		return false
	}
	return s.now().Sub(time.UnixMilli(int64(old.Version))) < leavingHold
}

// forgetServers removes servers that have been gone for ForgetAfter.
func (s *Service) forgetServers() {
	for name, r := range s.servers {
		if r.State == serverGone && s.now().Sub(time.UnixMilli(int64(r.Version))) >= s.cfg.ForgetAfter {
			delete(s.servers, name)
		}
	}
}
