package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Why some servers are reserved: a server reads prompts in pieces between the
// steps of the requests that run there, so a long prompt stretches every pause
// between their events. Requests whose events must come in quick succession are
// gathered at a few servers, as many as their share of the work needs, and long
// prompts are kept away from these. All daemons pick the same servers, by
// hashing, without a message.

const (
	// reservedSalt makes the choice of reserved servers independent of other hashes.
	reservedSalt = 0x9e3779b97f4a7c15
	// reservedHeadroom is how much more than their share of the work reserved servers
	// carry, so that they have room in a burst.
	reservedHeadroom = 1.0
	// reservedDefault is the share of the servers reserved before the work is known.
	reservedDefault = 0.25
	// reservedMost bounds the share of reserved servers.
	reservedMost = 0.6
	// outputWeight is the work of a generated token beside one that is read.
	outputWeight = 10.0
	// demandHalfLife is how quickly the shares follow the traffic.
	demandHalfLife = 4 * time.Second
	// demandEnough is the work, in tokens, from which the shares are trusted.
	demandEnough = 100000.0
	// minReservedPool is the number of servers from which some are reserved.
	minReservedPool = 4
)

// demand follows which part of the work needs reserved servers.
type demand struct {
	tight, all float64
	when       time.Time
}

// add counts the work of a request.
func (d *demand) add(now time.Time, tight bool, work float64) {
	d.fade(now)
	d.all += work
	if tight {
		d.tight += work
	}
}

func (d *demand) fade(now time.Time) {
	if age := now.Sub(d.when); age > 0 {
		factor := math.Exp2(-age.Seconds() / demandHalfLife.Seconds())
		d.tight *= factor
		d.all *= factor
	}
	d.when = now
}

// reservedCount is the number of servers to reserve among n.
func (d *demand) reservedCount(n int) int {
	if n < minReservedPool {
		return 0
	}
	share := reservedDefault
	if d.all >= demandEnough {
		share = min(reservedMost, reservedHeadroom*d.tight/d.all)
	}
	return int(math.Round(share * float64(n)))
}

// markReserved marks the reserved servers among the candidates.
func markReserved(candidates []Candidate, count int) {
	if count <= 0 {
		return
	}
	type ranked struct {
		index int
		score uint64
	}
	order := make([]ranked, len(candidates))
	for i, c := range candidates {
		order[i] = ranked{i, mix(reservedSalt ^ xxhash.Sum64String(c.Server.ID))}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	for _, r := range order[:min(count, len(order))] {
		candidates[r.index].Reserved = true
	}
}
