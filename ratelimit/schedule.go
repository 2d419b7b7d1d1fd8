package ratelimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/hashring"
)

const (
	// usedShare is the share of a limit that is used. The rest allows for daemons whose
	// views of the fleet differ for a moment.
	usedShare = 0.95
	// minRate is the lowest rate, in requests per second, at which a server gets requests.
	// Without requests, daemons would never hear that its limit has ended.
	minRate = 0.25
	// maxSlotsPerSecond bounds the work for one server. Above this rate a slot permits
	// several requests.
	maxSlotsPerSecond = 20.0
	// A permit is valid for baseValidity and the time in which the rate gives
	// extraPermits more permits.
	baseValidity = time.Second
	extraPermits = 2.0
)

// schedule holds the permits that the local daemon has at one server. Times are on the
// clock of the Limiter, in nanoseconds since the Unix epoch.
type schedule struct {
	server string
	// rate is in requests per second.
	rate       float64
	slotLength int64
	validity   int64
	// nextSlot is the first slot that was not examined yet.
	nextSlot int64
	// permits holds the unused permits, oldest first.
	permits []permit
}

// permit allows a number of requests until it expires.
type permit struct {
	requests int
	expires  int64
}

// newSchedule returns the schedule of a server for a limit in requests per second. Slots
// that began before now are not used.
func newSchedule(server string, perSecond float64, now int64) *schedule {
	rate := usedShare * max(perSecond, minRate)
	s := &schedule{server: server, rate: rate}
	s.slotLength = int64(float64(time.Second) / min(rate, maxSlotsPerSecond))
	s.validity = int64(baseValidity) + int64(extraPermits/rate*float64(time.Second))
	s.nextSlot = now/s.slotLength + 1
	return s
}

// requestsIn returns the number of requests that a slot permits.
func (s *schedule) requestsIn(slot int64) int {
	if s.rate <= maxSlotsPerSecond {
		return 1
	}
	perSlot := s.rate / maxSlotsPerSecond
	return int(math.Floor(float64(slot+1)*perSlot) - math.Floor(float64(slot)*perSlot))
}

// advance collects the permits of the slots that have begun and drops expired ones.
func (s *schedule) advance(now int64, r *hashring.Ring, self string) {
	s.nextSlot = max(s.nextSlot, (now-s.validity)/s.slotLength)
	for ; s.nextSlot*s.slotLength <= now; s.nextSlot++ {
		if r.Owner(slotHash(s.server, s.nextSlot)) == self {
			s.permits = append(s.permits, permit{s.requestsIn(s.nextSlot), s.nextSlot*s.slotLength + s.validity})
		}
	}
	for len(s.permits) > 0 && (s.permits[0].expires <= now || s.permits[0].requests == 0) {
		s.permits = s.permits[1:]
	}
}

// take uses a permit for one request. It returns false if there is none.
func (s *schedule) take() bool {
	if len(s.permits) == 0 {
		return false
	}
	s.permits[0].requests--
	if s.permits[0].requests == 0 {
		s.permits = s.permits[1:]
	}
	return true
}

// nextPermit returns the time until the local daemon's next slot that begins within the
// horizon, or false if there is none. It must be called after advance.
func (s *schedule) nextPermit(now, horizon int64, r *hashring.Ring, self string) (time.Duration, bool) {
	for slot := s.nextSlot; slot*s.slotLength <= now+horizon; slot++ {
		if s.requestsIn(slot) > 0 && r.Owner(slotHash(s.server, slot)) == self {
			return time.Duration(slot*s.slotLength - now), true
		}
	}
	return 0, false
}

// slotHash returns the hash by which a slot of a server is assigned to a daemon.
func slotHash(server string, slot int64) uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(server), uint64(slot))
	return xxhash.Sum64(b)
}
