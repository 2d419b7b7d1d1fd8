package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

// This file simulates a fleet of daemons that place requests on model servers. Each daemon uses a
// Tracker and a LoadExchange of its own; servers batch requests, read prompts in chunks and preempt
// less urgent requests. Callers come back once after a refusal.

// modelEngineConfig describes the servers.
type modelEngineConfig struct {
	// slots is the size of a batch, queue the number of requests that may wait for it.
	slots, queue int
	// A step takes stepBase, stepRunning per running request and stepRead per prompt token that is
	// read in it. Up to chunkTokens prompt tokens are read in a step.
	stepBase, stepRunning, stepRead time.Duration
	chunkTokens                     int
	// tokensPerEvent is the number of tokens in an event of a stream.
	tokensPerEvent int
	// memory is the memory of a server in tokens.
	memory int
}

// modelClass describes the requests of one class.
type modelClass struct {
	name     string
	priority int
	perSec   float64
	// shared and own are the lengths of the prompt's parts, subjects the number of different shared parts.
	shared, own, subjects int
	// spread is the standard deviation of the logarithm of the lengths.
	spread float64
	// events is the mean number of events.
	events   float64
	target   time.Duration
	gap      time.Duration
	deadline time.Duration
	// repeatable requests are sent to another server if no event arrives in time.
	repeatable bool
}

// modelBurst multiplies the rate of a class for some time.
type modelBurst struct {
	class    int
	from, to time.Duration
	factor   float64
}

// modelLoad is a load on a fleet.
type modelLoad struct {
	daemons, servers int
	engine           modelEngineConfig
	classes          []modelClass
	bursts           []modelBurst
	length           time.Duration
}

// modelCall is the request of a caller with its repetitions.
type modelCall struct {
	class    int
	daemon   int
	arrived  time.Duration
	req      Request
	events   int
	returned bool
	// first is the time to the first event, longest the longest gap between two.
	first, longest time.Duration
	result         modelResult
}

// modelResult is what a caller got.
type modelResult uint8

const (
	modelPending modelResult = iota
	modelInTime
	modelLate
	modelRefused
	modelFailed
)

// modelJob is a request at a server.
type modelJob struct {
	call     *modelCall
	flight   *InFlight
	engine   *modelEngine
	sends    int
	left     int
	tokens   int
	events   int
	admitted int
	sentAt   time.Duration
	last     time.Duration
	started  bool
	gone     bool
}

// modelEngine is a model server.
type modelEngine struct {
	cfg      *modelEngineConfig
	running  []*modelJob
	waiting  []*modelJob
	cache    map[uint64]bool
	admitted int
	stepping bool
}

// modelCounts are counts of what happened at servers.
type modelCounts struct{ arrivals, rejected, preempted, uncached int }

// modelFleet is a running simulation.
type modelFleet struct {
	load     modelLoad
	rnd      *rand.Rand
	start    time.Time
	now      time.Duration
	events   modelEvents
	seq      int
	daemons  *testFleet
	servers  []*backend.Server
	engines  map[*backend.Server]*modelEngine
	calls    []*modelCall
	counts   modelCounts
	repeats  int
	requests int
	// open is the number of calls that have not ended.
	open int
}

// modelEvent is something that happens at a time.
type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// modelEvents is a heap of events ordered by time.
type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	// modelHop is the time between a daemon and a server.
	modelHop = time.Millisecond
	// modelSends bounds the servers that a request is sent to.
	modelSends = 4
	// modelRetryRatio and modelRetryAllowance bound the repeats of all daemons.
	modelRetryRatio     = 0.16
	modelRetryAllowance = 150
	modelFullRetry      = 700 * time.Millisecond
	// modelPatience is how long callers wait for an event at least.
	modelPatience = 2 * time.Second
)

func newModelFleet(load modelLoad, seed uint64) *modelFleet {
	f := &modelFleet{
		load: load, rnd: rand.New(rand.NewPCG(seed, 11)), start: time.Unix(1000, 0),
		daemons: newTestFleet(load.daemons), engines: map[*backend.Server]*modelEngine{},
	}
	for i := range load.servers {
		s := &backend.Server{ID: fmt.Sprint("server-", i), Service: "engines", Domain: fmt.Sprint("d", i%3), Slots: load.engine.slots}
		f.servers = append(f.servers, s)
		f.engines[s] = &modelEngine{cfg: &f.load.engine, cache: map[uint64]bool{}}
	}
	return f
}

// after schedules an event.
func (f *modelFleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, modelEvent{f.now + d, f.seq, do})
}

func (f *modelFleet) clock() time.Time { return f.start.Add(f.now) }

// run plays the load until all calls have ended.
func (f *modelFleet) run() {
	for i := range f.load.classes {
		f.scheduleArrival(i)
	}
	f.scheduleRound()
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(modelEvent)
		f.now = e.at
		e.do()
	}
}

// scheduleRound makes the daemons exchange their loads.
func (f *modelFleet) scheduleRound() {
	interval := max(shareInterval, time.Duration(f.load.daemons-1)*intervalPerDaemon)
	f.after(interval, func() {
		f.daemons.send(f.clock())
		if f.now < f.load.length || f.open > 0 {
			f.scheduleRound()
		}
	})
}

// rate returns the rate of a class now.
func (f *modelFleet) rate(class int) float64 {
	rate := f.load.classes[class].perSec
	for _, b := range f.load.bursts {
		if b.class == class && f.now >= b.from && f.now < b.to {
			rate *= b.factor
		}
	}
	return rate
}

func (f *modelFleet) scheduleArrival(class int) {
	gap := time.Duration(f.rnd.ExpFloat64() / f.rate(class) * float64(time.Second))
	f.after(gap, func() {
		if f.now >= f.load.length {
			return
		}
		f.arrive(class)
		f.scheduleArrival(class)
	})
}

// logNormal returns a random number with the given mean.
func (f *modelFleet) logNormal(mean, spread, most float64) float64 {
	return min(most*mean, mean*math.Exp(spread*f.rnd.NormFloat64()-spread*spread/2))
}

func (f *modelFleet) arrive(class int) {
	c := &f.load.classes[class]
	subject := f.rnd.IntN(c.subjects)
	size := rand.New(rand.NewPCG(uint64(subject), uint64(class)))
	shared := int(float64(c.shared) * math.Exp(0.5*size.NormFloat64()-0.125))
	own := 16 + int(f.logNormal(float64(c.own), c.spread, 8))
	call := &modelCall{class: class, daemon: f.rnd.IntN(f.load.daemons), arrived: f.now}
	call.events = 1 + int(f.logNormal(c.events, c.spread, 3))
	call.req = Request{
		Prompt:   []Part{NewPart(fmt.Sprint(c.name, subject), shared), NewPart(fmt.Sprint("own-", len(f.calls)), own)},
		TokensIn: shared + own, TokensOut: call.events * f.load.engine.tokensPerEvent * 2,
		Gap: c.gap, Tight: c.gap == f.tightestGap(), Memory: f.load.engine.memory, Urgency: c.priority,
		Target: c.target, MaxWait: MaxWait(c.target, c.priority),
		Domain: fmt.Sprint("d", call.daemon%3),
	}
	f.calls = append(f.calls, call)
	f.open++
	f.requests++
	f.send(call, 0, nil)
}

func (f *modelFleet) tightestGap() time.Duration {
	return slices.MinFunc(f.load.classes, func(a, b modelClass) int { return cmp.Compare(a.gap, b.gap) }).gap
}

// untried returns the servers that are not among those that were tried.
func (f *modelFleet) untried(tried []*backend.Server) []*backend.Server {
	if len(tried) == 0 {
		return f.servers
	}
	return slices.DeleteFunc(slices.Clone(f.servers), func(s *backend.Server) bool { return slices.Contains(tried, s) })
}

// send places a request and sends it to the chosen server.
func (f *modelFleet) send(call *modelCall, sends int, tried []*backend.Server) {
	flight, refusal := f.daemons.tracker(call.daemon).Place(f.clock(), f.untried(tried), call.req)
	if refusal != nil {
		f.refuse(call, refusal.RetryAfter)
		return
	}
	f.counts.arrivals++
	e := f.engines[flight.Server]
	job := &modelJob{call: call, flight: flight, engine: e, sends: sends + 1, sentAt: f.now, last: f.now}
	f.after(modelHop, func() { f.deliver(job, tried) })
}

// deliver hands a request to a server, which rejects it if its queue is full.
func (f *modelFleet) deliver(j *modelJob, tried []*backend.Server) {
	e := j.engine
	if len(e.waiting) >= e.cfg.queue {
		f.counts.rejected++
		j.flight.End(f.clock(), Refused)
		f.resend(j, tried, func() { f.refuse(j.call, modelFullRetry) })
		return
	}
	e.waiting = append(e.waiting, j)
	f.watch(j, tried)
	f.wake(e)
}

// resend sends a request to another server if the budget for repeats allows it.
func (f *modelFleet) resend(j *modelJob, tried []*backend.Server, otherwise func()) {
	if j.sends >= modelSends || float64(f.repeats) >= modelRetryAllowance+modelRetryRatio*float64(f.requests) {
		otherwise()
		return
	}
	f.repeats++
	f.send(j.call, j.sends, append(slices.Clone(tried), j.flight.Server))
}

// watch ends a request whose caller leaves, and sends one that may be repeated to another server if the
// first event doesn't arrive in time.
func (f *modelFleet) watch(j *modelJob, tried []*backend.Server) {
	c := &f.load.classes[j.call.class]
	f.after(j.call.arrived+c.deadline-f.now, func() { f.abandon(j) })
	f.watchSilence(j)
	if !c.repeatable || j.sends > 1 {
		return
	}
	f.after(3*c.target, func() {
		if j.started || j.gone {
			return
		}
		f.remove(j)
		j.flight.End(f.clock(), Unreachable)
		f.resend(j, tried, func() { f.end(j.call, modelFailed) })
	})
}

// watchSilence makes the caller leave after a long gap.
func (f *modelFleet) watchSilence(j *modelJob) {
	c := &f.load.classes[j.call.class]
	patience := max(modelPatience, 4*c.target, 8*c.gap)
	f.after(max(time.Millisecond, j.last+patience-f.now), func() {
		if j.gone {
			return
		}
		if f.now-j.last >= patience {
			f.abandon(j)
			return
		}
		f.watchSilence(j)
	})
}

// abandon ends a request that the caller no longer waits for.
func (f *modelFleet) abandon(j *modelJob) {
	if j.gone {
		return
	}
	f.remove(j)
	j.flight.End(f.clock(), Abandoned)
	f.end(j.call, modelFailed)
}

// remove takes a request from its server.
func (f *modelFleet) remove(j *modelJob) {
	j.gone = true
	isGone := func(o *modelJob) bool { return o == j }
	j.engine.running = slices.DeleteFunc(j.engine.running, isGone)
	j.engine.waiting = slices.DeleteFunc(j.engine.waiting, isGone)
}

// refuse ends a request, or makes its caller come back once.
func (f *modelFleet) refuse(call *modelCall, retryAfter time.Duration) {
	c := &f.load.classes[call.class]
	left := call.arrived + c.deadline - f.now
	if call.returned || left <= 0 {
		f.end(call, modelRefused)
		return
	}
	call.returned = true
	f.after(min(retryAfter, left/3), func() {
		f.requests++
		call.daemon = f.rnd.IntN(f.load.daemons)
		call.req.Domain = fmt.Sprint("d", call.daemon%3)
		f.send(call, 0, nil)
	})
}

func (f *modelFleet) end(call *modelCall, r modelResult) {
	if call.result == modelPending {
		call.result = r
		f.open--
	}
}

// wake makes a server that is idle begin a step.
func (f *modelFleet) wake(e *modelEngine) {
	if e.stepping || len(e.running)+len(e.waiting) == 0 {
		return
	}
	e.stepping = true
	f.admit(e)
	took := f.prefill(e)
	f.after(took, func() {
		e.stepping = false
		f.decode(e)
		f.wake(e)
	})
}

// admit moves requests from the queue to the batch, the most urgent first. An urgent request preempts the
// newest of the least urgent ones.
func (f *modelFleet) admit(e *modelEngine) {
	for len(e.waiting) > 0 {
		next := slices.MinFunc(e.waiting, func(a, b *modelJob) int {
			return cmp.Or(cmp.Compare(a.flight.urgency, b.flight.urgency), cmp.Compare(a.sentAt, b.sentAt))
		})
		if len(e.running) >= e.cfg.slots {
			victim := slices.MaxFunc(e.running, func(a, b *modelJob) int {
				return cmp.Or(cmp.Compare(a.flight.urgency, b.flight.urgency), cmp.Compare(a.admitted, b.admitted))
			})
			if victim.flight.urgency <= next.flight.urgency {
				return
			}
			f.counts.preempted++
			e.running = slices.DeleteFunc(e.running, func(o *modelJob) bool { return o == victim })
			e.waiting = append(e.waiting, victim)
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(o *modelJob) bool { return o == next })
		e.admitted++
		next.admitted = e.admitted
		next.left = next.tokens
		cached := true
		for _, p := range next.call.req.Prompt {
			cached = cached && e.cache[p.Hash]
			if !cached {
				next.left += p.Tokens
			}
		}
		f.counts.uncached += next.left
		e.running = append(e.running, next)
	}
}

// prefill reads a chunk of prompts and returns how long the step takes.
func (f *modelFleet) prefill(e *modelEngine) time.Duration {
	read := 0
	order := slices.Clone(e.running)
	slices.SortFunc(order, func(a, b *modelJob) int {
		return cmp.Or(cmp.Compare(a.flight.urgency, b.flight.urgency), cmp.Compare(a.admitted, b.admitted))
	})
	for _, j := range order {
		n := min(j.left, e.cfg.chunkTokens-read)
		j.left -= n
		read += n
		if j.left == 0 {
			for _, p := range j.call.req.Prompt {
				e.cache[p.Hash] = true
			}
		}
	}
	return e.cfg.stepBase + time.Duration(len(e.running))*e.cfg.stepRunning + time.Duration(read)*e.cfg.stepRead
}

// decode generates a token for each request whose prompt has been read.
func (f *modelFleet) decode(e *modelEngine) {
	for _, j := range slices.Clone(e.running) {
		if j.left > 0 {
			continue
		}
		j.tokens++
		if j.tokens%e.cfg.tokensPerEvent != 0 {
			continue
		}
		f.event(j)
	}
}

// event passes an event of a stream on to the caller.
func (f *modelFleet) event(j *modelJob) {
	call := j.call
	j.events++
	if !j.started {
		j.started = true
		call.first = f.now - call.arrived
	} else {
		call.longest = max(call.longest, f.now-j.last)
	}
	j.last = f.now
	j.flight.RecordProgress(f.clock())
	if j.events < call.events {
		return
	}
	f.remove(j)
	j.flight.End(f.clock(), Served)
	c := &f.load.classes[call.class]
	if call.first <= c.target && call.longest <= c.gap {
		f.end(call, modelInTime)
	} else {
		f.end(call, modelLate)
	}
}

// modelShares are shares of the calls of a class.
type modelShares struct {
	calls                         int
	inTime, late, refused, failed float64
}

// served returns the share of calls that got an answer, in time or late.
func (s modelShares) served() float64 { return s.inTime + s.late }

// shares returns the shares of a class among the calls that arrived in a time.
func (f *modelFleet) shares(class int, from, to time.Duration) modelShares {
	var s modelShares
	for _, c := range f.calls {
		if c.class != class || c.arrived < from || c.arrived >= to {
			continue
		}
		s.calls++
		switch c.result {
		case modelInTime:
			s.inTime++
		case modelLate:
			s.late++
		case modelRefused:
			s.refused++
		default:
			s.failed++
		}
	}
	n := float64(max(1, s.calls))
	s.inTime, s.late, s.refused, s.failed = s.inTime/n, s.late/n, s.refused/n, s.failed/n
	return s
}
