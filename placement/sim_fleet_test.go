package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/admission"
	"github.com/jacinththread/jacinththread/backend"
)

// This file simulates a fleet of daemons that place requests on model servers. Each daemon uses a
// Tracker and a LoadExchange of its own. Callers come back once after a refusal.

// simClass describes the requests of one class.
type simClass struct {
	name     string
	priority int
	perSec   float64
	// shared and own are the lengths of the prompt's parts, subjects the number of different shared parts.
	shared, own, subjects int
	// spread is the standard deviation of the logarithm of the lengths.
	spread float64
	// events is the mean number of events.
	events float64
	// target is the objective of the time to the first event, gap that of the time between two events.
	target, gap time.Duration
	// deadline is how long the caller waits for the whole answer.
	deadline time.Duration
	// worth is the value of an answer in time to callers, lateWorth that of a late one.
	worth, lateWorth float64
	// repeatable requests are sent to another server if no event arrives in time.
	repeatable bool
}

// simBurst multiplies the rate of a class for some time.
type simBurst struct {
	class    int
	from, to time.Duration
	factor   float64
	// customer is the number of the only customer that sends more, counted from 1; zero stands for all.
	customer int
}

// simLoad is a load on a fleet.
type simLoad struct {
	daemons, servers int
	engine           simEngineConfig
	classes          []simClass
	bursts           []simBurst
	// customers is the number of customers, of which a few are large; zero if they aren't told apart.
	customers int
	// queued makes requests wait for slots at the daemon.
	queued bool
	length time.Duration
}

// simCall is the request of a caller with its repetitions.
type simCall struct {
	class    int
	customer int
	// startBy is when the call has to start to be in time, counted is set once it is recorded as accepted.
	startBy time.Duration
	counted bool
	// hadTurn is set if the last wait for a slot ended with a turn.
	hadTurn  bool
	daemon   int
	arrived  time.Duration
	req      Request
	events   int
	returned bool
	// first is the time to the first event, longest the longest gap between two.
	first, longest time.Duration
	result         simResult
}

// simResult is what a caller got.
type simResult uint8

const (
	simPending simResult = iota
	simInTime
	simLate
	simRefused
	simFailed
)

// simCounts counts requests that arrived at servers, were rejected there or preempted, and the prompt tokens that were
// not cached.
type simCounts struct{ arrivals, rejected, preempted, uncached, queued int }

// simFleet is a running simulation.
type simFleet struct {
	load     simLoad
	rnd      *rand.Rand
	start    time.Time
	now      time.Duration
	events   simEvents
	seq      int
	daemons  *testFleet
	servers  []*backend.Server
	engines  map[*backend.Server]*simEngine
	calls    []*simCall
	counts   simCounts
	repeats  int
	requests int
	// open is the number of calls that have not ended.
	open int
	// queues are the queues of the daemons, and waiting the calls in them.
	queues  map[int]*admission.Queue
	waiting map[*admission.Entry]*simCall
}

// simEvent is something that happens at a time.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// simEvents is a heap of events ordered by time.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	// simHop is the time between a daemon and a server.
	simHop = time.Millisecond
	// simSends bounds the servers that a request is sent to.
	simSends = 4
	// simRetryRatio and simRetryAllowance bound the repeats of all daemons.
	simRetryRatio     = 0.16
	simRetryAllowance = 150
	simFullRetry      = 700 * time.Millisecond
	// simPatience is how long callers wait for an event at least.
	simPatience = 2 * time.Second
)

func newSimFleet(load simLoad, seed uint64) *simFleet {
	f := &simFleet{
		load: load, rnd: rand.New(rand.NewPCG(seed, 11)), start: time.Unix(1000, 0),
		queues: map[int]*admission.Queue{}, waiting: map[*admission.Entry]*simCall{},
		daemons: newTestFleet(load.daemons), engines: map[*backend.Server]*simEngine{},
	}
	for i := range load.servers {
		s := &backend.Server{ID: fmt.Sprint("server-", i), Service: "engines", Domain: fmt.Sprint("d", i%3), Slots: load.engine.slots}
		f.servers = append(f.servers, s)
		f.engines[s] = &simEngine{cfg: &f.load.engine, cache: map[uint64]bool{}}
	}
	return f
}

// after schedules an event.
func (f *simFleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, simEvent{f.now + d, f.seq, do})
}

func (f *simFleet) clock() time.Time { return f.start.Add(f.now) }

// run plays the load until all calls have ended.
func (f *simFleet) run() {
	for i := range f.load.classes {
		f.scheduleArrival(i)
	}
	for i := range f.load.daemons {
		f.after(time.Duration(f.rnd.Int64N(int64(f.interval()))), func() { f.scheduleRound(i) })
	}
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
}

// interval returns the time between two exchanges of loads.
func (f *simFleet) interval() time.Duration {
	return roundInterval(f.load.daemons - 1)
}

// scheduleRound makes a daemon exchange its loads from now on.
func (f *simFleet) scheduleRound(daemon int) {
	f.daemons.roundOf(daemon, f.clock())
	if f.now < f.load.length || f.open > 0 {
		f.after(f.interval(), func() { f.scheduleRound(daemon) })
	}
}

// reportEarly makes a daemon report its loads if it wants to before the next round.
func (f *simFleet) reportEarly(daemon int) {
	select {
	case <-f.daemons.tracker(daemon).report:
		f.daemons.reportEarlyOf(daemon, f.clock())
	default:
	}
}

// rate returns the rate of a class now.
func (f *simFleet) rate(class int) float64 {
	sum := 0.0
	for customer := range max(1, f.load.customers) {
		sum += f.customerRate(class, customer+1)
	}
	return sum
}

// customerRate returns the rate of a class now, of one customer if they are told apart.
func (f *simFleet) customerRate(class, customer int) float64 {
	rate := f.load.classes[class].perSec * f.load.customerShare(customer)
	for _, b := range f.load.bursts {
		if b.class == class && f.now >= b.from && f.now < b.to && (b.customer == 0 || b.customer == customer) {
			rate *= b.factor
		}
	}
	return rate
}

// customerShare returns the usual share of a customer.
func (l *simLoad) customerShare(customer int) float64 {
	if l.customers == 0 {
		return 1
	}
	return simCustomerShares(l.customers)[customer-1]
}

// simCustomerShareTables holds the results of simCustomerShares, which is called for each request.
var simCustomerShareTables sync.Map

// simCustomerShares returns the usual shares of a number of customers.
func simCustomerShares(customers int) []float64 {
	if table, ok := simCustomerShareTables.Load(customers); ok {
		return table.([]float64)
	}
	shares, sum := make([]float64, customers), 0.0
	for i := range customers {
		sum += simCustomerSize(i + 1)
	}
	for i := range customers {
		shares[i] = simCustomerSize(i+1) / sum
	}
	simCustomerShareTables.Store(customers, shares)
	return shares
}

// simCustomerSize returns the relative size of a customer.
func simCustomerSize(customer int) float64 { return math.Pow(float64(customer), -1.2) }

// pickCustomer returns the customer of an arriving call.
func (f *simFleet) pickCustomer(class int) int {
	point := f.rnd.Float64() * f.rate(class)
	for customer := 1; customer < f.load.customers; customer++ {
		point -= f.customerRate(class, customer)
		if point < 0 {
			return customer
		}
	}
	return f.load.customers
}

func (f *simFleet) scheduleArrival(class int) {
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
func (f *simFleet) logNormal(mean, spread, most float64) float64 {
	return min(most*mean, mean*math.Exp(spread*f.rnd.NormFloat64()-spread*spread/2))
}

func (f *simFleet) arrive(class int) {
	c := &f.load.classes[class]
	subject := f.rnd.IntN(c.subjects)
	size := rand.New(rand.NewPCG(uint64(subject), uint64(class)))
	shared := int(float64(c.shared) * math.Exp(0.5*size.NormFloat64()-0.125))
	own := 16 + int(f.logNormal(float64(c.own), c.spread, 8))
	call := &simCall{class: class, daemon: f.rnd.IntN(f.load.daemons), arrived: f.now}
	call.events = 1 + int(f.logNormal(c.events, c.spread, 3))
	call.req = Request{
		Prompt:   []Part{NewPart(fmt.Sprint(c.name, subject), shared), NewPart(fmt.Sprint("own-", len(f.calls)), own)},
		TokensIn: shared + own, TokensOut: call.events * f.load.engine.tokensPerEvent * 2,
		Gap: c.gap, Tight: c.gap == f.tightestGap(), Memory: f.load.engine.memory, Urgency: c.priority,
		Target: c.target, MaxWait: MaxWait(c.target, c.priority),
		Domain: fmt.Sprint("d", call.daemon%3), Service: "engines",
	}
	if f.load.customers > 0 {
		call.customer = f.pickCustomer(class)
		call.req.Customer = fmt.Sprint("customer-", call.customer)
	}
	call.startBy = f.now + c.target/4
	f.calls = append(f.calls, call)
	f.open++
	f.requests++
	f.offer(call)
}

// offer sends the call of a caller, which is new or came back.
func (f *simFleet) offer(call *simCall) {
	f.daemons.tracker(call.daemon).RecordOffer(f.clock(), call.req)
	call.counted = false
	f.send(call, 0, nil)
}

func (f *simFleet) tightestGap() time.Duration {
	return slices.MinFunc(f.load.classes, func(a, b simClass) int { return cmp.Compare(a.gap, b.gap) }).gap
}

// untried returns the servers that are not among those that were tried.
func (f *simFleet) untried(tried []*backend.Server) []*backend.Server {
	if len(tried) == 0 {
		return f.servers
	}
	return slices.DeleteFunc(slices.Clone(f.servers), func(s *backend.Server) bool { return slices.Contains(tried, s) })
}

// place chooses a server, unless others wait that are to be served before.
func (f *simFleet) place(call *simCall, tried []*backend.Server) (*InFlight, *Refusal) {
	tracker := f.daemons.tracker(call.daemon)
	q := f.queues[call.daemon]
	if q != nil && !call.hadTurn && call.req.MaxWait > 0 && q.Ahead(f.entry(call)) > 0 {
		return nil, tracker.RefuseBySlots(f.clock(), f.servers, call.req)
	}
	return tracker.Place(f.clock(), f.untried(tried), call.req)
}

// entry describes a call for the queue.
func (f *simFleet) entry(call *simCall) *admission.Entry {
	over := f.daemons.tracker(call.daemon).IsOverShare(f.clock(), call.req)
	return &admission.Entry{Urgency: call.req.Urgency, OverShare: over, StartBy: f.start.Add(call.startBy)}
}

// send places a request and sends it to the chosen server.
func (f *simFleet) send(call *simCall, sends int, tried []*backend.Server) {
	flight, refusal := f.place(call, tried)
	if refusal != nil {
		if refusal.Reason != SlotsUsed || !f.enqueue(call) {
			f.refuse(call, refusal.RetryAfter)
		}
		return
	}
	if !call.counted {
		call.counted = true
		f.daemons.tracker(call.daemon).RecordAccepted(f.clock(), call.req)
	}
	f.reportEarly(call.daemon)
	f.counts.arrivals++
	e := f.engines[flight.Server]
	job := &simJob{call: call, flight: flight, engine: e, sends: sends + 1, sentAt: f.now, last: f.now}
	f.after(simHop, func() { f.deliver(job, tried) })
}

// deliver hands a request to a server, which rejects it if its queue is full.
func (f *simFleet) deliver(j *simJob, tried []*backend.Server) {
	e := j.engine
	if len(e.waiting) >= e.cfg.queue {
		f.counts.rejected++
		j.flight.End(f.clock(), Refused)
		f.resend(j, tried, func() { f.refuse(j.call, simFullRetry) })
		return
	}
	e.waiting = append(e.waiting, j)
	f.watch(j, tried)
	f.wake(e)
}

// resend sends a request to another server if the budget for repeats allows it.
func (f *simFleet) resend(j *simJob, tried []*backend.Server, otherwise func()) {
	if j.sends >= simSends || float64(f.repeats) >= simRetryAllowance+simRetryRatio*float64(f.requests) {
		otherwise()
		return
	}
	f.repeats++
	f.send(j.call, j.sends, append(slices.Clone(tried), j.flight.Server))
}

// watch ends a request whose caller leaves, and sends one that may be repeated to another server if the
// first event doesn't arrive in time.
func (f *simFleet) watch(j *simJob, tried []*backend.Server) {
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
		f.resend(j, tried, func() { f.end(j.call, simFailed) })
	})
}

// watchSilence makes the caller leave after a long gap.
func (f *simFleet) watchSilence(j *simJob) {
	c := &f.load.classes[j.call.class]
	patience := max(simPatience, 4*c.target, 8*c.gap)
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
func (f *simFleet) abandon(j *simJob) {
	if j.gone {
		return
	}
	f.remove(j)
	j.flight.End(f.clock(), Abandoned)
	f.end(j.call, simFailed)
}

// remove takes a request from its server.
func (f *simFleet) remove(j *simJob) {
	j.gone = true
	isGone := func(o *simJob) bool { return o == j }
	j.engine.running = slices.DeleteFunc(j.engine.running, isGone)
	j.engine.waiting = slices.DeleteFunc(j.engine.waiting, isGone)
}

// refuse ends a request, or makes its caller come back once.
func (f *simFleet) refuse(call *simCall, retryAfter time.Duration) {
	c := &f.load.classes[call.class]
	left := call.arrived + c.deadline - f.now
	if call.returned || left <= 0 {
		f.end(call, simRefused)
		return
	}
	call.returned = true
	f.after(min(retryAfter, left/3), func() {
		f.requests++
		call.daemon = f.rnd.IntN(f.load.daemons)
		call.req.Domain = fmt.Sprint("d", call.daemon%3)
		call.startBy = f.now + c.target/4
		f.offer(call)
	})
}

func (f *simFleet) end(call *simCall, r simResult) {
	if call.result == simPending {
		call.result = r
		f.open--
	}
}

// simShares are shares of the calls of a class.
type simShares struct {
	calls                         int
	inTime, late, refused, failed float64
}

// served returns the share of calls that got an answer, in time or late.
func (s simShares) served() float64 { return s.inTime + s.late }

// enqueue makes a call wait for a slot at its daemon, if it is likely to start in time.
func (f *simFleet) enqueue(call *simCall) bool {
	if !f.load.queued {
		return false
	}
	q := f.queues[call.daemon]
	if q == nil {
		q = &admission.Queue{}
		f.queues[call.daemon] = q
	}
	tracker := f.daemons.tracker(call.daemon)
	pace := tracker.Pace(f.clock(), f.servers, call.req)
	e := f.entry(call)
	call.hadTurn = false
	if !pace.MayStart(f.clock(), e, q.Ahead(e)) {
		return false
	}
	f.waiting[e] = call
	q.Push(e, admission.Limits{Requests: 256, Bytes: 1})
	f.counts.queued++
	if q.Len() == 1 {
		f.after(pace.Interval, func() { f.turn(q, pace.Interval) })
	}
	return true
}

// turn gives the first call in a queue its turn.
func (f *simFleet) turn(q *admission.Queue, interval time.Duration) {
	for _, e := range q.TakeLate(f.clock()) {
		f.refuse(f.waiting[e], simFullRetry)
	}
	e := q.Head()
	if e == nil {
		return
	}
	q.Remove(e)
	f.waiting[e].hadTurn = true
	f.send(f.waiting[e], 0, nil)
	if q.Len() > 0 {
		f.after(interval, func() { f.turn(q, interval) })
	}
}

// shares returns the shares of a class among the calls that arrived in a time.
func (f *simFleet) shares(class int, from, to time.Duration) simShares {
	var s simShares
	for _, c := range f.calls {
		if c.class != class || c.arrived < from || c.arrived >= to {
			continue
		}
		s.calls++
		switch c.result {
		case simInTime:
			s.inTime++
		case simLate:
			s.late++
		case simRefused:
			s.refused++
		default:
			s.failed++
		}
	}
	n := float64(max(1, s.calls))
	s.inTime, s.late, s.refused, s.failed = s.inTime/n, s.late/n, s.refused/n, s.failed/n
	return s
}
