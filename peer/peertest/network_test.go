package peertest

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/scheduler"
)

// recorder records the messages that a bus receives and when they arrive.
type recorder struct {
	ids   []uint64
	times []time.Duration
}

func record(b peer.Bus) *recorder {
	r := &recorder{}
	start := time.Now()
	b.Handle(peer.KindCancel, func() peer.Message { return new(scheduler.Cancel) }, func(_ string, m peer.Message) {
		r.ids = append(r.ids, m.(*scheduler.Cancel).ID)
		r.times = append(r.times, time.Since(start))
	})
	return r
}

func send(t *testing.T, b peer.Bus, to string, ids ...uint64) {
	t.Helper()
	for _, id := range ids {
		assert.NilError(t, b.Send(to, &scheduler.Cancel{ID: id}))
	}
}

func TestDeliversInOrderAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1)
		n.SetDelay(5*time.Millisecond, 0)
		a, r := n.Bus("a"), record(n.Bus("b"))
		send(t, a, "b", 1, 2, 3)
		advance(time.Second)
		assert.DeepEqual(t, r.ids, []uint64{1, 2, 3})
		assert.Equal(t, r.times[0], 5*time.Millisecond)
		assert.Equal(t, n.Stats("a").MessagesSent, 3)
		assert.Equal(t, n.Stats("b").BytesReceived, n.Stats("a").BytesSent)
	})
}

func TestCutIsOneWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1)
		a, b := n.Bus("a"), n.Bus("b")
		ra, rb := record(a), record(b)
		var down []string
		a.OnLinkDown(func(name string) { down = append(down, name) })
		n.Cut("a", "b")
		send(t, a, "b", 1)
		send(t, b, "a", 2)
		advance(DefaultLinkDownAfter + time.Second)
		assert.DeepEqual(t, down, []string{"b"})
		n.Heal("a", "b")
		send(t, a, "b", 3)
		advance(time.Second)
		assert.DeepEqual(t, ra.ids, []uint64{2})
		assert.DeepEqual(t, rb.ids, []uint64{3})
	})
}

func TestPauseHoldsBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1)
		a, b := n.Bus("a"), n.Bus("b")
		ra, rb := record(a), record(b)
		n.Pause("b")
		send(t, a, "b", 1)
		send(t, b, "a", 2)
		advance(time.Second)
		assert.Equal(t, len(ra.ids)+len(rb.ids), 0)
		n.Resume("b")
		advance(time.Second)
		assert.DeepEqual(t, ra.ids, []uint64{2})
		assert.DeepEqual(t, rb.ids, []uint64{1})
	})
}

func TestRemovedNameIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1)
		a, old := n.Bus("a"), n.Bus("b")
		rOld := record(old)
		send(t, a, "b", 1)
		advance(time.Second)
		n.Remove("b")
		send(t, a, "b", 2)
		assert.ErrorIs(t, old.Send("a", &scheduler.Cancel{ID: 9}), peer.ErrClosed)
		rNew := record(n.Bus("b"))
		send(t, a, "b", 3)
		advance(time.Second)
		assert.DeepEqual(t, rOld.ids, []uint64{1})
		assert.DeepEqual(t, rNew.ids, []uint64{3})
	})
}

func TestLossIsSeeded(t *testing.T) {
	run := func(seed uint64) []uint64 {
		var ids []uint64
		synctest.Test(t, func(t *testing.T) {
			n := NewNetwork(seed)
			n.SetLoss(0.3, 0.3)
			a, r := n.Bus("a"), record(n.Bus("b"))
			for id := range uint64(100) {
				send(t, a, "b", id)
			}
			advance(time.Second)
			ids = r.ids
		})
		return ids
	}
	first := run(7)
	assert.DeepEqual(t, first, run(7))
	seen := map[uint64]int{}
	for _, id := range first {
		seen[id]++
	}
	assert.Assert(t, len(seen) < 100 && len(seen) < len(first))
}

func TestUnknownPeer(t *testing.T) {
	n := NewNetwork(1)
	assert.ErrorIs(t, n.Bus("a").Send("nobody", &scheduler.Cancel{}), peer.ErrUnknownPeer)
}

// advance advances the bubble's time by d and waits until all goroutines block.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
