package placement

import (
	"math"
	"slices"
	"time"
)

// Some servers are reserved for requests with a tight gap objective. A server
// reads prompts in chunks between the decoding steps of running requests
// (chunked prefill), so a long prompt extends every gap between their events.
// Tight requests are therefore concentrated on as many servers as their share of
// the work needs, and long prompts are kept away from these. All daemons choose
// the same servers by hashing, without exchanging messages.

const (
	// reservedSalt makes the choice of reserved servers independent of that of
	// home servers, which uses the same hash function.
	reservedSalt = 0x9e3779b97f4a7c15
	// reservedHeadroom is the ratio between the reserved share of the servers
	// and the share of the work that needs them. Values above 1 leave reserved
	// servers spare capacity for bursts.
	reservedHeadroom = 1.0
	// defaultReservedShare is the share of reserved servers until the demand is
	// known.
	defaultReservedShare = 0.25
	// maxReservedShare is the largest share of reserved servers.
	maxReservedShare = 0.6
	// outputWeight is the work of generating a token relative to reading one.
	outputWeight = 10.0
	// demandHalfLife is the time in which the weight of recorded demand halves.
	// It determines how quickly the reserved share follows the traffic.
	demandHalfLife = 4 * time.Second
	// minDemandTokens is the recorded work, in tokens, below which
	// defaultReservedShare is used.
	minDemandTokens = 100000.0
	// minReservedPool is the smallest number of servers of which some are
	// reserved.
	minReservedPool = 4
)

// demand is the recent work of requests with a tight gap objective and of all
// requests, in tokens, with exponential decay.
type demand struct {
	tight, total float64
	updatedAt    time.Time
}

// add records the work of a request.
func (d *demand) add(now time.Time, tight bool, work float64) {
	d.decay(now)
	d.total += work
	if tight {
		d.tight += work
	}
}

// decay reduces the recorded work by the time since the last update.
func (d *demand) decay(now time.Time) {
	if age := now.Sub(d.updatedAt); age > 0 {
		factor := math.Exp2(-age.Seconds() / demandHalfLife.Seconds())
		d.tight *= factor
		d.total *= factor
	}
	d.updatedAt = now
}

// reservedCount returns the number of servers to reserve out of n.
func (d *demand) reservedCount(n int) int {
	if n < minReservedPool {
		return 0
	}
	share := defaultReservedShare
	if d.total >= minDemandTokens {
		share = min(maxReservedShare, reservedHeadroom*d.tight/d.total)
	}
	return int(math.Round(share * float64(n)))
}

// markReserved sets Reserved for the candidates with the highest hashes. All
// daemons choose the same servers if they have the same candidates.
func markReserved(candidates []Candidate, count int) {
	if count <= 0 {
		return
	}
	type ranked struct {
		index int
		score uint64
	}
	order := make([]ranked, len(candidates))
	for i := range candidates {
		order[i] = ranked{i, mix(reservedSalt ^ candidates[i].hash)}
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
