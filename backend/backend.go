// Package backend keeps the catalog of backend servers that may receive
// requests.
package backend

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jacinththread/jacinththread/store"
)

// expiryGrace is how long after an outage of the store a server whose record has
// expired still counts as live. Records expire while the store is unavailable, and
// live servers write them again within about two seconds.
const expiryGrace = 2 * time.Second

// restoredGrace is how long a store that came back from an older copy may have records of servers
// that are gone: longer than their leases.
const restoredGrace = 6 * time.Second

// Freshness tells how current the known records are.
type Freshness struct {
	// AsOf is the time as of which the records are known.
	AsOf time.Time
	// OutageEnd is when the last outage of the store ended.
	OutageEnd time.Time
}

// mayLackLive reports whether the records of live servers may still be missing after
// an outage.
func (f Freshness) mayLackLive() bool { return f.AsOf.Before(f.OutageEnd.Add(expiryGrace)) }

// mayHaveGone reports whether there may still be records of servers that are gone, if the store came back from an
// older copy.
func (f Freshness) mayHaveGone() bool { return f.AsOf.Before(f.OutageEnd.Add(restoredGrace)) }

// Server is a backend server as described by its record in the store. It is
// immutable.
type Server struct {
	// ID is unique among running servers.
	ID      string
	Service string
	// Version is the version of the server's software, or empty if it isn't known.
	Version string
	// Addr is the IP address and port.
	Addr   string
	Domain string
	// Slots is the number of requests that the server runs at the same time; zero if it isn't known.
	Slots int
	// Draining servers receive no new requests.
	Draining bool
	// Reclaimable servers cost less and may be taken away at any time. Reclaimed is set once one is.
	Reclaimable, Reclaimed bool
	// ColdUntil is when the server has warmed up and reaches full speed.
	ColdUntil time.Time
	// Started is the start time in Unix milliseconds by the server's own clock.
	// It distinguishes successive processes that use the same ID.
	Started int64
	// Sequence increases with each record that the same process writes; zero if it isn't
	// known.
	Sequence int64
	// Revision is the store revision at which the content of the record last
	// changed.
	Revision int64
}

// Instance identifies one process of a server: a restarted server with the same
// ID has a different Started.
type Instance struct {
	ID      string
	Started int64
}

// Instance returns the identity of the process that wrote the record.
func (s *Server) Instance() Instance { return Instance{ID: s.ID, Started: s.Started} }

// Catalog holds the known servers. Ready, Usable and Known read an immutable
// snapshot and take no lock. It is safe for concurrent use.
type Catalog struct {
	log  *log.Logger
	snap atomic.Pointer[snapshot]

	mu      sync.Mutex
	servers map[string]*Server
	// expired holds the IDs of servers whose records disappeared in an outage of
	// the store or within expiryGrace afterwards.
	expired map[string]bool
	// restored holds records of other processes, by ID, that the store had when it came back from an older copy.
	restored map[string]*Server
	versions versionHistory
	// leaving holds the processes that said that they are about to stop, and since when.
	leaving map[Instance]time.Time
}

// snapshot is the published, immutable state of a catalog.
type snapshot struct {
	byService map[string][]*Server
	byID      map[string]*Server
}

// NewCatalog returns an empty catalog.
func NewCatalog(logger *log.Logger) *Catalog {
	c := &Catalog{log: logger, servers: map[string]*Server{}, expired: map[string]bool{}, restored: map[string]*Server{}, leaving: map[Instance]time.Time{}, versions: versionHistory{lastSeen: map[serviceVersion]time.Time{}}}
	c.publish()
	return c
}

// Ready returns the servers of a service that may receive new requests, sorted
// by ID. Callers must not modify the slice.
func (c *Catalog) Ready(service string) []*Server { return c.snap.Load().byService[service] }

// Usable reports whether this instance of a server is in the catalog and not
// draining.
func (c *Catalog) Usable(instance Instance) bool { return c.Lookup(instance) != nil }

// Lookup returns an instance of a server if it is in the catalog and not draining, and nil otherwise.
func (c *Catalog) Lookup(instance Instance) *Server {
	s := c.snap.Load().byID[instance.ID]
	if s == nil || s.Started != instance.Started || s.Draining {
		return nil
	}
	return s
}

// All returns the servers that may receive new requests, of all services.
func (c *Catalog) All() []*Server {
	var all []*Server
	for _, list := range c.snap.Load().byService {
		all = append(all, list...)
	}
	return all
}

// Servers returns all servers of a service, draining or not.
func (c *Catalog) Servers(service string) []*Server {
	var out []*Server
	for _, s := range c.snap.Load().byID {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}

// Known reports whether this instance of a server is in the catalog, draining or
// not.
func (c *Catalog) Known(instance Instance) bool {
	s := c.snap.Load().byID[instance.ID]
	return s != nil && s.Started == instance.Started
}

// Change is a change of one server's record in the store.
type Change struct {
	ID string
	// Server is the new record, or nil if the record was deleted or cannot be
	// used.
	Server *Server
	// Invalid is set if the record exists but does not describe a usable
	// server.
	Invalid  bool
	Revision int64
}

// Apply applies changes in order. Readers see either none or all of them.
func (c *Catalog) Apply(changes []Change, f Freshness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions.begin(f.AsOf)
	changed := false
	for _, ch := range changes {
		switch {
		case ch.Server != nil:
			changed = c.put(ch.Server, f) || changed
		case ch.Invalid:
			changed = c.drop(ch.ID, ch.Revision) || changed
		default:
			changed = c.remove(ch.ID, ch.Revision, f) || changed
		}
	}
	if changed {
		c.publish()
		c.versions.update(c.servers, f.AsOf)
	}
}

// SoleVersion returns the version of the software of all servers that a service has had since
// a time. It returns false if there were several, if the version isn't known, or if the
// catalog doesn't reach back so far.
func (c *Catalog) SoleVersion(service string, since time.Time) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.sole(service, since)
}

// put stores a record and reports whether anything but its revision changed. In
// a large deployment most records are heartbeats, which change nothing else and
// must not cause a new snapshot.
func (c *Catalog) put(s *Server, f Freshness) bool {
	old := c.servers[s.ID]
	if old != nil && s.mayBeRestored(old) && f.mayHaveGone() && !s.renews(c.restored[s.ID]) {
		c.restored[s.ID] = s
		c.log.Info("restored record of a backend server ignored for now", "server", s.ID, "started", s.Started,
			"known", old.Started, "revision", s.Revision)
		return false
	}
	if old != nil && s.olderThan(old) {
		c.log.Info("older record of a backend server ignored", "server", s.ID, "sequence", s.Sequence, "known", old.Sequence,
			"started", s.Started, "revision", s.Revision)
		return false
	}
	if old != nil && s.contradicts(old) {
		c.log.Warn("record of a backend server contradicts the one before, the server isn't used", "server", s.ID,
			"service", s.Service, "known", old.Service, "started", s.Started, "revision", s.Revision)
		return c.drop(s.ID, s.Revision)
	}
	delete(c.expired, s.ID)
	delete(c.restored, s.ID)
	if old != nil && old.sameAs(s) {
		return false
	}
	c.servers[s.ID] = s
	if old == nil || old.Started != s.Started || old.Draining != s.Draining || old.Addr != s.Addr {
		c.log.Info("backend server changed", "server", s.ID, "service", s.Service, "version", s.Version, "addr", s.Addr,
			"domain", s.Domain, "draining", s.Draining, "started", s.Started, "revision", s.Revision)
	}
	return true
}

// Has reports whether the catalog holds an equal record of the server, ignoring
// the revision, and the store has no other record or none.
func (c *Catalog) Has(s *Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.servers[s.ID]
	return old != nil && !c.expired[s.ID] && c.restored[s.ID] == nil && old.sameAs(s)
}

// sameAs reports whether two records are equal except for the revision and the sequence.
func (s *Server) sameAs(other *Server) bool {
	a, b := *s, *other
	a.Revision, b.Revision = 0, 0
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

// olderThan reports whether the record was written before another one of its ID. Which one of two processes came later the
// store's revisions tell, since a server's clock may jump back. One process may write its records out of order.
func (s *Server) olderThan(other *Server) bool {
	switch {
	case s.Started == 0 || other.Started == 0:
		return false
	case s.Started == other.Started:
		return s.Sequence != 0 && s.Sequence < other.Sequence
	case s.Revision == other.Revision:
		return s.Started < other.Started
	}
	return s.Revision < other.Revision
}

// mayBeRestored reports whether the record may be of an earlier process than another one of its ID, although its revision is
// later: it is of a later epoch of the store, which may have come back from a copy that was older than the other record.
func (s *Server) mayBeRestored(other *Server) bool {
	return s.Started != 0 && s.Started < other.Started && s.epoch() > other.epoch()
}

// renews reports whether the process of an earlier record, which may be nil, has written this one since.
func (s *Server) renews(earlier *Server) bool {
	return earlier != nil && s.Started == earlier.Started && s.epoch() == earlier.epoch() && s.Revision > earlier.Revision
}

func (s *Server) epoch() uint64 { return store.Revision(s.Revision).Epoch() }

// contradicts reports whether the record can't be of the server that wrote an earlier one: a process serves one service
// only, and one that says when it started always does.
func (s *Server) contradicts(earlier *Server) bool {
	if s.Started != earlier.Started {
		return s.Started == 0
	}
	return s.Service != earlier.Service
}

// remove handles a deleted record and reports whether the catalog changed. After an
// outage of the store, a server that was not draining is kept for expiryGrace,
// because its record may merely have expired.
func (c *Catalog) remove(id string, revision int64, f Freshness) bool {
	s := c.servers[id]
	if s != nil && f.mayLackLive() && !c.effective(s).Draining {
		c.expired[id] = true
		c.log.Info("backend server record expired, keeping the server for now", "server", id, "revision", revision,
			"since_outage_ms", f.AsOf.Sub(f.OutageEnd).Milliseconds())
		return false
	}
	return c.drop(id, revision)
}

// drop removes a server and reports whether it was in the catalog.
func (c *Catalog) drop(id string, revision int64) bool {
	if c.servers[id] == nil {
		return false
	}
	delete(c.servers, id)
	delete(c.expired, id)
	delete(c.restored, id)
	c.log.Info("backend server gone", "server", id, "revision", revision)
	return true
}

// RemoveExpired removes the expired servers whose records are known to be missing
// still after the grace period, and replaces those of which the store still has another
// process. It must be called periodically.
func (c *Catalog) RemoveExpired(f Freshness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetLeaving(f.AsOf)
	changed := false
	if !f.mayLackLive() {
		for id := range c.expired {
			changed = c.drop(id, 0) || changed
		}
	}
	if !f.mayHaveGone() {
		for _, s := range c.restored {
			changed = c.put(s, f) || changed
		}
	}
	if changed {
		c.publish()
		c.versions.update(c.servers, f.AsOf)
	}
}

// publish replaces the snapshot that readers use. The caller must hold c.mu.
func (c *Catalog) publish() {
	snap := &snapshot{byService: map[string][]*Server{}, byID: make(map[string]*Server, len(c.servers))}
	for id, s := range c.servers {
		s = c.effective(s)
		snap.byID[id] = s
		if !s.Draining {
			snap.byService[s.Service] = append(snap.byService[s.Service], s)
		}
	}
	for _, list := range snap.byService {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	c.snap.Store(snap)
}
