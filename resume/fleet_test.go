package resume

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/hashring"
	"github.com/jacinththread/jacinththread/peer/peertest"
)

// minKnownShare is the share of the streams that must be known after a failure, so that they
// can continue at least half as often as new ones begin.
const minKnownShare = 0.5

// testFleet is a fleet of directories in virtual time.
type testFleet struct {
	t     *testing.T
	net   *peertest.Network
	rnd   *rand.Rand
	nodes []*testNode
	// begun holds where each stream began.
	begun map[string]Origin
}

type testNode struct {
	name      string
	directory *Directory
	// alive are the daemons that this one counts as alive, including itself.
	alive []string
}

func newTestFleet(t *testing.T, size int) *testFleet {
	f := &testFleet{t: t, net: peertest.NewNetwork(1), rnd: rand.New(rand.NewPCG(uint64(size), 2)), begun: map[string]Origin{}}
	f.net.SetDelay(10*time.Millisecond, 5*time.Millisecond)
	for range size {
		f.join()
	}
	f.setViews(f.nodes)
	return f
}

func (f *testFleet) join() *testNode {
	n := &testNode{name: fmt.Sprint("daemon-", len(f.nodes))}
	n.directory = New(f.net.Bus(n.name), func() *hashring.Ring { return hashring.New(n.alive) }, log.New(io.Discard), metrics.NewRegistry())
	f.nodes = append(f.nodes, n)
	return n
}

// setViews lets daemons see just each other.
func (f *testFleet) setViews(nodes []*testNode) {
	var names []string
	for _, n := range nodes {
		names = append(names, n.name)
	}
	for _, n := range nodes {
		n.alive = names
	}
}

// begin begins streams at random daemons and lets the messages arrive.
func (f *testFleet) begin(count int) {
	for range count {
		stream := fmt.Sprint("stream-", len(f.begun))
		origin := Origin{Service: "s", Version: fmt.Sprint("v", f.rnd.IntN(2))}
		f.begun[stream] = origin
		f.nodes[f.rnd.IntN(len(f.nodes))].directory.Record(stream, origin)
	}
	time.Sleep(time.Second)
}

// check looks all streams up at random daemons of the given ones. What is found must be
// right. It returns the share that is found.
func (f *testFleet) check(nodes []*testNode) float64 {
	known := 0
	for stream, want := range f.begun {
		got, ok := nodes[f.rnd.IntN(len(nodes))].directory.Lookup(f.t.Context(), stream)
		if ok {
			known++
			assert.Equal(f.t, got, want)
		}
	}
	return float64(known) / float64(len(f.begun))
}

// forEachSize runs a scenario with fleets of several sizes.
func forEachSize(t *testing.T, scenario func(f *testFleet)) {
	t.Parallel()
	for _, size := range []int{7, 75, 300} {
		t.Run(fmt.Sprint(size, "_daemons"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				scenario(newTestFleet(t, size))
				time.Sleep(time.Second)
			})
		})
	}
}

const testStreams = 200

func TestStreamsAreKnownAtAllDaemons(t *testing.T) {
	forEachSize(t, func(f *testFleet) {
		f.begin(testStreams)
		assert.Equal(f.t, f.check(f.nodes), 1.0)
	})
}

// TestStreamsAreKnownAfterDaemonsAreGone kills more than half of the daemons at once, while
// the others still count them as alive and afterwards.
func TestStreamsAreKnownAfterDaemonsAreGone(t *testing.T) {
	forEachSize(t, func(f *testFleet) {
		f.begin(testStreams)
		gone := 11 * len(f.nodes) / 20
		for _, n := range f.nodes[:gone] {
			f.net.Remove(n.name)
		}
		rest := f.nodes[gone:]
		known := f.check(rest)
		f.t.Logf("known before the loss is noticed: %.2f", known)
		assert.Assert(f.t, known >= minKnownShare, known)
		f.setViews(rest)
		known = f.check(rest)
		f.t.Logf("known after the loss is noticed: %.2f", known)
		assert.Assert(f.t, known >= minKnownShare, known)
	})
}

func TestStreamsAreKnownAfterDaemonsHaveJoined(t *testing.T) {
	forEachSize(t, func(f *testFleet) {
		f.begin(testStreams)
		for range max(1, len(f.nodes)/4) {
			f.join()
		}
		f.setViews(f.nodes)
		known := f.check(f.nodes)
		f.t.Logf("known: %.2f", known)
		assert.Assert(f.t, known >= minKnownShare, known)
	})
}

// TestDaemonThatIsCutOffDoesNotGuess checks that a daemon without contact finds what it holds
// itself, and nothing else.
func TestDaemonThatIsCutOffDoesNotGuess(t *testing.T) {
	forEachSize(t, func(f *testFleet) {
		f.begin(testStreams)
		cut := f.nodes[0]
		for _, n := range f.nodes[1:] {
			f.net.Cut(cut.name, n.name)
			f.net.Cut(n.name, cut.name)
		}
		for stream, want := range f.begun {
			_, held := cut.directory.streams.get(stream, time.Now())
			got, ok := cut.directory.Lookup(f.t.Context(), stream)
			assert.Equal(f.t, ok, held)
			if ok {
				assert.Equal(f.t, got, want)
			}
		}
		_, ok := f.nodes[1].directory.Lookup(f.t.Context(), "never begun")
		assert.Assert(f.t, !ok)
	})
}

// TestStreamsAreKnownOnBothSidesOfACut checks that the larger part of a fleet knows enough streams
// after a cut, and that neither part takes a stream for one of another version.
func TestStreamsAreKnownOnBothSidesOfACut(t *testing.T) {
	forEachSize(t, func(f *testFleet) {
		f.begin(testStreams)
		size := 3 * len(f.nodes) / 10
		smaller, larger := f.nodes[:size], f.nodes[size:]
		for _, a := range smaller {
			for _, b := range larger {
				f.net.Cut(a.name, b.name)
				f.net.Cut(b.name, a.name)
			}
		}
		before := f.check(larger)
		f.check(smaller)
		f.setViews(smaller)
		f.setViews(larger)
		after := f.check(larger)
		f.t.Logf("known in the larger part: %.2f before the cut is noticed, %.2f after, %.2f in the smaller", before, after, f.check(smaller))
		assert.Assert(f.t, before >= minKnownShare && after >= minKnownShare)
	})
}

// TestMessagesOfAStreamDoNotGrowWithTheFleet checks the cost of a stream and of taking it up.
func TestMessagesOfAStreamDoNotGrowWithTheFleet(t *testing.T) {
	forEachSize(t, func(f *testFleet) {
		f.begin(testStreams)
		sent := func() (n int) {
			for _, node := range f.nodes {
				n += f.net.Stats(node.name).MessagesSent
			}
			return n
		}
		begun := sent()
		assert.Assert(f.t, begun <= copies*testStreams, begun)
		f.check(f.nodes)
		assert.Assert(f.t, sent()-begun <= 2*queried*testStreams, sent()-begun)
	})
}

func TestMemoryIsBounded(t *testing.T) {
	o := newOrigins()
	now := time.Unix(1000, 0)
	for i := range 2 * maxStreams {
		o.put(fmt.Sprint(i), Origin{"s", "v1"}, now)
	}
	assert.Assert(t, o.size() <= maxStreams)
	_, newest := o.get(fmt.Sprint(2*maxStreams-1), now)
	assert.Assert(t, newest, "the newest stream is kept")
	_, old := o.get(fmt.Sprint(2*maxStreams-1), now.Add(keepTime+time.Second))
	assert.Assert(t, !old)
	assert.Equal(t, o.size(), 0)
	assert.Equal(t, len(o.order), 0)
}
