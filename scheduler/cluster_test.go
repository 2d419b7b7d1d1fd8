package scheduler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/scheduler"
)

const (
	starvationBound = 20 * time.Second
	slotsPerServer  = 4
	minServiceTime  = 50 * time.Millisecond
	maxServiceTime  = 400 * time.Millisecond
	// drainTime is long enough for the longest wait and for the audits that free the
	// slots whose messages were lost.
	drainTime = starvationBound + 5*time.Second
)

// view is the membership that one daemon sees.
type view struct {
	mu      sync.Mutex
	self    string
	daemons []string
	servers []string
	changed chan struct{}
}

func (v *view) set(daemons []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemons = daemons
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *view) Self() membership.Daemon { return membership.Daemon{Name: v.self} }

func (v *view) Daemons() []membership.Daemon {
	var out []membership.Daemon
	for _, d := range v.Schedulers() {
		out = append(out, membership.Daemon{Name: d, State: membership.Alive})
	}
	return out
}

func (v *view) Schedulers() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemons
}

func (v *view) Servers(string) []membership.Server {
	var out []membership.Server
	for _, s := range v.servers {
		out = append(out, membership.Server{Name: s, Service: "llm"})
	}
	return out
}

func (v *view) Server(name string) (membership.Server, bool) {
	return membership.Server{Name: name, Service: "llm"}, slices.Contains(v.servers, name)
}

func (v *view) ReportLeaving(string) {}

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// fixedBundle is a bundle source that never changes.
type fixedBundle struct{ active *bundle.Active }

func (s fixedBundle) Current() *bundle.Active  { return s.active }
func (s fixedBundle) Changed() <-chan struct{} { return nil }

// oneClassPerTier returns a bundle with one pool and one class per tier. The
// classes of odd tiers refuse requests that would miss their target.
func oneClassPerTier() *bundle.Active {
	b := &bundle.Bundle{
		Services: []bundle.Service{{Name: "llm", Kind: bundle.EngineService, Repeatable: true}},
		Pools:    []bundle.Pool{{Name: "chat", Service: "llm", Slots: slotsPerServer, MaxSlots: slotsPerServer}},
	}
	for tier := range bundle.MaxTiers {
		c := bundle.Class{
			Name: fmt.Sprintf("class-%d", tier), Tier: tier, Promise: 0.95, OnMiss: bundle.OnMissServeLate,
			FirstTokenMs: 2000, TokenGapMs: 75, StarvationMs: int(starvationBound.Milliseconds()),
		}
		if tier%2 == 1 {
			c.OnMiss = bundle.OnMissRefuse
		}
		b.Classes = append(b.Classes, c)
	}
	return bundle.NewActive(1, b)
}

// node is a daemon with a scheduler and the reservation manager of a gateway.
type node struct {
	view    *view
	svc     *scheduler.Service
	manager *reservation.Manager
	cancel  context.CancelFunc
}

// cluster runs daemons on an in-memory network and records all scheduling
// decisions.
type cluster struct {
	t       *testing.T
	net     *peertest.Network
	bundle  fixedBundle
	rnd     *rand.Rand
	nodes   map[string]*node
	names   []string
	servers []string
	load    sync.WaitGroup

	mu     sync.Mutex
	events []scheduler.Event
	served map[string]int
}

func newCluster(t *testing.T, seed uint64, daemons, servers int) *cluster {
	c := &cluster{
		t: t, net: peertest.NewNetwork(seed), bundle: fixedBundle{oneClassPerTier()}, nodes: map[string]*node{},
		rnd: rand.New(rand.NewPCG(seed, 1)), served: map[string]int{},
	}
	c.net.SetDelay(time.Millisecond, 3*time.Millisecond)
	for i := range daemons {
		c.names = append(c.names, fmt.Sprintf("d%d", i))
	}
	for i := range servers {
		c.servers = append(c.servers, fmt.Sprintf("s%d", i))
	}
	for i, name := range c.names {
		c.start(name, seed+uint64(i))
	}
	return c
}

func (c *cluster) start(name string, seed uint64) {
	v := &view{self: name, daemons: c.names, servers: c.servers, changed: make(chan struct{})}
	bus := c.net.Bus(name)
	n := &node{view: v}
	n.svc = scheduler.New(scheduler.Config{Bus: bus, View: v, Bundles: c.bundle, QueueLimit: 30, Observe: c.observe})
	n.manager = reservation.NewManager(reservation.Config{
		Bus: bus, View: v, Bundles: c.bundle, SchedulersPerRequest: 2, Seed: seed, Metrics: metrics.NewRegistry(),
	})
	c.nodes[name] = n
	assert.NilError(c.t, n.svc.Start(context.Background()))
}

func (c *cluster) observe(e scheduler.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// generateLoad sends requests to a daemon at random times, one per interval on
// average. The load of the highest tiers alone exceeds the capacity of all slots.
func (c *cluster) generateLoad(name string, seed uint64, interval time.Duration) {
	n := c.nodes[name]
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	rnd := rand.New(rand.NewPCG(seed, 2))
	c.load.Go(func() {
		for ctx.Err() == nil {
			wait := time.Duration(rnd.ExpFloat64() * float64(interval))
			time.Sleep(wait)
			tier := rnd.IntN(3)
			if rnd.IntN(3) == 0 {
				tier = rnd.IntN(bundle.MaxTiers)
			}
			service := minServiceTime + time.Duration(rnd.Int64N(int64(maxServiceTime-minServiceTime)))
			customer := fmt.Sprint("customer-", rnd.IntN(6))
			c.load.Go(func() { c.request(ctx, n, tier, customer, service) })
		}
	})
}

// request acquires a slot, uses it for the service time and releases it.
func (c *cluster) request(ctx context.Context, n *node, tier int, customer string, service time.Duration) {
	now := time.Now()
	active := c.bundle.active
	slot, err := n.manager.Acquire(ctx, reservation.Spec{
		Pool: active.Pool("chat"), Class: &active.Bundle.Classes[tier], Customer: customer,
		Arrived: now, Target: now.Add(2 * time.Second), Cost: uint32(service / time.Millisecond),
	})
	if err != nil {
		return
	}
	time.Sleep(service)
	slot.Done(reservation.Report{Outcome: scheduler.OutcomeOK, Tokens: 10, FirstToken: service / 2, TokenGap: service / 20})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served[active.Bundle.Classes[tier].Name]++
}

// remove removes a daemon without notice. The others detect it a second later.
func (c *cluster) remove(name string) {
	n := c.nodes[name]
	c.net.Remove(name)
	n.cancel()
	assert.NilError(c.t, n.svc.Stop(context.Background()))
	time.Sleep(time.Second)
	remaining := slices.DeleteFunc(slices.Clone(c.names), func(d string) bool { return d == name })
	c.names = remaining
	for _, other := range remaining {
		c.nodes[other].view.set(remaining)
	}
}

// splitMembership removes, for a second, a different daemon from the view of each
// daemon, so that several daemons own the same servers.
func (c *cluster) splitMembership() {
	for i, name := range c.names {
		missing := c.names[(i+1)%len(c.names)]
		c.nodes[name].view.set(slices.DeleteFunc(slices.Clone(c.names), func(d string) bool { return d == missing }))
	}
	time.Sleep(time.Second)
	for _, name := range c.names {
		c.nodes[name].view.set(c.names)
	}
}

// pause blocks a daemon's messages for the given time.
func (c *cluster) pause(name string, d time.Duration) {
	c.net.Pause(name)
	time.Sleep(d)
	c.net.Resume(name)
}

// drain stops the load, waits until the schedulers have recovered from lost
// messages, and checks that no reservation is queued and no slot is in use.
func (c *cluster) drain() {
	for _, n := range c.nodes {
		n.cancel()
	}
	c.load.Wait()
	c.net.SetLoss(0, 0)
	time.Sleep(drainTime)
	for _, name := range c.names {
		for _, p := range c.nodes[name].svc.Snapshot() {
			assert.Equal(c.t, p.Waiting, 0, "%s tier %d", name, p.Tier)
			assert.Equal(c.t, p.Running, 0, "%s tier %d", name, p.Tier)
		}
	}
}

func (c *cluster) stop() {
	c.drain()
	for _, n := range c.nodes {
		assert.NilError(c.t, n.svc.Stop(context.Background()))
	}
	synctest.Wait()
}
