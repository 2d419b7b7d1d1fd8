package scheduler_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/scheduler"
)

const (
	defaultProofSeed  = 100
	historiesPerProof = 6
)

// proofSeed returns the first seed of a proof. The environment variable
// PROOF_SEED overrides the default.
func proofSeed(t *testing.T) uint64 {
	text := os.Getenv("PROOF_SEED")
	if text == "" {
		return defaultProofSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return seed
}

// checkHistories generates a history for each seed, checks it for violations and
// prints a summary line.
func checkHistories(t *testing.T, name string, run func(t *testing.T, seed uint64) []scheduler.Event, check func([]scheduler.Event) []string) {
	first := proofSeed(t)
	events, violations := 0, 0
	for seed := first; seed < first+historiesPerProof; seed++ {
		history := run(t, seed)
		found := check(history)
		events += len(history)
		violations += len(found)
		if len(found) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(found), found[0])
		}
	}
	fmt.Printf("proof: %s histories=%d events=%d violations=%d seeds=%d..%d\n",
		name, historiesPerProof, events, violations, first, first+historiesPerProof-1)
	assert.Assert(t, events > 0)
}

// faultyHistory loads a cluster close to its capacity, on a network that loses,
// duplicates, delays and reorders messages. One daemon is paused, which overloads the
// cluster. Then the daemons' views of the membership differ for a second, and at last
// one daemon is removed.
func faultyHistory(t *testing.T, seed uint64) []scheduler.Event {
	var events []scheduler.Event
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, 4, 6)
		c.net.SetLoss(0.02, 0.02)
		for i, name := range c.names {
			c.generateLoad(name, seed+uint64(i), 40*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		c.pause(c.names[c.rnd.IntN(len(c.names))], 3*time.Second)
		time.Sleep(2 * time.Second)
		c.splitMembership()
		time.Sleep(3 * time.Second)
		c.remove(c.names[c.rnd.IntN(len(c.names))])
		time.Sleep(6 * time.Second)
		c.stop()
		events = c.events
	})
	return events
}

// overloadHistory keeps a cluster overloaded for three times the starvation bound:
// the requests of the tiers 0 to 2 alone exceed the capacity of all slots.
func overloadHistory(t *testing.T, seed uint64) []scheduler.Event {
	var events []scheduler.Event
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, 2, 4)
		c.net.SetLoss(0.005, 0.005)
		for i, name := range c.names {
			c.generateLoad(name, seed+uint64(i), 12*time.Millisecond)
		}
		time.Sleep(3 * starvationBound)
		c.stop()
		for tier := range bundle.MaxTiers {
			class := fmt.Sprintf("class-%d", tier)
			assert.Assert(t, c.served[class] > 0, "%s was never served", class)
		}
		events = c.events
	})
	return events
}

// maxUnservedTime returns the longest time without a grant that
// docs/design/starvation.md allows a class: half the starvation bound until the
// class is due, the turns of all lower classes, the express slots in between, and
// one lost grant.
func maxUnservedTime() time.Duration {
	const lower = bundle.MaxTiers - 1
	// The allowance for grants out of tier order is 1/20 of the slot time.
	const turn = 20 * maxServiceTime / slotsPerServer
	lostGrant := 4 * time.Second
	return starvationBound/2 + lower*turn + (2*lower+1)*maxServiceTime + lostGrant
}

func TestProofTierOrder(t *testing.T) {
	checkHistories(t, "tier-order", faultyHistory, checkTierOrder)
}

func TestProofNoStarvation(t *testing.T) {
	checkHistories(t, "no-starvation", overloadHistory, func(events []scheduler.Event) []string {
		return checkNoStarvation(events, maxUnservedTime())
	})
}

func event(kind scheduler.EventKind, id uint64, tier int, at time.Duration) scheduler.Event {
	return scheduler.Event{
		Kind: kind, ID: id, Tier: tier, Class: fmt.Sprintf("class-%d", tier),
		Scheduler: "d", Pool: "chat", Gateway: "g", Server: "s", At: time.Unix(0, 0).Add(at),
	}
}

func TestCheckerFindsTierInversion(t *testing.T) {
	queued, granted := scheduler.EventQueued, scheduler.EventGranted
	faulty := []scheduler.Event{event(queued, 1, 0, 0), event(queued, 2, 5, 0), event(granted, 2, 5, 0)}
	assert.Equal(t, len(checkTierOrder(faulty)), 1)
	valid := []scheduler.Event{faulty[0], faulty[1], event(granted, 1, 0, 0), event(granted, 2, 5, 0)}
	assert.Equal(t, len(checkTierOrder(valid)), 0)
	faulty[2].Allowance = true
	assert.Equal(t, len(checkTierOrder(faulty)), 0)
}

func TestCheckerFindsWrongEviction(t *testing.T) {
	evicted := event(scheduler.EventEvicted, 1, 2, 0)
	evicted.NewcomerTier = 4
	history := []scheduler.Event{
		event(scheduler.EventQueued, 1, 2, 0), event(scheduler.EventQueued, 2, 6, 0), event(scheduler.EventQueued, 3, 6, 0), evicted,
	}
	// The eviction made room for a lower tier, and a reservation of a still lower
	// tier stayed in the queue.
	assert.Equal(t, len(checkTierOrder(history)), 2)
	refused := event(scheduler.EventRefused, 4, 0, 0)
	refused.Reason = scheduler.ReasonQueueFull
	assert.Equal(t, len(checkTierOrder(append(history[:3:3], refused))), 1)
}

func TestCheckerFindsStarvation(t *testing.T) {
	queued := scheduler.EventQueued
	faulty := []scheduler.Event{
		event(queued, 1, 7, 0),
		event(scheduler.EventRefused, 1, 7, time.Second),
		event(queued, 2, 7, time.Minute),
	}
	assert.Equal(t, len(checkNoStarvation(faulty, 30*time.Second)), 1)
	served := append(faulty[:1:1], event(scheduler.EventGranted, 1, 7, time.Second), faulty[2])
	assert.Equal(t, len(checkNoStarvation(served, 30*time.Second)), 0)
}
