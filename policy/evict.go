package policy

// Why evict from below: when the queue is full somebody must be told so, and
// early. It is a request of the lowest tier that waits, and in that tier one of
// the customer furthest over its share, so a burst pays for itself first. A
// request is never evicted for one of a lower tier.

// MakeRoom chooses who leaves a full queue so that r can wait. It returns the
// reservation to evict, or false if r itself is the one to refuse.
//
// The last waiting reservation of a class stays, so that the starvation
// allowance always finds one to serve.
func (q *Queue) MakeRoom(r *Reservation) (Reservation, bool) {
	for tier := Tiers - 1; tier >= r.Tier; tier-- {
		t := q.tiers[tier]
		if t.waiting == 0 {
			continue
		}
		if tier == r.Tier && q.isFurthestOver(t, r) {
			return Reservation{}, false
		}
		if it := q.victim(t); it != nil {
			evicted := it.Reservation
			q.take(it)
			return evicted, true
		}
	}
	return Reservation{}, false
}

// isFurthestOver reports whether r would make its customer the one furthest
// over its share.
func (q *Queue) isFurthestOver(t *fairTier, r *Reservation) bool {
	worst := t.furthestOver()
	if worst.customer == r.Customer {
		return true
	}
	weight := r.Weight
	if !(weight > 0) {
		weight = 1
	}
	over := float64(r.Cost) / weight
	if a := t.accounts[r.Customer]; a != nil {
		a.credit(t.round)
		over += a.over()
	}
	return over >= worst.over()
}

// victim returns one of the latest reservations of the customer furthest over
// its share, or nil if the tier holds only the last one of a class.
func (q *Queue) victim(t *fairTier) *item {
	worst := t.furthestOver()
	for i := len(worst.items.items) - 1; i >= 0; i-- {
		it := worst.items.items[i]
		if it.class.len() > 1 {
			return it
		}
	}
	return nil
}
