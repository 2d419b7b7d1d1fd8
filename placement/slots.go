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

// acceptedShare returns the share of the requests of this urgency that is accepted, by the slots
// that requests at least as urgent use on the servers that are meant for it.
func acceptedShare(candidates []Candidate, req *Request) float64 {
	used, slots := 0.0, 0.0
	for _, c := range candidates {
		if c.Reserved == req.Tight && !c.Suspended {
			used += c.AtLeastAsUrgent
			slots += float64(c.Slots)
		}
	}
	if slots == 0 {
		return 1
	}
	return min(1, max(0, (fullOccupancy-used/slots)/(fullOccupancy-openOccupancy)))
}

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
