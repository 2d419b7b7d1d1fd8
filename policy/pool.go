package policy

import (
	"slices"
	"time"
)

// Why one type for a pool: who waits, which slots are free and who is refused
// depend on each other, so the decision is one state machine that can be run
// against an oracle. It holds no connections and no timers; the scheduler
// feeds it events with their time.

// ClassSpec describes a service class.
type ClassSpec struct {
	Name   string
	Tier   int
	Target Target
	// Starvation bounds the wait of the class's oldest request.
	Starvation time.Duration
	// RefuseLate is set if a request is refused rather than served late.
	RefuseLate bool
}

// Disabled turns single choices of the policy off, to measure what they do.
type Disabled struct {
	// Allowance keeps the tiers strict even if a class starves.
	Allowance bool
	// Stragglers treats slow and failing servers as sound.
	Stragglers bool
	// Express turns off requests beyond a server's slots.
	Express bool
}

// PoolSpec describes a pool of interchangeable servers.
type PoolSpec struct {
	// Limit bounds the waiting reservations, beyond one of each class.
	Limit int
	// Slots and MaxSlots are the initial and the greatest number of slots of a
	// server.
	Slots    int
	MaxSlots int
	// Batches is set if the servers run requests of different priorities
	// together and may take a few of a higher tier beyond their slots.
	Batches bool
	Classes []ClassSpec
	// Owners holds the share of its servers' slots that an owner may claim.
	Owners   map[string]float64
	Disabled Disabled
}

// Refusal tells why a reservation was refused.
type Refusal uint8

// Reasons of a refusal; zero means none.
const (
	NotRefused Refusal = iota
	RefusedNoServer
	RefusedDeadline
	RefusedFull
	RefusedEvicted
)

// Verdict answers a new reservation.
type Verdict struct {
	// Refusal is zero if the reservation waits.
	Refusal    Refusal
	RetryAfter time.Duration
	// Wait is the estimated wait of an admitted reservation.
	Wait time.Duration
}

// Pick is a slot granted to a reservation.
type Pick struct {
	Reservation Reservation
	Server      string
	// Allowance is set for a grant out of tier order.
	Allowance bool
}

// Pool decides for one pool of servers at one scheduler.
type Pool struct {
	spec      PoolSpec
	classes   map[string]*classClock
	ordered   []*classClock
	queue     *Queue
	servers   []*Server
	load      Load
	allowance Allowance

	// held names gateways that get no grants because they do not answer.
	held map[string]bool

	withdrawn []Withdrawal
	free      []*Server
	claims    []string
	gaps      []time.Duration
	slots     int
	// express is the lowest tier that may use the free servers.
	express int
	// strictestGap is the shortest target for the token gap; zero means none.
	strictestGap time.Duration
	// newcomer is the reservation being decided on, kept here because taking
	// its address would allocate.
	newcomer Reservation
	// fits is allocated once because Next passes it on every call.
	fits func(*Reservation) bool
}

// NewPool returns a pool without servers.
func NewPool(spec PoolSpec) *Pool {
	p := &Pool{queue: NewQueue(), load: NewLoad(), classes: map[string]*classClock{}, held: map[string]bool{}}
	p.fits = func(r *Reservation) bool { return r.Tier <= p.express && !p.held[r.Key.Gateway] && p.hasFree(r) }
	p.Configure(spec)
	return p
}

func (p *Pool) hasFree(r *Reservation) bool {
	for _, s := range p.free {
		if s.serves(r) {
			return true
		}
	}
	return false
}

// Hold stops or resumes grants to a gateway.
func (p *Pool) Hold(gateway string, held bool) {
	if held {
		p.held[gateway] = true
		return
	}
	delete(p.held, gateway)
}

// Configure applies a new description. Waiting reservations stay.
func (p *Pool) Configure(spec PoolSpec) {
	p.spec = spec
	old := p.classes
	p.classes = make(map[string]*classClock, len(spec.Classes))
	p.ordered = p.ordered[:0]
	p.strictestGap = 0
	for _, c := range spec.Classes {
		if gap := c.Target.TokenGap; gap > 0 && (p.strictestGap == 0 || gap < p.strictestGap) {
			p.strictestGap = gap
		}
		if c.Starvation <= 0 {
			c.Starvation = defaultStarvation
		}
		clock := old[c.Name]
		if clock == nil {
			clock = &classClock{}
		}
		clock.spec = c
		clock.queue = p.queue.class(c.Name)
		p.classes[c.Name] = clock
		p.ordered = append(p.ordered, clock)
	}
	for _, s := range p.servers {
		s.Slots.Bound(max(spec.Slots, spec.MaxSlots))
	}
	p.queue.Prune()
}

// SetServers replaces the servers. Those that stay keep what was learned.
func (p *Pool) SetServers(specs []ServerSpec) {
	servers := make([]*Server, 0, len(specs))
	for _, spec := range specs {
		s := p.Server(spec.Name)
		if s == nil {
			s = newServer(spec, NewSlots(p.spec.Slots, p.spec.MaxSlots))
		}
		s.ServerSpec = spec
		servers = append(servers, s)
	}
	p.servers = servers
}

// Server returns a server by name, or nil.
func (p *Pool) Server(name string) *Server {
	for _, s := range p.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Servers returns the pool's servers. The slice must not be changed.
func (p *Pool) Servers() []*Server { return p.servers }

// Slots returns the number of slots of the servers that stay.
func (p *Pool) Slots() int {
	n := 0
	for _, s := range p.servers {
		if !s.Leaving {
			n += s.Slots.Limit()
		}
	}
	return n
}

// Queue returns the waiting reservations for inspection.
func (p *Pool) Queue() *Queue { return p.queue }

// Reserve decides on a new reservation, or updates the one with the same key.
// Reservations that had to leave for it are among Withdrawn.
func (p *Pool) Reserve(now time.Time, r Reservation) Verdict {
	p.newcomer = r
	return p.reserve(now, &p.newcomer)
}

func (p *Pool) reserve(now time.Time, r *Reservation) Verdict {
	clock := p.classes[r.Class]
	if clock == nil || !p.servable(r) {
		p.queue.Remove(r.Key)
		return Verdict{Refusal: RefusedNoServer, RetryAfter: minRetryAfter}
	}
	r.Tier = clock.spec.Tier
	clock.demand(now)
	if p.queue.update(r) {
		return Verdict{Wait: p.load.Wait(p.queue.Ahead(r), p.Slots())}
	}
	wait := p.estimate(now, r)
	if !p.feasible(now, r, clock, wait) {
		return Verdict{Refusal: RefusedDeadline, RetryAfter: RetryAfter(wait, clock.spec.Target.FirstToken)}
	}
	if p.full(r.Class) {
		evicted, ok := p.queue.MakeRoom(r)
		if !ok {
			return Verdict{Refusal: RefusedFull, RetryAfter: RetryAfter(wait, clock.spec.Target.FirstToken)}
		}
		p.withdraw(now, evicted, RefusedEvicted)
	}
	p.queue.Push(*r)
	return Verdict{Wait: wait}
}

// full reports whether a reservation of the class needs room. The limit does
// not count one reservation of each class: the allowance needs it, and it must
// take no place from a higher tier.
func (p *Pool) full(class string) bool {
	if p.queue.Len() < p.spec.Limit || p.queue.WaitingOf(class) == 0 {
		return false
	}
	excess := p.queue.Len()
	for _, c := range p.ordered {
		if c.queue.len() > 0 {
			excess--
		}
	}
	return excess >= p.spec.Limit
}

// servable reports whether any server may ever run the reservation.
func (p *Pool) servable(r *Reservation) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool { return !s.Leaving && s.serves(r) })
}

// estimate is the wait of a new reservation; zero if a slot is free for it.
func (p *Pool) estimate(now time.Time, r *Reservation) time.Duration {
	if p.nothingAhead(r.Tier) {
		p.survey(now)
		if p.hasFree(r) {
			return 0
		}
	}
	return p.load.Wait(p.queue.Ahead(r), p.Slots())
}

func (p *Pool) nothingAhead(tier int) bool {
	for t := range tier + 1 {
		if p.queue.Waiting(t) > 0 {
			return false
		}
	}
	return true
}

// feasible reports whether a reservation may wait. A class that is due for the
// allowance may always keep one waiting, or it would never be served.
func (p *Pool) feasible(now time.Time, r *Reservation, clock *classClock, wait time.Duration) bool {
	if !p.load.Trusted() || wait == 0 {
		return true
	}
	if p.queue.WaitingOf(r.Class) == 0 && clock.unserved(now) >= dueShare {
		return true
	}
	if clock.spec.RefuseLate && now.Add(wait).After(clock.mustStart(r.Deadline)) {
		return false
	}
	return !now.Add(wait).After(r.Arrived.Add(clock.spec.Starvation))
}

// Requeue puts back a reservation whose grant was lost.
func (p *Pool) Requeue(r Reservation) {
	p.queue.Refund(&r)
	if p.classes[r.Class] != nil {
		p.queue.Push(r)
	}
}

// Cancel withdraws a reservation and reports whether it waited.
func (p *Pool) Cancel(k Key) bool {
	if !p.queue.Remove(k) {
		return false
	}
	p.load.Left(false)
	return true
}
