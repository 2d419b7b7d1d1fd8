// Package hashring assigns keys to daemons by consistent hashing: when a daemon joins or leaves,
// only the keys change hands that it gains or loses.
package hashring

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerDaemon is the number of points that a daemon has on a ring. With more, the
// daemons' shares differ less.
const pointsPerDaemon = 8

// Ring is a hash ring of daemons. It is immutable.
type Ring struct {
	points  []point
	daemons int
}

type point struct {
	hash   uint64
	daemon string
}

// New returns the ring of the daemons with the given names.
func New(daemons []string) *Ring {
	r := &Ring{points: make([]point, 0, len(daemons)*pointsPerDaemon), daemons: len(daemons)}
	for _, d := range daemons {
		for i := range pointsPerDaemon {
			r.points = append(r.points, point{xxhash.Sum64String(d + "/" + strconv.Itoa(i)), d})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.daemon, b.daemon))
	})
	return r
}

// Daemons returns the number of daemons on the ring.
func (r *Ring) Daemons() int { return r.daemons }

// Owner returns the daemon that owns the key with the given hash, or "" if the ring is
// empty.
func (r *Ring) Owner(hash uint64) string {
	if len(r.points) == 0 {
		return ""
	}
	return r.points[r.first(hash)].daemon
}

// Owners returns the n daemons that come first for the key with the given hash, or all daemons
// if there are fewer. When one of them leaves, the others keep their order.
func (r *Ring) Owners(hash uint64, n int) []string {
	n = min(n, r.daemons)
	owners := make([]string, 0, n)
	for i := r.first(hash); len(owners) < n; i = (i + 1) % len(r.points) {
		if d := r.points[i].daemon; !slices.Contains(owners, d) {
			owners = append(owners, d)
		}
	}
	return owners
}

// first returns the index of the first point at or after a hash.
func (r *Ring) first(hash uint64) int {
	i, _ := slices.BinarySearchFunc(r.points, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	if i == len(r.points) {
		return 0
	}
	return i
}
