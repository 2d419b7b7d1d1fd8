package election

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/leasetest"
)

const (
	testLease = 3 * time.Second
	// callTimeout is how long a call without a response takes.
	callTimeout = 600 * time.Millisecond
	// maxTakeover is the time within which a role has a leader again: the lease, the wait of the next
	// candidate and a failed attempt.
	maxTakeover = testLease + 2*time.Second
)

// action is an action of a leader as its receiver saw it.
type action struct {
	holder string
	token  store.Revision
	at     time.Time
}

// receiver records the actions of leaders and checks their tokens.
type receiver struct {
	mu      sync.Mutex
	actions []action
	errs    []string
}

func (r *receiver) receive(a action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, old := range r.actions {
		switch {
		case old.token > a.token:
			r.errs = append(r.errs, fmt.Sprintf("%s acts with token %d after %s with %d", a.holder, a.token, old.holder, old.token))
		case old.token == a.token && old.holder != a.holder:
			r.errs = append(r.errs, fmt.Sprintf("%s and %s act with token %d", a.holder, old.holder, a.token))
		case old.holder == a.holder && a.at.Sub(old.at) < testLease && r.otherSince(i, a.holder):
			r.errs = append(r.errs, fmt.Sprintf("%s acts again %s after its last action, with another leader in between", a.holder, a.at.Sub(old.at)))
		}
	}
	r.actions = append(r.actions, a)
}

// otherSince reports whether another holder acted after the action with an index.
func (r *receiver) otherSince(i int, holder string) bool {
	for _, a := range r.actions[i+1:] {
		if a.holder != holder {
			return true
		}
	}
	return false
}

// count returns the number of actions and of what was wrong with them.
func (r *receiver) count() (actions int, errs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.actions), r.errs
}

// candidate is a daemon that stands for the role and acts while it leads.
type candidate struct {
	name     string
	fleet    *fleet
	election *Election
	stop     context.CancelFunc
	acting   sync.WaitGroup

	mu sync.Mutex
	// faults is the probability of each fault of a call to the store.
	faults map[leasetest.Fault]float64
	// resumed is closed when a pause ends; nil if there is none.
	resumed chan struct{}
	rnd     *rand.Rand
	// paused is the total time of pauses, by which a clock that stops with them is behind.
	paused time.Duration
}

// fleet is a set of candidates with one store.
type fleet struct {
	t        *testing.T
	store    *leasetest.Store
	receiver *receiver
	started  time.Time
	all      []*candidate
	// clockStops is set if the candidates' clock doesn't count pauses.
	clockStops bool
}

func newFleet(t *testing.T, n int, seed uint64) *fleet { return startFleet(t, n, seed, false) }

func startFleet(t *testing.T, n int, seed uint64, clockStops bool) *fleet {
	f := &fleet{t: t, clockStops: clockStops, store: leasetest.NewStore(), receiver: &receiver{}, started: time.Now()}
	for i := range n {
		f.all = append(f.all, &candidate{name: fmt.Sprint("daemon-", i), fleet: f, rnd: rand.New(rand.NewPCG(seed, uint64(i)))})
	}
	for _, c := range f.all {
		c.start()
	}
	return f
}

// wait blocks while the candidate is paused.
func (c *candidate) wait() {
	c.mu.Lock()
	resumed := c.resumed
	c.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// pause stops the candidate for a time, as a suspended host does.
func (c *candidate) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumed != nil {
		return
	}
	resumed := make(chan struct{})
	c.resumed = resumed
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.resumed = nil
		c.paused += d
		close(resumed)
	})
}

func (c *candidate) clock() time.Duration {
	c.wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Since(c.fleet.started)
	if c.fleet.clockStops {
		now -= c.paused
	}
	return now
}

func (c *candidate) setFaults(faults map[leasetest.Fault]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

func (c *candidate) fault(string) leasetest.Fault {
	c.wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	point := c.rnd.Float64()
	for fault := leasetest.Refused; fault <= leasetest.Delayed; fault++ {
		if point -= c.faults[fault]; point < 0 {
			return fault
		}
	}
	return leasetest.None
}

func (c *candidate) view() View {
	c.wait()
	entry, exists, at := c.fleet.store.Read(RecordKey("role"))
	return View{Entry: entry, Exists: exists, At: at, Current: true}
}

func (c *candidate) candidates() []string {
	var names []string
	for _, other := range c.fleet.all {
		names = append(names, other.name)
	}
	return names
}

// start starts the candidate and the goroutine that acts on behalf of the role.
func (c *candidate) start() {
	client := &leasetest.Client{Store: c.fleet.store, Before: c.fault, Timeout: callTimeout}
	c.election = New(Config{
		Role: "role", Name: c.name, Addr: c.name, Lease: testLease, Store: client, View: c.view, Candidates: c.candidates,
		Clock: c.clock, Log: log.New(io.Discard), Metrics: metrics.NewRegistry(),
	})
	assert.NilError(c.fleet.t, c.election.Start(c.fleet.t.Context()))
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	e := c.election
	c.acting.Go(func() { c.act(ctx, e) })
}

// act acts every 50 ms while the candidate leads. The receiver is reached at once.
func (c *candidate) act(ctx context.Context, e *Election) {
	for ctx.Err() == nil {
		c.wait()
		if t := e.Term(); t != nil {
			t.Do(ctx, func(context.Context) error {
				c.wait()
				if err := t.Check(); err != nil {
					return err
				}
				c.fleet.receiver.receive(action{c.name, t.Token, time.Now()})
				return nil
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// kill ends the candidate without a trace, as a killed process does.
func (c *candidate) kill() {
	c.stop()
	e := c.election
	e.cancel()
	<-e.done
	c.acting.Wait()
}

// leader returns the candidate that leads, or nil.
func (f *fleet) leader() *candidate {
	for _, c := range f.all {
		c.mu.Lock()
		paused := c.resumed != nil
		c.mu.Unlock()
		if !paused && c.election.Term() != nil {
			return c
		}
	}
	return nil
}

func (f *fleet) stopAll() {
	for _, c := range f.all {
		c.wait()
		c.setFaults(nil)
		c.kill()
	}
}

// awaitLeader advances time until a candidate leads, at most maxTakeover, and returns it.
func (f *fleet) awaitLeader() *candidate {
	f.t.Helper()
	for start := time.Now(); time.Since(start) < maxTakeover; time.Sleep(50 * time.Millisecond) {
		if c := f.leader(); c != nil {
			return c
		}
	}
	f.t.Fatalf("no leader after %s", maxTakeover)
	return nil
}

func (f *fleet) check() {
	f.t.Helper()
	_, errs := f.receiver.count()
	assert.Equal(f.t, len(errs), 0, "%v", errs)
}

// TestOneLeaderAtATimeUnderFaults guards against two leaders that act at once, or in turn within a lease, while
// daemons are paused, killed and cut off and the store loses responses, delays writes and comes back older.
func TestOneLeaderAtATimeUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 4, seed)
			defer f.stopAll()
			f.disturb(seed, time.Minute)
			f.check()
			actions, _ := f.receiver.count()
			assert.Assert(t, actions > 200, "only %d actions in a minute", actions)
		})
	}
}

// disturb injects random faults for a time.
func (f *fleet) disturb(seed uint64, d time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 99))
	restore := f.store.Snapshot()
	for start := time.Now(); time.Since(start) < d; time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond) {
		c := f.all[rnd.IntN(len(f.all))]
		if leader := f.leader(); leader != nil && rnd.IntN(2) == 0 {
			c = leader
		}
		switch rnd.IntN(7) {
		case 0:
			c.pause(time.Duration(rnd.IntN(6000)) * time.Millisecond)
		case 1:
			c.setFaults(map[leasetest.Fault]float64{leasetest.Fault(1 + rnd.IntN(4)): 1})
		case 2:
			c.setFaults(map[leasetest.Fault]float64{leasetest.Lost: 0.2, leasetest.ResponseLost: 0.2, leasetest.Delayed: 0.2})
		case 3:
			c.wait()
			c.kill()
			c.start()
		case 4:
			if rnd.IntN(4) == 0 { // A role rests for a lease after each.
				restore()
			}
		case 5:
			restore = f.store.Snapshot()
		default:
			c.setFaults(nil)
		}
	}
}

// TestCheckOfLeadersNoticesAClockThatStops shows that the check above fails if pauses aren't counted.
func TestCheckOfLeadersNoticesAClockThatStops(t *testing.T) {
	wrong := 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, 4, seed, true)
			defer f.stopAll()
			f.disturb(seed, time.Minute)
			_, errs := f.receiver.count()
			wrong += len(errs)
		})
	}
	assert.Assert(t, wrong > 0, "a clock that doesn't count pauses was not noticed")
}

// TestNextDaemonLeads guards against a role that nobody takes over after its leader ends in one of several ways.
func TestNextDaemonLeads(t *testing.T) {
	for name, end := range map[string]func(*candidate){
		"killed":                             func(c *candidate) { c.kill() },
		"paused":                             func(c *candidate) { c.pause(time.Minute) },
		"cut off":                            func(c *candidate) { c.setFaults(map[leasetest.Fault]float64{leasetest.Lost: 1}) },
		"responses are lost":                 func(c *candidate) { c.setFaults(map[leasetest.Fault]float64{leasetest.ResponseLost: 1}) },
		"refused by the store":               func(c *candidate) { c.setFaults(map[leasetest.Fault]float64{leasetest.Refused: 1}) },
		"store came back from an older copy": func(c *candidate) { c.fleet.store.Snapshot()(); c.kill() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, 1)
				time.Sleep(testLease)
				first := f.awaitLeader()
				end(first)
				time.Sleep(testLease)
				second := f.awaitLeader()
				assert.Assert(t, second != first)
				for _, c := range f.all {
					c.wait()
					c.setFaults(nil)
				}
				f.check()
				f.stopAll()
			})
		})
	}
}

// TestPlannedStopHandsOverAtOnce guards against a role that rests for a lease when its leader is stopped.
func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		time.Sleep(testLease)
		first := f.awaitLeader()
		stopped := time.Now()
		first.election.Resign()
		second := f.awaitLeader()
		assert.Assert(t, second != first)
		assert.Assert(t, time.Since(stopped) < time.Second, "took %s", time.Since(stopped))
		f.stopAll()
		f.check()
	})
}

// TestDaemonThatLedDoesNotLeadAgainWithinALease guards against a daemon that takes the role back right after another
// one: after a restart, and after its term ended by itself.
func TestDaemonThatLedDoesNotLeadAgainWithinALease(t *testing.T) {
	for name, end := range map[string]func(*candidate){
		"restarted": func(c *candidate) {
			c.election.Resign()
			c.kill()
			c.start()
		},
		"responses were lost": func(c *candidate) {
			c.setFaults(map[leasetest.Fault]float64{leasetest.ResponseLost: 1})
			for c.election.Term() != nil {
				time.Sleep(10 * time.Millisecond)
			}
			c.setFaults(nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 1)
				time.Sleep(testLease)
				first := f.awaitLeader()
				end(first)
				second := f.awaitLeader()
				assert.Assert(t, second != first)
				time.Sleep(100 * time.Millisecond)
				second.election.Resign()
				f.awaitLeader()
				time.Sleep(time.Second)
				f.stopAll()
				f.check()
			})
		})
	}
}

// TestCallsToTheStoreDontGrowWithTheFleet guards against renewals or attempts by each daemon.
func TestCallsToTheStoreDontGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{7, 72, 195, 410} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n, 1)
				time.Sleep(2 * testLease)
				f.awaitLeader().kill()
				time.Sleep(30*time.Second - 2*testLease)
				keeps, grants := f.store.Calls("keep"), f.store.Calls("grant")
				assert.Assert(t, keeps <= 35, "%d renewals in 30 s", keeps)
				assert.Assert(t, grants <= 6, "%d attempts", grants)
				t.Logf("30 s with one change of leader: %d renewals, %d attempts", keeps, grants)
				f.stopAll()
			})
		})
	}
}
