package budget

import "time"

const (
	// maxRecordsAge is the age up to which the records of daemons count as current.
	maxRecordsAge = 2 * time.Second
	// maxOutage is how long a daemon without current records goes on using its share.
	maxOutage = 5 * time.Second
)

// View is what a daemon knows of the daemons that share the allowance.
type View struct {
	// Daemons is the number of daemons, at least that of the records in the store.
	Daemons int
	// Registration identifies the record of the local daemon and changes when it is written anew; 0 if there is none.
	Registration int64
	// Age is the time since the records were last confirmed.
	Age time.Duration
}

// share decides which part of the allowance the local daemon may use.
//
// A process doesn't know what the one before it used, and daemons don't see each other start and stop at the same
// time. So a process uses its share only after it has been registered for a settling time, which is longer than a
// window, and divides the allowance by the highest number of daemons that it saw in that time. All daemons that use
// a share within one window were then registered together, at a moment at which each of them read the records.
type share struct {
	settling time.Duration

	registration int64
	// registeredAt is when the registration was first seen, contactAt when it was last seen in current records.
	registeredAt, contactAt time.Duration
	usable                  bool
	counts                  []daemonCount
}

// daemonCount is a number of daemons that was seen until a time.
type daemonCount struct {
	daemons int
	until   time.Duration
}

// newShare returns the share of a process that has just started. The settling time leaves, besides the window,
// time for each daemon to read the records although they are not always current.
func newShare(window time.Duration) *share {
	return &share{settling: window + 2*maxOutage + 2*maxRecordsAge}
}

// update applies the current view.
func (s *share) update(v View, now time.Duration) {
	s.recordCount(v.Daemons, now)
	if v.Age <= maxRecordsAge {
		s.recordContact(v.Registration, now)
	}
	settled := s.registration != 0 && s.contactAt-s.registeredAt >= s.settling
	s.usable = settled && now-s.contactAt <= maxOutage
}

// recordContact records which registration the current records show.
func (s *share) recordContact(registration int64, now time.Duration) {
	if registration != s.registration || now-s.contactAt > maxOutage {
		s.registeredAt = now
	}
	s.registration, s.contactAt = registration, now
}

// recordCount records the number of daemons. Counts that are below a later one are dropped, so that the first one is
// the highest.
func (s *share) recordCount(daemons int, now time.Duration) {
	for len(s.counts) > 0 && s.counts[len(s.counts)-1].daemons <= daemons {
		s.counts = s.counts[:len(s.counts)-1]
	}
	s.counts = append(s.counts, daemonCount{daemons: daemons, until: now})
	for now-s.counts[0].until > s.settling+maxRecordsAge {
		s.counts = s.counts[1:]
	}
}

// daemons returns the highest number of daemons that was seen in the settling time, at least 1.
func (s *share) daemons() int {
	if len(s.counts) == 0 {
		return 1
	}
	return max(1, s.counts[0].daemons)
}

// of returns the part of an allowance that the local daemon may use.
func (s *share) of(allowance float64) float64 {
	if !s.usable {
		return 0
	}
	return allowance / float64(s.daemons())
}
