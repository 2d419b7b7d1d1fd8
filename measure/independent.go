package measure

import "time"

// independentGateways routes without coordination: each gateway sends a request
// to an engine on arrival, and the request waits in the engine's queue.
type independentGateways struct {
	sim *simulation
	// leastLoaded selects engines by reported load instead of round robin.
	leastLoaded bool
	next        [daemonCount]int
	// sent holds the times at which each gateway sent requests to each engine
	// within the last reportLag.
	sent [daemonCount][serverCount][]time.Duration
}

func newIndependentGateways(sim *simulation, leastLoaded bool) *independentGateways {
	for _, e := range sim.engines {
		e.byTier = leastLoaded
	}
	return &independentGateways{sim: sim, leastLoaded: leastLoaded}
}

func (a *independentGateways) waiting() int {
	n := 0
	for _, e := range a.sim.engines {
		n += len(e.queue)
	}
	return n
}

func (a *independentGateways) submit(q *request) { a.try(q, map[int]bool{}) }

// try dispatches the request to an engine that is not in tried, until one
// completes it. A stream that breaks after its first token fails: it is not
// resumed.
func (a *independentGateways) try(q *request, tried map[int]bool) {
	i := a.choose(q.gateway, tried)
	if i < 0 {
		a.sim.end(q, failed)
		return
	}
	tried[i] = true
	a.sent[q.gateway][i] = append(a.sent[q.gateway][i], a.sim.clock.now())
	a.sim.dispatch(q, a.sim.engines[i], func(at attempt) {
		switch {
		case at.complete:
			a.sim.end(q, completed)
		case q.outcome != pending:
		case q.delivered > 0:
			a.sim.end(q, failed)
		default:
			a.try(q, tried)
		}
	})
}

// choose returns the index of an engine that is not in tried, or -1: the next one
// in turn, or the one with the least load if leastLoaded is set.
func (a *independentGateways) choose(gateway int, tried map[int]bool) int {
	best, bestLoad := -1, 0
	for range serverCount {
		i := a.next[gateway] % serverCount
		a.next[gateway]++
		if tried[i] {
			continue
		}
		if !a.leastLoaded {
			return i
		}
		if load := a.load(gateway, i); best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	// Start the next search at another engine, so that ties are spread.
	a.next[gateway]++
	return best
}

// load returns the engine's reported load plus the requests that the gateway
// has sent to it since that report.
func (a *independentGateways) load(gateway, i int) int {
	recent := a.sent[gateway][i]
	for len(recent) > 0 && recent[0] < a.sim.clock.now()-reportLag {
		recent = recent[1:]
	}
	a.sent[gateway][i] = recent
	return a.sim.reports[i] + len(recent)
}
