package mirror

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store"
)

// loopBus connects exchanges within a test.
type loopBus struct {
	self     string
	net      map[string]*loopBus
	handlers map[peer.Kind]peer.Handler
	sent     int
}

func (b *loopBus) Self() string { return b.self }

func (b *loopBus) Send(to string, m peer.Message) error {
	b.sent++
	go b.net[to].handlers[m.Kind()](b.self, m)
	return nil
}

func (b *loopBus) Handle(kind peer.Kind, _ func() peer.Message, h peer.Handler) { b.handlers[kind] = h }

func (b *loopBus) OnLinkDown(func(string)) {}

func TestDaemonWithoutTheStoreLearnsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := map[string]*loopBus{}
		names := []string{"a", "b", "c", "d"}
		copies := map[string]*Copy{}
		for _, name := range names {
			bus := &loopBus{self: name, net: net, handlers: map[peer.Kind]peer.Handler{}}
			net[name] = bus
			copies[name] = NewCopy(func([]store.Entry) {})
			var others []string
			for _, n := range names {
				if n != name {
					others = append(others, n)
				}
			}
			x := NewExchange(copies[name], bus, func() []string { return append([]string(nil), others...) }, quietLog(), metrics.NewRegistry())
			assert.NilError(t, x.Start(t.Context()))
			defer x.Stop(t.Context())
		}
		now := time.Now()
		for _, name := range names[1:] {
			copies[name].SetAway(false, now)
			copies[name].Merge([]store.Entry{{Key: "config", Value: []byte("1"), Revision: 3}}, 3, now)
		}
		// "a" is refused by the store from its start.
		time.Sleep(applyBound)
		assert.Equal(t, len(copies["a"].Records("config")), 1)

		for i := range 5 {
			rev := store.Revision(10 + i)
			changed := []store.Entry{{Key: "config", Value: []byte(fmt.Sprint(rev)), Revision: rev}}
			for _, name := range names[1:] {
				copies[name].Merge(changed, rev, now)
			}
			time.Sleep(applyBound)
			assert.Equal(t, copies["a"].Records("config")[0].Revision, rev)
		}
		quiet := net["b"].sent
		copies["a"].SetAway(false, now)
		time.Sleep(time.Minute)
		assert.Equal(t, net["b"].sent, quiet, "daemons that reach the store exchange nothing")
	})
}
