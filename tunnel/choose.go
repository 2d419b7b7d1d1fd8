package tunnel

import (
	"maps"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/placement"
)

const (
	// isolatedPause is how long a daemon that has lost its path to the servers isn't asked again.
	isolatedPause = 2 * time.Second
	// isolatedTime is how long after that it is asked only if there is no other.
	isolatedTime = 10 * time.Second
	// unreachablePause is how long a daemon isn't asked again for a server that it doesn't reach.
	unreachablePause = time.Second
	// failedPause is how long a daemon isn't asked again after no stream could be opened to it.
	failedPause = 500 * time.Millisecond
	// searchPause is how long no daemon is asked for a server that several didn't reach.
	searchPause = time.Second
	// maxAttempts is the number of daemons asked for one tunnel. After maxMisses searches in a row for servers that
	// other daemons don't reach either, it is one: these servers are down.
	maxAttempts = 3
	maxMisses   = 3
	// After maxFailedSearches for any servers in a row no daemon is asked at all for a pause that doubles up to
	// maxSearchPause.
	maxFailedSearches = 3
	minSearchPause    = 250 * time.Millisecond
	maxSearchPause    = 2 * time.Second
	maxPauseDoublings = 3
	// Daemons through which a tunnel was opened within workingTime are preferred if there are minWorking, or
	// after another daemon opened none.
	workingTime = 5 * time.Second
	minWorking  = 3
	// otherDomainTunnels is the cost of a daemon in another failure domain, in tunnels.
	otherDomainTunnels = 4
)

// directory holds what the local daemon knows of other daemons as ways to servers.
type directory struct {
	daemons map[string]*daemonState
	// pauses holds until when a daemon isn't asked for a server.
	pauses map[pauseKey]time.Time
	// searches holds until when no daemon is asked for a server.
	searches map[backend.Instance]time.Time
	// failedSearches is the number of searches that failed in a row, pausedUntil until when none is begun.
	failedSearches int
	pausedUntil    time.Time
	// misses is the number of searches in a row in which daemons that have their path didn't reach the server.
	misses int
}

type pauseKey struct {
	daemon string
	server backend.Instance
}

// daemonState is what is known of one daemon.
type daemonState struct {
	// open is the number of tunnels that the local daemon has open through it.
	open int
	// reported is the number of all tunnels that it carried at its last reply.
	reported int
	// pausedUntil is until when it isn't asked.
	pausedUntil time.Time
	// openedAt is when a tunnel was last opened through it.
	openedAt time.Time
	// isolatedAt is when it last said that it has lost its path to the servers.
	isolatedAt time.Time
}

func newDirectory() directory {
	return directory{daemons: map[string]*daemonState{}, pauses: map[pauseKey]time.Time{}, searches: map[backend.Instance]time.Time{}}
}

func (d *directory) state(daemon string) *daemonState {
	st := d.daemons[daemon]
	if st == nil {
		st = &daemonState{}
		d.daemons[daemon] = st
	}
	return st
}

// choose returns the better of two random daemons of those that may be asked for a server. Two random ones
// rather than the best one, so that daemons with the same view don't all choose the same. It returns
// false if there is none.
func (d *directory) choose(fleet placement.Fleet, server backend.Instance, again bool, now time.Time, randN func(int) int) (string, bool) {
	candidates := d.candidates(fleet.Others, server, again, now)
	if len(candidates) == 0 {
		return "", false
	}
	a, b := candidates[randN(len(candidates))], candidates[randN(len(candidates))]
	if d.cost(b, fleet.Self.Domain) < d.cost(a, fleet.Self.Domain) {
		a = b
	}
	return a.Name, true
}

// candidates returns the daemons that may be asked for a server: those that worked lately if these aren't few,
// otherwise those that weren't isolated lately, otherwise all. The flag again is set if another daemon was asked
// before.
func (d *directory) candidates(others []placement.Peer, server backend.Instance, again bool, now time.Time) []placement.Peer {
	if now.Before(d.searches[server]) || now.Before(d.pausedUntil) {
		return nil
	}
	var all, connected, working []placement.Peer
	for _, p := range others {
		if !d.mayAsk(p.Name, server, now) {
			continue
		}
		all = append(all, p)
		st := d.daemons[p.Name]
		if st == nil || now.Sub(st.isolatedAt) > isolatedTime {
			connected = append(connected, p)
		}
		if st != nil && now.Sub(st.openedAt) < workingTime {
			working = append(working, p)
		}
	}
	switch {
	case len(working) >= minWorking || again && len(working) > 0:
		return working
	case len(connected) > 0:
		return connected
	}
	return all
}

func (d *directory) mayAsk(daemon string, server backend.Instance, now time.Time) bool {
	st := d.daemons[daemon]
	return (st == nil || !now.Before(st.pausedUntil)) && !now.Before(d.pauses[pauseKey{daemon, server}])
}

// cost is the number of tunnels that a daemon carries, and more in another failure domain.
func (d *directory) cost(p placement.Peer, domain string) int {
	cost := 0
	if st := d.daemons[p.Name]; st != nil {
		cost = max(st.open, st.reported)
	}
	if p.Domain != domain {
		cost += otherDomainTunnels
	}
	return cost
}

// record records the outcome of a request to a daemon. The reply is nil if there was none.
func (d *directory) record(daemon string, server backend.Instance, reply *openReply, err error, now time.Time) {
	st := d.state(daemon)
	if reply != nil {
		st.reported = int(reply.Tunnels)
	}
	switch {
	case err == nil:
		st.open++
		st.openedAt, st.isolatedAt = now, time.Time{}
		d.failedSearches, d.misses = 0, 0
		delete(d.pauses, pauseKey{daemon, server})
	case reply == nil || reply.Result == unknownDaemon:
		st.pausedUntil = now.Add(failedPause)
	case reply.Isolated:
		st.pausedUntil, st.isolatedAt = now.Add(isolatedPause), now
	case reply.Result == busy:
		st.pausedUntil = now.Add(time.Duration(reply.RetryAfterMs) * time.Millisecond)
	case reply.Result == heldOff:
		d.pauses[pauseKey{daemon, server}] = now.Add(time.Duration(reply.RetryAfterMs) * time.Millisecond)
	default:
		d.pauses[pauseKey{daemon, server}] = now.Add(unreachablePause)
	}
}

// attempts returns the number of daemons that may be asked for a tunnel now.
func (d *directory) attempts() int {
	if d.misses >= maxMisses {
		return 1
	}
	return maxAttempts
}

// searchFailed records that no daemon opened a tunnel to a server. Of those that were asked and have their path to the
// servers, notReached don't reach it.
func (d *directory) searchFailed(server backend.Instance, notReached int, now time.Time) {
	if notReached > 0 {
		d.misses++
	}
	if notReached > 1 || notReached == d.attempts() {
		d.searches[server] = now.Add(searchPause)
	}
	d.failedSearches++
	if beyond := d.failedSearches - maxFailedSearches; beyond >= 0 {
		d.pausedUntil = now.Add(min(maxSearchPause, minSearchPause<<min(beyond, maxPauseDoublings)))
	}
}

// closed records that a tunnel through a daemon was closed.
func (d *directory) closed(daemon string) {
	st := d.state(daemon)
	st.open--
	st.reported = max(0, st.reported-1)
}

// forget removes daemons that are gone and pauses that are over.
func (d *directory) forget(others []placement.Peer, now time.Time) {
	alive := map[string]bool{}
	for _, p := range others {
		alive[p.Name] = true
	}
	maps.DeleteFunc(d.daemons, func(name string, st *daemonState) bool { return !alive[name] && st.open == 0 })
	maps.DeleteFunc(d.pauses, func(_ pauseKey, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(d.searches, func(_ backend.Instance, until time.Time) bool { return !now.Before(until) })
}
