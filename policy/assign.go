package policy

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Backend servers are assigned to daemons by rendezvous hashing. Every daemon
// computes the owner of a server from its own view of the membership, without a
// lease, a vote or a shared table. When a daemon joins or leaves, only the servers
// that it owns are reassigned.

// Assign returns the daemon that schedules a backend server, or "" if there are
// no daemons. The result doesn't depend on the order of the daemons.
func Assign(server string, daemons []string) string {
	h := xxhash.Sum64String(server)
	best := -1
	var bestScore uint64
	for i, d := range daemons {
		s := pairHash(h, xxhash.Sum64String(d))
		if best < 0 || s > bestScore || s == bestScore && d < daemons[best] {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return ""
	}
	return daemons[best]
}

// AssignScore returns the score of a daemon for a server: Assign returns the daemon with the highest one.
func AssignScore(server, daemon string) uint64 {
	return pairHash(xxhash.Sum64String(server), xxhash.Sum64String(daemon))
}

// AssignAll returns the daemon that schedules each server, in the order of the
// servers.
func AssignAll(servers, daemons []string) []string {
	hashes := make([]uint64, len(daemons))
	for i, d := range daemons {
		hashes[i] = xxhash.Sum64String(d)
	}
	assigned := make([]string, len(servers))
	for i, s := range servers {
		assigned[i] = highestScore(xxhash.Sum64String(s), daemons, hashes)
	}
	return assigned
}

// Assignment maps the servers of a pool to the daemons that schedule them. It is
// computed once per membership change.
type Assignment struct {
	// Servers holds the servers of the pool, and Daemons the daemon that schedules
	// each.
	Servers []string
	Daemons []string
	// Schedulers holds the distinct daemons, sorted.
	Schedulers []string
}

// NewAssignment assigns servers to daemons.
func NewAssignment(servers, daemons []string) Assignment {
	assigned := AssignAll(servers, daemons)
	distinct := slices.Clone(assigned)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	if len(daemons) == 0 {
		distinct = nil
	}
	return Assignment{Servers: servers, Daemons: assigned, Schedulers: distinct}
}

// PreferredServer returns the index of the server that a prompt prefix maps to
// by rendezvous hashing, or -1 if there are none.
func (a Assignment) PreferredServer(prefix uint64) int {
	best := -1
	var bestScore uint64
	for i, s := range a.Servers {
		score := pairHash(prefix, xxhash.Sum64String(s))
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// highestScore returns the name with the highest rendezvous score for h, given the
// hashes of the names, or "" if there are none.
func highestScore(h uint64, names []string, hashes []uint64) string {
	best := -1
	var bestScore uint64
	for i, dh := range hashes {
		s := pairHash(h, dh)
		if best < 0 || s > bestScore || s == bestScore && names[i] < names[best] {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return ""
	}
	return names[best]
}

// pairHash returns the rendezvous score of a pair of hashes.
func pairHash(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
