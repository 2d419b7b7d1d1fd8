// Package holdoff keeps requests away from backend servers that asked for none for a time
// (Retry-After in a refusal).
//
// A server asks the host that it answers. For a request that went through a tunnel, that is the host of the
// daemon in the middle, which is told so.
package holdoff

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
)

// trialInterval is the time between two requests to a server whose time is over and that hasn't answered
// since.
const trialInterval = 100 * time.Millisecond

const (
	// refusedTime is the time without requests at a fragile server that refused one.
	refusedTime = time.Second
	// refusalShare is the share of the refusals that a fragile server stands that daemons may cause by coming back.
	refusalShare = 0.5
	// maxSpread bounds the time over which daemons come back to it.
	maxSpread = 4 * time.Second
)

// List holds the servers that asked for no requests. It is safe for concurrent use.
type List struct {
	log  *log.Logger
	held metrics.Gauge
	// exchange tells other daemons; nil without them.
	exchange *Exchange

	mu      sync.Mutex
	servers map[backend.Instance]*serverState
}

// serverState is what is known of a server that asked for no requests and hasn't answered since.
type serverState struct {
	until time.Time
	// trialAt is when a request may next be sent after until.
	trialAt time.Time
}

// New returns an empty list and registers its metrics.
func New(logger *log.Logger, registry metrics.Registry) *List {
	return &List{
		log: logger, servers: map[backend.Instance]*serverState{},
		held: metrics.GetOrRegisterGauge("holdoff.servers", registry),
	}
}

// Asked records that a server asked for no requests for a time, in the response to a request that went
// through another daemon or, if via is empty, directly. Of several times the one that ends last applies.
func (l *List) Asked(server backend.Instance, via string, length time.Duration, now time.Time) {
	l.hold(server, length, now, "response")
	if l.exchange != nil {
		l.exchange.tell(server, via, length)
	}
}

// Refused records that a server that fails if it refuses more than maxRefusals requests per second refused
// one. It gets none for a moment, and all daemons are told. They come back at different times, so that together
// they cause few refusals.
func (l *List) Refused(server backend.Instance, maxRefusals float64, now time.Time) {
	if l.exchange == nil {
		l.hold(server, refusedTime, now, "response")
		return
	}
	spread := l.exchange.tellAll(server, maxRefusals)
	l.hold(server, refusedTime+rand.N(spread+1), now, "response")
}

// hold keeps requests away from a server.
func (l *List) hold(server backend.Instance, length time.Duration, now time.Time, source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.servers[server]
	if st == nil {
		st = &serverState{}
		l.servers[server] = st
		l.held.Update(int64(len(l.servers)))
	}
	until := now.Add(length)
	if !until.After(st.until) {
		return
	}
	if !now.Before(st.until) {
		l.log.Info("backend server held off", "server", server.ID, "for_ms", length.Milliseconds(), "source", source)
	}
	st.until, st.trialAt = until, until
}

// Answered records that a server answered a request without asking for a time, which ends the trials
// after it.
func (l *List) Answered(server backend.Instance, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if st := l.servers[server]; st != nil && !sentAt.Before(st.until) {
		delete(l.servers, server)
		l.held.Update(int64(len(l.servers)))
	}
}

// Wait returns the time until a request may be sent to a server; zero if it may be now.
func (l *List) Wait(server backend.Instance, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.servers[server]
	if st == nil {
		return 0
	}
	return max(0, st.trialAt.Sub(now))
}

// Remaining returns the rest of the time for which a server asked for no requests.
func (l *List) Remaining(server backend.Instance, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.servers[server]
	if st == nil {
		return 0
	}
	return max(0, st.until.Sub(now))
}

// Take reports whether a request may be sent to a server now, and counts it.
func (l *List) Take(server backend.Instance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.servers[server]
	if st == nil {
		return true
	}
	if now.Before(st.trialAt) {
		return false
	}
	st.trialAt = now.Add(trialInterval)
	return true
}

// Forget removes the servers that are not known any more.
func (l *List) Forget(isKnown func(backend.Instance) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server := range l.servers {
		if !isKnown(server) {
			delete(l.servers, server)
		}
	}
	l.held.Update(int64(len(l.servers)))
}
