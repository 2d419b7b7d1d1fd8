package scheduler

import "time"

// entry is one slot that is granted or in use.
type entry struct {
	gateway  string
	id       uint64
	grantID  uint64
	pool     string
	server   string
	class    string
	customer string
	accepted bool
	// expires is when a grant that is not accepted is taken back.
	expires time.Time
	started time.Time
	waiting *reservation
}

// runKey identifies a request in flight on a server.
type runKey struct {
	gateway string
	id      uint64
	server  string
}

// requestKey identifies a request of a gateway.
type requestKey struct {
	gateway string
	id      uint64
}

// ledger records the slots in use, by grant and by request.
type ledger struct {
	nextGrant uint64
	grants    map[uint64]*entry
	offered   map[requestKey]*entry
	running   map[runKey]*entry
}

// newLedger numbers grants from the current time so that the grants of an
// earlier process of the same name are not mistaken for its own.
func newLedger(now time.Time) ledger {
	return ledger{
		nextGrant: uint64(now.UnixNano()),
		grants:    map[uint64]*entry{},
		offered:   map[requestKey]*entry{},
		running:   map[runKey]*entry{},
	}
}

func (e *entry) runKey() runKey {
	return runKey{gateway: e.gateway, id: e.id, server: e.server}
}

func (e *entry) requestKey() requestKey {
	return requestKey{gateway: e.gateway, id: e.id}
}

// offer records a new grant.
func (l *ledger) offer(e *entry) {
	l.nextGrant++
	e.grantID = l.nextGrant
	l.grants[e.grantID] = e
	l.offered[e.requestKey()] = e
}

// accept turns an offer into a request in flight.
func (l *ledger) accept(e *entry) {
	e.accepted = true
	delete(l.grants, e.grantID)
	delete(l.offered, e.requestKey())
	l.running[e.runKey()] = e
}

// remove forgets an entry.
func (l *ledger) remove(e *entry) {
	if e.accepted {
		delete(l.running, e.runKey())
		return
	}
	delete(l.grants, e.grantID)
	delete(l.offered, e.requestKey())
}
