package policy

import "time"

// Tiers is the number of service tiers. Tier 0 is the highest.
const Tiers = 8

// Key identifies a request by its gateway and the ID that the gateway gave it.
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
	// Owner is the owner whose servers the customer may claim. It may be empty.
	Owner string
	// Weight is the weight of the customer's share within the tier. Zero means one.
	Weight float64
	// Deadline is when the first token is due.
	Deadline time.Time
	// Arrived is when the request began to wait.
	Arrived time.Time
	// Cost is the estimated work of the request, in tokens.
	Cost uint32
	// Prefix is the hash of the first block of the prompt, or zero if there is none.
	Prefix uint64
	// Avoid lists the servers that must not get this request, such as those that
	// already failed it.
	Avoid []string
	// Queued is when the reservation reached the scheduler.
	Queued time.Time
	// Trace is the W3C traceparent of the request, or empty if it isn't sampled.
	Trace string
}

// item is a queued reservation.
type item struct {
	Reservation
	order   itemKey
	account *account
	// pos is the position in the heap of the customer's account.
	pos   int
	class *classQueue
	// classPos is the position in the heap of the class.
	classPos int
}

// itemKey orders items by deadline, and by sequence number if deadlines are equal.
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
