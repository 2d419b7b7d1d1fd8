package measure

import (
	"context"
	"time"
)

// Names of the routing policies.
const (
	productName = "jacinththread"
	fifoName    = "alone-fifo"
	leastName   = "alone-least-loaded"
	earlyName   = "early-binding"
	boundName   = "bound"
)

func baselineNames() []string { return []string{fifoName, leastName, earlyName, boundName} }

// runBaseline measures a baseline in a discrete-event simulation.
func runBaseline(w *workload, s scenario, name string, seed uint64) result {
	r, _ := simulateBaseline(w, s, name, seed)
	return r
}

func simulateBaseline(w *workload, s scenario, name string, seed uint64) (result, *simulation) {
	c := &eventClock{}
	sim := newSimulation(c, w, s, seed)
	sim.requests = w.arrivals(w.active(poolSlots, poolSlots), s, seed)
	r := newBaseline(sim, name)
	for _, q := range sim.requests {
		c.after(q.arrived, func() { sim.arrive(r, q) })
	}
	sim.prepare(r)
	c.run()
	return summarize(sim, name), sim
}

func newBaseline(sim *simulation, name string) router {
	switch name {
	case fifoName:
		return newIndependentGateways(sim, false)
	case leastName:
		return newIndependentGateways(sim, true)
	case earlyName:
		return newEarlyBinding(sim)
	}
	return newGlobalQueue(sim)
}

// runProduct measures the router under test. It must be called in a
// testing/synctest bubble.
func runProduct(w *workload, s scenario, v variant, seed uint64) (result, error) {
	r, _, err := simulateProduct(w, s, v, seed)
	return r, err
}

func simulateProduct(w *workload, s scenario, v variant, seed uint64) (result, *simulation, error) {
	start := time.Now()
	sim := newSimulation(&systemClock{start: start}, w, s, seed)
	active := w.active(v.slots, v.maxSlots)
	sim.requests = w.arrivals(active, s, seed)
	p := newProduct(sim, v, active, start)
	for _, svc := range p.services {
		if err := svc.Start(context.Background()); err != nil {
			return result{}, nil, err
		}
	}
	sim.clock.locked(func() { sim.prepare(p) })
	for _, q := range sim.requests {
		time.Sleep(time.Until(start.Add(q.arrived)))
		sim.clock.locked(func() { sim.arrive(p, q) })
	}
	for !sim.finished() {
		time.Sleep(time.Second)
	}
	for _, svc := range p.services {
		if err := svc.Stop(context.Background()); err != nil {
			return result{}, nil, err
		}
	}
	r := summarize(sim, v.name)
	r.messages = ratio(float64(p.messages()), float64(len(sim.requests)))
	return r, sim, nil
}

// finished reports whether all requests have ended and all samples are taken.
func (sim *simulation) finished() bool {
	done := true
	sim.clock.locked(func() {
		for _, q := range sim.requests {
			done = done && q.outcome != pending
		}
		done = done && sim.clock.now() > endTime+sampleEvery
	})
	return done
}
