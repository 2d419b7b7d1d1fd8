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

// harness holds a started service and its fake dependencies.
type harness struct {
	bus  *fakeBus
	view *fakeView
	svc  *Service
}

// runWithHarness runs f in virtual time with a started service that owns the given
// servers.
func runWithHarness(t *testing.T, slots int, servers []string, f func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{bus: newFakeBus("d"), view: newFakeView("d", []string{"d", gatewayName}, servers...)}
		// The gateway is a member of the cluster but owns no servers.
		h.svc = New(Config{Bus: h.bus, View: selfOnly{h.view}, Bundles: testBundle(slots), QueueLimit: 4})
		assert.NilError(t, h.svc.Start(t.Context()))
		// The ticker of a running service would keep synctest from returning.
		defer func() { assert.NilError(t, h.svc.Stop(context.Background())) }()
		synctest.Wait()
		f(t, h)
	})
}

// selfOnly is a view in which the local daemon owns all servers.
type selfOnly struct{ *fakeView }

func (v selfOnly) Schedulers() []string { return []string{v.self} }

func reserve(id uint64, tier int) *Reserve {
	return &Reserve{ID: id, Pool: "chat", Class: tierClass(tier), Customer: "c", DeadlineMs: 10_000, Cost: 100}
}

// grantIn returns the first grant among the messages and fails if there is none.
func grantIn(t *testing.T, out []outgoing) *Grant {
	t.Helper()
	found := grants(out)
	if len(found) == 0 {
		t.Fatalf("no grant in %v", out)
	}
	return found[0]
}

func TestFreeSlotGoesToHighestTier(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		first := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 3)))
		h.bus.deliver(gatewayName, &Accept{GrantID: first.GrantID, ID: 1, Server: "s1"})
		h.bus.deliver(gatewayName, reserve(2, 5))
		h.bus.deliver(gatewayName, reserve(3, 0))
		out := h.bus.deliver(gatewayName, &Done{GrantID: first.GrantID, ID: 1, Server: "s1", Outcome: OutcomeOK})
		assert.Equal(t, grantIn(t, out).ID, uint64(3))
	})
}

func TestReserveIsIdempotent(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		first := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 0)))
		again := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 0)))
		assert.Equal(t, first.GrantID, again.GrantID)
		h.bus.deliver(gatewayName, reserve(2, 0))
		h.bus.deliver(gatewayName, reserve(2, 0))
		assert.Equal(t, h.svc.Snapshot()[0].Waiting, 1)
	})
}

func TestUnacceptedGrantExpiresAndIsOfferedAgain(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		first := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 0)))
		h.bus.deliver("d", reserve(7, 5))
		sleep(defaultGrantValidity + grantMargin + tickInterval)
		// The slot goes to the gateway that is not held, although the tier is lower.
		other := grantIn(t, h.bus.take())
		assert.Equal(t, other.ID, uint64(7))
		h.bus.deliver("d", &Accept{GrantID: other.GrantID, ID: 7, Server: "s1"})
		h.bus.deliver(gatewayName, reserve(1, 0))
		second := grantIn(t, h.bus.deliver("d", &Done{GrantID: other.GrantID, ID: 7, Server: "s1", Outcome: OutcomeOK}))
		assert.Equal(t, second.ID, uint64(1))
		assert.Assert(t, second.GrantID != first.GrantID)
	})
}

func TestLateAcceptOccupiesTheSlot(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		first := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 0)))
		sleep(defaultGrantValidity + grantMargin + tickInterval)
		h.bus.deliver(gatewayName, &Accept{GrantID: first.GrantID, ID: 1, Server: "s1"})
		h.bus.deliver(gatewayName, &Accept{GrantID: first.GrantID, ID: 1, Server: "s1"})
		assert.Equal(t, h.svc.Snapshot()[0].Waiting, 0)
		assert.Equal(t, len(grants(h.bus.deliver(gatewayName, reserve(2, 0)))), 0)
		out := h.bus.deliver(gatewayName, &Done{GrantID: first.GrantID, ID: 1, Server: "s1", Outcome: OutcomeOK})
		assert.Equal(t, grantIn(t, out).ID, uint64(2))
	})
}

func TestLateCopiesOfAnEndedRequestAreIgnored(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		g := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 0)))
		h.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: 1, Server: "s1"})
		h.bus.deliver(gatewayName, &Done{GrantID: g.GrantID, ID: 1, Server: "s1", Outcome: OutcomeOK})
		assert.Equal(t, len(h.bus.deliver(gatewayName, reserve(1, 0))), 0)
		assert.Equal(t, len(h.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: 1, Server: "s1"})), 0)
		assert.Equal(t, grantIn(t, h.bus.deliver(gatewayName, reserve(2, 0))).ID, uint64(2))
	})
}

func TestAuditFreesSlotOfLostDone(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		g := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 0)))
		h.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: 1, Server: "s1"})
		h.bus.deliver(gatewayName, reserve(2, 0))
		sleep(minAuditInterval + tickInterval)
		h.bus.take()
		for _, down := range h.bus.linkDown {
			down(gatewayName)
		}
		sleep(minAuditInterval + tickInterval)
		request := declareRequestIn(t, h.bus.take(), gatewayName)
		out := h.bus.deliver(gatewayName, &Declare{Seq: request.Seq})
		assert.Equal(t, grantIn(t, out).ID, uint64(2))
	})
}

func TestTakeoverLimitsGrantsUntilGatewaysDeclare(t *testing.T) {
	runWithHarness(t, 8, []string{"s1"}, func(t *testing.T, h *harness) {
		sent := h.bus.take()
		for id := range uint64(8) {
			sent = append(sent, h.bus.deliver(gatewayName, reserve(id+1, 0))...)
		}
		assert.Equal(t, len(grants(sent)), 2)
		seq := declareRequestIn(t, sent, gatewayName).Seq
		h.bus.deliver("d", &Declare{Seq: seq})
		out := h.bus.deliver(gatewayName, &Declare{Seq: seq, Running: []Running{
			{ID: 101, Server: "s1", Class: tierClass(0), Customer: "c"},
			{ID: 102, Server: "s1", Class: tierClass(0), Customer: "c"},
			{ID: 103, Server: "s1", Class: tierClass(0), Customer: "c"},
		}})
		assert.Equal(t, len(grants(out)), 3)
		assert.Equal(t, h.svc.Snapshot()[0].Running, 3)
		// A duplicate Declare message changes nothing.
		h.bus.deliver(gatewayName, &Declare{Seq: seq})
		assert.Equal(t, h.svc.Snapshot()[0].Running, 3)
	})
}

func TestTakeoverLimitTimesOut(t *testing.T) {
	runWithHarness(t, 8, []string{"s1"}, func(t *testing.T, h *harness) {
		for id := range uint64(4) {
			h.bus.deliver(gatewayName, reserve(id+1, 0))
		}
		sleep(takeoverTimeout + tickInterval)
		assert.Equal(t, len(grants(h.bus.take())), 2)
	})
}

func TestReservationsAreRefusedWhenAllServersAreGone(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		h.bus.deliver(gatewayName, reserve(1, 0))
		h.bus.deliver(gatewayName, reserve(2, 0))
		h.view.change(func() { h.view.servers = nil })
		synctest.Wait()
		refusal := h.bus.take()[0].m.(*Infeasible)
		assert.Equal(t, refusal.ID, uint64(2))
		assert.Equal(t, refusal.Reason, ReasonNoServer)
	})
}

func TestStopRefusesWaitingReservations(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		h.bus.deliver(gatewayName, reserve(1, 0))
		h.bus.deliver(gatewayName, reserve(2, 0))
		assert.NilError(t, h.svc.Stop(t.Context()))
		refusal := h.bus.take()[0].m.(*Infeasible)
		assert.Equal(t, refusal.Reason, ReasonStopping)
		assert.Equal(t, h.bus.deliver(gatewayName, reserve(3, 0))[0].m.(*Infeasible).Reason, ReasonStopping)
	})
}

// sleep advances virtual time and waits until the service has handled it.
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

func declareRequestIn(t *testing.T, out []outgoing, to string) *DeclareRequest {
	t.Helper()
	for _, o := range out {
		if q, ok := o.m.(*DeclareRequest); ok && o.to == to {
			return q
		}
	}
	t.Fatalf("no declare request to %s in %v", to, out)
	return nil
}

func TestSlotOfRemovedGatewayIsFreed(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		g := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 0)))
		h.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: 1, Server: "s1"})
		h.bus.deliver("d", reserve(9, 0))
		h.view.change(func() { h.view.daemons = []string{"d"} })
		synctest.Wait()
		assert.Equal(t, grantIn(t, h.bus.take()).ID, uint64(9))
	})
}

func TestLeavingServerGetsNoGrants(t *testing.T) {
	runWithHarness(t, 1, []string{"s1"}, func(t *testing.T, h *harness) {
		h.view.change(func() { h.view.servers[0].Leaving = true })
		synctest.Wait()
		out := h.bus.deliver(gatewayName, reserve(1, 0))
		// The immediate refusal lets the gateway ask another scheduler.
		assert.Equal(t, len(out), 1)
		assert.Equal(t, out[0].m.(*Infeasible).Reason, ReasonNoServer)
	})
}

// runRequest runs one request to its end. The request uses its slot for the given
// time.
func (h *harness) runRequest(t *testing.T, id uint64, took time.Duration) {
	t.Helper()
	g := grantIn(t, h.bus.deliver(gatewayName, reserve(id, 0)))
	h.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: id, Server: g.Server})
	sleep(took)
	h.bus.deliver(gatewayName, &Done{
		GrantID: g.GrantID, ID: id, Server: g.Server, Outcome: OutcomeOK, Class: tierClass(0),
		Tokens: 100, FirstTokenMs: 100, TokenGapUs: 20_000,
	})
}

func TestServerWithOverdueRequestsIsOnlyProbed(t *testing.T) {
	runWithHarness(t, 4, []string{"s1", "s2"}, func(t *testing.T, h *harness) {
		for id := range uint64(30) {
			h.runRequest(t, id+1, 500*time.Millisecond)
		}
		var healthy []*Grant
		for id := uint64(100); id < 108; id++ {
			g := grantIn(t, h.bus.deliver(gatewayName, reserve(id, 0)))
			h.bus.deliver(gatewayName, &Accept{GrantID: g.GrantID, ID: id, Server: g.Server})
			if g.Server == "s2" {
				healthy = append(healthy, g)
			}
		}
		assert.Equal(t, len(healthy), 4)
		for _, g := range healthy {
			h.bus.deliver(gatewayName, &Done{GrantID: g.GrantID, ID: g.ID, Server: "s2", Outcome: OutcomeCanceled})
		}
		sleep(10 * time.Second)
		stragglers := 0
		for _, srv := range h.svc.ordered[0].Servers() {
			if srv.Health.State() == policy.Probing {
				assert.Equal(t, srv.Name, "s1")
				stragglers++
			}
		}
		assert.Equal(t, stragglers, 1)
	})
}

func TestDeclinedServerIsNotOfferedAgain(t *testing.T) {
	runWithHarness(t, 1, []string{"s1", "s2"}, func(t *testing.T, h *harness) {
		first := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 0)))
		h.bus.deliver(gatewayName, &Decline{GrantID: first.GrantID, ID: 1, Server: first.Server})
		second := grantIn(t, h.bus.deliver(gatewayName, reserve(1, 0)))
		assert.Assert(t, second.Server != first.Server)
		h.bus.deliver(gatewayName, &Decline{GrantID: second.GrantID, ID: 1, Server: second.Server})
		out := h.bus.deliver(gatewayName, reserve(1, 0))
		assert.Equal(t, out[0].m.(*Infeasible).Reason, ReasonNoServer)
	})
}
