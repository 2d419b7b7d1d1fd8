package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/entrydir"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/scheduler"
)

const (
	requestDaemons = 24
	requestServers = 39
	slotsPerServer = 16
	// serviceTime is the mean of the exponentially distributed service times.
	serviceTime  = 4 * time.Second
	loadDuration = 60 * time.Second
)

// fixedBundle is a bundle source whose bundle never changes.
type fixedBundle struct {
	active  *bundle.Active
	changed chan struct{}
}

// Current implements bundle.Source.
func (f *fixedBundle) Current() *bundle.Active { return f.active }

// Changed implements bundle.Source.
func (f *fixedBundle) Changed() <-chan struct{} { return f.changed }

// routers holds the schedulers and reservation managers of a fleet's daemons.
type routers struct {
	fleet    *fleet
	bundles  *fixedBundle
	managers []*reservation.Manager
	services []*scheduler.Service
	refused  int
	mu       sync.Mutex
}

func startRouters(t *testing.T) *routers {
	b := makeBundle(1200)
	rt := &routers{
		fleet:   startFleet(t, requestDaemons, requestServers),
		bundles: &fixedBundle{active: bundle.NewActive(1, b), changed: make(chan struct{})},
	}
	for i, view := range rt.fleet.services {
		bus := rt.fleet.net.Bus(fmt.Sprintf("entry-%03d", i))
		s := scheduler.New(scheduler.Config{Bus: bus, View: view, Bundles: rt.bundles})
		assert.NilError(t, s.Start(t.Context()))
		rt.services = append(rt.services, s)
		rt.managers = append(rt.managers, reservation.NewManager(reservation.Config{
			Bus: bus, View: view, Bundles: rt.bundles, SchedulersPerRequest: 3, Seed: uint64(i + 1), Metrics: metrics.NewRegistry(),
		}))
	}
	rt.fleet.settle(10 * time.Second)
	return rt
}

func (rt *routers) stop(t *testing.T) {
	for _, s := range rt.services {
		assert.NilError(t, s.Stop(context.Background()))
	}
	rt.fleet.stop(t)
}

// request acquires a slot through a random daemon, holds it for the service time
// and releases it.
func (rt *routers) request(i int, rng *rand.Rand) {
	m := rt.managers[rng.IntN(len(rt.managers))]
	b := rt.bundles.active.Bundle
	now := time.Now()
	work := time.Duration(rng.ExpFloat64() * float64(serviceTime))
	slot, err := m.Acquire(context.Background(), reservation.Spec{
		Pool: rt.bundles.active.PoolOfModel("model-0"), Class: &b.Classes[i%8], Customer: b.Customers[i%len(b.Customers)].Name,
		Arrived: now, Target: now.Add(1600 * time.Millisecond), Cost: 900, Prefix: rng.Uint64(),
	})
	if err != nil {
		rt.mu.Lock()
		rt.refused++
		rt.mu.Unlock()
		return
	}
	time.Sleep(work)
	slot.Done(reservation.Report{Outcome: scheduler.OutcomeOK, Tokens: 250, FirstToken: 300 * time.Millisecond, TokenGap: 20 * time.Millisecond})
}

// load starts requests at a steady rate and waits until all have ended.
func (rt *routers) load(perSecond int) {
	rng := rand.New(rand.NewPCG(1, uint64(perSecond)))
	var done sync.WaitGroup
	for i := range perSecond * int(loadDuration.Seconds()) {
		seed := rng.Uint64()
		done.Go(func() { rt.request(i, rand.New(rand.NewPCG(seed, 0))) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	done.Wait()
}

// controlKinds are the kinds of messages that reservations use.
var controlKinds = []peer.Kind{
	peer.KindReserve, peer.KindQueued, peer.KindInfeasible, peer.KindGrant, peer.KindAccept, peer.KindDecline,
	peer.KindCancel, peer.KindDone, peer.KindDeclare, peer.KindDeclareRequest,
}

// reservationBytes returns the bytes that all daemons have sent in messages of
// controlKinds.
func (rt *routers) reservationBytes() float64 {
	sum := 0
	for i := range rt.fleet.services {
		byKind := rt.fleet.net.Stats(fmt.Sprintf("entry-%03d", i)).SentByKind
		for _, k := range controlKinds {
			sum += byKind[k]
		}
	}
	return float64(sum)
}

// measureRequests varies the request rate of a fleet in three regions, from a
// quarter to nine tenths of what its slots can serve.
func measureRequests(t *testing.T, r *recorder) {
	for _, rate := range []int{40, 80, 120, 140} {
		synctest.Test(t, func(t *testing.T) {
			rt := startRouters(t)
			bytes, cpu := rt.reservationBytes(), cpuTime(t)
			messages, _ := rt.fleet.sent()
			start := time.Now()
			rt.load(rate)
			elapsed := time.Since(start).Seconds()
			cpu = cpuTime(t) - cpu
			bytes = rt.reservationBytes() - bytes
			after, _ := rt.fleet.sent()
			requests := float64(rate) * loadDuration.Seconds()
			series := func(id, cost string) Series {
				return Series{ID: id, Role: "scheduler and gateway", Varied: "requests a second of the fleet", Cost: cost}
			}
			r.add(series("R1", "bytes between daemons per request"), float64(rate), bytes/requests)
			// Membership messages, 2.1 per daemon and second, are not counted.
			r.add(series("R2", "messages between daemons per request"), float64(rate), (after-messages-2.1*requestDaemons*elapsed)/requests)
			r.add(series("R3", "processor microseconds a second of the whole fleet, membership and in-memory network included"), float64(rate), float64(cpu.Microseconds())/elapsed)
			r.add(series("R4", "requests refused"), float64(rate), float64(rt.refused))
			rt.stop(t)
		})
	}
}

// measureEntries varies the number of daemons from which the entry directory
// chooses those of a response.
func measureEntries(t *testing.T, r *recorder) {
	for _, n := range []int{7, 64, 205, 410} {
		daemons := make([]membership.Daemon, n)
		for i := range daemons {
			daemons[i] = membership.Daemon{
				Name: fmt.Sprintf("entry-%03d", i), State: membership.Alive, CallerAddr: "10.0.0.1:8080", BundleVersion: 1,
				Region: fmt.Sprintf("region-%d", i%regions), Domain: fmt.Sprintf("domain-%d", i%domains), Load: uint32(i % 50),
			}
		}
		rng := rand.New(rand.NewPCG(1, 1))
		r.add(Series{ID: "E1", Role: "entry directory", Varied: "daemons", Cost: "microseconds per answer"}, float64(n),
			cpuNanosPerCall(t, 5000, func() { entrydir.Order(daemons, "domain-1", 3, rng) })/1000)
	}
}
