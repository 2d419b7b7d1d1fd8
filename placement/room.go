package placement

import (
	"time"

	"github.com/jacinththread/jacinththread/admission"
	"github.com/jacinththread/jacinththread/backend"
)

// RecordOffer records that a customer offered a request to the local daemon, once for each request.
func (t *Tracker) RecordOffer(now time.Time, req Request) {
	t.shares.Offered(now, req.class(), req.Customer, req.work())
}

// RecordAccepted records that a request that was offered is being served, once for each request.
func (t *Tracker) RecordAccepted(now time.Time, req Request) {
	t.shares.Accepted(now, req.class(), req.Customer, req.work())
}

// IsOverShare reports whether the customer of a request offers more than its share.
func (t *Tracker) IsOverShare(now time.Time, req Request) bool {
	return t.shares.IsOverShare(now, req.class(), req.Customer)
}

// Pace returns how quickly slots of servers become free for requests of the local daemon that are like the given
// one. Each daemon takes its part of the slots that requests of all daemons leave.
func (t *Tracker) Pace(now time.Time, servers []*backend.Server, req Request) admission.Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(now, servers, req)
	running := 0.0
	for i := range candidates {
		running += candidates[i].Running
	}
	interval := time.Duration(float64(t.hold.orDefault()) * float64(max(1, t.daemons)) / max(1, running))
	return admission.Pace{Interval: interval, Share: t.acceptedShare(now, candidates, &req)}
}

// RefuseBySlots returns the refusal of a request for which no slots are left because others wait for them.
func (t *Tracker) RefuseBySlots(now time.Time, servers []*backend.Server, req Request) *Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	return newSlotRefusal(t.acceptedShare(now, t.candidates(now, servers, req), &req), &req, t.rnd)
}

// candidates returns the estimated state of servers for a request. The caller must hold t.mu.
func (t *Tracker) candidates(now time.Time, servers []*backend.Server, req Request) []Candidate {
	out := make([]Candidate, len(servers))
	for i, s := range servers {
		out[i] = t.candidate(now, s, req)
	}
	if len(req.Prompt) > 0 {
		markReserved(out, t.reservedCount(now, out))
	}
	return out
}

// acceptedShare returns the share of the requests of a request's customer that is accepted at the present use of the
// slots. The caller must hold t.mu.
func (t *Tracker) acceptedShare(now time.Time, candidates []Candidate, req *Request) float64 {
	return t.shares.AcceptedShare(now, req.class(), req.Customer, acceptedShare(candidates, req))
}
