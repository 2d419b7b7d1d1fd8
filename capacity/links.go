package capacity

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/scheduler"
)

const (
	// pacedDuration is the length of a measurement over TCP, in real time.
	pacedDuration = 3 * time.Second
	// hostProcessors is the number of processors of a small entry host. With
	// more, idle processors that look for runnable goroutines would add CPU time.
	hostProcessors = 2
)

// star is a hub node with links to and from all other nodes, in one process.
type star struct {
	hub      *peer.Node
	hubStats metrics.Registry
	others   []*peer.Node
	received atomic.Int64
}

// startStar starts a hub and the given number of other nodes on loopback.
func startStar(t *testing.T, others int) *star {
	s := &star{hubStats: metrics.NewRegistry()}
	addrs := &sync.Map{}
	s.hub = s.start(t, addrs, "hub", s.hubStats)
	for i := range others {
		s.others = append(s.others, s.start(t, addrs, fmt.Sprintf("entry-%03d", i), metrics.NewRegistry()))
	}
	return s
}

func (s *star) start(t *testing.T, addrs *sync.Map, name string, r metrics.Registry) *peer.Node {
	n, err := peer.New(peer.Config{
		Self: name, Listen: "127.0.0.1:0", Keys: [][]byte{[]byte("0123456789abcdef")}, Metrics: r,
		Resolve: func(name string) (string, bool) {
			a, ok := addrs.Load(name)
			if !ok {
				return "", false
			}
			return a.(string), true
		},
	})
	assert.NilError(t, err)
	n.Handle(peer.KindReserve, func() peer.Message { return new(scheduler.Reserve) }, func(string, peer.Message) { s.received.Add(1) })
	assert.NilError(t, n.Start(t.Context()))
	addrs.Store(name, n.Addr())
	return n
}

func (s *star) stop(t *testing.T) {
	for _, n := range append(s.others, s.hub) {
		assert.NilError(t, n.Stop(context.Background()))
	}
}

// exchange sends one message in each direction between the hub and every other
// node, which opens the links.
func (s *star) exchange(t *testing.T, m peer.Message) {
	for _, o := range s.others {
		assert.NilError(t, s.hub.Send(o.Self(), m))
		assert.NilError(t, o.Send("hub", m))
	}
}

// awaitReceived waits until all nodes together have received want messages.
func (s *star) awaitReceived(t *testing.T, want int64) {
	for start := time.Now(); s.received.Load() < want; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(start) < time.Minute, "%d of %d messages received", s.received.Load(), want)
	}
}

// sampleReserve returns the reservation message that is sent and encoded.
func sampleReserve() *scheduler.Reserve {
	return &scheduler.Reserve{
		ID: 1 << 40, Pool: "pembantu", Class: "counter", Customer: "customer-0700",
		DeadlineMs: 1600, Cost: 900, Prefix: 0xdeadbeefcafe, WaitedMs: 20,
	}
}

// measureLinks varies the number of links of a node, and then the message rate
// over 16 links.
func measureLinks(t *testing.T, r *recorder) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(hostProcessors))
	for _, n := range []int{8, 32, 64, 128} {
		before := liveMemory()
		s := startStar(t, n)
		nodes := liveMemory()
		s.exchange(t, sampleReserve())
		s.awaitReceived(t, int64(2*n))
		series := func(id, cost string) Series {
			return Series{ID: id, Role: "peer links", Varied: "peers of one daemon", Cost: cost}
		}
		r.add(series("L1", "heap and stack bytes of the links of one daemon, both directions"), float64(n), (liveMemory()-nodes)/2)
		r.add(series("L2", "heap and stack bytes of one node without links, averaged over the nodes"), float64(n), (nodes-before)/float64(n+1))
		sent, cpu := metrics.GetOrRegisterCounter("peer.bytes.sent", s.hubStats), cpuTime(t)
		bytes := sent.Count()
		time.Sleep(pacedDuration)
		cpu = cpuTime(t) - cpu
		r.add(series("L3", "processor microseconds per second of the quiet links of one daemon, both ends, 2 processors"), float64(n), float64(cpu.Microseconds())/pacedDuration.Seconds()/2)
		r.add(series("L4", "bytes per second sent by one daemon on quiet links"), float64(n), float64(sent.Count()-bytes)/pacedDuration.Seconds())
		s.stop(t)
	}
	for _, perSecond := range []int{50, 100, 200, 400, 1600} {
		measurePaced(t, r, perSecond)
	}
}

// measurePaced sends messages at a steady rate and in turn over all links, so
// that no two of them are batched into one write. They rarely are at the design
// size either.
func measurePaced(t *testing.T, r *recorder, perSecond int) {
	const links = 16
	s := startStar(t, links)
	defer s.stop(t)
	s.exchange(t, sampleReserve())
	s.awaitReceived(t, 2*links)
	leastCPU, leastIdle, bytes := math.Inf(1), math.Inf(1), 0.0
	for range cpuTimeRepeats {
		cpu, sent := s.pace(t, perSecond, true)
		leastCPU, bytes = min(leastCPU, cpu), sent
		idle, _ := s.pace(t, perSecond, false)
		leastIdle = min(leastIdle, idle)
	}
	series := func(id, cost string) Series {
		return Series{ID: id, Role: "peer links", Varied: "messages a second", Cost: cost}
	}
	r.add(series("L5", "processor microseconds per second for sending and receiving reservations over TCP, without the pacing, 2 processors"), float64(perSecond), leastCPU-leastIdle)
	r.add(series("L6", "bytes per second sent, heartbeats included"), float64(perSecond), bytes)
}

// pace sends messages at a steady rate for pacedDuration and returns the CPU
// microseconds and the bytes sent per second. Without send it only runs the
// timer loop, to measure the CPU time of the loop itself.
func (s *star) pace(t *testing.T, perSecond int, send bool) (cpuMicros, bytes float64) {
	m := sampleReserve()
	total := int(pacedDuration.Seconds()) * perSecond
	gap := time.Second / time.Duration(perSecond)
	counter, received := metrics.GetOrRegisterCounter("peer.bytes.sent", s.hubStats), s.received.Load()
	cpu, before, start := cpuTime(t), counter.Count(), time.Now()
	for i := range total {
		time.Sleep(time.Until(start.Add(time.Duration(i) * gap)))
		if !send {
			continue
		}
		assert.NilError(t, s.hub.Send(s.others[i%len(s.others)].Self(), m))
	}
	if send {
		s.awaitReceived(t, received+int64(total))
	}
	cpu = cpuTime(t) - cpu
	return float64(cpu.Microseconds()) / pacedDuration.Seconds(), float64(counter.Count()-before) / pacedDuration.Seconds()
}

// measureMessages varies the size of a reservation by the length of the
// customer's name.
func measureMessages(t *testing.T, r *recorder) {
	for _, extra := range []int{0, 50, 200} {
		m := sampleReserve()
		m.Customer += string(make([]byte, extra))
		frame, err := peer.AppendFrame(nil, m)
		assert.NilError(t, err)
		body, _, err := peer.NextFrame(frame)
		assert.NilError(t, err)
		_, payload, err := peer.SplitFrame(body)
		assert.NilError(t, err)
		series := func(id, cost string) Series {
			return Series{ID: id, Role: "peer links", Varied: "bytes of a reservation frame", Cost: cost}
		}
		var buf []byte
		r.add(series("C1", "nanoseconds to encode"), float64(len(frame)), cpuNanosPerCall(t, 200_000, func() { buf, _ = peer.AppendFrame(buf[:0], m) }))
		r.add(series("C2", "nanoseconds to decode"), float64(len(frame)), cpuNanosPerCall(t, 200_000, func() {
			if err := peer.Decode(payload, new(scheduler.Reserve)); err != nil {
				t.Fatal(err)
			}
		}))
	}
}
