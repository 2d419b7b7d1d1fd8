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

// spreadBound is the time within which a version must be in force on all daemons.
const spreadBound = 4 * time.Second

// fleet is a set of daemons with a simulated network and store, in one synctest
// bubble.
type fleet struct {
	t     *testing.T
	net   *peertest.Network
	plat  *storetest.Platform
	store *Store
	nodes map[string]*node

	mu           sync.Mutex
	peers        []Peer
	began        time.Time
	incarnations int
	// events is the history of the run, in the order of time.
	events []versionEvent
}

// node is one process of a daemon. A replaced daemon keeps its name and has a new
// incarnation.
type node struct {
	*Activator
	name        string
	incarnation int
	region      string
	link        *storetest.Link
	stop        context.CancelFunc
}

var regions = []string{"east", "north", "west"}

// newFleet starts n daemons spread over three regions.
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

// record appends an event with the current time to the history.
func (f *fleet) record(e versionEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.at = time.Since(f.began)
	f.events = append(f.events, e)
}

// listed returns the peer list that all daemons share.
func (f *fleet) listed() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Peer(nil), f.peers...)
}

// setLive marks a daemon as live or dead in the peer list.
func (f *fleet) setLive(name string, live bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.peers {
		if f.peers[i].Name == name {
			f.peers[i].Live = live
		}
	}
}

// start starts a daemon without any state.
func (f *fleet) start(name, region string) *node {
	f.t.Helper()
	link := f.plat.Link()
	a := NewActivator(Config{Store: link, Bus: f.net.Bus(name), Region: region, Peers: f.listed})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.incarnations++
	n := &node{Activator: a, name: name, incarnation: f.incarnations, region: region, link: link, stop: cancel}
	f.nodes[name] = n
	f.record(versionEvent{kind: started, daemon: name, incarnation: n.incarnation})
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
			f.record(versionEvent{kind: inForce, daemon: n.name, incarnation: n.incarnation, version: a.Version, digest: digest})
			last = a
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// crash stops a daemon and removes it from the network.
func (f *fleet) crash(name string) {
	f.t.Helper()
	n := f.nodes[name]
	f.record(versionEvent{kind: ended, daemon: name, incarnation: n.incarnation})
	f.net.Remove(name)
	n.stop()
	assert.NilError(f.t, n.Stop(f.t.Context()))
	delete(f.nodes, name)
}

// replace crashes a daemon and starts a new one with the same name.
func (f *fleet) replace(name string) *node {
	f.t.Helper()
	region := f.nodes[name].region
	f.crash(name)
	return f.start(name, region)
}

// close stops all daemons.
func (f *fleet) close() {
	for name := range f.nodes {
		f.crash(name)
	}
}

// countInForce returns the number of daemons that have the version in force.
func (f *fleet) countInForce(version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if a := n.Current(); a != nil && a.Version == version {
			count++
		}
	}
	return count
}

// awaitAll waits until every daemon has the version in force and returns the time
// it took. It fails the test after bound.
func (f *fleet) awaitAll(version uint64, bound time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for f.countInForce(version) < len(f.nodes) {
		assert.Assert(f.t, time.Since(start) < bound, "version %d in force on %d of %d daemons after %v",
			version, f.countInForce(version), len(f.nodes), bound)
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
	}
	return time.Since(start)
}

// roll puts a new version in force in the store and returns it.
func (f *fleet) roll() uint64 {
	f.t.Helper()
	base := uint64(0)
	p, err := f.store.Current(f.t.Context())
	if err == nil {
		base = p.Version
	}
	return mustRoll(f.t, f.store, fmt.Sprint("change-", base+1), base, variant(f.t, int(base))).Version
}

// inFleet runs a test with n daemons that have version 1 in force. At the end it
// checks that no daemon went back to an older version.
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
		if n.isWatcher() {
			found = append(found, n)
		}
	}
	return found
}
