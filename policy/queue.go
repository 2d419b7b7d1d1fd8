package policy

// Why strict tiers over fair tiers: a higher tier must never wait for a lower
// one, so tiers are searched in order; fairness between customers and deadlines
// matter only among requests of the same tier.

// Queue holds the reservations that wait at one scheduler for one pool.
type Queue struct {
	tiers   [Tiers]*fairTier
	index   map[Key]*item
	classes map[string]*classQueue
	seq     uint64
	free    []*item
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

// Contains reports whether the reservation waits.
func (q *Queue) Contains(k Key) bool { return q.index[k] != nil }

// Push queues a reservation and replaces one with the same key.
func (q *Queue) Push(r Reservation) {
	r.Tier = min(max(r.Tier, 0), Tiers-1)
	old := q.index[r.Key]
	var seq uint64
	if old != nil {
		seq = old.order.seq
		q.take(old)
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

// update applies a repeated reservation to the one that waits. The deadline and
// the place in the queue stay. It reports false if none waits.
func (q *Queue) update(r *Reservation) bool {
	it := q.index[r.Key]
	if it == nil || it.Tier != r.Tier || it.Class != r.Class {
		return false
	}
	it.Avoid = r.Avoid
	return true
}

// Remove withdraws a reservation and reports whether it waited.
func (q *Queue) Remove(k Key) bool {
	it := q.index[k]
	if it == nil {
		return false
	}
	q.take(it)
	return true
}

// Pop takes the first reservation in order that fits, and charges it to its
// customer. Within each tier, customers of the claiming owners come first.
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

// popTier sets aside the items that do not fit until it finds one that does.
func (q *Queue) popTier(t *fairTier, claims []string, fits func(*Reservation) bool) (Reservation, bool) {
	var found *item
	for t.waiting > 0 && found == nil {
		it := t.firstClaimed(claims)
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

// PopClass takes the oldest reservation of a class that fits, and charges it to
// its customer.
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

// Refund returns the charge for a reservation whose slot was not used.
func (q *Queue) Refund(r *Reservation) {
	t := q.tiers[min(max(r.Tier, 0), Tiers-1)]
	if a := t.accounts[r.Customer]; a != nil {
		t.refund(a, float64(r.Cost))
	}
}

// WaitingOf returns the number of waiting reservations of a class.
func (q *Queue) WaitingOf(class string) int {
	c := q.classes[class]
	if c == nil {
		return 0
	}
	return c.len()
}

// Ahead estimates the work, in tokens, that is served before a new reservation:
// all of the higher tiers, and of its own tier as much as its customer's share
// lets pass.
func (q *Queue) Ahead(r *Reservation) float64 {
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

// Each calls f for every waiting reservation, in no order. The queue must not
// be changed by f.
func (q *Queue) Each(f func(*Reservation)) {
	for _, it := range q.index {
		f(&it.Reservation)
	}
}

// Prune forgets customers without waiting work or debt.
func (q *Queue) Prune() {
	for _, t := range q.tiers {
		t.prune()
	}
}

// take removes an item from all structures and recycles it.
func (q *Queue) take(it *item) {
	q.tiers[it.Tier].remove(it)
	q.recycle(it)
}

// recycle removes an item that left its tier from the indexes and reuses it.
func (q *Queue) recycle(it *item) {
	it.class.remove(it.classPos)
	delete(q.index, it.Key)
	*it = item{}
	q.free = append(q.free, it)
}

func (q *Queue) newItem() *item {
	last := len(q.free) - 1
	if last < 0 {
		return &item{}
	}
	it := q.free[last]
	q.free = q.free[:last]
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
