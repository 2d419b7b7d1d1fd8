package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/scheduler"
)

// testTimeout ends a test that hangs. No test result depends on it otherwise.
const testTimeout = 30 * time.Second

var (
	oldKey = []byte("old-key-0123456789")
	newKey = []byte("new-key-0123456789")
)

// directory resolves names to addresses, which tests may change.
type directory struct{ sync.Map }

func (d *directory) resolve(name string) (string, bool) {
	a, ok := d.Load(name)
	if !ok {
		return "", false
	}
	return a.(string), true
}

// testNode is a started node that records received messages and failed links.
type testNode struct {
	*peer.Node
	received chan string
	down     chan string
	metrics  metrics.Registry
}

func (n *testNode) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.metrics).Count()
}

func startNode(t testing.TB, d *directory, name string, keys ...[]byte) *testNode {
	t.Helper()
	return startNodeWith(t, d, name, peer.DefaultHeartbeat, keys...)
}

func startNodeWith(t testing.TB, d *directory, name string, heartbeat time.Duration, keys ...[]byte) *testNode {
	t.Helper()
	if len(keys) == 0 {
		keys = [][]byte{newKey}
	}
	r := metrics.NewRegistry()
	n, err := peer.New(peer.Config{
		Self: name, Listen: "127.0.0.1:0", Keys: keys, Resolve: d.resolve, Metrics: r,
		Heartbeat: heartbeat,
	})
	assert.NilError(t, err)
	tn := &testNode{Node: n, received: make(chan string, 10_000), down: make(chan string, 100), metrics: r}
	n.Handle(peer.KindCancel, func() peer.Message { return new(scheduler.Cancel) }, func(from string, m peer.Message) {
		tn.received <- fmt.Sprintf("%s:%d", from, m.(*scheduler.Cancel).ID)
	})
	n.OnLinkDown(func(name string) {
		select {
		case tn.down <- name:
		default:
		}
	})
	assert.NilError(t, n.Start(t.Context()))
	d.Store(name, n.Addr())
	t.Cleanup(func() { stopNode(t, n) })
	return tn
}

func stopNode(t testing.TB, n *peer.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, n.Stop(ctx))
}

func expect(t testing.TB, c <-chan string, want string) {
	t.Helper()
	select {
	case got := <-c:
		assert.Equal(t, got, want)
	case <-time.After(testTimeout):
		t.Fatalf("nothing received, want %q", want)
	}
}

// sendUntilReceived sends a message until it is received, since messages are
// lost while a link fails.
func sendUntilReceived(t testing.TB, from, to *testNode, id uint64) {
	t.Helper()
	want := fmt.Sprintf("%s:%d", from.Self(), id)
	deadline := time.After(testTimeout)
	for {
		assert.NilError(t, from.Send(to.Self(), &scheduler.Cancel{ID: id}))
		select {
		case got := <-to.received:
			if got == want {
				return
			}
		case <-time.After(50 * time.Millisecond):
		case <-deadline:
			t.Fatalf("message %q was never received", want)
		}
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestNodesExchangeMessagesInOrder(t *testing.T) {
	d := &directory{}
	a, b := startNode(t, d, "a"), startNode(t, d, "b")
	for id := range uint64(1000) {
		assert.NilError(t, a.Send("b", &scheduler.Cancel{ID: id}))
	}
	for id := range 1000 {
		expect(t, b.received, fmt.Sprintf("a:%d", id))
	}
	assert.NilError(t, b.Send("a", &scheduler.Cancel{ID: 7}))
	expect(t, a.received, "b:7")
	assert.NilError(t, a.Send("a", &scheduler.Cancel{ID: 8}))
	expect(t, a.received, "a:8")
}

func TestSendErrors(t *testing.T) {
	d := &directory{}
	a := startNode(t, d, "a")
	assert.ErrorIs(t, a.Send("nobody", &scheduler.Cancel{}), peer.ErrUnknownPeer)
	large := &scheduler.Reserve{Pool: string(make([]byte, peer.MaxPayloadBytes))}
	assert.ErrorIs(t, a.Send("a", large), peer.ErrTooLarge)
	stopNode(t, a.Node)
	assert.ErrorIs(t, a.Send("a", &scheduler.Cancel{}), peer.ErrClosed)
}

func TestConfigFaultsAreReportedTogether(t *testing.T) {
	_, err := peer.New(peer.Config{Keys: [][]byte{[]byte("short")}})
	for _, want := range []string{"no name", "no resolver", "has 5 bytes"} {
		assert.ErrorContains(t, err, want)
	}
}

func TestKeysRotate(t *testing.T) {
	d := &directory{}
	before := startNode(t, d, "before", oldKey, newKey)
	after := startNode(t, d, "after", newKey, oldKey)
	sendUntilReceived(t, before, after, 1)
	sendUntilReceived(t, after, before, 2)
}

func TestStrangersAreRefused(t *testing.T) {
	d := &directory{}
	a, s := startNode(t, d, "a"), startNode(t, d, "stranger", oldKey)
	assert.NilError(t, s.Send("a", &scheduler.Cancel{ID: 1}))
	expect(t, s.down, "a")
	assert.NilError(t, a.Send("stranger", &scheduler.Cancel{ID: 1}))
	expect(t, a.down, "stranger")
	assert.Equal(t, len(a.received)+len(s.received), 0)
	// The refused end may report the failure before the refusing end counts it.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.count("peer.handshakes.refused") > 0 {
			return poll.Success()
		}
		return poll.Continue("no refused handshake was counted")
	})
}

func TestLinkToReplacedHostIsRefused(t *testing.T) {
	d := &directory{}
	a, b := startNode(t, d, "a"), startNode(t, d, "b")
	d.Store("c", b.Addr())
	assert.NilError(t, a.Send("c", &scheduler.Cancel{ID: 1}))
	expect(t, a.down, "c")
	assert.Equal(t, len(b.received), 0)
}

func TestUnauthenticatedBytesAreRefused(t *testing.T) {
	d := &directory{}
	a := startNode(t, d, "a")
	for _, input := range []string{"\xff\xff\xff\xff\x7f", "\x03\x01\x01\x90", "GET / HTTP/1.1\r\n\r\n", "\x04\x09\x01\x90\x90"} {
		conn, err := net.Dial("tcp", a.Addr())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, input)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		n, err := conn.Read(make([]byte, 1))
		assert.Assert(t, n == 0 && err != nil)
		conn.Close()
	}
}

func TestPeerThatRestartsIsDialledAgain(t *testing.T) {
	d := &directory{}
	a, b := startNode(t, d, "a"), startNode(t, d, "b")
	sendUntilReceived(t, a, b, 1)
	stopNode(t, b.Node)
	b = startNode(t, d, "b")
	sendUntilReceived(t, a, b, 2)
}

func TestSilentLinkIsAbandoned(t *testing.T) {
	d := &directory{}
	a, b := startNodeWith(t, d, "a", 100*time.Millisecond), startNode(t, d, "b")
	relay := startRelay(t, b.Addr())
	d.Store("b", relay.addr())
	sendUntilReceived(t, a, b, 1)
	relay.silence()
	assert.NilError(t, a.Send("b", &scheduler.Cancel{ID: 2}))
	expect(t, a.down, "b")
	assert.Assert(t, a.count("peer.links.silent") >= 1)
	sendUntilReceived(t, a, b, 3)
	assert.Assert(t, relay.accepted.Load() >= 2)
}

func TestQueueIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	d := &directory{}
	a := startNode(t, d, "a")
	d.Store("b", l.Addr().String())
	m := &scheduler.Reserve{Pool: string(make([]byte, 1<<20))}
	var sent int
	for err = a.Send("b", m); err == nil; err = a.Send("b", m) {
		sent++
	}
	assert.ErrorIs(t, err, peer.ErrQueueFull)
	assert.Assert(t, sent*1<<20 <= peer.DefaultQueueBytes)
}

func BenchmarkLinkThroughput(b *testing.B) {
	d := &directory{}
	r := metrics.NewRegistry()
	inFlight := make(chan struct{}, 1024)
	sink, err := peer.New(peer.Config{Self: "b", Listen: "127.0.0.1:0", Keys: [][]byte{newKey}, Resolve: d.resolve, Metrics: r})
	assert.NilError(b, err)
	sink.Handle(peer.KindReserve, func() peer.Message { return new(scheduler.Reserve) }, func(string, peer.Message) { <-inFlight })
	assert.NilError(b, sink.Start(b.Context()))
	defer stopNode(b, sink)
	d.Store("b", sink.Addr())
	a := startNode(b, d, "a")
	m := sampleReserve()
	b.ReportAllocs()
	for b.Loop() {
		inFlight <- struct{}{}
		if err := a.Send("b", m); err != nil {
			b.Fatal(err)
		}
	}
}
