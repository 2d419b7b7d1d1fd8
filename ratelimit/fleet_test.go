package ratelimit

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/gossip"
	"github.com/jacinththread/jacinththread/internal/ratetest"
	"github.com/jacinththread/jacinththread/peer/peertest"
)

// The bound on the requests that a limited server gets from all daemons, from settleTime
// after it first stated the limit, and the share of the limit that it must get while
// there is enough work.
const (
	boundWindow    = 4 * time.Second
	boundFactor    = 1.5
	boundAllowance = 5
	settleTime     = 3 * time.Second
	toldTime       = 500 * time.Millisecond
	minUsedShare   = 0.75
)

const (
	linkDelay = 10 * time.Millisecond
	// tick is the time between two batches of requests.
	tick = 10 * time.Millisecond
	// viewInterval is the time between two updates of the daemons' views.
	viewInterval = 500 * time.Millisecond
	// detectionTime is how long after a failure daemons count as alive, leaseTime how long
	// as registered.
	detectionTime = 2 * time.Second
	leaseTime     = 9 * time.Second
	// maxLatency is the longest time from a request's choice to its arrival, and
	// maxServiceTime the longest time until its response.
	maxLatency     = 30 * time.Millisecond
	maxServiceTime = 300 * time.Millisecond
)

// fleetSize is the size of a fleet to test. Each server gets more work than the largest limit
// that it states.
type fleetSize struct {
	daemons, servers int
	// requests is the rate of requests at each daemon, per second.
	requests float64
}

var fleetSizes = []fleetSize{{7, 5, 10}, {75, 15, 10}, {300, 24, 4}}

// server is a backend server that may state a limit. The limit is zero if it states none.
type server struct {
	backend.Instance
	limit    float64
	arrivals []time.Time
	// toldArrivals are those from daemons that a response had told a limit for toldTime.
	toldArrivals []time.Time
	running      int
}

// node is a daemon of a simulated fleet.
type node struct {
	name     string
	limiter  *Limiter
	exchange *gossip.Exchange[report]
	// up tells whether the daemon runs, changedAt since when it does or does not.
	up        bool
	changedAt time.Time
	// side is the part of the network that the daemon is in; only side 0 reaches the store.
	side  int
	cutAt time.Time
	// others are the names of the other daemons that it counts as alive.
	others []string
	// toldAt is when a response of a server first told it a limit.
	toldAt map[*server]time.Time
}

// simFleet is a fleet of daemons that send requests to servers in virtual time.
type simFleet struct {
	t       *testing.T
	net     *peertest.Network
	rnd     *rand.Rand
	size    fleetSize
	nodes   []*node
	servers []*server
	// events holds what happens in each later tick.
	events map[int64][]func()
	// mu guards the daemons' lists of others, which their exchanges read.
	mu sync.Mutex
}

func newSimFleet(t *testing.T, size fleetSize) *simFleet {
	f := &simFleet{t: t, net: peertest.NewNetwork(1), size: size, events: map[int64][]func(){}, rnd: rand.New(rand.NewPCG(uint64(size.daemons), 1))}
	f.net.SetDelay(linkDelay, linkDelay)
	for i := range size.servers {
		f.servers = append(f.servers, &server{Instance: backend.Instance{ID: fmt.Sprint("server-", i)}})
	}
	for range size.daemons {
		f.join()
	}
	return f
}

// join starts a daemon that knows no limits.
func (f *simFleet) join() {
	n := &node{name: fmt.Sprint("daemon-", len(f.nodes)), up: true, changedAt: time.Now()}
	f.nodes = append(f.nodes, n)
	f.start(n)
}

// start starts a daemon, or starts it again without what it knew.
func (f *simFleet) start(n *node) {
	n.up, n.changedAt = true, time.Now()
	n.toldAt = map[*server]time.Time{}
	n.limiter = New(n.name, log.New(io.Discard), metrics.NewRegistry())
	n.exchange = NewExchange(n.limiter, f.net.Bus(n.name), func() []string { return f.othersOf(n) }, log.New(io.Discard), metrics.NewRegistry())
	f.setView(n, f.viewOf(n))
	assert.NilError(f.t, n.exchange.Start(f.t.Context()))
}

// serves reports whether the daemon doesn't make requests wait for the others' limits.
func (n *node) serves() bool { return n.limiter.synced.IsOpen() }

func (f *simFleet) kill(n *node) {
	n.up, n.changedAt = false, time.Now()
	n.exchange.Stop(context.Background())
	f.net.Remove(n.name)
}

// cut separates the nodes from the others and from the store.
func (f *simFleet) cut(nodes []*node) {
	for _, n := range nodes {
		n.side, n.cutAt = 1, time.Now()
		for _, m := range f.nodes {
			if !slices.Contains(nodes, m) {
				f.net.Cut(n.name, m.name)
				f.net.Cut(m.name, n.name)
			}
		}
	}
}

// seesFor reports whether m counts as present for n, delay after the two lost contact.
func (f *simFleet) seesFor(n, m *node, delay time.Duration) bool {
	now := time.Now()
	if !m.up {
		return now.Sub(m.changedAt) < delay
	}
	if n.side != m.side {
		return now.Sub(maxTime(n.cutAt, m.cutAt)) < delay
	}
	return true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// viewOf returns the view of a daemon, which is that of all daemons of its side. Daemons that
// are cut off from the store keep the registrations that they knew.
func (f *simFleet) viewOf(n *node) View {
	var v View
	for _, m := range f.nodes {
		if m == n || f.seesFor(n, m, detectionTime) {
			v.Alive = append(v.Alive, m.name)
		}
		if n.side != 0 || f.seesFor(n, m, leaseTime) {
			v.Registered = append(v.Registered, m.name)
		}
	}
	if n.side != 0 {
		v.RecordsAge = time.Since(n.cutAt)
	}
	return v
}

func (f *simFleet) setView(n *node, v View) {
	f.mu.Lock()
	n.others = v.Alive
	f.mu.Unlock()
	n.limiter.SetView(v, time.Now())
}

// othersOf returns the names of the other daemons that n counts as alive.
func (f *simFleet) othersOf(n *node) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.others), func(name string) bool { return name == n.name })
}

// setViews gives all daemons their current views.
func (f *simFleet) setViews() {
	views := map[int]View{}
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		if _, ok := views[n.side]; !ok {
			views[n.side] = f.viewOf(n)
		}
		f.setView(n, views[n.side])
	}
}

// run sends requests for a time.
func (f *simFleet) run(length time.Duration) {
	end := time.Now().Add(length)
	nextViews := time.Now()
	due := 0.0
	for time.Now().Before(end) {
		if !time.Now().Before(nextViews) {
			nextViews = nextViews.Add(viewInterval)
			f.setViews()
		}
		f.runEvents()
		for due += f.size.requests * float64(len(f.nodes)) * tick.Seconds(); due >= 1; due-- {
			f.request()
		}
		time.Sleep(tick)
	}
}

// request sends a request through a random daemon to the permitted server with the fewest
// running requests.
func (f *simFleet) request() {
	n := f.nodes[f.rnd.IntN(len(f.nodes))]
	if !n.up || !n.serves() {
		return
	}
	var best *server
	first := f.rnd.IntN(len(f.servers))
	for i := range f.servers {
		s := f.servers[(first+i)%len(f.servers)]
		if (best == nil || s.running < best.running) && n.limiter.Permitted(s.Instance, time.Now()) {
			best = s
		}
	}
	assert.Assert(f.t, best != nil)
	assert.Assert(f.t, n.limiter.Take(best.Instance, time.Now()))
	best.running++
	limiter, sentAt := n.limiter, time.Now()
	limit := 0.0
	f.after(time.Duration(f.rnd.Int64N(int64(maxLatency))), func() { best.arrive(n.toldAt) })
	wait := maxLatency + time.Duration(f.rnd.Int64N(int64(maxServiceTime)))
	f.after(wait/2, func() { limit = best.limit })
	f.after(wait, func() {
		best.running--
		if _, told := n.toldAt[best]; limit > 0 && !told {
			n.toldAt[best] = time.Now()
		}
		limiter.Observe(best.Instance, Statement{Limited: limit > 0, PerSecond: limit, SentAt: sentAt, HeardAt: time.Now()})
	})
}

// after schedules a call, rounded down to a tick.
func (f *simFleet) after(d time.Duration, call func()) {
	at := max(tickOf(time.Now())+1, tickOf(time.Now().Add(d)))
	f.events[at] = append(f.events[at], call)
}

// runEvents makes the calls that are due.
func (f *simFleet) runEvents() {
	now := tickOf(time.Now())
	for _, call := range f.events[now] {
		call()
	}
	delete(f.events, now)
}

func tickOf(t time.Time) int64 { return t.UnixNano() / int64(tick) }

// arrive records the arrival of a request from a daemon that was told limits at the given times.
func (s *server) arrive(toldAt map[*server]time.Time) {
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	if told, ok := toldAt[s]; ok && now.Sub(told) >= toldTime {
		s.toldArrivals = append(s.toldArrivals, now)
	}
}

// arrivalsSince returns the arrivals at a server since t.
func (s *server) arrivalsSince(t time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(s.arrivals, t, time.Time.Compare)
	return s.arrivals[i:]
}

// check checks the bound on the server's arrivals since t and, if use is set, that the
// limit was used.
func (f *simFleet) check(s *server, since time.Time, limit float64, use bool, what string) {
	f.t.Helper()
	arrivals := s.arrivalsSince(since.Add(settleTime))
	most := ratetest.MaxInWindow(arrivals, boundWindow)
	allowed := boundFactor*limit*boundWindow.Seconds() + boundAllowance
	assert.Check(f.t, float64(most) <= allowed, "%s: %d requests in %v, allowed %.1f", what, most, boundWindow, allowed)
	length := time.Since(since.Add(settleTime)).Seconds()
	f.t.Logf("%s: limit %.1f, at most %d in %v (allowed %.1f), used %.0f in 100 of the limit", what, limit, most, boundWindow, allowed, 100*float64(len(arrivals))/(limit*length))
	if use {
		assert.Check(f.t, float64(len(arrivals)) >= minUsedShare*limit*length, "%s: %d requests in %.0f s at a limit of %.1f a second", what, len(arrivals), length, limit)
	}
}

// checkMean checks that all daemons together keep the limit itself since t.
func (f *simFleet) checkMean(s *server, since time.Time, limit float64) {
	f.t.Helper()
	got, length := float64(len(s.arrivalsSince(since))), time.Since(since).Seconds()
	assert.Check(f.t, got <= limit*length+boundAllowance, "%.0f requests in %.0f s at a limit of %.1f a second", got, length, limit)
}

// checkTold checks the bound from the first statement on, for the daemons that were told.
func (f *simFleet) checkTold(s *server, limit float64) {
	f.t.Helper()
	most := ratetest.MaxInWindow(s.toldArrivals, boundWindow)
	allowed := boundFactor*limit*boundWindow.Seconds() + boundAllowance
	assert.Check(f.t, float64(most) <= allowed, "from the first statement on: %d requests in %v, allowed %.1f", most, boundWindow, allowed)
	assert.Check(f.t, most > 0, "no daemon was told")
}

// limits are the limits to test, in requests per second.
var limits = []float64{1, 1.3, 4, 30}

// forEachFleet runs a scenario for each size. The first servers state the limits
// of the same index.
func forEachFleet(t *testing.T, scenario func(f *simFleet, limited []*server, named time.Time)) {
	t.Parallel()
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.daemons, "_daemons"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, size)
				f.run(3 * time.Second)
				limited := f.servers[:len(limits)]
				if size.daemons == fleetSizes[0].daemons {
					limited = limited[:len(limits)-1] // Seven daemons have too little work for the largest limit.
				}
				for i, s := range limited {
					s.limit = limits[i]
				}
				scenario(f, limited, time.Now())
				for _, n := range f.nodes {
					if n.up {
						n.exchange.Stop(context.Background())
					}
				}
				synctest.Wait()
				time.Sleep(time.Second)
			})
		})
	}
}

func TestFleetKeepsTheLimitAndUsesIt(t *testing.T) {
	forEachFleet(t, func(f *simFleet, limited []*server, named time.Time) {
		f.run(40 * time.Second)
		for i, s := range limited {
			f.check(s, named, limits[i], true, "steady")
			f.checkTold(s, limits[i])
		}
	})
}

func TestFleetFollowsALimitThatChangesAndEnds(t *testing.T) {
	forEachFleet(t, func(f *simFleet, limited []*server, _ time.Time) {
		for _, factor := range []float64{3, 1, 0.5, 2} {
			for i, s := range limited {
				s.limit = max(1, factor*limits[i])
			}
			changed := time.Now()
			f.run(20 * time.Second)
			for i, s := range limited {
				f.check(s, changed, max(1, factor*limits[i]), i < 3 && factor < 3, fmt.Sprint("changed by ", factor))
			}
		}
		for _, s := range limited {
			s.limit = 0
		}
		f.run(10 * time.Second)
		for _, n := range f.nodes {
			for _, s := range limited {
				assert.Check(f.t, n.limiter.Permitted(s.Instance, time.Now()), "%s still limits %s", n.name, s.ID)
			}
		}
	})
}

func TestFleetKeepsTheLimitWhileDaemonsJoinAndAreKilled(t *testing.T) {
	forEachFleet(t, func(f *simFleet, limited []*server, named time.Time) {
		size := len(f.nodes)
		f.run(5 * time.Second)
		for range 3 {
			var killed []*node
			for _, n := range f.nodes[:max(1, size/5)] {
				f.kill(n)
				killed = append(killed, n)
			}
			f.run(4 * time.Second)
			for _, n := range killed {
				f.start(n)
			}
			for range 5 {
				for range max(1, size/50) {
					f.join()
				}
				f.run(400 * time.Millisecond)
			}
			f.run(4 * time.Second)
		}
		for i, s := range limited {
			f.check(s, named, limits[i], false, "joins and kills")
			f.checkTold(s, limits[i])
		}
		after := time.Now()
		f.run(20 * time.Second)
		for i, s := range limited {
			f.check(s, after, limits[i], true, "after joins and kills")
		}
	})
}

func TestLostDaemonsLeaveTheirShareToTheOthers(t *testing.T) {
	forEachFleet(t, func(f *simFleet, limited []*server, _ time.Time) {
		for _, n := range f.nodes[:2*len(f.nodes)/5] {
			f.kill(n)
		}
		f.run(leaseTime + reclaimDelay)
		after := time.Now()
		f.run(30 * time.Second)
		for i, s := range limited[:2] {
			f.check(s, after, limits[i], true, "after a loss")
		}
	})
}

func TestFleetKeepsTheLimitWhilePartsAreCutOff(t *testing.T) {
	forEachFleet(t, func(f *simFleet, limited []*server, named time.Time) {
		f.run(5 * time.Second)
		for _, share := range []float64{0.15, 0.3, 0.5} {
			cut := f.nodes[:max(1, int(share*float64(len(f.nodes))))]
			f.cut(cut)
			f.run(leaseTime + reclaimDelay + time.Second)
			reclaimed := time.Now()
			f.run(10 * time.Second)
			for i, s := range limited {
				f.checkMean(s, reclaimed, limits[i])
			}
			f.heal(cut)
			f.run(10 * time.Second)
		}
		for i, s := range limited {
			f.check(s, named, limits[i], false, "cuts")
			f.checkTold(s, limits[i])
		}
	})
}

// The larger part of the fleet loses the smaller one and the store.
func TestFleetKeepsTheLimitWhileTheLargerPartLosesTheStore(t *testing.T) {
	forEachFleet(t, func(f *simFleet, limited []*server, named time.Time) {
		f.run(5 * time.Second)
		f.cut(f.nodes[:8*len(f.nodes)/10])
		f.run(leaseTime + reclaimDelay + time.Second)
		reclaimed := time.Now()
		f.run(10 * time.Second)
		for i, s := range limited {
			f.check(s, named, limits[i], false, "larger part without the store")
			f.checkMean(s, reclaimed, limits[i])
		}
	})
}

// heal ends a cut.
func (f *simFleet) heal(nodes []*node) {
	for _, n := range nodes {
		n.side = 0
		for _, m := range f.nodes {
			f.net.Heal(n.name, m.name)
			f.net.Heal(m.name, n.name)
		}
	}
}
