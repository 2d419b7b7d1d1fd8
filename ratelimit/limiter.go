package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/gossip"
)

// Limiter decides whether the local daemon may send a request to a server now. It is safe
// for concurrent use.
type Limiter struct {
	self    string
	log     *log.Logger
	limited metrics.Gauge
	// epoch is the origin of the clock for slots, which ignores later changes of the wall
	// clock.
	epoch time.Time
	// synced is opened when the limits known to other daemons have been received.
	synced *gossip.Gate

	mu      sync.Mutex
	owners  *owners
	servers map[backend.Instance]*serverLimit
}

// serverLimit is what is known of the limit of one server. Servers that never stated a
// limit have none.
type serverLimit struct {
	statement Statement
	// schedule is nil if the limit has ended.
	schedule *schedule
	// roundsLeft is the number of exchange rounds in which the statement is still sent
	// as a change.
	roundsLeft int
}

// New returns a Limiter for the daemon with the given name. It permits no requests to limited
// servers before the first call of SetView.
func New(self string, logger *log.Logger, registry metrics.Registry) *Limiter {
	return &Limiter{
		self: self, log: logger, epoch: time.Now(), owners: newOwners(), servers: map[backend.Instance]*serverLimit{},
		synced:  gossip.NewGate(),
		limited: metrics.GetOrRegisterGauge("ratelimit.servers", registry),
	}
}

// MarkSynced records that the limits known to other daemons have been received, or that
// there are no other daemons.
func (l *Limiter) MarkSynced() { l.synced.Open() }

// AwaitSync waits until the limits known to other daemons have been received, for a limited
// time after New.
func (l *Limiter) AwaitSync(ctx context.Context) { l.synced.Wait(ctx) }

// SetView updates the daemons that share the limits. It must be called periodically.
func (l *Limiter) SetView(v View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasPaused := l.owners.paused
	l.owners.update(v, now)
	if l.owners.paused != wasPaused {
		l.log.Info("use of rate-limited servers paused or resumed", "paused", l.owners.paused,
			"alive", len(v.Alive), "daemons", len(l.owners.names), "records_age_ms", v.RecordsAge.Milliseconds())
	}
}

// Observe records the statement in a response that the local daemon got from a server.
func (l *Limiter) Observe(server backend.Instance, s Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(server, s, l.self)
}

// apply records a statement that the local daemon heard or another one told. The caller must hold
// l.mu.
func (l *Limiter) apply(server backend.Instance, s Statement, source string) {
	known := l.servers[server]
	switch {
	case known == nil && !s.Limited && source == l.self:
		return
	case known == nil:
		known = &serverLimit{}
		l.servers[server] = known
	case known.statement.sameAs(s):
		if source == l.self {
			known.statement.confirm(s)
		}
		return
	case !s.replaces(known.statement):
		return
	}
	known.statement = s
	known.schedule = nil
	if s.Limited {
		known.schedule = newSchedule(server.ID, s.PerSecond, l.clock(s.HeardAt))
	}
	known.roundsLeft = gossip.ChangeRounds
	l.limited.Update(l.limitedCount())
	l.log.Info("rate limit of a server changed", "server", server.ID, "limited", s.Limited, "per_second", s.PerSecond, "source", source)
}

// limitedCount returns the number of servers with a limit. The caller must hold l.mu.
func (l *Limiter) limitedCount() int64 {
	n := int64(0)
	for _, s := range l.servers {
		if s.schedule != nil {
			n++
		}
	}
	return n
}

// clock converts a time to the clock of slots.
func (l *Limiter) clock(now time.Time) int64 { return l.epoch.UnixNano() + int64(now.Sub(l.epoch)) }

// Permitted reports whether the local daemon may send a request to a server now.
func (l *Limiter) Permitted(server backend.Instance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.current(server, now)
	return s == nil || !l.owners.paused && len(s.permits) > 0
}

// Take is Permitted and uses the permit.
func (l *Limiter) Take(server backend.Instance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.current(server, now)
	return s == nil || !l.owners.paused && s.take()
}

// NextPermit returns the time until the local daemon may send a request to a limited
// server. It returns false if that is beyond the horizon.
func (l *Limiter) NextPermit(server backend.Instance, now time.Time, horizon time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.current(server, now)
	if s == nil {
		return 0, true
	}
	if l.owners.paused {
		return 0, false
	}
	if len(s.permits) > 0 {
		return 0, true
	}
	return s.nextPermit(l.clock(now), int64(horizon), l.owners.ring, l.self)
}

// current returns the up-to-date schedule of a server, or nil if it has no limit. The
// caller must hold l.mu.
func (l *Limiter) current(server backend.Instance, now time.Time) *schedule {
	known := l.servers[server]
	if known == nil || known.schedule == nil {
		return nil
	}
	known.schedule.advance(l.clock(now), l.owners.ring, l.self)
	return known.schedule
}

// Forget removes the limits of servers that are not known any more.
func (l *Limiter) Forget(isKnown func(backend.Instance) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server := range l.servers {
		if !isKnown(server) {
			delete(l.servers, server)
		}
	}
	l.limited.Update(l.limitedCount())
}
