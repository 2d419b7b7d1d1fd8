package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// entry is one slot that is granted or in use.
type entry struct {
	key     policy.Key
	grantID uint64
	pool    string
	server  string
	class   string
	// owner is that of the customer who uses the slot.
	owner string
	// pick is the grant; it is empty for a slot that was adopted.
	pick policy.Pick
	// attempts counts the grants offered for the reservation.
	attempts int
	accepted bool
	// expires is when a grant that is not accepted is taken back.
	expires time.Time
	started time.Time
	// confirmed is when the gateway last said that it uses the slot.
	confirmed time.Time
}

// ledger records the slots granted and in use. A request uses at most one.
type ledger struct {
	nextGrant uint64
	grants    map[uint64]*entry
	offered   map[policy.Key]*entry
	running   map[policy.Key]*entry
}

// newLedger numbers grants from the current time so that the grants of an
// earlier process of the same name are not mistaken for its own.
func newLedger(now time.Time) ledger {
	return ledger{
		nextGrant: uint64(now.UnixNano()),
		grants:    map[uint64]*entry{},
		offered:   map[policy.Key]*entry{},
		running:   map[policy.Key]*entry{},
	}
}

// offer records a new grant.
func (l *ledger) offer(e *entry) {
	l.nextGrant++
	e.grantID = l.nextGrant
	l.grants[e.grantID] = e
	l.offered[e.key] = e
}

// accept turns an offer into a request in flight, or records one that was not
// offered.
func (l *ledger) accept(e *entry, now time.Time) {
	l.unoffer(e)
	e.accepted = true
	e.started = now
	l.running[e.key] = e
}

// remove forgets an entry.
func (l *ledger) remove(e *entry) {
	if e.accepted {
		delete(l.running, e.key)
		return
	}
	l.unoffer(e)
}

func (l *ledger) unoffer(e *entry) {
	if l.offered[e.key] == e {
		delete(l.offered, e.key)
	}
	delete(l.grants, e.grantID)
}

// matching returns the entries that match, in the
// order of their keys so that decisions do not depend on map order.
func (l *ledger) matching(match func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range l.grants {
		if match(e) {
			found = append(found, e)
		}
	}
	for _, e := range l.running {
		if match(e) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.key.Gateway, b.key.Gateway), cmp.Compare(a.key.ID, b.key.ID), cmp.Compare(a.grantID, b.grantID))
	})
	return found
}
