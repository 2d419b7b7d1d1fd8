package bundle

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// spreadBound is the time until a version must be in force everywhere.
const spreadBound = 4 * time.Second

// fleet is a set of daemons in one bubble.
type fleet struct {
	t     *testing.T
	net   *peertest.Network
	plat  *storetest.Platform
	store *Store
	nodes map[string]*node

	mu    sync.Mutex
	peers []Peer
	began time.Time
	lives int
	// events is what happened to the daemons and their versions.
	events []versionEvent
}

// node is one daemon of a fleet.
type node struct {
	*Activator
	name   string
	life   int
	region string
	link   *storetest.Link
	stop   context.CancelFunc
}

var regions = []string{"east", "north", "west"}

// newFleet starts n daemons in three regions.
func newFleet(t *testing.T, seed uint64, n int) *fleet {
	t.Helper()
	plat := storetest.New()
	f := &fleet{t: t, net: peertest.NewNetwork(seed), plat: plat, store: NewStore(plat), nodes: map[string]*node{}, began: time.Now()}
	f.net.SetDelay(2*time.Millisecond, 3*time.Millisecond)
	for i := range n {
		f.peers = append(f.peers, Peer{Name: fmt.Sprint("d", i), Region: regions[i%len(regions)], Live: true})
	}
	for _, p := range f.peers {
		f.start(p.Name, p.Region)
	}
	return f
}

// record notes an event.
func (f *fleet) record(e versionEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.at = time.Since(f.began)
	f.events = append(f.events, e)
}

// listed returns the peers as all daemons see them.
func (f *fleet) listed() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Peer(nil), f.peers...)
}

// setLive changes what the daemons believe about one.
func (f *fleet) setLive(name string, live bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.peers {
		if f.peers[i].Name == name {
			f.peers[i].Live = live
		}
	}
}

// start starts a daemon that remembers nothing.
func (f *fleet) start(name, region string) *node {
	f.t.Helper()
	link := f.plat.Link()
	a := NewActivator(Config{Store: link, Bus: f.net.Bus(name), Region: region, Peers: f.listed})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.lives++
	n := &node{Activator: a, name: name, life: f.lives, region: region, link: link, stop: cancel}
	f.nodes[name] = n
	f.record(versionEvent{kind: started, daemon: name, life: n.life})
	go f.observe(ctx, n)
	assert.NilError(f.t, a.Start(ctx))
	return n
}

// observe records each version that a daemon puts in force.
func (f *fleet) observe(ctx context.Context, n *node) {
	var last *Active
	for {
		changed := n.Changed()
		if a := n.Current(); a != last {
			digest, err := Digest(a.Bundle)
			assert.Check(f.t, err)
			f.record(versionEvent{kind: inForce, daemon: n.name, life: n.life, version: a.Version, digest: digest})
			last = a
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// crash ends a daemon at once.
func (f *fleet) crash(name string) {
	f.t.Helper()
	n := f.nodes[name]
	f.record(versionEvent{kind: ended, daemon: name, life: n.life})
	f.net.Remove(name)
	n.stop()
	assert.NilError(f.t, n.Stop(f.t.Context()))
	delete(f.nodes, name)
}

// replace crashes a daemon and starts one of the same name.
func (f *fleet) replace(name string) *node {
	f.t.Helper()
	region := f.nodes[name].region
	f.crash(name)
	return f.start(name, region)
}

// close ends all daemons.
func (f *fleet) close() {
	for name := range f.nodes {
		f.crash(name)
	}
}

// at returns how many daemons have the version in force.
func (f *fleet) at(version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if a := n.Current(); a != nil && a.Version == version {
			count++
		}
	}
	return count
}

// awaitAll waits until every daemon has the version in force and returns how
// long that took.
func (f *fleet) awaitAll(version uint64, bound time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for f.at(version) < len(f.nodes) {
		assert.Assert(f.t, time.Since(start) < bound, "version %d in force on %d of %d daemons after %v",
			version, f.at(version), len(f.nodes), bound)
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
	}
	return time.Since(start)
}

// roll puts the next version in force at the store.
func (f *fleet) roll() uint64 {
	f.t.Helper()
	base := uint64(0)
	p, err := f.store.Current(f.t.Context())
	if err == nil {
		base = p.Version
	}
	return mustRoll(f.t, f.store, fmt.Sprint("change-", base+1), base, variant(f.t, int(base))).Version
}

// inFleet runs a test with n daemons that have version 1 in force.
func inFleet(t *testing.T, seed uint64, n int, test func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, n)
		defer f.close()
		f.roll()
		f.awaitAll(1, spreadBound)
		test(t, f)
		assert.Equal(t, strings.Join(checkNeverBack(f.events, n), "\n"), "")
	})
}

// watchers returns the daemons that watch the store.
func (f *fleet) watchers() []*node {
	var found []*node
	for _, n := range f.nodes {
		if n.watches() {
			found = append(found, n)
		}
	}
	return found
}
