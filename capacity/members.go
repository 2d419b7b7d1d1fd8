package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/store"
)

const (
	// steadyDuration is the length of a measurement without changes, in virtual
	// time.
	steadyDuration = 60 * time.Second
	// detectTimeout is the maximum virtual time until all daemons detect a
	// change.
	detectTimeout = 60 * time.Second
	regions       = 3
	domains       = 7
)

// staticHosts is an in-memory host list that counts how often it is read.
type staticHosts struct {
	mu    sync.Mutex
	hosts []store.Host
	reads int
}

// Hosts implements store.HostList.
func (l *staticHosts) Hosts(context.Context) ([]store.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return append([]store.Host(nil), l.hosts...), nil
}

func (l *staticHosts) leave(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[i].State = store.HostLeaving
}

func (l *staticHosts) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func newHosts(servers int) *staticHosts {
	l := &staticHosts{hosts: []store.Host{{Name: "entry-000", Service: "jacinththread", State: store.HostLive}}}
	for i := range servers {
		l.hosts = append(l.hosts, store.Host{
			Name: fmt.Sprintf("llm-%04d", i), Addr: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			Service: "pembantu-llm", Region: fmt.Sprintf("region-%d", i%regions),
			Domain: fmt.Sprintf("domain-%d", i%domains), State: store.HostLive,
		})
	}
	return l
}

// fleet is the membership services of a number of daemons on one in-memory
// network.
type fleet struct {
	net      *peertest.Network
	hosts    *staticHosts
	services []*membership.Service
}

// startFleet starts the daemons and waits until each one lists all daemons and
// backend servers.
func startFleet(t *testing.T, members, servers int) *fleet {
	f := &fleet{net: peertest.NewNetwork(1), hosts: newHosts(servers)}
	f.net.SetDelay(time.Millisecond, time.Millisecond)
	for i := range members {
		name := fmt.Sprintf("entry-%03d", i)
		s, err := membership.New(membership.Config{
			Self: membership.Daemon{
				Name: name, Region: fmt.Sprintf("region-%d", i%regions), Domain: fmt.Sprintf("domain-%d", i%domains),
				PeerAddr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), CallerAddr: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			},
			Bus: f.net.Bus(name), Hosts: f.hosts, DaemonService: "jacinththread", RandomSeed: uint64(i + 1),
			Seeds: []membership.Seed{{Name: "entry-000", Addr: "10.0.0.0:7000"}},
		})
		assert.NilError(t, err)
		assert.NilError(t, s.Start(t.Context()))
		f.services = append(f.services, s)
	}
	f.settle(time.Duration(60+members) * time.Second)
	for _, s := range f.services {
		assert.Equal(t, len(s.Daemons()), members)
		assert.Equal(t, len(s.Servers("pembantu-llm")), servers)
	}
	return f
}

// settle lets a virtual time pass and waits until all goroutines are idle.
func (f *fleet) settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *fleet) stop(t *testing.T) {
	for _, s := range f.services {
		assert.NilError(t, s.Stop(context.Background()))
	}
	f.settle(time.Minute)
}

// sent returns the messages and bytes that all daemons have sent so far.
func (f *fleet) sent() (messages, bytes float64) {
	for i := range f.services {
		s := f.net.Stats(fmt.Sprintf("entry-%03d", i))
		messages += float64(s.MessagesSent)
		bytes += float64(s.BytesSent)
	}
	return messages, bytes
}

// until waits until a condition holds for all membership services and returns the
// virtual time that it took, in seconds. It fails the test after detectTimeout.
func (f *fleet) until(t *testing.T, holds func(*membership.Service) bool) float64 {
	t.Helper()
	start := time.Now()
	for time.Since(start) < detectTimeout {
		synctest.Wait()
		missing := 0
		for _, s := range f.services {
			if !holds(s) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start).Seconds()
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("condition does not hold after %v", detectTimeout)
	return 0
}

// measureMembers varies the number of daemons.
func measureMembers(t *testing.T, r *recorder) {
	for _, n := range []int{7, 16, 32, 50, 64, 128, 200, 256} {
		synctest.Test(t, func(t *testing.T) { measureFleet(t, r, n) })
	}
}

// measureFleet measures a fleet without changes, and then how long the fleet
// takes to detect a leaving server and a crashed daemon.
func measureFleet(t *testing.T, r *recorder, n int) {
	empty := liveMemory()
	f := startFleet(t, n, 20)
	size, seconds := float64(n), steadyDuration.Seconds()
	messages, bytes := f.sent()
	reads, cpu := f.hosts.readCount(), cpuTime(t)
	f.settle(steadyDuration)
	cpu = cpuTime(t) - cpu
	m, b := f.sent()
	series := func(id, cost string) Series {
		return Series{ID: id, Role: "membership", Varied: "daemons", Cost: cost}
	}
	r.add(series("M1", "bytes sent per daemon and second"), size, (b-bytes)/size/seconds)
	r.add(series("M2", "messages sent per daemon and second"), size, (m-messages)/size/seconds)
	r.add(series("M3", "processor microseconds per daemon and second, codec and in-memory network included"), size, float64(cpu.Microseconds())/size/seconds)
	r.add(series("M4", "heap and stack bytes per daemon, in-memory network included"), size, (liveMemory()-empty)/size)
	r.add(series("M5", "host list reads per second of the whole fleet"), size, float64(f.hosts.readCount()-reads)/seconds)

	f.hosts.leave(5)
	r.add(series("M6", "seconds until a listed leaving server is known everywhere"), size, f.until(t, func(s *membership.Service) bool {
		srv, ok := s.Server(f.hosts.hosts[5].Name)
		return ok && srv.Leaving
	}))

	f.net.Remove("entry-003")
	assert.NilError(t, f.services[3].Stop(context.Background()))
	f.services = append(f.services[:3:3], f.services[4:]...)
	r.add(series("M7", "seconds until a crashed daemon is dead everywhere"), size, f.until(t, func(s *membership.Service) bool {
		return len(s.Daemons()) == n-1
	}))
	f.stop(t)
}

// measureServers varies the number of backend servers for a fixed number of
// daemons.
func measureServers(t *testing.T, r *recorder) {
	const members = 8
	for _, n := range []int{20, 160, 325, 650, 1300} {
		synctest.Test(t, func(t *testing.T) {
			empty := liveMemory()
			f := startFleet(t, members, n)
			size, seconds := float64(n), steadyDuration.Seconds()
			_, bytes := f.sent()
			cpu := cpuTime(t)
			f.settle(steadyDuration)
			cpu = cpuTime(t) - cpu
			_, b := f.sent()
			series := func(id, cost string) Series {
				return Series{ID: id, Role: "membership", Varied: "backend servers", Cost: cost}
			}
			r.add(series("S1", "bytes sent per daemon and second (8 daemons)"), size, (b-bytes)/members/seconds)
			r.add(series("S2", "processor microseconds per daemon and second, 2 of 8 daemons polling, without decoding the list"), size, float64(cpu.Microseconds())/members/seconds)
			r.add(series("S3", "heap and stack bytes per daemon"), size, (liveMemory()-empty)/members)
			f.stop(t)
			measureHostList(t, r, f.hosts.hosts)
		})
	}
}

// measureHostList measures the size of the host list in JSON and the time to
// decode it.
func measureHostList(t *testing.T, r *recorder, hosts []store.Host) {
	text, err := json.Marshal(hosts)
	assert.NilError(t, err)
	series := func(id, cost string) Series {
		return Series{ID: id, Role: "membership", Varied: "listed hosts", Cost: cost}
	}
	size := float64(len(hosts))
	r.add(series("H1", "bytes of the host list"), size, float64(len(text)))
	r.add(series("H2", "microseconds to decode it"), size, cpuNanosPerCall(t, 20, func() {
		var out []store.Host
		if err := json.Unmarshal(text, &out); err != nil {
			t.Fatal(err)
		}
	})/1000)
}
