package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/route"
)

// occupied returns candidates with the given number of running requests, of which some are at
// least as urgent as the request to be placed.
func occupied(n, slots int, running, atLeastAsUrgent float64) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{Server: server(i), Slots: slots, Running: running, AtLeastAsUrgent: atLeastAsUrgent, PrefillRate: 30})
	}
	return out
}

func TestLessUrgentRequestsAreRefusedBeforeTheSlotsAreFull(t *testing.T) {
	req := Request{Urgency: 2, MaxWait: time.Second, Target: time.Second}
	assert.Equal(t, acceptedShare(occupied(4, 12, 8, 8), &req), 1.0)
	assert.Equal(t, acceptedShare(occupied(4, 12, 12, 12), &req), 0.0)
	some := acceptedShare(occupied(4, 12, 10.5, 10.5), &req)
	assert.Assert(t, some > 0.4 && some < 0.6, "%v", some)
	assert.Equal(t, acceptedShare(occupied(4, 12, 30, 3), &req), 1.0, "less urgent requests make room")
	assert.Equal(t, acceptedShare(occupied(4, 0, 30, 30), &req), 1.0, "the number of slots isn't known")
}

func TestRefusedCallersReturnWithinTheirObjective(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	req := Request{Urgency: 2, MaxWait: time.Second, Target: time.Second}
	delays := map[time.Duration]bool{}
	for range 100 {
		refusal := admitBySlots(acceptedShare(occupied(4, 12, 12, 12), &req), &req, rnd)
		assert.Assert(t, refusal != nil)
		assert.Assert(t, refusal.RetryAfter > 0 && refusal.RetryAfter < req.Target)
		delays[refusal.RetryAfter] = true
	}
	assert.Assert(t, len(delays) > 50, "callers would return at the same time")
	req.MaxWait = 0
	assert.Assert(t, admitBySlots(acceptedShare(occupied(4, 12, 12, 12), &req), &req, rnd) == nil, "the most urgent requests are never refused")
}

func TestFullServersGetNoRequestsWhileOthersHaveRoom(t *testing.T) {
	assert.Assert(t, slotsScarce(occupied(3, 12, 7, 7)) && !slotsScarce(occupied(3, 12, 5, 5)))
	candidates := occupied(3, 12, 20, 20)
	candidates[1].Running = 5
	spare := occupied(3, 12, 3, 3)
	spare[0].Reserved = true
	assert.Equal(t, len(withRoom(spare, &Request{}, false)), 3, "reading limits the servers, not slots")
	assert.Equal(t, len(withRoom(candidates, &Request{}, true)), 1)
	candidates[1].Reserved = true
	assert.Equal(t, len(withRoom(candidates, &Request{Tight: true}, true)), 1)
	assert.Equal(t, len(withRoom(candidates, &Request{}, true)), 3, "without room anywhere, all are compared")
}

func TestSlotWaitCountsRequestsAtLeastAsUrgent(t *testing.T) {
	c := occupied(1, 12, 30, 11)[0]
	c.AtLeastAsUrgent = 7
	assert.Equal(t, c.slotWait(2*time.Second), time.Duration(0), "a less urgent request is preempted")
	c.AtLeastAsUrgent = 14
	assert.Equal(t, c.slotWait(2*time.Second), time.Second)
}

func TestReservedShareGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	candidates := occupied(100, 10, 6, 6)
	var r reservedShare
	assert.Equal(t, r.count(now, candidates), 0)
	for i := range candidates {
		candidates[i].Tight = 3
	}
	assert.Equal(t, r.count(now, candidates), 45)
	for i := range candidates {
		candidates[i].Tight = 1
	}
	assert.Equal(t, r.count(now.Add(demandHalfLife/2), candidates), 32)
	assert.Equal(t, r.count(now.Add(4*demandHalfLife), candidates), 15)
}

// TestSlotCountsOfOlderDaemonsRefuseNobody guards against refusing urgent requests for those of
// daemons of an older version, which may be less urgent.
func TestSlotCountsOfOlderDaemonsRefuseNobody(t *testing.T) {
	old := serverLoad{Running: 7}
	slots := old.slots()
	assert.Equal(t, slots.atLeast(route.MaxUrgency-1), 0.0)
	assert.Equal(t, slots.atLeast(route.MaxUrgency), 7.0)
	var c byUrgency
	c[0], c[3] = 2, 4
	decoded := decodeByUrgency(c.encode(), 6, 0)
	assert.Equal(t, decoded, c)
	assert.Equal(t, decoded.atLeast(2), 2.0)
	assert.Equal(t, decoded.atLeast(3), 6.0)
}
