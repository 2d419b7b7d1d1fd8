// Package slotshare divides the slots of backend servers among the daemons, so that all of them together
// don't run more requests at a server than it has slots.
//
// Loads that daemons report to each other are older than a short request lasts, so a limit on their sum is
// exceeded whenever several daemons see the same free slot. Slots are owned by daemons by consistent hashing
// instead, which needs no messages.
package slotshare

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/hashring"
)

// Shares tells how many slots of each server the local daemon owns. It is safe for concurrent use.
type Shares struct {
	self string
	ring func() *hashring.Ring

	mu sync.Mutex
	// of is the ring that owned was computed from.
	of    *hashring.Ring
	owned map[slotsOf]int
}

// slotsOf identifies a server and its number of slots.
type slotsOf struct {
	server backend.Instance
	slots  int
}

// New returns the shares of a daemon. The function ring returns the ring of the live daemons.
func New(self string, ring func() *hashring.Ring) *Shares { return &Shares{self: self, ring: ring} }

// Owned returns the number of slots of a server that the local daemon owns.
func (s *Shares) Owned(server *backend.Server) int {
	ring := s.ring()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ring != s.of {
		s.of, s.owned = ring, map[slotsOf]int{}
	}
	key := slotsOf{server.Instance(), server.Slots}
	n, known := s.owned[key]
	if !known {
		n = s.count(server)
		s.owned[key] = n
	}
	return n
}

// Daemons returns the number of live daemons.
func (s *Shares) Daemons() int { return s.ring().Daemons() }

func (s *Shares) count(server *backend.Server) int {
	n := 0
	for i := range server.Slots {
		if s.of.Owner(xxhash.Sum64String(server.ID+"/"+strconv.Itoa(i))) == s.self {
			n++
		}
	}
	return n
}
