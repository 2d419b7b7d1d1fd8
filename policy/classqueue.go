package policy

// classQueue orders the reservations of a class by age, for the starvation
// allowance. It is a heap rather than a list because reservations don't arrive
// in order of age: a request that lost its scheduler is reserved again with its
// original arrival time.
type classQueue struct {
	heap[*item]
}

func newClassQueue() *classQueue {
	return &classQueue{heap[*item]{
		less:  olderThan,
		place: func(it *item, i int) { it.classPos = i },
	}}
}

func olderThan(a, b *item) bool {
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.order.seq < b.order.seq
}

// oldestFitting returns the oldest reservation that fits, or nil.
func (c *classQueue) oldestFitting(fits func(*Reservation) bool) *item {
	if fits == nil || fits(&c.top().Reservation) {
		return c.top()
	}
	var oldest *item
	for _, it := range c.items {
		if fits(&it.Reservation) && (oldest == nil || olderThan(it, oldest)) {
			oldest = it
		}
	}
	return oldest
}
