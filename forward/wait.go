package forward

import (
	"context"
	"time"

	"github.com/jacinththread/jacinththread/admission"
	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/placement"
)

// slotWaitShare is the share of its latency target within which a waiting request has to start. The rest is for
// reading the prompt.
const slotWaitShare = 0.25

// recordOffer records the work of the request for the shares of customers.
func (q *request) recordOffer() {
	if len(q.meta.Prompt) > 0 {
		q.cfg.Tracker.RecordOffer(time.Now(), q.placementRequest())
	}
}

// recordAccepted records, once, that the request is being served.
func (q *request) recordAccepted(req placement.Request) {
	if q.accepted || len(q.meta.Prompt) == 0 {
		return
	}
	q.accepted = true
	q.cfg.Tracker.RecordAccepted(time.Now(), req)
}

// othersWait reports whether requests wait that are to be served before this one, which hasn't waited yet. Requests
// that are accepted whatever the load don't wait.
func (q *request) othersWait(req placement.Request) bool {
	if req.MaxWait == 0 || len(req.Prompt) == 0 || q.hadTurn {
		return false
	}
	return q.cfg.Waiters.Precede(q.service, q.waitEntry(req))
}

// placeInTurn chooses one of the servers, unless others wait that are to be served before.
func (q *request) placeInTurn(servers []*backend.Server, req placement.Request) (*placement.InFlight, *placement.Refusal) {
	now := time.Now()
	if q.othersWait(req) {
		return nil, q.cfg.Tracker.RefuseBySlots(now, servers, req)
	}
	return q.cfg.Tracker.Place(now, servers, req)
}

// mayWait reports whether a request that was refused may be accepted as soon as slots become free.
func mayWait(r *placement.Refusal) bool { return r.Reason == placement.SlotsUsed }

// waitEntry describes the request for the queue.
func (q *request) waitEntry(req placement.Request) *admission.Entry {
	return &admission.Entry{
		Urgency: q.urgency, OverShare: q.cfg.Tracker.IsOverShare(time.Now(), req), Bytes: int64(len(q.in.Body)),
		StartBy: q.in.Arrived.Add(time.Duration(slotWaitShare * float64(q.route.Target))),
	}
}

// waitForSlot waits until servers may have a slot for the request. It returns false if the request isn't likely to
// start in time, or its caller left.
func (q *request) waitForSlot(ctx context.Context, servers []*backend.Server, req placement.Request) bool {
	began := time.Now()
	outcome := q.cfg.Waiters.Wait(ctx, q.service, q.waitEntry(req), q.cfg.Tracker.Pace(began, servers, req))
	q.waited += time.Since(began)
	q.hadTurn = outcome == admission.Turn
	return q.hadTurn
}
