package fairshare

import (
	"math"
	"time"
)

const (
	// offeredHalfLife is the time in which the weight of offered work halves. Shares that are not used are lent
	// to others and returned within about this time.
	offeredHalfLife = 600 * time.Millisecond
	// usualHalfLife is the same for the accepted work that determines a customer's weight. It is long, so that
	// a burst doesn't count as usual.
	usualHalfLife = 2 * time.Minute
	// negligible is the work, in tokens, below which a sum is dropped.
	negligible = 1.0
)

// work is the work of a customer's requests in a class, in tokens, with exponential decay.
type work struct {
	// offered is the work of all requests, usual that of the accepted ones.
	offered, usual float64
	updatedAt      time.Time
}

// at returns the work decayed to a time.
func (w work) at(now time.Time) work {
	if age := now.Sub(w.updatedAt); age > 0 {
		w.offered *= math.Exp2(-float64(age) / float64(offeredHalfLife))
		w.usual *= math.Exp2(-float64(age) / float64(usualHalfLife))
		w.updatedAt = now
	}
	return w
}

// plus returns the sum of two amounts of work at a time.
func (w work) plus(other work, now time.Time) work {
	sum, other := w.at(now), other.at(now)
	sum.offered += other.offered
	sum.usual += other.usual
	return sum
}

// minus returns what is left of the work at a time without a part of it.
func (w work) minus(part work, now time.Time) work {
	left, part := w.at(now), part.at(now)
	left.offered = max(0, left.offered-part.offered)
	left.usual = max(0, left.usual-part.usual)
	return left
}

// isNegligible reports whether the work is too little to be kept.
func (w work) isNegligible() bool { return w.offered < negligible && w.usual < negligible }
