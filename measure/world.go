package measure

import (
	"math/rand/v2"
	"time"
)

const (
	// sampleEvery is the period of the samples of idle slots.
	sampleEvery = 100 * time.Millisecond
	// reportEvery and reportLag describe the engines' load reports.
	reportEvery = 100 * time.Millisecond
	reportLag   = time.Second
	// silenceTimeout is how long a stream may make no progress.
	silenceTimeout = 2 * time.Second
)

// router is one way of routing requests.
type router interface {
	// submit takes a request at its arrival. It runs under the clock.
	submit(q *request)
	// waiting is the number of requests that wait for a slot.
	waiting() int
}

// world is what all routers share in a run: time, engines and faults.
type world struct {
	clock    clock
	workload *workload
	scenario scenario
	seed     uint64
	engines  []*engine
	requests []*request
	// reports holds the engines' loads as of reportLag ago.
	reports []int
	history [][]int

	slotSamples, idleSamples float64
}

func newWorld(c clock, w *workload, s scenario, seed uint64) *world {
	wd := &world{clock: c, workload: w, scenario: s, seed: seed}
	for i := range serverCount {
		wd.engines = append(wd.engines, newEngine(serverName(i), c))
	}
	wd.reports = make([]int, serverCount)
	return wd
}

func (wd *world) engine(name string) *engine {
	for _, e := range wd.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// prepare schedules faults, reports and samples.
func (wd *world) prepare(r router) {
	rng := rand.New(rand.NewPCG(wd.seed, 4))
	if wd.scenario.straggler {
		slow := wd.engines[rng.IntN(serverCount)]
		wd.clock.after(stragglerFrom, func() { slow.setSpeed(stragglerSpeed) })
	}
	if wd.scenario.crashes {
		for at := firstCrash; at < endTime; at += crashEvery {
			e := wd.engines[rng.IntN(serverCount)]
			wd.clock.after(at, e.crash)
			wd.clock.after(at+downTime, func() { e.down = false })
		}
	}
	wd.clock.after(warmUp, func() { wd.sample(r) })
	wd.clock.after(0, wd.report)
}

func (wd *world) report() {
	loads := make([]int, serverCount)
	for i, e := range wd.engines {
		loads[i] = e.load()
	}
	wd.history = append(wd.history, loads)
	if old := len(wd.history) - 1 - int(reportLag/reportEvery); old >= 0 {
		wd.reports = wd.history[old]
	}
	if wd.clock.now() < endTime {
		wd.clock.after(reportEvery, wd.report)
	}
}

// sample counts the slots that sound servers leave idle while requests wait.
func (wd *world) sample(r router) {
	idle, slots := 0, 0
	for _, e := range wd.engines {
		if e.down || e.speed < 1 {
			continue
		}
		slots += poolSlots
		idle += max(0, poolSlots-len(e.running))
	}
	wd.slotSamples += float64(slots)
	wd.idleSamples += float64(min(idle, r.waiting()))
	if wd.clock.now() < endTime {
		wd.clock.after(sampleEvery, func() { wd.sample(r) })
	}
}

// arrive hands a request to the router and lets its caller go away later.
func (wd *world) arrive(r router, q *request) {
	if q.leaveAfter > 0 {
		wd.clock.after(q.leaveAfter, func() { wd.leave(q) })
	}
	r.submit(q)
}

func (wd *world) leave(q *request) {
	if q.outcome != pending {
		return
	}
	wd.end(q, left)
	if q.withdraw != nil {
		q.withdraw()
	}
}

// end records how a request ended.
func (wd *world) end(q *request, o outcome) {
	if q.outcome != pending {
		return
	}
	q.outcome = o
	q.ended = wd.clock.now()
	if o == failed || o == refused {
		// The caller holds a part of an answer, which is of no use.
		q.wasted += q.delivered
		q.delivered = 0
	}
}

// attempt is what was observed of one dispatch.
type attempt struct {
	// opened is false if the server refused the connection.
	opened bool
	whole  bool
	silent bool
	tokens int
	first  time.Duration
	gap    time.Duration
}

// dispatch runs a request, or the rest of it, on an engine. It runs under the
// clock, as does done.
func (wd *world) dispatch(q *request, e *engine, done func(attempt)) {
	opened := wd.clock.now()
	if q.started == 0 {
		q.started = opened
	}
	j := &job{
		tier: q.class.Tier, prefix: q.prefix, shared: q.shared, prompt: q.prompt,
		offset: q.delivered, length: q.length, silentAfter: q.silentAfter,
	}
	// Only one connection of a request falls silent.
	q.silentAfter = 0
	var firstAt time.Duration
	var watch *timer
	finish := func(a attempt) {
		watch.stop()
		q.withdraw = nil
		a.opened = true
		if firstAt > 0 {
			a.first = firstAt - opened
		}
		if a.tokens > 1 {
			a.gap = (wd.clock.now() - firstAt) / time.Duration(a.tokens-1)
		}
		q.delivered += a.tokens
		done(a)
	}
	j.onFirst = func() {
		firstAt = wd.clock.now()
		if q.first == 0 {
			q.first = firstAt
		}
	}
	j.onSilence = func() {
		heard := j.tokens()
		watch = wd.clock.after(silenceTimeout, func() {
			e.cancel(j)
			q.wasted += j.tokens() - heard
			finish(attempt{silent: true, tokens: heard})
		})
	}
	j.onEnd = func(complete bool) {
		if j.silent && !complete {
			return
		}
		finish(attempt{whole: complete, tokens: j.tokens()})
	}
	q.withdraw = func() {
		e.cancel(j)
		finish(attempt{tokens: j.tokens()})
	}
	if !e.begin(j) {
		q.withdraw = nil
		done(attempt{})
	}
}
