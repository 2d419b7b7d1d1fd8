// Package reach tracks which backend servers the local daemon reaches, and chooses between its direct
// path to a server and a tunnel through another daemon.
//
// A daemon can lose its path to servers that are sound and that other daemons still reach. Its own
// failures therefore say little about a server.
package reach

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// minTrialPause and maxTrialPause bound the time between two trials of a direct path that failed. It doubles
	// with each failure.
	minTrialPause = 250 * time.Millisecond
	maxTrialPause = 2 * time.Second
	// failedTrials bounds the paths that failed and are tried at once, so that a daemon whose path is back doesn't
	// connect to all servers. untriedTrials is the same for servers that were never tried, such as new ones.
	failedTrials  = 3
	untriedTrials = 16
	// provingTime is how long after a successful trial only single repeatable requests use a direct path on
	// which no response has arrived yet, provingInterval the time between two of them.
	provingTime     = 2 * time.Second
	provingInterval = 500 * time.Millisecond
	// minFailed is the number of servers to which connections fail, from which the daemon counts as isolated if it
	// hears from no server meanwhile. minTunneled is the same for those of them that other daemons reach, and
	// minUnanswered for servers that leave requests unanswered.
	minFailed     = 3
	minTunneled   = 2
	minUnanswered = 2
)

// Table holds what the local daemon's own connections tell about its direct paths to servers. It is safe
// for concurrent use.
type Table struct {
	log         *log.Logger
	unreachable metrics.Gauge

	mu      sync.Mutex
	servers map[backend.Instance]*serverState
	// lost is the number of servers to which connections fail.
	lost int64
	// failed, tunneled and unanswered hold the servers that began to fail in these ways since a response last arrived on
	// any direct connection, and since when. A direct connection that opens, and any part of a body, clear failed as well.
	failed, tunneled, unanswered evidence
	// heardAt is when a response last arrived on any direct connection.
	heardAt   time.Time
	isolation isolation
	// provingAt is when a request may next use a path on which no response has arrived since it failed.
	provingAt time.Time
}

// evidence holds servers and since when they fail.
type evidence map[backend.Instance]time.Time

func (e evidence) add(server backend.Instance, since time.Time) {
	if e[server].IsZero() {
		e[server] = since
	}
}

// earliest returns since when the first of the servers fails.
func (e evidence) earliest() time.Time {
	var first time.Time
	for _, at := range e {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// isolation is the assumption that the daemon has lost its path to all servers.
type isolation struct {
	// since is when the first server failed; zero if the daemon isn't isolated.
	since time.Time
	// unresponsive is set if servers accept connections and leave requests unanswered. Connections then prove
	// nothing.
	unresponsive bool
}

// serverState is what is known of the direct path to one server.
type serverState struct {
	// failures is the number of connections that failed since one was opened.
	failures int
	// firstFailure and lastFailure are when the first and the last of them failed.
	firstFailure, lastFailure time.Time
	// heardAt is when a response last arrived on a direct connection, openedAt when one was last opened.
	heardAt, openedAt time.Time
	// trialAt is when the path is to be tried next, trialPause the time after that trial to the one that
	// follows.
	trialAt    time.Time
	trialPause time.Duration
}

// NewTable returns an empty table and registers its metrics.
func NewTable(logger *log.Logger, registry metrics.Registry) *Table {
	return &Table{
		log: logger, servers: map[backend.Instance]*serverState{},
		failed: evidence{}, tunneled: evidence{}, unanswered: evidence{},
		unreachable: metrics.GetOrRegisterGauge("reach.unreachable", registry),
	}
}

// Connected records that a direct connection to a server was opened.
func (t *Table) Connected(server backend.Instance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(server)
	st.openedAt = now
	clear(t.failed) // The daemon hasn't lost its path to all servers.
	if st.failures == 0 {
		return
	}
	t.log.Info("backend server reached again", "server", server.ID, "failures", st.failures,
		"lost_ms", now.Sub(st.firstFailure).Milliseconds())
	st.failures = 0
	t.setLost(t.lost - 1)
}

// ConnectFailed records that opening a direct connection to a server failed.
func (t *Table) ConnectFailed(server backend.Instance, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(server)
	st.failures++
	st.lastFailure = now
	st.delayTrial(now)
	if st.failures > 1 { // A server that stays away is no evidence of anything new.
		return
	}
	st.firstFailure = now
	t.failed.add(server, now)
	if len(t.failed) >= minFailed {
		t.setIsolated(isolation{since: t.failed.earliest()}, now)
	}
	t.setLost(t.lost + 1)
	t.log.Info("backend server not reached", "server", server.ID, "heard_ms", sinceMs(now, st.heardAt),
		"unreachable", t.lost, "known", len(t.servers), "err", err)
}

// delayTrial sets when the path is tried next after a failure.
func (st *serverState) delayTrial(now time.Time) {
	st.trialPause = min(maxTrialPause, max(minTrialPause, 2*st.trialPause))
	st.trialAt = now.Add(st.trialPause)
}

// Tunneled records that a server to which a direct connection failed was reached through another daemon.
func (t *Table) Tunneled(server backend.Instance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tunneled.add(server, now)
	if len(t.tunneled) >= minTunneled {
		t.setIsolated(isolation{since: t.tunneled.earliest()}, now)
	}
}

// Unanswered records that a request sent on a direct connection got no response in time, or that its
// connection was lost before.
func (t *Table) Unanswered(server backend.Instance, sentAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heardAt.After(sentAt) {
		return
	}
	t.unanswered.add(server, sentAt)
	if len(t.unanswered) < minUnanswered {
		return
	}
	st := t.state(server)
	st.lastFailure = now
	st.delayTrial(now)
	t.setIsolated(isolation{since: t.unanswered.earliest(), unresponsive: true}, now)
}

// Heard records that a response of a server arrived on a direct connection.
func (t *Table) Heard(server backend.Instance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(server)
	st.heardAt, t.heardAt = now, now
	if st.failures == 0 {
		st.trialPause = 0
	}
	clear(t.failed)
	clear(t.tunneled)
	clear(t.unanswered)
	t.setIsolated(isolation{}, now)
}

// Received records that a part of the body of a response arrived on a direct connection. It shows that the daemon
// hasn't lost its path to all servers, but not that servers respond to new requests.
func (t *Table) Received() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.failed)
}

// setIsolated begins or ends the assumption that the daemon is isolated. The caller must hold t.mu.
func (t *Table) setIsolated(i isolation, now time.Time) {
	was := t.isolation
	switch {
	case was.since.IsZero() == i.since.IsZero():
		return
	case i.since.IsZero():
		t.log.Warn("path to the backend servers is back", "lost_ms", now.Sub(was.since).Milliseconds())
	default:
		t.log.Warn("path to the backend servers lost, using tunnels through other daemons", "failed", len(t.failed),
			"tunneled", len(t.tunneled), "unanswered", len(t.unanswered), "known", len(t.servers))
	}
	t.isolation = i
}

// IsIsolated reports whether the daemon counts as isolated from all servers.
func (t *Table) IsIsolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.isolation.since.IsZero()
}

// UseDirect reports whether a request uses the direct path to a server. After a failure, repeatable
// requests are the first that do again, one at a time.
func (t *Table) UseDirect(server backend.Instance, repeatable bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(server)
	switch {
	case t.isLost(st):
		return false
	case !st.isProving(now, t.isolation):
		return true
	case !repeatable || now.Before(t.provingAt):
		return false
	}
	t.provingAt = now.Add(provingInterval)
	return true
}

// IsProven reports whether the direct path to a server works as far as is known.
func (t *Table) IsProven(server backend.Instance, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(server)
	return !t.isLost(st) && !st.isProving(now, t.isolation)
}

// MayConnect reports whether connections to a server to which no tunnel can be had are opened directly although
// its path may be lost: unless the last one failed.
func (t *Table) MayConnect(server backend.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(server).failures == 0
}

// isLost reports whether the direct path to a server is lost. The caller must hold t.mu.
func (t *Table) isLost(st *serverState) bool { return st.failures > 0 || t.isolates(st) }

// isolates reports whether a server is among those that the daemon has lost its path to. The caller must
// hold t.mu.
func (t *Table) isolates(st *serverState) bool {
	since := t.isolation.since
	return !since.IsZero() && st.heardAt.Before(since) && (st.openedAt.Before(since) || st.openedAt.Before(st.lastFailure))
}

// isProving reports whether a direct connection was opened after a failure and no response has arrived
// since.
func (st *serverState) isProving(now time.Time, i isolation) bool {
	failed := latest(st.lastFailure, i.since)
	if failed.IsZero() || st.heardAt.After(failed) {
		return false
	}
	return i.unresponsive || now.Sub(st.openedAt) < provingTime
}

// ProvenSince returns the time since which an idle direct connection to a server must have been used. Older
// ones may have been lost without notice.
func (t *Table) ProvenSince(server backend.Instance) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := t.isolation.since
	if st := t.servers[server]; st != nil {
		since = latest(since, st.lastFailure)
	}
	return since
}

// TakeTrials returns the servers whose direct paths are to be tried now, and delays their next trials: up to
// failedTrials of those whose paths failed, and untriedTrials of those that were never tried.
func (t *Table) TakeTrials(servers []*backend.Server, now time.Time) []*backend.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == 0 && t.isolation.since.IsZero() {
		return nil
	}
	var due []*backend.Server
	failed, untried := failedTrials, untriedTrials
	for _, i := range rand.Perm(len(servers)) {
		st := t.state(servers[i].Instance())
		if !t.isLost(st) || now.Before(st.trialAt) {
			continue
		}
		left := &failed
		if st.isUntried() {
			left = &untried
		}
		if *left == 0 {
			continue
		}
		*left--
		st.trialAt = now.Add(max(minTrialPause, st.trialPause))
		due = append(due, servers[i])
	}
	return due
}

// isUntried reports whether no direct connection to the server was opened or failed.
func (st *serverState) isUntried() bool { return st.failures == 0 && st.openedAt.IsZero() }

// Forget removes the servers that are not known any more.
func (t *Table) Forget(isKnown func(backend.Instance) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := t.lost
	for server, st := range t.servers {
		if isKnown(server) {
			continue
		}
		if st.failures > 0 {
			lost--
		}
		delete(t.servers, server)
		delete(t.failed, server)
		delete(t.tunneled, server)
		delete(t.unanswered, server)
	}
	t.setLost(lost)
}

// setLost sets the number of servers to which connections fail. The caller must hold t.mu.
func (t *Table) setLost(n int64) {
	t.lost = n
	t.unreachable.Update(n)
}

// state returns the state of a server and creates it if necessary. The caller must hold t.mu.
func (t *Table) state(server backend.Instance) *serverState {
	st := t.servers[server]
	if st == nil {
		st = &serverState{}
		t.servers[server] = st
	}
	return st
}

// sinceMs returns the milliseconds since a time, or -1 if it is zero.
func sinceMs(now, since time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
