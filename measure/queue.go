package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

const (
	// linkDelay is the time a message between daemons travels.
	linkDelay = time.Millisecond
	// refusedPause is how long a server that refused a connection is left out.
	refusedPause = time.Second
	// boundSlots is the most slots that meet every target for the token gap.
	boundSlots = batchLimit
)

// waitQueue orders requests by tier and deadline before a set of engines.
type waitQueue struct {
	wd      *world
	engines []*engine
	used    map[*engine]int
	paused  map[*engine]time.Duration
	queue   []*request
	// knowing is set if slow and crashed servers are known at once and
	// requests that will miss are dropped in time.
	knowing bool
	// again takes requests whose server broke.
	again func(q *request)
}

func newWaitQueue(wd *world, engines []*engine) *waitQueue {
	return &waitQueue{wd: wd, engines: engines, used: map[*engine]int{}, paused: map[*engine]time.Duration{}}
}

// load is the number of requests for each engine.
func (w *waitQueue) load() float64 {
	n := len(w.queue)
	for _, e := range w.engines {
		n += w.used[e]
	}
	return float64(n) / float64(max(1, len(w.engines)))
}

func (w *waitQueue) push(q *request) {
	i, _ := slices.BinarySearchFunc(w.queue, q, func(a, b *request) int {
		if a.class.Tier != b.class.Tier {
			return a.class.Tier - b.class.Tier
		}
		if a.target() <= b.target() {
			return -1
		}
		return 1
	})
	w.queue = slices.Insert(w.queue, i, q)
	q.withdraw = func() { w.remove(q) }
	if q.started == 0 {
		w.wd.clock.after(q.giveUp()-w.wd.clock.now(), func() {
			if w.remove(q) {
				w.wd.end(q, refused)
			}
		})
	}
	w.grant()
}

func (w *waitQueue) remove(q *request) bool {
	i := slices.Index(w.queue, q)
	if i < 0 {
		return false
	}
	w.queue = slices.Delete(w.queue, i, i+1)
	return true
}

// grant starts requests while slots are free.
func (w *waitQueue) grant() {
	for len(w.queue) > 0 {
		q := w.queue[0]
		e := w.pick(q)
		if e == nil {
			return
		}
		w.queue = slices.Delete(w.queue, 0, 1)
		q.withdraw = nil
		if w.knowing && w.misses(q, e) {
			w.wd.end(q, refused)
			continue
		}
		w.start(q, e)
	}
}

// misses reports whether the first token would come after the target of a
// request that is not worth serving late.
func (w *waitQueue) misses(q *request, e *engine) bool {
	read := q.prompt
	if e.holds(q.prefix) {
		read -= q.shared
	}
	gap := tokenGap(len(e.running) + 1)
	first := time.Duration(float64(read)/promptTokensPerToken*float64(gap)) + gap
	return q.started == 0 && q.giveUp() == q.target() && w.wd.clock.now()+first > q.target()
}

// pick returns the least used engine with a free slot, preferring one that
// holds the prompt's prefix if that is known.
func (w *waitQueue) pick(q *request) *engine {
	var best *engine
	score := 0.0
	for _, e := range w.engines {
		if w.used[e] >= boundSlots || w.paused[e] > w.wd.clock.now() {
			continue
		}
		s := -float64(w.used[e])
		if w.knowing {
			if e.down || e.speed < 1 {
				continue
			}
			if e.holds(q.prefix) {
				s += boundSlots / 2
			}
		}
		if best == nil || s > score {
			best, score = e, s
		}
	}
	return best
}

func (w *waitQueue) start(q *request, e *engine) {
	w.used[e]++
	w.wd.dispatch(q, e, func(a attempt) {
		w.used[e]--
		switch {
		case a.whole:
			w.wd.end(q, whole)
		case q.outcome != pending:
		default:
			if !a.opened {
				w.paused[e] = w.wd.clock.now() + refusedPause
				w.wd.clock.after(refusedPause, w.grant)
			}
			w.again(q)
		}
		w.grant()
	})
}

// globalQueue is the bound: one queue without delay and with perfect knowledge.
type globalQueue struct{ *waitQueue }

func newGlobalQueue(wd *world) globalQueue {
	w := newWaitQueue(wd, wd.engines)
	w.knowing = true
	w.again = w.push
	return globalQueue{w}
}

func (g globalQueue) submit(q *request) { g.push(q) }

func (g globalQueue) waiting() int { return len(g.queue) }

// earlyBinding binds each request on arrival to the shorter of two schedulers'
// queues.
type earlyBinding struct {
	wd         *world
	schedulers []*waitQueue
	// byServer is the scheduler of each engine.
	byServer []*waitQueue
	rng      *rand.Rand
}

func newEarlyBinding(wd *world) *earlyBinding {
	b := &earlyBinding{wd: wd, rng: rand.New(rand.NewPCG(wd.seed, 5))}
	var servers, daemons []string
	for _, e := range wd.engines {
		servers = append(servers, e.name)
	}
	for i := range daemonCount {
		daemons = append(daemons, daemonName(i))
	}
	byName := map[string]*waitQueue{}
	for i, owner := range policy.Owners(servers, daemons) {
		w := byName[owner]
		if w == nil {
			w = newWaitQueue(wd, nil)
			w.again = b.submit
			byName[owner] = w
			b.schedulers = append(b.schedulers, w)
		}
		w.engines = append(w.engines, wd.engines[i])
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
	b.wd.clock.after(linkDelay, func() {
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
