package policy

import (
	"slices"
	"time"
)

// Why waiting reservations are withdrawn: a refusal must be early and final. A
// request that can no longer be served in time is told so while its caller may
// still go elsewhere, and no work starts that nobody waits for.

// startMargin is the time from a grant to the dispatch that it leads to.
const startMargin = 100 * time.Millisecond

// Withdrawal is a waiting reservation that was refused.
type Withdrawal struct {
	Reservation Reservation
	Refusal     Refusal
	RetryAfter  time.Duration
}

// Expire refuses the reservations that missed their deadline, if their class
// wants that, or have waited for the class's bound.
func (p *Pool) Expire(now time.Time) {
	var late []Key
	p.queue.Each(func(r *Reservation) {
		if p.late(now, r) {
			late = append(late, r.Key)
		}
	})
	slices.SortFunc(late, compareKeys)
	for _, k := range late {
		r := p.queue.index[k].Reservation
		p.queue.Remove(k)
		p.withdraw(now, r, RefusedDeadline)
	}
}

// late reports whether a waiting reservation is no longer worth serving.
func (p *Pool) late(now time.Time, r *Reservation) bool {
	clock := p.classes[r.Class]
	if clock == nil {
		return true
	}
	return clock.overdue(now, r) || clock.spec.RefuseLate && now.After(clock.mustStart(r.Deadline))
}

// overdue reports whether a grant made now would start the reservation after
// its class's bound.
func (c *classClock) overdue(now time.Time, r *Reservation) bool {
	return now.Add(startMargin).Sub(r.Arrived) > c.spec.Starvation
}

func (p *Pool) withdraw(now time.Time, r Reservation, why Refusal) {
	target := time.Duration(0)
	if clock := p.classes[r.Class]; clock != nil {
		target = clock.spec.Target.FirstToken
		clock.demand(now)
	}
	wait := p.load.Wait(p.queue.Ahead(&r), p.Slots())
	p.withdrawn = append(p.withdrawn, Withdrawal{Reservation: r, Refusal: why, RetryAfter: RetryAfter(wait, target)})
}

// RefuseAll withdraws everything that waits.
func (p *Pool) RefuseAll(now time.Time, why Refusal) {
	for p.queue.Len() > 0 {
		r, _ := p.queue.Pop(nil, nil)
		p.withdraw(now, r, why)
	}
}

// Withdrawn returns the reservations refused since the last call. The slice is
// valid until the next call on the pool.
func (p *Pool) Withdrawn() []Withdrawal {
	w := p.withdrawn
	p.withdrawn = p.withdrawn[:0]
	return w
}

// Drop withdraws, without an answer, the reservations of a gateway that is
// gone and returns their keys in order.
func (p *Pool) Drop(gateway string) []Key {
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
