package measure

import "time"

// alone routes at each gateway on its own: requests go to an engine at once
// and wait there.
type alone struct {
	wd *world
	// leastLoaded chooses by load reports instead of round robin.
	leastLoaded bool
	next        [daemonCount]int
	// sent holds when each gateway sent its last requests to each engine.
	sent [daemonCount][serverCount][]time.Duration
}

func newAlone(wd *world, leastLoaded bool) *alone {
	for _, e := range wd.engines {
		e.byTier = leastLoaded
	}
	return &alone{wd: wd, leastLoaded: leastLoaded}
}

func (a *alone) waiting() int {
	n := 0
	for _, e := range a.wd.engines {
		n += len(e.queue)
	}
	return n
}

func (a *alone) submit(q *request) { a.try(q, map[int]bool{}) }

// try sends the request to engines that it has not tried. A stream that broke
// after its first token is lost.
func (a *alone) try(q *request, tried map[int]bool) {
	i := a.choose(q.gateway, tried)
	if i < 0 {
		a.wd.end(q, failed)
		return
	}
	tried[i] = true
	a.sent[q.gateway][i] = append(a.sent[q.gateway][i], a.wd.clock.now())
	a.wd.dispatch(q, a.wd.engines[i], func(at attempt) {
		switch {
		case at.whole:
			a.wd.end(q, whole)
		case q.outcome != pending:
		case q.delivered > 0:
			a.wd.end(q, failed)
		default:
			a.try(q, tried)
		}
	})
}

func (a *alone) choose(gateway int, tried map[int]bool) int {
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
	// The next request starts its search at another engine.
	a.next[gateway]++
	return best
}

// load is the reported load and what the gateway sent since.
func (a *alone) load(gateway, i int) int {
	recent := a.sent[gateway][i]
	for len(recent) > 0 && recent[0] < a.wd.clock.now()-reportLag {
		recent = recent[1:]
	}
	a.sent[gateway][i] = recent
	return a.wd.reports[i] + len(recent)
}
