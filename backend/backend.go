// Package backend knows the backend servers that may receive requests.
package backend

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// expiryGrace is how long after the store's return a server without a record
// counts as live: records expire while the store is away, and live servers write
// them again within about two seconds.
const expiryGrace = 2 * time.Second

// Server is a backend server as its record describes it. It is immutable.
type Server struct {
	// ID is unique among running servers.
	ID      string
	Service string
	// Addr is the IP address and port.
	Addr   string
	Domain string
	// Draining servers get no new requests.
	Draining bool
	// ColdUntil is when the server reaches its full speed.
	ColdUntil time.Time
	// Started tells apart the lives of servers that reuse an ID. It is the
	// server's own clock in Unix milliseconds.
	Started int64
	// Revision is the store's revision of the record when it last said anything
	// new.
	Revision int64
}

// Life identifies one life of a server.
type Life struct {
	ID      string
	Started int64
}

// Life returns the identity of the server's present life.
func (s *Server) Life() Life { return Life{ID: s.ID, Started: s.Started} }

// Catalog holds the servers. It is safe for concurrent use.
type Catalog struct {
	log  *log.Logger
	snap atomic.Pointer[snapshot]

	mu      sync.Mutex
	servers map[string]*Server
	// expired holds the servers whose records vanished while the store was away.
	expired map[string]bool
	away    bool
	// settled is when expired servers count as gone.
	settled time.Time
}

type snapshot struct {
	byService map[string][]*Server
	byID      map[string]*Server
}

// NewCatalog returns an empty catalog.
func NewCatalog(logger *log.Logger) *Catalog {
	c := &Catalog{log: logger, servers: map[string]*Server{}, expired: map[string]bool{}, away: true}
	c.publish()
	return c
}

// Ready returns the servers of a service that may get new requests, sorted by
// ID. The slice must not be changed.
func (c *Catalog) Ready(service string) []*Server { return c.snap.Load().byService[service] }

// Usable reports whether a life of a server may still get requests.
func (c *Catalog) Usable(life Life) bool {
	s := c.snap.Load().byID[life.ID]
	return s != nil && s.Started == life.Started && !s.Draining
}

// Known reports whether the catalog has the life of a server, draining or not.
func (c *Catalog) Known(life Life) bool {
	s := c.snap.Load().byID[life.ID]
	return s != nil && s.Started == life.Started
}

// Change is a change of one server's record.
type Change struct {
	ID string
	// Server is the record, or nil if it is gone or names no server to use.
	Server *Server
	// Unusable is set if there is a record that names no server to use.
	Unusable bool
	Revision int64
}

// Apply takes over changes in their order. Readers see all of them at once.
func (c *Catalog) Apply(changes []Change, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, ch := range changes {
		switch {
		case ch.Server != nil:
			changed = c.put(ch.Server) || changed
		case ch.Unusable:
			changed = c.drop(ch.ID, ch.Revision) || changed
		default:
			changed = c.remove(ch.ID, ch.Revision, now) || changed
		}
	}
	if changed {
		c.publish()
	}
}

// put reports whether the record says anything new besides its revision: in a
// large deployment most records only say that a server lives.
func (c *Catalog) put(s *Server) bool {
	old := c.servers[s.ID]
	delete(c.expired, s.ID)
	if old != nil && old.sameAs(s) {
		return false
	}
	c.servers[s.ID] = s
	if old == nil || old.Started != s.Started || old.Draining != s.Draining || old.Addr != s.Addr {
		c.log.Info("backend server changed", "server", s.ID, "service", s.Service, "addr", s.Addr,
			"domain", s.Domain, "draining", s.Draining, "started", s.Started, "revision", s.Revision)
	}
	return true
}

// Has reports whether the catalog has a record of the server that says the same
// and is still in the store.
func (c *Catalog) Has(s *Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.servers[s.ID]
	return old != nil && !c.expired[s.ID] && old.sameAs(s)
}

// sameAs reports whether two records of a server differ in their revision only.
func (s *Server) sameAs(other *Server) bool {
	a, b := *s, *other
	a.Revision, b.Revision = 0, 0
	return a == b
}

// remove takes a server out whose record is gone. While the store is away and
// shortly after, the server stays, as its record may only have expired.
func (c *Catalog) remove(id string, revision int64, now time.Time) bool {
	s := c.servers[id]
	if s != nil && (c.away || now.Before(c.settled)) && !s.Draining {
		c.expired[id] = true
		c.log.Info("backend server record expired, keeping the server for now", "server", id, "revision", revision)
		return false
	}
	return c.drop(id, revision)
}

// drop takes a server out and reports whether it was there.
func (c *Catalog) drop(id string, revision int64) bool {
	if c.servers[id] == nil {
		return false
	}
	delete(c.servers, id)
	delete(c.expired, id)
	c.log.Info("backend server gone", "server", id, "revision", revision)
	return true
}

// SetStoreAway records whether the store answers.
func (c *Catalog) SetStoreAway(away bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away == away {
		return
	}
	c.away = away
	if !away {
		c.settled = now.Add(expiryGrace)
	}
}

// Settle drops the expired servers whose time is over. It is called regularly.
func (c *Catalog) Settle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away || len(c.expired) == 0 || now.Before(c.settled) {
		return
	}
	for id := range c.expired {
		c.drop(id, 0)
	}
	c.publish()
}

// publish makes changes visible to readers. The caller holds the lock.
func (c *Catalog) publish() {
	snap := &snapshot{byService: map[string][]*Server{}, byID: make(map[string]*Server, len(c.servers))}
	for id, s := range c.servers {
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
