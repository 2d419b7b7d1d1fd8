package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const gatewayName = "g"

// bench is a started service with its fakes.
type bench struct {
	bus  *fakeBus
	view *fakeView
	svc  *Service
}

// withBench runs f in virtual time against a service with the given servers.
func withBench(t *testing.T, slots int, servers []string, f func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{bus: newFakeBus("d"), view: newFakeView("d", []string{"d", gatewayName}, servers...)}
		// The gateway daemon is listed but owns nothing in these tests.
		b.svc = New(Config{Bus: b.bus, View: selfOnly{b.view}, Bundles: testBundle(slots), QueueLimit: 4})
		assert.NilError(t, b.svc.Start(t.Context()))
		synctest.Wait()
		f(t, b)
		assert.NilError(t, b.svc.Stop(t.Context()))
	})
}

// selfOnly assigns all servers to the local daemon.
type selfOnly struct{ *fakeView }

func (v selfOnly) Schedulers() []string { return []string{v.self} }

func reserve(id uint64, tier int) *Reserve {
	return &Reserve{ID: id, Pool: "chat", Class: tierClass(tier), Customer: "c", DeadlineMs: 10_000, Cost: 100}
}

func grantIn(t *testing.T, out []outgoing) *Grant {
	t.Helper()
	for _, o := range out {
		if g, ok := o.m.(*Grant); ok {
			return g
		}
	}
	t.Fatalf("no grant in %v", out)
	return nil
}

func TestFreeSlotGoesToTheHighestTier(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		first := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 3)))
		b.bus.deliver(gatewayName, &Accept{GrantID: first.GrantID, ID: 1, Server: "s1"})
		b.bus.deliver(gatewayName, reserve(2, 5))
		b.bus.deliver(gatewayName, reserve(3, 0))
		out := b.bus.deliver(gatewayName, &Done{GrantID: first.GrantID, ID: 1, Server: "s1", Outcome: OutcomeOK})
		assert.Equal(t, grantIn(t, out).ID, uint64(3))
	})
}

func TestReserveIsIdempotent(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		first := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 0)))
		again := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 0)))
		assert.Equal(t, first.GrantID, again.GrantID)
		b.bus.deliver(gatewayName, reserve(2, 0))
		b.bus.deliver(gatewayName, reserve(2, 0))
		assert.Equal(t, b.svc.Snapshot()[0].Waiting, 1)
	})
}

func TestUnacceptedGrantIsTakenBackAndOfferedAgain(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		first := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 0)))
		time.Sleep(defaultGrantFor + grantMargin + tickInterval)
		synctest.Wait()
		second := grantIn(t, b.bus.take())
		assert.Equal(t, second.ID, uint64(1))
		assert.Assert(t, second.GrantID != first.GrantID)
	})
}

func TestSlotOfALostGatewayIsFreed(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		g := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 0)))
		b.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: 1, Server: "s1"})
		b.bus.deliver("d", reserve(9, 0))
		b.view.change(func() { b.view.daemons = []string{"d"} })
		synctest.Wait()
		assert.Equal(t, grantIn(t, b.bus.take()).ID, uint64(9))
	})
}

func TestLeavingServerGetsNoGrants(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		b.view.change(func() { b.view.servers[0].Leaving = true })
		synctest.Wait()
		out := b.bus.deliver(gatewayName, reserve(1, 0))
		assert.Equal(t, len(out), 1)
		_, queued := out[0].m.(*Queued)
		assert.Assert(t, queued)
	})
}
