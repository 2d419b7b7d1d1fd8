package bundle

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// controlBytesPerSecond is the limit of the control traffic of one daemon, sent
// and received.
const controlBytesPerSecond = 18_000

// storeCallsPerSecond is the limit of the store calls of all daemons, a tenth of
// the reads that the platform can serve.
const storeCallsPerSecond = 200

func TestSpread(t *testing.T) {
	for _, n := range []int{7, 50, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			inFleet(t, uint64(n), n, func(t *testing.T, f *fleet) {
				worst := time.Duration(0)
				for range 5 {
					worst = max(worst, f.awaitAll(f.roll(), spreadBound))
				}
				const idle = 20 * time.Second
				before, calls := f.net.Stats("d0"), f.plat.TotalCalls()
				time.Sleep(idle)
				sent := (f.net.Stats("d0").BytesSent - before.BytesSent) / int(idle.Seconds())
				received := (f.net.Stats("d0").BytesReceived - before.BytesReceived) / int(idle.Seconds())
				rate := float64(f.plat.TotalCalls()-calls) / idle.Seconds()
				t.Logf("daemons %d: worst spread %v, idle %d B/s sent, %d B/s received, %.1f store calls/s",
					n, worst, sent, received, rate)
				assert.Assert(t, sent+received < controlBytesPerSecond)
				assert.Assert(t, rate < storeCallsPerSecond)
			})
		})
	}
}

// The bundle has as many customers as the system is designed for.
func TestSpreadOfLargeBundle(t *testing.T) {
	const customers, daemons = 1200, 20
	inFleet(t, 2, daemons, func(t *testing.T, f *fleet) {
		b := sample()
		for i := range customers {
			name := fmt.Sprint("customer-", i)
			b.Customers = append(b.Customers, Customer{
				Name: name, TokenDigests: []string{TokenDigest(name)}, Weight: 1, Owner: "south", Classes: []string{"batch"},
			})
		}
		content := string(canonicalText(t, b))
		before := f.net.Stats("d0")
		at := mustRoll(t, f.store, "large", 1, content)
		spread := f.awaitAll(at.Version, spreadBound)
		time.Sleep(spreadBound)
		sent := 0
		for name := range f.nodes {
			sent += f.net.Stats(name).SentByKind[peer.KindBundleBody]
		}
		t.Logf("bundle of %d bytes on %d daemons: spread %v, %d B of bodies sent a daemon, d0 received %d B",
			len(content), daemons, spread, sent/daemons, f.net.Stats("d0").BytesReceived-before.BytesReceived)
		assert.Assert(t, sent/daemons < 2*len(f.nodes["d0"].body.Record))
	})
}

func TestSpreadWithoutWatchers(t *testing.T) {
	for _, state := range []storetest.LinkState{storetest.LinkDown, storetest.LinkSilent} {
		inFleet(t, 3, 50, func(t *testing.T, f *fleet) {
			watchers := f.watchers()
			assert.Equal(t, len(watchers), watchersPerRegion*len(regions))
			for _, w := range watchers {
				w.link.Set(state)
			}
			time.Sleep(time.Second)
			f.awaitAll(f.roll(), spreadBound)
		})
	}
}

func TestSpreadAfterWatchersCrashed(t *testing.T) {
	inFleet(t, 4, 50, func(t *testing.T, f *fleet) {
		for _, w := range f.watchers() {
			f.crash(w.name)
		}
		f.awaitAll(f.roll(), spreadBound)
		for _, p := range f.listed() {
			f.setLive(p.Name, f.nodes[p.Name] != nil)
		}
		f.awaitAll(f.roll(), spreadBound)
		assert.Equal(t, len(f.watchers()), watchersPerRegion*len(regions))
	})
}

func TestSpreadWithLostAndDuplicatedMessages(t *testing.T) {
	inFleet(t, 5, 50, func(t *testing.T, f *fleet) {
		f.net.SetLoss(0.2, 0.2)
		for range 3 {
			f.awaitAll(f.roll(), spreadBound)
		}
	})
}

func TestSpreadWithSlowStore(t *testing.T) {
	inFleet(t, 6, 7, func(t *testing.T, f *fleet) {
		f.plat.SetLatency(400 * time.Millisecond)
		f.awaitAll(f.roll(), spreadBound)
	})
}

// A version that one daemon read before an outage of the store must reach all
// others by gossip.
func TestSpreadDuringOutage(t *testing.T) {
	inFleet(t, 7, 50, func(t *testing.T, f *fleet) {
		version := f.roll()
		for f.countInForce(version) == 0 {
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		f.plat.SetDown(true)
		f.awaitAll(version, spreadBound)
	})
}

func TestPausedDaemonCatchesUp(t *testing.T) {
	inFleet(t, 8, 7, func(t *testing.T, f *fleet) {
		paused := f.nodes["d3"]
		f.net.Pause("d3")
		paused.link.Set(storetest.LinkSilent)
		version := f.roll()
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.countInForce(version), len(f.nodes)-1)
		f.net.Resume("d3")
		paused.link.Set(storetest.LinkUp)
		f.awaitAll(version, spreadBound)
	})
}

func TestDaemonCutOffFromPeersReadsTheStore(t *testing.T) {
	inFleet(t, 9, 100, func(t *testing.T, f *fleet) {
		for _, p := range f.listed() {
			if p.Name != "d2" {
				f.net.Cut("d2", p.Name)
				f.net.Cut(p.Name, "d2")
			}
		}
		f.awaitAll(f.roll(), spreadBound)
	})
}

func TestReplacedDaemonStartsDuringOutage(t *testing.T) {
	inFleet(t, 10, 7, func(t *testing.T, f *fleet) {
		f.awaitAll(f.roll(), spreadBound)
		f.plat.SetDown(true)
		for i := range 7 {
			n := f.replace(fmt.Sprint("d", i))
			assert.Assert(t, !n.Ready())
			f.awaitAll(2, spreadBound)
		}
	})
}

// A daemon that starts without the store and reaches only a minority of its peers
// must not put their version in force, since it may be outdated. It waits until
// the store is available.
func TestMinorityIsNotEnoughDuringOutage(t *testing.T) {
	inFleet(t, 11, 7, func(t *testing.T, f *fleet) {
		f.plat.SetDown(true)
		for _, name := range []string{"d1", "d2", "d3"} {
			f.crash(name)
		}
		n := f.replace("d0")
		time.Sleep(time.Minute)
		assert.Assert(t, !n.Ready())
		f.plat.SetDown(false)
		f.awaitAll(1, spreadBound)
	})
}

// A daemon that starts without the store and receives an old version first must
// not put it in force. It waits for a majority and takes the highest version that
// the majority reported.
func TestHighestOfMajorityIsTaken(t *testing.T) {
	inFleet(t, 12, 7, func(t *testing.T, f *fleet) {
		f.awaitAll(f.roll(), spreadBound)
		old, err := f.store.Version(t.Context(), 1)
		assert.NilError(t, err)
		body, err := encodeBody(old)
		assert.NilError(t, err)
		f.plat.SetDown(true)
		for i := range 7 {
			f.net.Pause(fmt.Sprint("d", i))
		}
		n := f.replace("d0")
		f.net.Pause("d0")
		for _, name := range []string{"d1", "d2", "d3", "d1", "stranger"} {
			n.onDigest(name, &GossipDigest{Version: 1})
		}
		n.checkBody(body)
		assert.Assert(t, !n.Ready())
		n.onDigest("d4", &GossipDigest{Version: 2})
		assert.Assert(t, !n.Ready())
		for i := range 7 {
			f.net.Resume(fmt.Sprint("d", i))
		}
		f.awaitAll(2, spreadBound)
	})
}

func TestFirstVersionReachesDaemonsThatStartedWithoutOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 13, 7)
		defer f.close()
		time.Sleep(30 * time.Second)
		assert.Assert(t, !f.nodes["d0"].Ready())
		f.awaitAll(f.roll(), spreadBound)
	})
}

func TestOlderOrBrokenBodiesAreIgnored(t *testing.T) {
	inFleet(t, 14, 1, func(t *testing.T, f *fleet) {
		f.awaitAll(f.roll(), spreadBound)
		n := f.nodes["d0"]
		old, err := f.store.Version(t.Context(), 1)
		assert.NilError(t, err)
		body, err := encodeBody(old)
		assert.NilError(t, err)
		n.checkBody(body)
		assert.Equal(t, n.Current().Version, uint64(2))
		late, err := n.checkRecord(old, body)
		assert.NilError(t, err)
		assert.Assert(t, !n.putInForceOrHold(late))
		assert.Equal(t, n.Current().Version, uint64(2))

		forged := *old
		forged.Version = 9
		forged.Content = variant(t, 50)
		body, err = encodeBody(&forged)
		assert.NilError(t, err)
		n.checkBody(body)
		n.checkBody(&GossipBody{Version: 8, Record: []byte("x")})
		assert.Equal(t, n.Current().Version, uint64(2))
		assert.Equal(t, n.metrics.rejected.Count(), int64(2))
	})
}
