package policy

import (
	"slices"
	"time"
)

// A waiting reservation that can no longer be served in time is refused at once
// and for good, while its caller can still try elsewhere. No work is started for
// a caller that no longer waits.

// startMargin is the time allowed from a grant to the dispatch of the request.
const startMargin = 100 * time.Millisecond

// LateRefusal is a reservation that was refused after it was admitted.
type LateRefusal struct {
	Reservation Reservation
	Refusal     Refusal
	RetryAfter  time.Duration
}

// Expire refuses the waiting reservations that would miss their deadline, if their
// class refuses late requests, and those that exceed the starvation bound.
func (p *Pool) Expire(now time.Time) {
	var late []Key
	p.queue.Each(func(r *Reservation) {
		if p.expired(now, r) {
			late = append(late, r.Key)
		}
	})
	slices.SortFunc(late, compareKeys)
	for _, k := range late {
		r := p.queue.index[k].Reservation
		p.queue.Remove(k)
		p.refuseWaiting(now, r, RefusedDeadline)
	}
}

// expired reports whether a waiting reservation is too late to be served.
func (p *Pool) expired(now time.Time, r *Reservation) bool {
	class := p.classes[r.Class]
	if class == nil {
		return true
	}
	return class.exceedsBound(now, r) || class.spec.RefuseLate && now.After(class.latestDispatch(r.Deadline))
}

// exceedsBound reports whether a grant made now would start the reservation after
// the starvation bound of its class.
func (c *classState) exceedsBound(now time.Time, r *Reservation) bool {
	return now.Add(startMargin).Sub(r.Arrived) > c.spec.Starvation
}

func (p *Pool) refuseWaiting(now time.Time, r Reservation, why Refusal) {
	target := time.Duration(0)
	if class := p.classes[r.Class]; class != nil {
		target = class.spec.Target.FirstToken
		class.recordDemand(now)
	}
	wait := p.load.Wait(p.queue.WorkAhead(&r), p.Slots())
	p.withdrawn = append(p.withdrawn, LateRefusal{Reservation: r, Refusal: why, RetryAfter: RetryAfter(wait, target)})
}

// RefuseAll refuses all waiting reservations.
func (p *Pool) RefuseAll(now time.Time, why Refusal) {
	for p.queue.Len() > 0 {
		r, _ := p.queue.Pop(nil, nil)
		p.refuseWaiting(now, r, why)
	}
}

// TakeWithdrawn returns the waiting reservations that were refused since the
// last call. The slice is valid until the next call on the pool.
func (p *Pool) TakeWithdrawn() []LateRefusal {
	w := p.withdrawn
	p.withdrawn = p.withdrawn[:0]
	return w
}

// RemoveGateway removes the reservations of a gateway that is gone, without a
// refusal, and returns their keys in order.
func (p *Pool) RemoveGateway(gateway string) []Key {
	var gone []Key
	p.queue.Each(func(r *Reservation) {
		if r.Key.Gateway == gateway {
			gone = append(gone, r.Key)
		}
	})
	slices.SortFunc(gone, compareKeys)
	for _, k := range gone {
		p.queue.Remove(k)
	}
	return gone
}

func compareKeys(a, b Key) int {
	if a.Gateway != b.Gateway {
		if a.Gateway < b.Gateway {
			return -1
		}
		return 1
	}
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}
