package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// A server runs as many requests at a time as it has slots and queues a few more. A more urgent
// request takes the slot of a less urgent one, which is preempted and has to be read again, and a
// server whose queue is full rejects even the most urgent request. Less urgent requests are
// therefore refused early, with a probability that grows with the share of the slots in use, so
// that slots stay free for the more urgent ones. This answers bursts of a less urgent class that
// fill the slots of all servers.

const (
	// Requests with a maximum wait are all accepted while openOccupancy of the slots are in use,
	// and none is at fullOccupancy. Between them the accepted share decreases steadily: daemons
	// learn of each other's requests with a delay, and a single threshold would make all of them
	// accept and refuse in turn.
	openOccupancy = 0.75
	fullOccupancy = 1.0
	// From yieldOccupancy of the slots in use by a class, fewer less urgent requests are accepted, and none from
	// openOccupancy on, when requests of the class itself begin to be refused.
	yieldOccupancy = 0.6
	// maxYielded is the most that slots in use by less urgent requests count as free, because servers preempt these,
	// while requests get nothing for want of room.
	maxYielded = 0.2
	// maxOccupancy is the number of requests at a server, relative to its slots, above which it
	// gets no more while others have fewer.
	maxOccupancy = 1.5
	// scarceOccupancy is the share of the slots in use from which reserved servers get no other
	// requests, and large fleets compare samples of the servers. Below it, reading prompts is what
	// limits the servers.
	scarceOccupancy = 0.5
	// reservedSlotFactor is the ratio between the slots of reserved servers and those that tight
	// requests use.
	reservedSlotFactor = 1.5
	// minReturnShare and maxReturnShare bound the retry delay of a refused caller, as a share of
	// the latency objective, which a caller that returns in this time can still meet.
	minReturnShare = 0.2
	maxReturnShare = 0.6
	// defaultHold is how long a request is assumed to occupy a slot before any was observed, and
	// holdSmoothing the weight of the newest sample in the moving average.
	defaultHold   = time.Second
	holdSmoothing = 0.05
)

// holdEstimate is a moving average of how long requests occupy a slot.
type holdEstimate struct{ mean time.Duration }

func (h *holdEstimate) orDefault() time.Duration {
	if h.mean == 0 {
		return defaultHold
	}
	return h.mean
}

func (h *holdEstimate) observe(held time.Duration) {
	h.mean = h.orDefault() + time.Duration(holdSmoothing*float64(held-h.orDefault()))
}

// slotWait returns how long a request is expected to wait for a slot of the server behind those that
// are at least as urgent. The last slots count as used, because requests that aren't known yet may
// take them.
func (c *Candidate) slotWait(hold time.Duration) time.Duration {
	queued := c.AtLeastAsUrgent - openOccupancy*float64(c.Slots) + 1
	if c.Slots == 0 || queued < 0 {
		return 0
	}
	return time.Duration(queued / float64(c.Slots) * float64(hold))
}

// slotsScarce reports whether slots limit the servers.
func slotsScarce(candidates []Candidate) bool {
	used, slots := 0.0, 0.0
	for i := range candidates {
		used += candidates[i].Running
		slots += float64(candidates[i].Slots)
	}
	return used > scarceOccupancy*slots
}

// hasRoom reports whether the server may get the request. While slots are scarce, reserved servers
// are for tight requests alone.
func (c *Candidate) hasRoom(req *Request, scarce bool) bool {
	switch {
	case c.Slots == 0:
		return true
	case scarce && c.Reserved && !req.Tight:
		return false
	}
	return c.Running < maxOccupancy*float64(c.Slots)
}

// withRoom returns the candidates that have room for the request, or all if none has.
func withRoom(candidates []Candidate, req *Request, scarce bool) []Candidate {
	var out []Candidate
	for _, c := range candidates {
		if c.hasRoom(req, scarce) {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return candidates
	}
	return out
}

// acceptedShare returns the share of the requests of this urgency that is accepted. It is zero before any request of a
// more urgent class of the service is refused.
func acceptedShare(candidates []Candidate, req *Request) float64 {
	use := poolUse(candidates, req.Tight, func(c *Candidate) float64 { return c.AtLeastAsUrgent })
	if req.strained {
		others := poolUse(candidates, req.Tight, func(c *Candidate) float64 { return c.Running - c.AtLeastAsUrgent })
		use -= min(others, maxYielded)
	}
	share := freeShare(use)
	for _, class := range req.moreUrgent() {
		if MaxWait(class.Target, class.Priority) == 0 {
			continue
		}
		use := poolUse(candidates, class.Tight, func(c *Candidate) float64 { return c.slots.atLeast(class.Urgency) })
		share = min(share, req.staged(class, use, yieldOccupancy, openOccupancy))
	}
	return share
}

// poolUse returns the share of the slots that some requests use: on the servers that are meant for the class, or on
// all servers if that is less, because tight requests may use the others as well.
func poolUse(candidates []Candidate, tight bool, used func(*Candidate) float64) float64 {
	var pool, all slotUse
	for i := range candidates {
		c := &candidates[i]
		if c.Suspended {
			continue
		}
		all.add(used(c), c.Slots)
		if c.Reserved == tight {
			pool.add(used(c), c.Slots)
		}
	}
	if tight {
		return min(pool.share(), all.share())
	}
	return pool.share()
}

// slotUse counts slots and those in use.
type slotUse struct{ used, slots float64 }

func (u *slotUse) add(used float64, slots int) {
	u.used += used
	u.slots += float64(slots)
}

// share returns the share of the slots in use; zero if none are known.
func (u slotUse) share() float64 {
	if u.slots == 0 {
		return 0
	}
	return u.used / u.slots
}

// freeShare returns the share of requests that is accepted while a share of the slots is in use.
func freeShare(use float64) float64 { return ramp(use, openOccupancy, fullOccupancy) }

// admitBySlots returns a refusal if the request isn't among the share of its customer's requests that is accepted
// at the present use of the slots, and nil otherwise. Requests without a maximum wait are always accepted.
func admitBySlots(share float64, req *Request, rnd *rand.Rand) *Refusal {
	if req.MaxWait == 0 || rnd.Float64() < share {
		return nil
	}
	return newSlotRefusal(share, req, rnd)
}

// newSlotRefusal returns a refusal with a random delay, so that callers don't return at the same time.
func newSlotRefusal(share float64, req *Request, rnd *rand.Rand) *Refusal {
	delay := minReturnShare + (maxReturnShare-minReturnShare)*rnd.Float64()
	return &Refusal{Reason: SlotsUsed, MaxWait: req.MaxWait, AcceptedShare: share, RetryAfter: time.Duration(delay * float64(req.Target))}
}

// reservedShare is the share of the servers that are reserved for the slots that tight requests
// need. It follows a growing need at once and a shrinking one slowly, so that a burst of other
// requests doesn't get the servers on which the tight ones run.
type reservedShare struct {
	share     float64
	updatedAt time.Time
}

// count returns the number of servers to reserve.
func (r *reservedShare) count(now time.Time, candidates []Candidate) int {
	if len(candidates) < minReservedPool || candidates[0].Slots == 0 {
		return 0
	}
	if age := now.Sub(r.updatedAt); age > 0 {
		r.share *= math.Exp2(-age.Seconds() / demandHalfLife.Seconds())
	}
	r.updatedAt = now
	r.share = max(r.share, neededShare(candidates))
	return int(math.Round(r.share * float64(len(candidates))))
}

// neededShare returns the share of the slots that tight requests need.
func neededShare(candidates []Candidate) float64 {
	tight, slots := 0.0, 0.0
	for _, c := range candidates {
		tight += c.Tight
		slots += float64(c.Slots)
	}
	return min(maxReservedShare, reservedSlotFactor*tight/max(1, slots))
}
