package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

const (
	// linkDelay is the one-way latency of a message between daemons.
	linkDelay = time.Millisecond
	// refusedServerPause is how long no request is sent to a server that refused
	// a connection.
	refusedServerPause = time.Second
	// maxSlotsInTarget is the largest number of slots for each server at which
	// the token gap still meets the targets of all classes.
	maxSlotsInTarget = batchLimit
)

// waitQueue is a queue of requests for a set of engines, ordered by tier and
// deadline.
type waitQueue struct {
	sim     *simulation
	engines []*engine
	// used is the number of slots in use on each engine.
	used map[*engine]int
	// paused is the time until which no request is sent to an engine.
	paused map[*engine]time.Duration
	queue  []*request
	// oracle is set if the queue knows the state of each engine without delay:
	// it skips slow and crashed ones, prefers those with a cached prefix, and
	// refuses requests that would miss their first-token target.
	oracle bool
	// retry is called with requests whose attempt failed.
	retry func(q *request)
}

func newWaitQueue(sim *simulation, engines []*engine) *waitQueue {
	return &waitQueue{sim: sim, engines: engines, used: map[*engine]int{}, paused: map[*engine]time.Duration{}}
}

// load returns the mean number of queued and running requests per engine.
func (w *waitQueue) load() float64 {
	n := len(w.queue)
	for _, e := range w.engines {
		n += w.used[e]
	}
	return float64(n) / float64(max(1, len(w.engines)))
}

// push queues a request. One that was never dispatched is refused at its queue
// deadline.
func (w *waitQueue) push(q *request) {
	i, _ := slices.BinarySearchFunc(w.queue, q, func(a, b *request) int {
		if a.class.Tier != b.class.Tier {
			return a.class.Tier - b.class.Tier
		}
		if a.firstTokenDeadline() <= b.firstTokenDeadline() {
			return -1
		}
		return 1
	})
	w.queue = slices.Insert(w.queue, i, q)
	q.withdraw = func() { w.remove(q) }
	if q.started == 0 {
		w.sim.clock.after(q.queueDeadline()-w.sim.clock.now(), func() {
			if w.remove(q) {
				w.sim.end(q, refused)
			}
		})
	}
	w.grant()
}

// remove takes a request out of the queue and reports whether it was queued.
func (w *waitQueue) remove(q *request) bool {
	i := slices.Index(w.queue, q)
	if i < 0 {
		return false
	}
	w.queue = slices.Delete(w.queue, i, i+1)
	return true
}

// grant dispatches queued requests while slots are free.
func (w *waitQueue) grant() {
	for len(w.queue) > 0 {
		q := w.queue[0]
		e := w.pick(q)
		if e == nil {
			return
		}
		w.queue = slices.Delete(w.queue, 0, 1)
		q.withdraw = nil
		if w.oracle && w.willMissTarget(q, e) {
			w.sim.end(q, refused)
			continue
		}
		w.start(q, e)
	}
}

// willMissTarget reports whether the first token would come after the target
// and the request's class does not want a late response.
func (w *waitQueue) willMissTarget(q *request, e *engine) bool {
	read := q.prompt
	if e.hasPrefix(q.prefix) {
		read -= q.shared
	}
	gap := tokenGap(len(e.running) + 1)
	first := time.Duration(float64(read)/promptTokensPerToken*float64(gap)) + gap
	return q.started == 0 && q.queueDeadline() == q.firstTokenDeadline() && w.sim.clock.now()+first > q.firstTokenDeadline()
}

// pick returns the engine with the fewest used slots, or nil if no slot is free.
// With oracle set, a cached prefix counts as much as half of maxSlotsInTarget
// in free slots.
func (w *waitQueue) pick(q *request) *engine {
	var best *engine
	score := 0.0
	for _, e := range w.engines {
		if w.used[e] >= maxSlotsInTarget || w.paused[e] > w.sim.clock.now() {
			continue
		}
		s := -float64(w.used[e])
		if w.oracle {
			if e.down || e.speed < 1 {
				continue
			}
			if e.hasPrefix(q.prefix) {
				s += maxSlotsInTarget / 2
			}
		}
		if best == nil || s > score {
			best, score = e, s
		}
	}
	return best
}

// start dispatches a request to an engine and retries it if the attempt fails.
func (w *waitQueue) start(q *request, e *engine) {
	w.used[e]++
	w.sim.dispatch(q, e, func(a attempt) {
		w.used[e]--
		switch {
		case a.complete:
			w.sim.end(q, completed)
		case q.outcome != pending:
		default:
			if !a.opened {
				w.paused[e] = w.sim.clock.now() + refusedServerPause
				w.sim.clock.after(refusedServerPause, w.grant)
			}
			w.retry(q)
		}
		w.grant()
	})
}

// globalQueue is the upper bound for the comparison: one queue for all engines,
// without link delay and with perfect knowledge of the engines.
type globalQueue struct{ *waitQueue }

func newGlobalQueue(sim *simulation) globalQueue {
	w := newWaitQueue(sim, sim.engines)
	w.oracle = true
	w.retry = w.push
	return globalQueue{w}
}

func (g globalQueue) submit(q *request) { g.push(q) }

func (g globalQueue) waiting() int { return len(g.queue) }

// earlyBinding assigns each request on arrival to the shorter of the queues of
// two schedulers, which are those of two engines drawn at random.
type earlyBinding struct {
	sim        *simulation
	schedulers []*waitQueue
	// byServer holds the scheduler of each engine, by the engine's index.
	byServer []*waitQueue
	rng      *rand.Rand
}

func newEarlyBinding(sim *simulation) *earlyBinding {
	b := &earlyBinding{sim: sim, rng: rand.New(rand.NewPCG(sim.seed, 5))}
	var servers, daemons []string
	for _, e := range sim.engines {
		servers = append(servers, e.name)
	}
	for i := range daemonCount {
		daemons = append(daemons, daemonName(i))
	}
	byName := map[string]*waitQueue{}
	for i, scheduler := range policy.AssignAll(servers, daemons) {
		w := byName[scheduler]
		if w == nil {
			w = newWaitQueue(sim, nil)
			w.retry = b.submit
			byName[scheduler] = w
			b.schedulers = append(b.schedulers, w)
		}
		w.engines = append(w.engines, sim.engines[i])
		b.byServer = append(b.byServer, w)
	}
	return b
}

func (b *earlyBinding) submit(q *request) {
	first := b.byServer[b.rng.IntN(serverCount)]
	second := b.byServer[b.rng.IntN(serverCount)]
	if second.load() < first.load() {
		first = second
	}
	b.sim.clock.after(linkDelay, func() {
		if q.outcome == pending {
			first.push(q)
		}
	})
}

func (b *earlyBinding) waiting() int {
	n := 0
	for _, w := range b.schedulers {
		n += len(w.queue)
	}
	return n
}
