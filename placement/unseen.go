package placement

import (
	"math"
	"time"

	"github.com/jacinththread/jacinththread/route"
)

// In a large fleet, a daemon learns of requests that others placed hundreds of milliseconds later. Until then the
// servers that had the least to read when loads were last reported look idle to all daemons, which send several
// prompts to the same one. The random part of a server's cost therefore grows with the work that others have
// probably placed meanwhile, and long prompts are reported at once. This answers bursts of long prompts that
// servers have not cached, during which reading prompts limits the servers and slots don't.

const (
	// unseenSpread is the range of the random cost of a server, relative to the mean work on it that the local
	// daemon doesn't know of.
	unseenSpread = 4.5
	// readRateHalfLife is the time in which the weight of a placed prompt halves in the rate of reading.
	readRateHalfLife = 4 * time.Second
	// minReadRateAge is the shortest time over which the rate of reading is taken.
	minReadRateAge = 500 * time.Millisecond
	// earlyReportTokens is the number of prompt tokens to read from which a placed request is reported at once to
	// daemons that relay loads, instead of in the next round.
	earlyReportTokens = 4000
)

// readRates are the rates at which the local daemon places prompt tokens that servers have to read, by urgency.
type readRates [route.MaxUrgency + 1]readRate

// atLeast returns the rate of the requests that are at least as urgent as a new one, per second.
func (r *readRates) atLeast(now time.Time, urgency int) float64 {
	sum := 0.0
	for i := range r[:urgency+1] {
		sum += r[i].perSecond(now)
	}
	return sum
}

// readRate is the rate at which prompt tokens are placed that servers have to read.
type readRate struct {
	// tokens is a sum with exponential decay, up to date at updatedAt.
	tokens           float64
	begin, updatedAt time.Time
}

// add records the tokens of a placed request.
func (r *readRate) add(now time.Time, tokens float64) {
	if r.begin.IsZero() {
		r.begin = now
	}
	r.decay(now)
	r.tokens += tokens
}

// decay reduces the sum by the time since the last update.
func (r *readRate) decay(now time.Time) {
	if age := now.Sub(r.updatedAt); age > 0 {
		r.tokens *= math.Exp2(-float64(age) / float64(readRateHalfLife))
		r.updatedAt = now
	}
}

// perSecond returns the rate. Soon after the first request it is the mean since then.
func (r *readRate) perSecond(now time.Time) float64 {
	if r.begin.IsZero() {
		return 0
	}
	r.decay(now)
	age := max(minReadRateAge, now.Sub(r.begin))
	weight := 1 - math.Exp2(-float64(age)/float64(readRateHalfLife))
	return r.tokens * math.Ln2 / readRateHalfLife.Seconds() / weight
}

// unseenTokens returns the mean number of prompt tokens that other daemons placed on each of some servers since they
// last reported their loads, and that a server reads before those of a new request. It is zero in a small fleet, where
// loads are exchanged directly. The caller must hold t.mu.
func (t *Tracker) unseenTokens(now time.Time, servers, urgency int) float64 {
	others := float64(t.daemons - 1)
	if others <= maxDirectPeers || servers == 0 {
		return 0
	}
	placed := t.read.atLeast(now, urgency) * others * roundInterval(t.daemons-1).Seconds()
	return placed / float64(servers)
}
