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
	starvation     = 20 * time.Second
	slotsPerServer = 4
	minService     = 50 * time.Millisecond
	maxService     = 400 * time.Millisecond
	// settleTime covers the confirmation of slots and the longest wait.
	settleTime = starvation + 5*time.Second
)

// view is one daemon's membership.
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

// source is a bundle that never changes.
type source struct{ active *bundle.Active }

func (s source) Current() *bundle.Active  { return s.active }
func (s source) Changed() <-chan struct{} { return nil }

func eightClasses() *bundle.Active {
	b := &bundle.Bundle{
		Services: []bundle.Service{{Name: "llm", Kind: bundle.Engine, Repeatable: true}},
		Pools:    []bundle.Pool{{Name: "chat", Service: "llm", Slots: slotsPerServer, MaxSlots: slotsPerServer}},
	}
	for tier := range bundle.MaxTiers {
		c := bundle.Class{
			Name: fmt.Sprintf("class-%d", tier), Tier: tier, Promise: 0.95, OnMiss: bundle.ServeLate,
			FirstTokenMs: 2000, TokenGapMs: 75, StarvationMs: int(starvation.Milliseconds()),
		}
		if tier%2 == 1 {
			c.OnMiss = bundle.Refuse
		}
		b.Classes = append(b.Classes, c)
	}
	return bundle.NewActive(1, b)
}

// node is one daemon: a scheduler and a gateway's reservations.
type node struct {
	view    *view
	svc     *scheduler.Service
	manager *reservation.Manager
	cancel  context.CancelFunc
}

// cluster runs daemons on an in-memory network and records all decisions.
type cluster struct {
	t       *testing.T
	net     *peertest.Network
	bundle  source
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
		t: t, net: peertest.NewNetwork(seed), bundle: source{eightClasses()}, nodes: map[string]*node{},
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
		Bus: bus, View: v, Bundles: c.bundle, Count: 2, Seed: seed, Metrics: metrics.NewRegistry(),
	})
	c.nodes[name] = n
	assert.NilError(c.t, n.svc.Start(context.Background()))
}

func (c *cluster) observe(e scheduler.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// offer sends requests to a daemon, one each interval on average, with the
// highest tiers alone asking for more than all slots can serve.
func (c *cluster) offer(name string, seed uint64, interval time.Duration) {
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
			service := minService + time.Duration(rnd.Int64N(int64(maxService-minService)))
			customer := fmt.Sprint("customer-", rnd.IntN(6))
			c.load.Go(func() { c.request(ctx, n, tier, customer, service) })
		}
	})
}

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
	slot.Done(reservation.Report{Outcome: scheduler.OutcomeOK, Tokens: 10, First: service / 2, Gap: service / 20})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served[active.Bundle.Classes[tier].Name]++
}

// remove ends a daemon without notice; the others learn of it a second later.
func (c *cluster) remove(name string) {
	n := c.nodes[name]
	c.net.Remove(name)
	n.cancel()
	assert.NilError(c.t, n.svc.Stop(context.Background()))
	time.Sleep(time.Second)
	left := slices.DeleteFunc(slices.Clone(c.names), func(d string) bool { return d == name })
	c.names = left
	for _, other := range left {
		c.nodes[other].view.set(left)
	}
}

// disagree makes daemons believe for a second that one of the others is gone,
// each its own, so that several own the same servers.
func (c *cluster) disagree() {
	for i, name := range c.names {
		missing := c.names[(i+1)%len(c.names)]
		c.nodes[name].view.set(slices.DeleteFunc(slices.Clone(c.names), func(d string) bool { return d == missing }))
	}
	time.Sleep(time.Second)
	for _, name := range c.names {
		c.nodes[name].view.set(c.names)
	}
}

// pause stops a daemon's messages for a while.
func (c *cluster) pause(name string, d time.Duration) {
	c.net.Pause(name)
	time.Sleep(d)
	c.net.Resume(name)
}

// settle ends the load, lets the ledgers find out about lost messages and
// checks that no slot and no reservation is left behind.
func (c *cluster) settle() {
	for _, n := range c.nodes {
		n.cancel()
	}
	c.load.Wait()
	c.net.SetLoss(0, 0)
	time.Sleep(settleTime)
	for _, name := range c.names {
		for _, p := range c.nodes[name].svc.Snapshot() {
			assert.Equal(c.t, p.Waiting, 0, "%s tier %d", name, p.Tier)
			assert.Equal(c.t, p.Running, 0, "%s tier %d", name, p.Tier)
		}
	}
}

func (c *cluster) stop() {
	c.settle()
	for _, n := range c.nodes {
		assert.NilError(c.t, n.svc.Stop(context.Background()))
	}
	synctest.Wait()
}
