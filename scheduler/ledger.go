package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// entry is a slot that is granted or in use.
type entry struct {
	key     policy.Key
	grantID uint64
	pool    string
	server  string
	class   string
	// owner is the owner of the customer that uses the slot.
	owner string
	// pick is the policy's decision; it is empty for an adopted slot.
	pick policy.Pick
	// attempts is the number of grants offered for the reservation, including
	// this one.
	attempts int
	accepted bool
	// expires is when a grant that is not accepted is withdrawn.
	expires time.Time
	// started is when the slot was granted or, once accepted, when it was accepted.
	started time.Time
	// lastConfirmed is when the gateway last confirmed that it uses the slot. It is
	// zero for an adopted slot, so that the next audit covers it.
	lastConfirmed time.Time
}

// ledger records the slots that are granted or in use. A request uses at most
// one slot.
type ledger struct {
	lastGrantID uint64
	// grants and offered hold the grants not accepted yet, by grant ID and by
	// request.
	grants  map[uint64]*entry
	offered map[policy.Key]*entry
	running map[policy.Key]*entry
}

// newLedger returns an empty ledger. Grant IDs start at the current time, so that
// grants of an earlier process with the same daemon name are not mistaken for
// those of this one.
func newLedger(now time.Time) ledger {
	return ledger{
		lastGrantID: uint64(now.UnixNano()),
		grants:      map[uint64]*entry{},
		offered:     map[policy.Key]*entry{},
		running:     map[policy.Key]*entry{},
	}
}

// offer assigns a grant ID to an entry and records it as a grant.
func (l *ledger) offer(e *entry) {
	l.lastGrantID++
	e.grantID = l.lastGrantID
	l.grants[e.grantID] = e
	l.offered[e.key] = e
}

// accept moves an entry from the grants to the slots in use. The entry of an
// adopted slot is added without having been a grant.
func (l *ledger) accept(e *entry, now time.Time) {
	l.removeOffer(e)
	e.accepted = true
	e.started = now
	l.running[e.key] = e
}

// remove deletes an entry.
func (l *ledger) remove(e *entry) {
	if e.accepted {
		delete(l.running, e.key)
		return
	}
	l.removeOffer(e)
}

func (l *ledger) removeOffer(e *entry) {
	if l.offered[e.key] == e {
		delete(l.offered, e.key)
	}
	delete(l.grants, e.grantID)
}

// entriesWhere returns the entries that match, sorted by key so that decisions do
// not depend on map order.
func (l *ledger) entriesWhere(match func(*entry) bool) []*entry {
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
