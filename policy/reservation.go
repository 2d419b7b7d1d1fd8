package policy

import "time"

// Tiers is the number of service tiers. Tier 0 is the highest.
const Tiers = 8

// Key identifies a request of a gateway.
type Key struct {
	Gateway string
	ID      uint64
}

// Reservation is a request that waits for a slot.
type Reservation struct {
	Key      Key
	Tier     int
	Class    string
	Customer string
	// Owner is the owner whose servers the customer may claim, or empty.
	Owner string
	// Weight is the customer's share within the tier; zero counts as one.
	Weight float64
	// Deadline is when the first token is due.
	Deadline time.Time
	// Arrived is when the request began to wait.
	Arrived time.Time
	// Cost is the estimated work in tokens.
	Cost uint32
	// Prefix is the hash of the prompt's first block; zero means none.
	Prefix uint64
	// Avoid names servers that already failed this request.
	Avoid []string
	// Queued is when the reservation reached the scheduler.
	Queued time.Time
	// Trace is the W3C traceparent of the request; empty if it is not sampled.
	Trace string
}

// item is a queued reservation.
type item struct {
	Reservation
	order   itemKey
	account *account
	// pos is the position among the customer's items.
	pos   int
	class *classQueue
	// classPos is the position among the class's items.
	classPos int
}

// itemKey orders items by deadline and then by arrival at the queue.
type itemKey struct {
	// deadline is in nanoseconds since the Unix epoch.
	deadline int64
	seq      uint64
}

func newItemKey(deadline time.Time, seq uint64) itemKey {
	return itemKey{deadline: deadline.UnixNano(), seq: seq}
}

func (k itemKey) before(other itemKey) bool {
	if k.deadline != other.deadline {
		return k.deadline < other.deadline
	}
	return k.seq < other.seq
}

func (it *item) before(other *item) bool { return it.order.before(other.order) }
