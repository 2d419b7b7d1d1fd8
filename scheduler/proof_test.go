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
	defaultProofSeed = 100
	histories        = 6
)

// proofSeed is the first seed of a proof; PROOF_SEED sets another.
func proofSeed(t *testing.T) uint64 {
	text := os.Getenv("PROOF_SEED")
	if text == "" {
		return defaultProofSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return seed
}

// prove runs histories, checks each and prints one line.
func prove(t *testing.T, name string, run func(t *testing.T, seed uint64) []scheduler.Event, check func([]scheduler.Event) []string) {
	first := proofSeed(t)
	events, violations := 0, 0
	for seed := first; seed < first+histories; seed++ {
		history := run(t, seed)
		found := check(history)
		events += len(history)
		violations += len(found)
		if len(found) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(found), found[0])
		}
	}
	fmt.Printf("proof: %s histories=%d events=%d violations=%d seeds=%d..%d\n",
		name, histories, events, violations, first, first+histories-1)
	assert.Assert(t, events > 0)
}

// faultyHistory overloads a cluster whose messages are lost, doubled, late and
// reordered, while daemons are paused, disagree and end.
func faultyHistory(t *testing.T, seed uint64) []scheduler.Event {
	var events []scheduler.Event
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, 4, 6)
		c.net.SetLoss(0.02, 0.02)
		for i, name := range c.names {
			c.offer(name, seed+uint64(i), 40*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		c.pause(c.names[c.rnd.IntN(len(c.names))], 3*time.Second)
		time.Sleep(2 * time.Second)
		c.disagree()
		time.Sleep(3 * time.Second)
		c.remove(c.names[c.rnd.IntN(len(c.names))])
		time.Sleep(6 * time.Second)
		c.stop()
		events = c.events
	})
	return events
}

// overload keeps the highest tiers of a cluster overloaded for three times the
// starvation bound.
func overload(t *testing.T, seed uint64) []scheduler.Event {
	var events []scheduler.Event
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, 2, 4)
		c.net.SetLoss(0.005, 0.005)
		for i, name := range c.names {
			c.offer(name, seed+uint64(i), 12*time.Millisecond)
		}
		time.Sleep(3 * starvation)
		c.stop()
		for tier := range bundle.MaxTiers {
			class := fmt.Sprintf("class-%d", tier)
			assert.Assert(t, c.served[class] > 0, "%s was never served", class)
		}
		events = c.events
	})
	return events
}

// servedWithin is the longest time without a grant that
// docs/design/starvation.md allows a class: half its bound until it is due,
// the turns of all lower classes, express slots on the way, and one lost grant.
func servedWithin() time.Duration {
	const lower = bundle.MaxTiers - 1
	// The allowance is a twentieth of the slot time.
	const turn = 20 * maxService / slotsPerServer
	lost := 4 * time.Second
	return starvation/2 + lower*turn + (2*lower+1)*maxService + lost
}

func TestProofTierOrder(t *testing.T) {
	prove(t, "tier-order", faultyHistory, checkTierOrder)
}

func TestProofNoStarvation(t *testing.T) {
	prove(t, "no-starvation", overload, func(events []scheduler.Event) []string {
		return checkNoStarvation(events, servedWithin())
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
	sound := []scheduler.Event{faulty[0], faulty[1], event(granted, 1, 0, 0), event(granted, 2, 5, 0)}
	assert.Equal(t, len(checkTierOrder(sound)), 0)
	faulty[2].Allowance = true
	assert.Equal(t, len(checkTierOrder(faulty)), 0)
}

func TestCheckerFindsWrongEviction(t *testing.T) {
	evicted := event(scheduler.EventEvicted, 1, 2, 0)
	evicted.NewcomerTier = 4
	history := []scheduler.Event{
		event(scheduler.EventQueued, 1, 2, 0), event(scheduler.EventQueued, 2, 6, 0), event(scheduler.EventQueued, 3, 6, 0), evicted,
	}
	// It made room for a lower tier, and a still lower one was spared.
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
