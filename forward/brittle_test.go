package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/fairshare"
	"github.com/jacinththread/jacinththread/hashring"
	"github.com/jacinththread/jacinththread/holdoff"
	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/notice"
	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/ratelimit"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/slotshare"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	brittleDaemons = 7
	brittleServers = 4
	// brittleSlots is the number of slots of a server, brittleWork how long a request takes there.
	brittleSlots = 6
	brittleWork  = 60 * time.Millisecond
	// brittleRefusals is the number of refusals in a second beyond which a server fails, brittleDowntime for how long.
	brittleRefusals = 6
	brittleDowntime = 2 * time.Second
	// brittleHop is the time of a message from a daemon to a server.
	brittleHop = time.Millisecond
	// allowedFailures and allowedFailureRatio bound the failures of the servers together.
	allowedFailures     = 2
	allowedFailureRatio = 0.1
)

// brittleServer is a server in virtual time that fails under many refusals.
type brittleServer struct {
	record backend.Server

	mu sync.Mutex
	// queue is the number of requests that may wait.
	queue            int
	running, waiting int
	downUntil        time.Time
	refused          []time.Time
	failures, served int
	freed            *sync.Cond
}

// run runs a request and returns its status, or zero if the server is down.
func (s *brittleServer) run() int {
	time.Sleep(brittleHop)
	defer time.Sleep(brittleHop)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return 0
	}
	if s.running >= brittleSlots && s.waiting >= s.queue {
		return s.refuse(time.Now())
	}
	s.waiting++
	for s.running >= brittleSlots {
		s.freed.Wait()
	}
	s.waiting--
	s.running++
	s.mu.Unlock()
	time.Sleep(brittleWork)
	s.mu.Lock()
	s.running--
	s.served++
	s.freed.Signal()
	return http.StatusOK
}

// refuse refuses a request, under which the server may fail. The caller must hold s.mu.
func (s *brittleServer) refuse(now time.Time) int {
	s.refused = slices.DeleteFunc(append(s.refused, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(s.refused) <= brittleRefusals {
		return http.StatusServiceUnavailable
	}
	s.failures++
	s.refused, s.downUntil = nil, now.Add(brittleDowntime)
	return 0
}

// brittleFleet is a fleet of daemons in virtual time, of which only the decisions about requests are real.
type brittleFleet struct {
	t       *testing.T
	daemons []*Forwarder
	table   *route.Table
	catalog *backend.Catalog
	servers map[string]*brittleServer
}

func newBrittleFleet(t *testing.T) *brittleFleet {
	logger := log.New(io.Discard)
	config := route.Config{Version: 1, Routes: []route.Route{{
		Name: "s", Host: "h", Prefix: "/s/", Kind: route.NonIdempotent, Timeout: 2 * time.Second, Target: 100 * time.Millisecond, MaxAttempts: 1,
		Shares: []route.Share{{Service: "s", Weight: 1}},
	}}}
	f := &brittleFleet{t: t, table: route.Compile(&config), catalog: backend.NewCatalog(logger), servers: map[string]*brittleServer{}}
	for i := range brittleServers {
		s := &brittleServer{record: backend.Server{ID: fmt.Sprint("server-", i), Service: "s", Version: "v1", Slots: brittleSlots}}
		s.freed = sync.NewCond(&s.mu)
		f.servers[s.record.ID] = s
		f.catalog.Apply([]backend.Change{{ID: s.record.ID, Server: &s.record}}, backend.Freshness{AsOf: time.Now()})
	}
	var names []string
	for i := range brittleDaemons {
		names = append(names, fmt.Sprint("daemon-", i))
	}
	network, ring := peertest.NewNetwork(1), hashring.New(names)
	network.SetDelay(brittleHop, brittleHop)
	for _, name := range names {
		f.daemons = append(f.daemons, f.startDaemon(name, names, network, ring))
	}
	return f
}

// startDaemon returns a forwarder that shares its loads with the others.
func (f *brittleFleet) startDaemon(name string, names []string, network *peertest.Network, ring *hashring.Ring) *Forwarder {
	logger, registry := log.New(io.Discard), metrics.NewRegistry()
	tracker := placement.NewTracker(uint64(len(f.daemons)+1), fairshare.NewLedger(), logger)
	fleet := placement.Fleet{Self: placement.Peer{Name: name}}
	for _, other := range names {
		if other != name {
			fleet.Others = append(fleet.Others, placement.Peer{Name: other})
		}
	}
	loads := placement.NewLoadExchange(tracker, network.Bus(name), func() placement.Fleet { return fleet }, logger, registry)
	assert.NilError(f.t, loads.Start(f.t.Context()))
	f.t.Cleanup(func() { loads.Stop(context.Background()) })
	limits := ratelimit.New(name, logger, registry)
	limits.MarkSynced()
	limits.SetView(ratelimit.View{Alive: names}, time.Now())
	holdOffs := holdoff.New(logger, registry)
	withheld := quarantine.New(name, ring.Owner, logger, registry)
	withheld.MarkSynced()
	return New(Config{
		Catalog: f.catalog, Tracker: tracker, Limits: limits, HoldOffs: holdOffs, Quarantine: withheld,
		Notices:    notice.NewReceiver(limits, holdOffs, notice.NewLeavingServers(f.catalog), logger),
		SlotShares: slotshare.New(name, func() *hashring.Ring { return ring }), Log: logger, Metrics: registry,
	})
}

// send sends a request through a daemon, as chooseServer does, and reports whether it was served.
func (f *brittleFleet) send(daemon int) bool {
	route := f.table.Match("h", "/s/")
	q := &request{
		Forwarder: f.daemons[daemon], in: &ingress.Request{Arrived: time.Now()}, table: f.table, route: route, service: "s",
		tried: map[backend.Instance]bool{},
	}
	for {
		servers, blocked := q.filterServers(q.untriedServers())
		if blocked != nil {
			if !q.await(f.t.Context(), blocked) {
				return false
			}
			continue
		}
		inFlight, _ := q.placeInTurn(servers, q.placementRequest())
		if inFlight == nil {
			return false
		}
		if !q.take(inFlight.Server) {
			inFlight.End(time.Now(), placement.Abandoned)
			continue
		}
		return f.run(q, inFlight)
	}
}

// run sends a request to the server that was chosen.
func (f *brittleFleet) run(q *request, inFlight *placement.InFlight) bool {
	sentAt := time.Now()
	status := f.servers[inFlight.Server.ID].run()
	if status == 0 {
		inFlight.End(time.Now(), placement.Failed)
		return false
	}
	q.cfg.Notices.Receive(upstream.Observation{
		Server: inFlight.Server.Instance(), Status: status, Notice: backend.Notice{MaxRefusals: brittleRefusals}, SentAt: sentAt, HeardAt: time.Now(),
	})
	if status != http.StatusOK {
		inFlight.End(time.Now(), placement.Refused)
		return false
	}
	inFlight.End(time.Now(), placement.Served)
	return true
}

// sendAll sends requests at an interval, through one daemon after the other.
func (f *brittleFleet) sendAll(length, interval time.Duration) {
	var wg sync.WaitGroup
	for i := range int(length / interval) {
		wg.Go(func() { f.send(i % brittleDaemons) })
		time.Sleep(interval)
	}
	wg.Wait()
}

// It guards against servers that fail because the daemons together overrun them, and against slots that are left free for that.
func TestBrittleServersAreUsedAndNotOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBrittleFleet(t)
		const length = 8 * time.Second
		overload := brittleWork / (2 * brittleServers * brittleSlots) // Twice what the servers can do.
		f.setQueues(24)
		f.sendAll(3*time.Second, 4*overload)
		f.setQueues(2)
		f.sendAll(length, overload)
		failures, served := 0, 0
		for _, s := range f.servers {
			failures, served = failures+s.failures, served+s.served
		}
		capacity := brittleServers * brittleSlots * int(length/brittleWork)
		t.Logf("%d failures, %d served of about %d that the servers can", failures, served, capacity)
		assert.Check(t, float64(failures) <= allowedFailures+allowedFailureRatio*brittleServers, "%d failures", failures)
		assert.Check(t, 2*served >= capacity, "%d requests served of %d that the servers could", served, capacity)
	})
}

// setQueues sets how many requests may wait at a server, and begins to count anew.
func (f *brittleFleet) setQueues(n int) {
	for _, s := range f.servers {
		s.mu.Lock()
		s.queue, s.failures, s.served = n, 0, 0
		s.mu.Unlock()
	}
}
