package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/store"
)

const daemonService = "jacinththread"

// hostList is a fake host list that can be changed, can fail and counts calls.
type hostList struct {
	mu    sync.Mutex
	hosts []store.Host
	down  bool
	calls int
}

// Hosts implements store.HostList.
func (l *hostList) Hosts(context.Context) ([]store.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return nil, errors.New("host list is down")
	}
	return append([]store.Host(nil), l.hosts...), nil
}

func (l *hostList) set(change func(*hostList)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *hostList) takeCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.calls
	l.calls = 0
	return n
}

func serverHost(i int) store.Host {
	return store.Host{
		Name: fmt.Sprintf("llm-%02d", i), Addr: fmt.Sprintf("10.0.1.%d:8000", i),
		Service: "pembantu-llm", Region: "utara", Domain: "prai", State: store.HostLive,
	}
}

// cluster is a group of services on one in-memory network.
type cluster struct {
	t        *testing.T
	net      *peertest.Network
	list     *hostList
	services map[string]*Service
	names    []string
}

// newCluster starts n daemons in one region with three failure domains and waits
// for them to discover each other.
func newCluster(t *testing.T, n int, servers int) *cluster {
	c := &cluster{t: t, net: peertest.NewNetwork(1), list: &hostList{}, services: map[string]*Service{}}
	c.net.SetDelay(time.Millisecond, time.Millisecond)
	for i := range servers {
		c.list.hosts = append(c.list.hosts, serverHost(i))
	}
	for i := range n {
		c.start(fmt.Sprintf("entry-%03d", i), uint64(i+1))
	}
	c.advance(time.Duration(10+n/4) * time.Second)
	return c
}

// start starts a daemon whose seed is the first daemon of the cluster.
func (c *cluster) start(name string, seed uint64) *Service {
	c.t.Helper()
	s, err := New(Config{
		Self: Daemon{
			Name: name, Region: "utara", Domain: []string{"prai", "bukit-tengah", "butterworth"}[len(c.names)%3],
			PeerAddr: name + ":7000", CallerAddr: name + ":8080",
		},
		Bus: c.net.Bus(name), Hosts: c.list, DaemonService: daemonService, RandomSeed: seed,
		Seeds: []Seed{{Name: "entry-000", Addr: "entry-000:7000"}},
	})
	assert.NilError(c.t, err)
	assert.NilError(c.t, s.Start(c.t.Context()))
	if c.services[name] == nil {
		c.names = append(c.names, name)
	}
	c.services[name] = s
	return s
}

func (c *cluster) stop() {
	for _, s := range c.services {
		assert.NilError(c.t, s.Stop(context.Background()))
	}
	// Pending message deliveries must end before the synctest bubble does.
	c.advance(time.Minute)
}

// advance advances the virtual time and waits until all goroutines are blocked.
func (c *cluster) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// kill removes a daemon from the network without Leave.
func (c *cluster) kill(name string) {
	c.net.Remove(name)
	assert.NilError(c.t, c.services[name].Stop(context.Background()))
	delete(c.services, name)
}

// stateOf returns the state of a daemon at an observer, or zero if the observer
// does not list it.
func (c *cluster) stateOf(observer, name string) DaemonState {
	for _, d := range c.services[observer].Daemons() {
		if d.Name == name {
			return d.State
		}
	}
	return 0
}

// waitFor advances the virtual time until a condition holds at all running
// daemons, and returns how long that took.
func (c *cluster) waitFor(limit time.Duration, what string, holds func(observer string) bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for {
		synctest.Wait()
		missing := ""
		for name := range c.services {
			if !holds(name) {
				missing = name
				break
			}
		}
		if missing == "" {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			c.t.Fatalf("after %v %s does not hold at %s", limit, what, missing)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// allAlive reports whether an observer sees exactly the running daemons.
func (c *cluster) allAlive(observer string) bool {
	daemons := c.services[observer].Daemons()
	if len(daemons) != len(c.services) {
		return false
	}
	for _, d := range daemons {
		if d.State != Alive || c.services[d.Name] == nil {
			return false
		}
	}
	return true
}

// inCluster runs a test in virtual time on a cluster with full membership.
func inCluster(t *testing.T, n, servers int, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n, servers)
		defer c.stop()
		c.waitFor(10*time.Second, "full membership", c.allAlive)
		test(c)
	})
}
