package policy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Why filter, then score, then pick: what a server must not get (it leaves, is
// full, already failed the request) is kept apart from what is merely better
// (idle slots, a warm prompt cache, an own server), so that each rule can be
// read and changed alone.

const (
	// affinityScore is worth half of a server's slots in use.
	affinityScore = 0.5
	// ownerScore prefers a server of the customer's owner.
	ownerScore = 0.25
	// probeScore sends a request to a suspected server when a probe is due, or
	// the server would stay out for as long as others are free. Requests of the
	// highest tier are kept from it.
	probeScore = 4.0
	// takeoverShare is the part of the slots granted before the gateways have
	// declared what they run.
	takeoverShare = 0.25
)

// ServerSpec describes a backend server that the scheduler may grant.
type ServerSpec struct {
	Name string
	// Owner pays for the server; may be empty.
	Owner   string
	Leaving bool
	// Restricted is set after a takeover until the requests in flight are known.
	Restricted bool
}

// Server is a backend server with its slots and health.
type Server struct {
	ServerSpec
	Slots  Slots
	Health Health

	hash uint64
	used int
	// own counts the slots used by customers of the server's owner.
	own int
	// running counts the slots used by class.
	running map[string]int
}

func newServer(spec ServerSpec, slots Slots) *Server {
	return &Server{ServerSpec: spec, Slots: slots, hash: xxhash.Sum64String(spec.Name), running: map[string]int{}}
}

// Used returns the number of slots in use.
func (s *Server) Used() int { return s.used }

// capacity is the number of slots that may be in use now.
func (s *Server) capacity(now time.Time) int {
	if s.Leaving {
		return 0
	}
	n := s.Slots.Limit()
	if s.Restricted {
		n = max(1, int(float64(n)*takeoverShare))
	}
	return s.Health.Cap(now, n)
}

// serves reports whether a reservation may run on the server.
func (s *Server) serves(r *Reservation) bool {
	return len(r.Avoid) == 0 || !slices.Contains(r.Avoid, s.Name)
}

// score rates a free server for a reservation; higher is better.
func (s *Server) score(r *Reservation, preferred *Server) float64 {
	score := -float64(s.used) / float64(s.Slots.Limit())
	if s == preferred {
		score += affinityScore
	}
	if r.Owner != "" && r.Owner == s.Owner {
		score += ownerScore
	}
	switch {
	case s.Health.State() != Probing:
	case r.Tier > 0:
		score += probeScore
	default:
		score -= probeScore
	}
	return score
}

// pickServer returns the best of the free servers, or nil if none serves r.
func pickServer(free, all []*Server, r *Reservation) *Server {
	preferred := preferredServer(all, r.Prefix)
	var best *Server
	bestScore := 0.0
	for _, s := range free {
		if !s.serves(r) {
			continue
		}
		score := s.score(r, preferred)
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// preferredServer is the server that the prefix maps to.
func preferredServer(all []*Server, prefix uint64) *Server {
	if prefix == 0 {
		return nil
	}
	var best *Server
	var bestHash uint64
	for _, s := range all {
		if h := pairHash(prefix, s.hash); best == nil || h > bestHash {
			best, bestHash = s, h
		}
	}
	return best
}
