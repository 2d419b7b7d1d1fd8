package placement

import (
	"math/rand/v2"
	"time"

	"github.com/jacinththread/jacinththread/fairshare"
	"github.com/jacinththread/jacinththread/route"
)

// While requests of a class get nothing, less urgent ones of the same service shall not begin anywhere in the fleet.
// The tests of single servers are ordered by urgency, but daemons know the loads of the others late, and what is
// accepted at one server may keep room from a more urgent request at another. Daemons therefore tell each other how
// many requests of each class were offered and got nothing lately, and accept fewer of the less urgent ones the more
// they are.

const (
	// openUnserved and closedUnserved are the shares of the requests of a class that got nothing lately between which
	// the share of less urgent requests that is accepted decreases to zero.
	openUnserved   = 1.0 / 60
	closedUnserved = 1.0 / 24
	// openPressure and closedPressure are the shares of the servers at which requests of a class would wait for over
	// half of their longest wait, between which the share of less urgent requests that is accepted decreases to zero.
	openPressure   = 0.25
	closedPressure = 0.6
	// openStrained and closedStrained are the mean waits of a class at the servers, relative to its longest wait, between
	// which that share decreases to zero while any class of the service gets nothing for want of room.
	openStrained   = 0.1
	closedStrained = 0.4
	// lateWaitShare is the share of its latency objective that a request was expected to wait, from which its server
	// counts as busy.
	lateWaitShare = 0.25
	// minUnserved is the number of requests that got nothing lately below which a class counts as served.
	minUnserved = 2.0
	// minClosedRetry and maxClosedRetry bound the retry delay of requests that are refused in favour of more urgent
	// ones, as a share of their latency objective.
	minClosedRetry = 0.4
	maxClosedRetry = 1.2
)

// MoreUrgentUnserved is the reason of refusals in favour of more urgent requests.
const MoreUrgentUnserved RefusalReason = "more urgent requests get nothing"

// moreUrgent returns the classes of the service that are more urgent than the request.
func (r *Request) moreUrgent() []route.Class {
	for i, class := range r.Classes {
		if class.Urgency >= r.Urgency {
			return r.Classes[:i]
		}
	}
	return r.Classes
}

// hasLessUrgent reports whether the service may get less urgent requests.
func (r *Request) hasLessUrgent() bool {
	return len(r.Classes) > 0 && r.Classes[len(r.Classes)-1].Urgency > r.Urgency
}

// openShare returns the share of the requests like one that is accepted, given what more urgent requests of the service
// got lately and how long they would wait now. The caller must hold t.mu.
func (t *Tracker) openShare(now time.Time, candidates []Candidate, req *Request) float64 {
	open := 1.0
	for _, class := range req.moreUrgent() {
		o := t.turnouts.fleet(fairshare.Class{Service: req.Service, Urgency: int32(class.Urgency)}, now)
		open = min(open, req.staged(class, o.unservedShare(), openUnserved, closedUnserved))
		open = min(open, req.staged(class, pressure(candidates, class), openPressure, closedPressure))
		if req.strained {
			open = min(open, req.staged(class, meanPressure(candidates, class), openStrained, closedStrained))
		}
	}
	return open
}

// staged decreases from 1 to 0 while a measure of a more urgent class grows from open to closed. The classes below that
// one take their turns: the least urgent is closed first, and before the next one begins to be.
func (r *Request) staged(class route.Class, x, open, closed float64) float64 {
	below, lessUrgent := 0.0, 0.0
	for _, c := range r.Classes {
		if c.Urgency > class.Urgency {
			below++
		}
		if c.Urgency > r.Urgency {
			lessUrgent++
		}
	}
	step := (closed - open) / max(1, below)
	from := open + lessUrgent*step
	return ramp(x, from, from+step)
}

// isStrained reports whether a class of the service of a request gets nothing for want of room. The caller must hold
// t.mu.
func (t *Tracker) isStrained(now time.Time, req *Request) bool {
	for _, class := range req.Classes {
		if t.turnouts.fleet(fairshare.Class{Service: req.Service, Urgency: int32(class.Urgency)}, now).isStrained() {
			return true
		}
	}
	return false
}

// meanPressure returns the mean time that requests of a class would wait at the servers, relative to their longest wait.
func meanPressure(candidates []Candidate, class route.Class) float64 {
	longest := MaxWait(class.Target, class.Priority)
	if longest == 0 {
		return 0
	}
	wait, n := 0.0, 0.0
	for i := range candidates {
		if !candidates[i].Suspended {
			wait += candidates[i].waitOf(class.Urgency).Seconds()
			n++
		}
	}
	return wait / max(1, n) / longest.Seconds()
}

// ramp decreases steadily from 1 at open to 0 at closed.
func ramp(x, open, closed float64) float64 { return min(1, max(0, (closed-x)/(closed-open))) }

// pressure returns the share of the servers at which requests of a class would wait for over half of their
// longest wait.
func pressure(candidates []Candidate, class route.Class) float64 {
	longest := MaxWait(class.Target, class.Priority)
	if longest == 0 {
		return 0
	}
	busy, n := 0.0, 0.0
	for i := range candidates {
		if candidates[i].Suspended {
			continue
		}
		n++
		if candidates[i].waitOf(class.Urgency) > longest/2 {
			busy++
		}
	}
	return busy / max(1, n)
}

// admitInOrder returns a refusal if more urgent requests get nothing and the request isn't among the share that is
// accepted beside them. Requests without a maximum wait are always accepted. The caller must hold t.mu.
func (t *Tracker) admitInOrder(now time.Time, candidates []Candidate, req *Request) *Refusal {
	if req.MaxWait == 0 {
		return nil
	}
	open := t.openShare(now, candidates, req)
	if open == 1 || t.rnd.Float64() < open {
		return nil
	}
	return newOrderRefusal(open, req, t.rnd)
}

// newOrderRefusal returns a refusal with a random delay, so that callers don't return at the same time.
func newOrderRefusal(open float64, req *Request, rnd *rand.Rand) *Refusal {
	delay := minClosedRetry + (maxClosedRetry-minClosedRetry)*rnd.Float64()
	retry := time.Duration(delay * float64(req.Target))
	return &Refusal{Reason: MoreUrgentUnserved, MaxWait: req.MaxWait, AcceptedShare: open, RetryAfter: max(minRetryAfter, retry)}
}
