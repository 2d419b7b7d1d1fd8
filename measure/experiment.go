package measure

import (
	"context"
	"time"
)

// Names of the ways of routing.
const (
	productName = "jacinththread"
	fifoName    = "alone-fifo"
	leastName   = "alone-least-loaded"
	earlyName   = "early-binding"
	boundName   = "bound"
)

func baselineNames() []string { return []string{fifoName, leastName, earlyName, boundName} }

// runBaseline runs a baseline by discrete events.
func runBaseline(w *workload, s scenario, name string, seed uint64) result {
	r, _ := baselineWorld(w, s, name, seed)
	return r
}

func baselineWorld(w *workload, s scenario, name string, seed uint64) (result, *world) {
	c := &eventClock{}
	wd := newWorld(c, w, s, seed)
	wd.requests = w.arrivals(w.active(poolSlots, poolSlots), s, seed)
	r := newBaseline(wd, name)
	for _, q := range wd.requests {
		c.after(q.arrived, func() { wd.arrive(r, q) })
	}
	wd.prepare(r)
	c.run()
	return summarize(wd, name), wd
}

func newBaseline(wd *world, name string) router {
	switch name {
	case fifoName:
		return newAlone(wd, false)
	case leastName:
		return newAlone(wd, true)
	case earlyName:
		return newEarlyBinding(wd)
	}
	return newGlobalQueue(wd)
}

// runProduct runs the router's services. It must be called in a bubble of
// testing/synctest.
func runProduct(w *workload, s scenario, v variant, seed uint64) (result, error) {
	r, _, err := productWorld(w, s, v, seed)
	return r, err
}

func productWorld(w *workload, s scenario, v variant, seed uint64) (result, *world, error) {
	start := time.Now()
	wd := newWorld(&systemClock{start: start}, w, s, seed)
	active := w.active(v.slots, v.maxSlots)
	wd.requests = w.arrivals(active, s, seed)
	p := newProduct(wd, v, active, start)
	for _, svc := range p.services {
		if err := svc.Start(context.Background()); err != nil {
			return result{}, nil, err
		}
	}
	wd.clock.locked(func() { wd.prepare(p) })
	for _, q := range wd.requests {
		time.Sleep(time.Until(start.Add(q.arrived)))
		wd.clock.locked(func() { wd.arrive(p, q) })
	}
	for !wd.settled() {
		time.Sleep(time.Second)
	}
	for _, svc := range p.services {
		if err := svc.Stop(context.Background()); err != nil {
			return result{}, nil, err
		}
	}
	r := summarize(wd, v.name)
	r.messages = ratio(float64(p.messages()), float64(len(wd.requests)))
	return r, wd, nil
}

// settled reports whether all requests have ended.
func (wd *world) settled() bool {
	done := true
	wd.clock.locked(func() {
		for _, q := range wd.requests {
			done = done && q.outcome != pending
		}
		done = done && wd.clock.now() > endTime+sampleEvery
	})
	return done
}
