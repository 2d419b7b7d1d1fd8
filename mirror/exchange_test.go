package mirror

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store"
)

// fakeBus is an in-memory bus between the exchanges of a test.
type fakeBus struct {
	self     string
	net      map[string]*fakeBus
	handlers map[peer.Kind]peer.Handler
	sent     atomic.Int64
}

func (b *fakeBus) Self() string { return b.self }

func (b *fakeBus) Send(to string, m peer.Message) error {
	b.sent.Add(1)
	go b.net[to].handlers[m.Kind()](b.self, m)
	return nil
}

func (b *fakeBus) Handle(kind peer.Kind, _ func() peer.Message, h peer.Handler) { b.handlers[kind] = h }

func (b *fakeBus) OnLinkDown(func(string)) {}

func TestDaemonWithoutTheStoreLearnsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := map[string]*fakeBus{}
		names := []string{"a", "b", "c", "d"}
		copies := map[string]*Copy{}
		var start []*Exchange
		for _, name := range names {
			bus := &fakeBus{self: name, net: net, handlers: map[peer.Kind]peer.Handler{}}
			net[name] = bus
			copies[name] = NewCopy(func([]store.Entry) {}, noRenewals)
			var others []string
			for _, n := range names {
				if n != name {
					others = append(others, n)
				}
			}
			x := NewExchange(copies[name], bus, func() []string { return append([]string(nil), others...) }, everyoneWatches, quietLog(), metrics.NewRegistry())
			start = append(start, x)
		}
		for _, x := range start {
			assert.NilError(t, x.Start(t.Context()))
			defer x.Stop(t.Context())
		}
		now := time.Now()
		for _, name := range names[1:] {
			copies[name].SetStoreUnavailable(false, now)
			copies[name].Merge([]store.Entry{{Key: "config", Value: []byte("1"), Revision: 3}}, 3, now)
		}
		// Daemon "a" has never reached the store.
		time.Sleep(maxApplyDelay)
		assert.Equal(t, len(copies["a"].Records("config")), 1)

		for i := range 5 {
			rev := store.Revision(10 + i)
			changed := []store.Entry{{Key: "config", Value: []byte(fmt.Sprint(rev)), Revision: rev}}
			for _, name := range names[1:] {
				copies[name].Merge(changed, rev, now)
			}
			time.Sleep(maxApplyDelay)
			assert.Equal(t, copies["a"].Records("config")[0].Revision, rev)
		}
		copies["a"].SetStoreUnavailable(false, now)
		time.Sleep(exchangeInterval) // A round may be in progress.
		quiet := net["b"].sent.Load()
		time.Sleep(time.Minute)
		assert.Equal(t, net["b"].sent.Load(), quiet, "daemons that reach the store exchange nothing")
	})
}

// TestOnlyWatchersCallTheStore checks that daemons that do not watch the store
// receive changes from the watchers within maxApplyDelay, and read the store
// themselves once all watchers have lost it.
func TestOnlyWatchersCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := map[string]*fakeBus{}
		names := []string{"w1", "w2", "a", "b", "c", "d"}
		watchers := map[string][]string{"w1": {"w2"}, "w2": {"w1"}}
		copies, sources := map[string]*Copy{}, map[string]*fakeSource{}
		var log history
		var start []kernel.Service
		for _, name := range names {
			bus := &fakeBus{self: name, net: net, handlers: map[peer.Kind]peer.Handler{}}
			net[name] = bus
			copies[name] = NewCopy(func([]store.Entry) {}, noRenewals)
			sources[name] = &fakeSource{}
			who := func() Watchers {
				if others, ok := watchers[name]; ok {
					return Watchers{Self: true, Others: others}
				}
				return Watchers{Others: []string{"w1", "w2"}}
			}
			x := NewExchange(copies[name], bus, func() []string {
				return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
			}, who, quietLog(), metrics.NewRegistry())
			f := NewFollower(copies[name], sources[name], who, quietLog(), metrics.NewRegistry())
			start = append(start, x, f)
		}
		for _, s := range start {
			assert.NilError(t, s.Start(t.Context()))
			defer s.Stop(t.Context())
		}
		put := func(value string) {
			log.put("config", value)
			for _, src := range sources {
				src.change(func() { src.h.put("config", value) })
			}
		}
		put("1")
		time.Sleep(maxApplyDelay)
		before := map[string]int{}
		for _, name := range names {
			before[name] = sources[name].called()
		}
		const changes = 10
		for i := range changes {
			put(fmt.Sprint(i))
			time.Sleep(maxApplyDelay)
			for _, name := range names {
				assert.Equal(t, copies[name].Records("config")[0].Revision, log.at(), name)
			}
		}
		for _, name := range names[2:] {
			calls := sources[name].called() - before[name]
			assert.Assert(t, calls <= 2, "%s called the store %d times", name, calls)
		}
		// The watchers lose the store and do not reach it again.
		for _, name := range names[:2] {
			sources[name].change(func() { sources[name].unavailable = true })
		}
		time.Sleep(2 * maxApplyDelay)
		put("last")
		time.Sleep(2 * maxApplyDelay)
		for _, name := range names {
			assert.Equal(t, copies[name].Records("config")[0].Revision, log.at(), name)
		}
	})
}
