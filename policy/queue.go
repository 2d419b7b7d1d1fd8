package policy

// Tiers have strict priority: they are searched in order, so that a higher tier
// never waits for a lower one. Fairness between customers and deadlines apply
// only within a tier.

// Queue holds the reservations that wait for a slot of one pool at one
// scheduler.
type Queue struct {
	tiers   [Tiers]*fairTier
	index   map[Key]*item
	classes map[string]*classQueue
	// seq is the sequence number of the last item queued.
	seq uint64
	// recycled holds items for reuse.
	recycled []*item
	// skipped is a buffer that popTier reuses.
	skipped []*item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{index: map[Key]*item{}, classes: map[string]*classQueue{}}
	for i := range q.tiers {
		q.tiers[i] = newFairTier()
	}
	return q
}

// Len returns the number of waiting reservations.
func (q *Queue) Len() int { return len(q.index) }

// Waiting returns the number of waiting reservations of a tier.
func (q *Queue) Waiting(tier int) int { return q.tiers[tier].waiting }

// Contains reports whether the reservation is waiting.
func (q *Queue) Contains(k Key) bool { return q.index[k] != nil }

// Push queues a reservation. It replaces a waiting one with the same key, whose
// sequence number it keeps.
func (q *Queue) Push(r Reservation) {
	r.Tier = min(max(r.Tier, 0), Tiers-1)
	old := q.index[r.Key]
	var seq uint64
	if old != nil {
		seq = old.order.seq
		q.removeItem(old)
	}
	if seq == 0 {
		q.seq++
		seq = q.seq
	}
	it := q.newItem()
	it.Reservation = r
	it.order = newItemKey(r.Deadline, seq)
	q.index[r.Key] = it
	q.tiers[r.Tier].add(it)
	it.class = q.class(r.Class)
	it.class.push(it)
}

// updateWaiting applies a repeated reservation to the waiting one, which keeps its
// deadline and its position. It returns false if none is waiting in the same
// tier and class.
func (q *Queue) updateWaiting(r *Reservation) bool {
	it := q.index[r.Key]
	if it == nil || it.Tier != r.Tier || it.Class != r.Class {
		return false
	}
	it.Avoid = r.Avoid
	return true
}

// Remove removes a reservation and reports whether it was waiting.
func (q *Queue) Remove(k Key) bool {
	it := q.index[k]
	if it == nil {
		return false
	}
	q.removeItem(it)
	return true
}

// Pop removes the first reservation in order that fits and charges its cost to
// its customer. Within each tier, customers of the claiming owners come first.
// A nil fits accepts every reservation.
func (q *Queue) Pop(claims []string, fits func(*Reservation) bool) (Reservation, bool) {
	for _, t := range q.tiers {
		if t.waiting == 0 {
			continue
		}
		if r, ok := q.popTier(t, claims, fits); ok {
			return r, true
		}
	}
	return Reservation{}, false
}

// popTier pops the first item of a tier that fits. The items before it are
// removed during the search and added again afterwards.
func (q *Queue) popTier(t *fairTier, claims []string, fits func(*Reservation) bool) (Reservation, bool) {
	var found *item
	for t.waiting > 0 && found == nil {
		it := t.nextClaimed(claims)
		if fits == nil || fits(&it.Reservation) {
			found = it
			break
		}
		t.remove(it)
		q.skipped = append(q.skipped, it)
	}
	for _, it := range q.skipped {
		t.add(it)
	}
	clear(q.skipped)
	q.skipped = q.skipped[:0]
	if found == nil {
		return Reservation{}, false
	}
	return q.grant(found), true
}

// PopClass removes the oldest reservation of a class that fits and charges its
// cost to its customer.
func (q *Queue) PopClass(class string, fits func(*Reservation) bool) (Reservation, bool) {
	c := q.classes[class]
	if c == nil || c.len() == 0 {
		return Reservation{}, false
	}
	it := c.oldestFitting(fits)
	if it == nil {
		return Reservation{}, false
	}
	return q.grant(it), true
}

// grant removes an item and charges its cost.
func (q *Queue) grant(it *item) Reservation {
	r := it.Reservation
	q.tiers[it.Tier].grant(it)
	q.recycle(it)
	return r
}

// Refund credits the cost of a reservation whose slot wasn't used back to its
// customer.
func (q *Queue) Refund(r *Reservation) {
	t := q.tiers[min(max(r.Tier, 0), Tiers-1)]
	if a := t.accounts[r.Customer]; a != nil {
		t.refund(a, float64(r.Cost))
	}
}

// WaitingInClass returns the number of waiting reservations of a class.
func (q *Queue) WaitingInClass(class string) int {
	c := q.classes[class]
	if c == nil {
		return 0
	}
	return c.len()
}

// WorkAhead estimates the work, in tokens, that is served before a new
// reservation: all work of the higher tiers, and the part of its own tier that
// is served before it under the fair shares of the customers.
func (q *Queue) WorkAhead(r *Reservation) float64 {
	ahead := 0.0
	for _, t := range q.tiers[:r.Tier] {
		ahead += t.cost
	}
	t := q.tiers[r.Tier]
	weight := r.Weight
	if !(weight > 0) {
		weight = 1
	}
	own, total := 0.0, t.weight
	if a := t.accounts[r.Customer]; a != nil && a.items.len() > 0 {
		own = a.cost
	} else {
		total += weight
	}
	return ahead + min(t.cost, (own+float64(r.Cost))*total/weight)
}

// Each calls f for every waiting reservation, in no particular order. f must not
// modify the queue.
func (q *Queue) Each(f func(*Reservation)) {
	for _, it := range q.index {
		f(&it.Reservation)
	}
}

// Prune deletes the accounts of customers without waiting work or debt.
func (q *Queue) Prune() {
	for _, t := range q.tiers {
		t.prune()
	}
}

// removeItem removes an item from the queue and recycles it.
func (q *Queue) removeItem(it *item) {
	q.tiers[it.Tier].remove(it)
	q.recycle(it)
}

// recycle removes an item, which was already removed from its tier, from the
// indexes and keeps it for reuse.
func (q *Queue) recycle(it *item) {
	it.class.remove(it.classPos)
	delete(q.index, it.Key)
	*it = item{}
	q.recycled = append(q.recycled, it)
}

func (q *Queue) newItem() *item {
	last := len(q.recycled) - 1
	if last < 0 {
		return &item{}
	}
	it := q.recycled[last]
	q.recycled = q.recycled[:last]
	return it
}

func (q *Queue) class(name string) *classQueue {
	c := q.classes[name]
	if c == nil {
		c = newClassQueue()
		q.classes[name] = c
	}
	return c
}
