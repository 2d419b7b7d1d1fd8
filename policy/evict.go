package policy

// When the queue is full, one request has to be refused at once. It is a request of
// the lowest waiting tier, and within that tier one of the customer that exceeds
// its share the most, so that a burst displaces its own requests first. A request
// is never evicted for one of a lower tier.

// EvictFor removes a reservation from a full queue to make room for r and returns
// it. It returns false if r itself is to be refused.
//
// The only waiting reservation of a class is never evicted, so that the starvation
// allowance always finds one to serve.
func (q *Queue) EvictFor(r *Reservation) (Reservation, bool) {
	for tier := Tiers - 1; tier >= r.Tier; tier-- {
		t := q.tiers[tier]
		if t.waiting == 0 {
			continue
		}
		if tier == r.Tier && q.wouldHaveLargestExcess(t, r) {
			return Reservation{}, false
		}
		if it := q.evictionCandidate(t); it != nil {
			evicted := it.Reservation
			q.removeItem(it)
			return evicted, true
		}
	}
	return Reservation{}, false
}

// wouldHaveLargestExcess reports whether r would make its customer the one that
// exceeds its share the most.
func (q *Queue) wouldHaveLargestExcess(t *fairTier, r *Reservation) bool {
	worst := t.largestExcess()
	if worst.customer == r.Customer {
		return true
	}
	weight := r.Weight
	if !(weight > 0) {
		weight = 1
	}
	excess := float64(r.Cost) / weight
	if a := t.accounts[r.Customer]; a != nil {
		a.accrue(t.round)
		excess += a.excess()
	}
	return excess >= worst.excess()
}

// evictionCandidate returns an item near the end of the heap of the customer that
// exceeds its share the most. It returns nil if each of that customer's items is
// the only one waiting in its class.
func (q *Queue) evictionCandidate(t *fairTier) *item {
	worst := t.largestExcess()
	for i := len(worst.items.items) - 1; i >= 0; i-- {
		it := worst.items.items[i]
		if it.class.len() > 1 {
			return it
		}
	}
	return nil
}
