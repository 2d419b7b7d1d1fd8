package ratelimit

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerDaemon is the number of points that a daemon has on a ring. With more, the
// daemons' shares differ less.
const pointsPerDaemon = 8

// ring assigns slots to daemons by consistent hashing: when a daemon joins or leaves, only
// its own slots change hands. It is immutable.
type ring struct {
	points []point
}

type point struct {
	hash   uint64
	daemon string
}

func newRing(daemons []string) *ring {
	r := &ring{points: make([]point, 0, len(daemons)*pointsPerDaemon)}
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

// owner returns the daemon that owns a slot of a server, or "" if the ring is empty.
func (r *ring) owner(server string, slot int64) string {
	if len(r.points) == 0 {
		return ""
	}
	h := slotHash(server, slot)
	i, _ := slices.BinarySearchFunc(r.points, h, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	return r.points[i%len(r.points)].daemon
}

func slotHash(server string, slot int64) uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(server), uint64(slot))
	return xxhash.Sum64(b)
}
