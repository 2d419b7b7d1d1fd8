package policy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Servers are selected in three steps: filter, score, pick. Hard constraints
// (the server is leaving, is full, or already failed the request) are separate
// from preferences (idle slots, a warm prompt cache, a server of the customer's
// owner), so that each rule can be read and changed independently.

const (
	// affinityScore prefers the server that the prompt prefix maps to. It
	// outweighs a difference in load of up to half of the slots.
	affinityScore = 0.5
	// ownerScore prefers a server of the customer's owner.
	ownerScore = 0.25
	// probeScore outweighs all other scores, so that a server in the Probing
	// state gets a request as soon as a probe is due. Otherwise it would stay
	// isolated for as long as other servers have free slots. Requests of the
	// highest tier avoid the server by the same score.
	probeScore = 4.0
	// restrictedShare is the share of a server's slots that is used after a
	// takeover, until the gateways have reported their requests in flight.
	restrictedShare = 0.25
)

// ServerSpec describes a backend server that the scheduler may grant.
type ServerSpec struct {
	Name string
	// Owner is the owner that pays for the server; it may be empty.
	Owner string
	// Leaving is set if the server is to get no new requests.
	Leaving bool
	// Restricted is set after a takeover, until the requests in flight are
	// known.
	Restricted bool
}

// Server is a backend server with its slots, its health and the slots in use.
type Server struct {
	ServerSpec
	Slots  Slots
	Health Health

	hash uint64
	used int
	// ownerUsed counts the slots in use by customers of the server's owner.
	ownerUsed int
	// usedByClass counts the slots in use by class name.
	usedByClass map[string]int
}

func newServer(spec ServerSpec, slots Slots) *Server {
	return &Server{ServerSpec: spec, Slots: slots, hash: xxhash.Sum64String(spec.Name), usedByClass: map[string]int{}}
}

// Used returns the number of slots in use.
func (s *Server) Used() int { return s.used }

// capacity returns the number of slots that may be in use now.
func (s *Server) capacity(now time.Time) int {
	if s.Leaving {
		return 0
	}
	n := s.Slots.Limit()
	if s.Restricted {
		n = max(1, int(float64(n)*restrictedShare))
	}
	return s.Health.LimitSlots(now, n)
}

// mayRun reports whether a reservation may run on the server.
func (s *Server) mayRun(r *Reservation) bool {
	return len(r.Avoid) == 0 || !slices.Contains(r.Avoid, s.Name)
}

// score rates a free server for a reservation. A higher score is better.
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

// pickServer returns the free server with the highest score for r, or nil if r
// may run on none of them.
func pickServer(free, all []*Server, r *Reservation) *Server {
	preferred := preferredServer(all, r.Prefix)
	var best *Server
	bestScore := 0.0
	for _, s := range free {
		if !s.mayRun(r) {
			continue
		}
		score := s.score(r, preferred)
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// preferredServer returns the server that a prompt prefix maps to by rendezvous
// hashing, or nil if there is no prefix or no server.
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
