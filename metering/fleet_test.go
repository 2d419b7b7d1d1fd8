package metering

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/election"
	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/leasetest"
)

var testWindows = Windows{Length: 5 * time.Second, Due: 10 * time.Second}

const (
	// tolerance is how far the counts of a customer may be off, relative to the truth.
	tolerance = 0.05
	linkDelay = 5 * time.Millisecond
)

// platform receives reports and knows the truth.
type platform struct {
	mu       sync.Mutex
	began    map[int64]map[string]int64
	reports  map[int64]Report
	receipts map[int64]time.Duration
	// differing counts reports of a window that differ from an earlier one.
	differing int
	// fail returns the error of a call; lost reports take effect all the same.
	fail func() (err error, arrives bool)
}

func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

func (p *platform) ReportUsage(_ context.Context, t *election.Term, r *Report) error {
	if err := t.Check(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	err, arrives := p.fail()
	if !arrives {
		return err
	}
	if old, ok := p.reports[r.Window]; ok && !maps.Equal(old.Counts, r.Counts) {
		p.differing++
	}
	if _, ok := p.reports[r.Window]; !ok {
		p.receipts[r.Window] = unixNow()
	}
	p.reports[r.Window] = *r
	return err
}

// node is a daemon.
type node struct {
	name    string
	counter *Counter
	sender  *Sender
	leader  *Leader
	up      bool
}

// fleet is a fleet of daemons in virtual time, one of which leads.
type fleet struct {
	t        *testing.T
	net      *peertest.Network
	store    *leasetest.Store
	client   *leasetest.Client
	platform *platform
	rnd      *rand.Rand
	started  time.Time

	mu    sync.Mutex
	nodes []*node
	// term is that of the node that leads.
	term    *election.Term
	leading *node
	// faultRate is the probability of each fault of a call to the store; faults draws them.
	faultRate float64
	faults    *rand.Rand
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, net: peertest.NewNetwork(1), store: leasetest.NewStore(), rnd: rand.New(rand.NewPCG(1, 1)), started: time.Now(),
		platform: &platform{
			began: map[int64]map[string]int64{}, reports: map[int64]Report{}, receipts: map[int64]time.Duration{},
			fail: func() (error, bool) { return nil, true },
		},
		faults: rand.New(rand.NewPCG(1, 3)),
	}
	f.client = &leasetest.Client{Store: f.store, Timeout: 500 * time.Millisecond, Before: f.nextFault}
	t.Cleanup(f.stopAll)
	f.net.SetDelay(linkDelay, linkDelay)
	for i := range n {
		f.start(fmt.Sprint("daemon-", i))
		time.Sleep(time.Duration(f.rnd.IntN(20)) * time.Millisecond) // Daemons send at different times.
	}
	f.lead(f.nodes[0])
	return f
}

func (f *fleet) nextFault(string) leasetest.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	point := f.faults.Float64()
	for fault := leasetest.Refused; fault <= leasetest.Delayed; fault++ {
		if point -= f.faultRate; point < 0 {
			return fault
		}
	}
	return leasetest.None
}

// disturb makes calls to the store and the platform fail, or lose their responses.
func (f *fleet) disturb(seed uint64) {
	f.mu.Lock()
	f.faults, f.faultRate = rand.New(rand.NewPCG(seed, 3)), 0.1
	f.mu.Unlock()
	rnd := rand.New(rand.NewPCG(seed, 4))
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	f.platform.fail = func() (error, bool) {
		switch rnd.IntN(4) {
		case 0:
			return errors.New("refused"), false
		case 1:
			return errors.New("response lost"), true
		}
		return nil, true
	}
}

// clock is the daemons' clock of slots. It starts at another time at each daemon.
func (f *fleet) clock(offset time.Duration) func() time.Duration {
	return func() time.Duration { return time.Since(f.started) + offset }
}

func (f *fleet) start(name string) *node {
	clock := f.clock(time.Duration(f.rnd.IntN(1e9)) * time.Microsecond)
	n := &node{name: name, counter: testWindows.NewCounter(clock), up: true}
	bus, logger := f.net.Bus(name), log.New(io.Discard)
	n.sender = NewSender(n.counter, bus, f.leaderRecord, func() int { return len(f.nodes) }, logger, metrics.NewRegistry())
	n.leader = NewLeader(Config{
		Windows: testWindows, Store: f.client, Reporter: f.platform, Term: func() *election.Term { return f.termOf(n) },
		Daemons: f.live, Clock: clock, Bus: bus, Log: logger, Metrics: metrics.NewRegistry(),
	})
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	assert.NilError(f.t, n.sender.Start(f.t.Context()))
	assert.NilError(f.t, n.leader.Start(f.t.Context()))
	return n
}

// lead makes a node the leader under a new record in the store.
func (f *fleet) lead(n *node) {
	key := election.RecordKey(Role)
	all := &leasetest.Client{Store: f.store, Before: func(string) leasetest.Fault { return leasetest.None }}
	token, err := all.Commit(f.t.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(n.name)}}})
	assert.NilError(f.t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leading, f.term = n, election.NewTerm(Role, n.name, token, f.clock(0), math.MaxInt64)
}

func (f *fleet) leaderRecord() (string, store.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leading == nil {
		return "", 0, false
	}
	return f.leading.name, f.term.Token, true
}

func (f *fleet) termOf(n *node) *election.Term {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leading != n || !n.up {
		return nil
	}
	return f.term
}

func (f *fleet) live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, n := range f.nodes {
		if n.up {
			names = append(names, n.name)
		}
	}
	return names
}

func (f *fleet) kill(n *node) {
	f.mu.Lock()
	n.up = false
	f.mu.Unlock()
	f.net.Remove(n.name)
	n.sender.Stop(context.Background())
	n.leader.Stop(context.Background())
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		if n.up {
			f.kill(n)
		}
	}
}

// run lets servers begin requests of customers of unequal size at all daemons for a time.
func (f *fleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for start := time.Now(); time.Since(start) < d; time.Sleep(step) {
		f.begin()
	}
}

// begin lets servers begin requests at some daemons.
func (f *fleet) begin() {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	for _, n := range f.nodes {
		if !n.up || f.rnd.Float64() > max(0.2, 2/float64(len(f.nodes))) {
			continue
		}
		customer := fmt.Sprint("customer-", min(f.rnd.IntN(4), f.rnd.IntN(4)))
		window := int64(unixNow() / testWindows.Length)
		if f.platform.began[window] == nil {
			f.platform.began[window] = map[string]int64{}
		}
		f.platform.began[window][customer]++
		n.counter.Began(customer, 0)
	}
}

// check checks the reports of the windows that lie within two times and are due.
func (f *fleet) check(from, to time.Duration) {
	f.t.Helper()
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	assert.Equal(f.t, f.platform.differing, 0, "windows were reported with different counts")
	checked := 0
	for window, truth := range f.platform.began {
		end := testWindows.end(window)
		if end-testWindows.Length < from || end+testWindows.Due > to {
			continue
		}
		checked++
		r, ok := f.platform.reports[window]
		assert.Assert(f.t, ok, "window %d was not reported", window)
		assert.Assert(f.t, f.platform.receipts[window] <= end+testWindows.Due, "window %d was reported late", window)
		for customer, n := range truth {
			off := math.Abs(float64(r.Counts[customer]-n)) / float64(n)
			assert.Assert(f.t, off <= tolerance, "window %d: %s has %d requests, reported %d", window, customer, n, r.Counts[customer])
		}
	}
	assert.Assert(f.t, checked > 0, "no window was checked")
}

// TestWindowsAreReportedAsTheyWere checks counts and times at several sizes of the fleet.
func TestWindowsAreReportedAsTheyWere(t *testing.T) {
	for _, n := range []int{1, 7, 72} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				begin := unixNow()
				f.run(40 * time.Second)
				f.check(begin, unixNow())
			})
		})
	}
}

// TestNextLeaderRepeatsWhatWasDecided guards against windows that are missing, or reported with other counts, when their leader
// ends at any moment and calls to the store and the platform fail or lose their responses.
func TestNextLeaderRepeatsWhatWasDecided(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 7)
			rnd := rand.New(rand.NewPCG(seed, 2))
			f.disturb(seed)
			begin := unixNow()
			for range 12 {
				f.run(time.Duration(1+rnd.IntN(6000)) * time.Millisecond)
				f.lead(f.nodes[rnd.IntN(len(f.nodes))])
			}
			f.run(20 * time.Second)
			f.check(begin, unixNow())
		})
	}
}

// TestKilledLeaderLosesNoCounts guards against counts that only the leader had.
func TestKilledLeaderLosesNoCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40)
		begin := unixNow()
		f.run(12 * time.Second)
		f.kill(f.nodes[0])
		f.run(3 * time.Second)
		f.lead(f.nodes[1])
		f.run(25 * time.Second)
		f.check(begin, unixNow())
	})
}

// TestLateLeaderWaitsForCounts guards against a daemon that takes over late and decides a window before the others have sent
// it their counts.
func TestLateLeaderWaitsForCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40)
		begin := unixNow()
		f.run(2*testWindows.Length + 50*time.Millisecond)
		f.kill(f.nodes[0])
		f.run(testWindows.Due/2 + 50*time.Millisecond)
		f.lead(f.nodes[1])
		f.run(25 * time.Second)
		f.check(begin, unixNow())
	})
}

// TestSilentDaemonDelaysNoReport guards against a leader that waits for a daemon that is cut off until the window is overdue.
func TestSilentDaemonDelaysNoReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40)
		begin := unixNow()
		f.run(7 * time.Second)
		f.net.Cut(f.nodes[5].name, f.nodes[0].name)
		f.run(4 * time.Second)
		f.net.Heal(f.nodes[5].name, f.nodes[0].name)
		f.run(25 * time.Second)
		f.check(begin, unixNow())
	})
}

// TestClockOfOneDaemonMovesNoWindow guards against windows that follow the clock of a single host.
func TestClockOfOneDaemonMovesNoWindow(t *testing.T) {
	c := newCollector()
	now := 100 * time.Second
	for i, ahead := range []time.Duration{0, 2 * time.Millisecond, -time.Millisecond, 3 * time.Second, -5 * time.Second} {
		c.add(fmt.Sprint("daemon-", i), &countsMessage{Run: 1, NowMs: 7000, WallMs: (1e6*time.Second + ahead).Milliseconds(), From: 1, To: 2}, now)
	}
	ahead, ok := c.wallAhead(now)
	assert.Assert(t, ok)
	assert.Equal(t, ahead+now, 1e6*time.Second)
}

// TestCountsAreAddedOnce guards against counts that a repeated or overlapping message adds again.
func TestCountsAreAddedOnce(t *testing.T) {
	c := newCollector()
	m := &countsMessage{Run: 1, From: 10, To: 20, Customers: []string{"a"}, Counts: []slotCount{{Slot: 3, N: 5}, {Slot: 9, N: 1}}}
	for range 2 {
		assert.Equal(t, c.add("d", m, time.Second), int64(20))
	}
	overlap := &countsMessage{Run: 1, From: 15, To: 25, Customers: []string{"a"}, Counts: []slotCount{{Slot: 4, N: 1}, {Slot: 5, N: 2}}}
	assert.Equal(t, c.add("d", overlap, time.Second), int64(25))
	gap := &countsMessage{Run: 1, From: 30, To: 40, Customers: []string{"a"}, Counts: []slotCount{{Slot: 1, N: 9}}}
	assert.Equal(t, c.add("d", gap, time.Second), int64(25))
	assert.DeepEqual(t, c.window(0, time.Hour), map[string]int64{"a": 8})
}
