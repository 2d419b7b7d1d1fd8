package forward

import (
	"math/rand/v2"
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// sharedSlotRatio is the ratio of running requests to slots below which a fragile server is used without regard
	// to who owns its slots.
	sharedSlotRatio = 0.5
	// minSlotsPerDaemon is the number of slots for each daemon that this takes: the running requests of other daemons
	// are known with a delay, in which each may send some.
	minSlotsPerDaemon = 2
	// roomPoll is the time between two checks for room at fragile servers.
	roomPoll = 10 * time.Millisecond
)

// withRoom is the filter for servers that have no room and would fail under refusals. If one server of a service says
// that it does, that holds for all of them.
func (q *request) withRoom(servers []*backend.Server) ([]*backend.Server, obstacle) {
	q.fragile = q.cfg.Notices.AnyFragile(servers)
	if !q.fragile {
		return servers, obstacle{}
	}
	var out []*backend.Server
	for _, s := range servers {
		if q.hasRoom(s, 0) {
			out = append(out, s)
		}
	}
	return out, obstacle{err: errOverloaded, wait: roomPoll, retryAfter: serverFullRetryAfter + rand.N(serverFullRetryAfter)}
}

// hasRoom reports whether a server may get another request, not counting some of the local ones. The daemons
// together send fragile servers no more requests than these have slots.
func (q *request) hasRoom(s *backend.Server, uncounted int) bool {
	if !q.fragile || s.Slots == 0 {
		return true
	}
	local, all := q.cfg.Tracker.Running(s.Instance())
	if local-uncounted < q.cfg.SlotShares.Owned(s) {
		return true
	}
	shared := s.Slots >= minSlotsPerDaemon*q.cfg.SlotShares.Daemons()
	return shared && float64(all-uncounted) < sharedSlotRatio*float64(s.Slots)
}
