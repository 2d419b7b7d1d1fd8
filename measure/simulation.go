package measure

import (
	"math/rand/v2"
	"time"
)

const (
	// sampleEvery is the interval between samples of idle slots.
	sampleEvery = 100 * time.Millisecond
	// reportEvery is the interval between load reports of the engines, and
	// reportLag the age of a report when the gateways receive it.
	reportEvery = 100 * time.Millisecond
	reportLag   = time.Second
	// stallTimeout is how long a stream may stall before its attempt is
	// canceled.
	stallTimeout = 2 * time.Second
)

// router is a routing policy.
type router interface {
	// submit takes a request on its arrival. It is called as a callback of the
	// clock.
	submit(q *request)
	// waiting returns the number of requests that wait for a slot.
	waiting() int
}

// simulation is the state of one run that does not depend on the routing policy:
// the clock, the engines, the requests and the faults.
type simulation struct {
	clock    clock
	workload *workload
	scenario scenario
	seed     uint64
	engines  []*engine
	requests []*request
	// reports holds the engines' loads as they were reportLag ago.
	reports []int
	// history holds the engines' loads at each interval of reportEvery.
	history [][]int

	// slotSamples and idleSamples are the sums over all samples of the slots of
	// healthy engines and of the idle ones.
	slotSamples, idleSamples float64
}

func newSimulation(c clock, w *workload, s scenario, seed uint64) *simulation {
	sim := &simulation{clock: c, workload: w, scenario: s, seed: seed}
	for i := range serverCount {
		sim.engines = append(sim.engines, newEngine(serverName(i), c))
	}
	sim.reports = make([]int, serverCount)
	return sim
}

func (sim *simulation) engine(name string) *engine {
	for _, e := range sim.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// prepare schedules the faults, the load reports and the samples of idle slots.
func (sim *simulation) prepare(r router) {
	rng := rand.New(rand.NewPCG(sim.seed, 4))
	if sim.scenario.straggler {
		slow := sim.engines[rng.IntN(serverCount)]
		sim.clock.after(stragglerFrom, func() { slow.setSpeed(stragglerSpeed) })
	}
	if sim.scenario.crashes {
		for at := firstCrash; at < endTime; at += crashEvery {
			e := sim.engines[rng.IntN(serverCount)]
			sim.clock.after(at, e.crash)
			sim.clock.after(at+downTime, func() { e.down = false })
		}
	}
	sim.clock.after(warmUp, func() { sim.sample(r) })
	sim.clock.after(0, sim.report)
}

// report records the engines' loads and publishes those of reportLag ago.
func (sim *simulation) report() {
	loads := make([]int, serverCount)
	for i, e := range sim.engines {
		loads[i] = e.load()
	}
	sim.history = append(sim.history, loads)
	if old := len(sim.history) - 1 - int(reportLag/reportEvery); old >= 0 {
		sim.reports = sim.history[old]
	}
	if sim.clock.now() < endTime {
		sim.clock.after(reportEvery, sim.report)
	}
}

// sample counts the slots that healthy engines leave idle while requests wait.
// An idle slot counts only if there is a waiting request for it.
func (sim *simulation) sample(r router) {
	idle, slots := 0, 0
	for _, e := range sim.engines {
		if e.down || e.speed < 1 {
			continue
		}
		slots += poolSlots
		idle += max(0, poolSlots-len(e.running))
	}
	sim.slotSamples += float64(slots)
	sim.idleSamples += float64(min(idle, r.waiting()))
	if sim.clock.now() < endTime {
		sim.clock.after(sampleEvery, func() { sim.sample(r) })
	}
}

// arrive submits a request to the router and schedules the time at which its
// caller closes the connection.
func (sim *simulation) arrive(r router, q *request) {
	if q.leaveAfter > 0 {
		sim.clock.after(q.leaveAfter, func() { sim.leave(q) })
	}
	r.submit(q)
}

// leave ends a pending request whose caller closes the connection.
func (sim *simulation) leave(q *request) {
	if q.outcome != pending {
		return
	}
	sim.end(q, abandoned)
	if q.cancel != nil {
		q.cancel()
	}
}

// end records the outcome of a request, unless it has one already.
func (sim *simulation) end(q *request, o outcome) {
	if q.outcome != pending {
		return
	}
	q.outcome = o
	q.ended = sim.clock.now()
	if o == failed || o == refused {
		// A caller cannot use a part of a response.
		q.wasted += q.delivered
		q.delivered = 0
	}
}

// attempt is the observed result of one dispatch.
type attempt struct {
	// opened is false if the server refused the connection.
	opened   bool
	complete bool
	stalled  bool
	tokens   int
	// first is the time from the dispatch to the first token.
	first time.Duration
	// gap is the mean time between tokens.
	gap time.Duration
}

// dispatch runs a request on an engine, from the first token that the caller
// does not have yet. It must be called from a callback of the clock, and
// done is called as one.
func (sim *simulation) dispatch(q *request, e *engine, done func(attempt)) {
	opened := sim.clock.now()
	if q.started == 0 {
		q.started = opened
	}
	j := &job{
		tier: q.class.Tier, prefix: q.prefix, shared: q.shared, prompt: q.prompt,
		offset: q.delivered, length: q.length, stallAfter: q.stallAfter,
	}
	// Only the first dispatch of a request stalls.
	q.stallAfter = 0
	var firstAt time.Duration
	var watch *timer
	finish := func(a attempt) {
		watch.stop()
		q.cancel = nil
		a.opened = true
		if firstAt > 0 {
			a.first = firstAt - opened
		}
		if a.tokens > 1 {
			a.gap = (sim.clock.now() - firstAt) / time.Duration(a.tokens-1)
		}
		q.delivered += a.tokens
		done(a)
	}
	j.onFirst = func() {
		firstAt = sim.clock.now()
		if q.first == 0 {
			q.first = firstAt
		}
	}
	j.onStall = func() {
		received := j.tokens()
		watch = sim.clock.after(stallTimeout, func() {
			e.cancel(j)
			q.wasted += j.tokens() - received
			finish(attempt{stalled: true, tokens: received})
		})
	}
	j.onEnd = func(complete bool) {
		if j.stalled && !complete {
			return
		}
		finish(attempt{complete: complete, tokens: j.tokens()})
	}
	q.cancel = func() {
		e.cancel(j)
		finish(attempt{tokens: j.tokens()})
	}
	if !e.begin(j) {
		q.cancel = nil
		done(attempt{})
	}
}
