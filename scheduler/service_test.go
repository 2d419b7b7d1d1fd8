package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/policy"
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
		// A service left running would keep virtual time going for ever.
		defer func() { assert.NilError(t, b.svc.Stop(context.Background())) }()
		synctest.Wait()
		f(t, b)
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
	found := grants(out)
	if len(found) == 0 {
		t.Fatalf("no grant in %v", out)
	}
	return found[0]
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
		b.bus.deliver("d", reserve(7, 5))
		sleep(defaultGrantFor + grantMargin + tickInterval)
		// The slot goes to a gateway that answers, though its tier is lower.
		other := grantIn(t, b.bus.take())
		assert.Equal(t, other.ID, uint64(7))
		b.bus.deliver("d", &Accept{GrantID: other.GrantID, ID: 7, Server: "s1"})
		b.bus.deliver(gatewayName, reserve(1, 0))
		second := grantIn(t, b.bus.deliver("d", &Done{GrantID: other.GrantID, ID: 7, Server: "s1", Outcome: OutcomeOK}))
		assert.Equal(t, second.ID, uint64(1))
		assert.Assert(t, second.GrantID != first.GrantID)
	})
}

func TestLateAcceptCountsTheSlot(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		first := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 0)))
		sleep(defaultGrantFor + grantMargin + tickInterval)
		b.bus.deliver(gatewayName, &Accept{GrantID: first.GrantID, ID: 1, Server: "s1"})
		b.bus.deliver(gatewayName, &Accept{GrantID: first.GrantID, ID: 1, Server: "s1"})
		assert.Equal(t, b.svc.Snapshot()[0].Waiting, 0)
		assert.Equal(t, len(grants(b.bus.deliver(gatewayName, reserve(2, 0)))), 0)
		out := b.bus.deliver(gatewayName, &Done{GrantID: first.GrantID, ID: 1, Server: "s1", Outcome: OutcomeOK})
		assert.Equal(t, grantIn(t, out).ID, uint64(2))
	})
}

func TestLateCopiesOfAnEndedRequestAreIgnored(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		g := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 0)))
		b.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: 1, Server: "s1"})
		b.bus.deliver(gatewayName, &Done{GrantID: g.GrantID, ID: 1, Server: "s1", Outcome: OutcomeOK})
		assert.Equal(t, len(b.bus.deliver(gatewayName, reserve(1, 0))), 0)
		assert.Equal(t, len(b.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: 1, Server: "s1"})), 0)
		assert.Equal(t, grantIn(t, b.bus.deliver(gatewayName, reserve(2, 0))).ID, uint64(2))
	})
}

func TestLostDoneIsFoundByAsking(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		g := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 0)))
		b.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: 1, Server: "s1"})
		b.bus.deliver(gatewayName, reserve(2, 0))
		sleep(auditInterval + tickInterval)
		b.bus.take()
		for _, down := range b.bus.linkDown {
			down(gatewayName)
		}
		sleep(auditInterval + tickInterval)
		question := questionIn(t, b.bus.take(), gatewayName)
		out := b.bus.deliver(gatewayName, &Declare{Seq: question.Seq})
		assert.Equal(t, grantIn(t, out).ID, uint64(2))
	})
}

func TestTakeoverLimitsGrantsUntilGatewaysDeclared(t *testing.T) {
	withBench(t, 8, []string{"s1"}, func(t *testing.T, b *bench) {
		asked := b.bus.take()
		for id := range uint64(8) {
			asked = append(asked, b.bus.deliver(gatewayName, reserve(id+1, 0))...)
		}
		assert.Equal(t, len(grants(asked)), 2)
		seq := questionIn(t, asked, gatewayName).Seq
		b.bus.deliver("d", &Declare{Seq: seq})
		out := b.bus.deliver(gatewayName, &Declare{Seq: seq, Running: []Running{
			{ID: 101, Server: "s1", Class: tierClass(0), Customer: "c"},
			{ID: 102, Server: "s1", Class: tierClass(0), Customer: "c"},
			{ID: 103, Server: "s1", Class: tierClass(0), Customer: "c"},
		}})
		assert.Equal(t, len(grants(out)), 3)
		assert.Equal(t, b.svc.Snapshot()[0].Running, 3)
		// A declaration that arrives twice changes nothing.
		b.bus.deliver(gatewayName, &Declare{Seq: seq})
		assert.Equal(t, b.svc.Snapshot()[0].Running, 3)
	})
}

func TestTakeoverLimitEndsWithItsBound(t *testing.T) {
	withBench(t, 8, []string{"s1"}, func(t *testing.T, b *bench) {
		for id := range uint64(4) {
			b.bus.deliver(gatewayName, reserve(id+1, 0))
		}
		sleep(takeoverBound + tickInterval)
		assert.Equal(t, len(grants(b.bus.take())), 2)
	})
}

func TestLostServersRefuseTheirReservations(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		b.bus.deliver(gatewayName, reserve(1, 0))
		b.bus.deliver(gatewayName, reserve(2, 0))
		b.view.change(func() { b.view.servers = nil })
		synctest.Wait()
		refusal := b.bus.take()[0].m.(*Infeasible)
		assert.Equal(t, refusal.ID, uint64(2))
		assert.Equal(t, refusal.Reason, ReasonNoServer)
	})
}

func TestStopRefusesWhatWaits(t *testing.T) {
	withBench(t, 1, []string{"s1"}, func(t *testing.T, b *bench) {
		b.bus.deliver(gatewayName, reserve(1, 0))
		b.bus.deliver(gatewayName, reserve(2, 0))
		assert.NilError(t, b.svc.Stop(t.Context()))
		refusal := b.bus.take()[0].m.(*Infeasible)
		assert.Equal(t, refusal.Reason, ReasonStopping)
		assert.Equal(t, b.bus.deliver(gatewayName, reserve(3, 0))[0].m.(*Infeasible).Reason, ReasonStopping)
	})
}

// sleep lets virtual time pass and the service react.
func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func grants(out []outgoing) []*Grant {
	var found []*Grant
	for _, o := range out {
		if g, ok := o.m.(*Grant); ok {
			found = append(found, g)
		}
	}
	return found
}

func questionIn(t *testing.T, out []outgoing, to string) *DeclareRequest {
	t.Helper()
	for _, o := range out {
		if q, ok := o.m.(*DeclareRequest); ok && o.to == to {
			return q
		}
	}
	t.Fatalf("no question to %s in %v", to, out)
	return nil
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
		// It is refused at once, so that its gateway asks another scheduler.
		assert.Equal(t, len(out), 1)
		assert.Equal(t, out[0].m.(*Infeasible).Reason, ReasonNoServer)
	})
}

// run grants and finishes one request that takes as long as given.
func (b *bench) run(t *testing.T, id uint64, took time.Duration) {
	t.Helper()
	g := grantIn(t, b.bus.deliver(gatewayName, reserve(id, 0)))
	b.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: id, Server: g.Server})
	sleep(took)
	b.bus.deliver(gatewayName, &Done{
		GrantID: g.GrantID, ID: id, Server: g.Server, Outcome: OutcomeOK, Class: tierClass(0),
		Tokens: 100, FirstTokenMs: 100, TokenGapUs: 20_000,
	})
}

func TestServerWhoseRequestsAreOverdueGetsProbesOnly(t *testing.T) {
	withBench(t, 4, []string{"s1", "s2"}, func(t *testing.T, b *bench) {
		for id := range uint64(30) {
			b.run(t, id+1, 500*time.Millisecond)
		}
		var sound []*Grant
		for id := uint64(100); id < 108; id++ {
			g := grantIn(t, b.bus.deliver(gatewayName, reserve(id, 0)))
			b.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: id, Server: g.Server})
			if g.Server == "s2" {
				sound = append(sound, g)
			}
		}
		assert.Equal(t, len(sound), 4)
		for _, g := range sound {
			b.bus.deliver(gatewayName, &Done{GrantID: g.GrantID, ID: g.ID, Server: "s2", Outcome: OutcomeCanceled})
		}
		sleep(10 * time.Second)
		stragglers := 0
		for _, srv := range b.svc.ordered[0].Servers() {
			if srv.Health.State() == policy.Probing {
				assert.Equal(t, srv.Name, "s1")
				stragglers++
			}
		}
		assert.Equal(t, stragglers, 1)
	})
}

func TestDeclinedServerIsNotOfferedToTheSameRequestAgain(t *testing.T) {
	withBench(t, 1, []string{"s1", "s2"}, func(t *testing.T, b *bench) {
		first := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 0)))
		b.bus.deliver(gatewayName, &Decline{GrantID: first.GrantID, ID: 1, Server: first.Server})
		second := grantIn(t, b.bus.deliver(gatewayName, reserve(1, 0)))
		assert.Assert(t, second.Server != first.Server)
		b.bus.deliver(gatewayName, &Decline{GrantID: second.GrantID, ID: 1, Server: second.Server})
		out := b.bus.deliver(gatewayName, reserve(1, 0))
		assert.Equal(t, out[0].m.(*Infeasible).Reason, ReasonNoServer)
	})
}
