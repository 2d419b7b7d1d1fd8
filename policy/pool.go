package policy

import (
	"slices"
	"time"
)

// The queue, the free slots and the refusals of a pool depend on each other.
// They are therefore one state machine, which tests compare with a simple
// reference model. It holds no connections and no timers: the scheduler passes
// in each event with its time.

// ClassSpec describes a service class.
type ClassSpec struct {
	Name   string
	Tier   int
	Target Target
	// Starvation is the longest time that a request of the class may wait.
	Starvation time.Duration
	// RefuseLate is set if a request that would miss its deadline is refused
	// instead of served late.
	RefuseLate bool
}

// Disabled turns off single mechanisms of the policy, to measure their effect.
type Disabled struct {
	// Allowance disables the starvation allowance: tiers stay strict even if a
	// class starves.
	Allowance bool
	// Stragglers disables the detection of slow and failing servers.
	Stragglers bool
	// Express disables express slots.
	Express bool
}

// PoolSpec describes a pool of interchangeable servers.
type PoolSpec struct {
	// Limit is the maximum number of waiting reservations, not counting one of
	// each class.
	Limit int
	// Slots and MaxSlots are the initial and the maximum number of slots of a
	// server.
	Slots    int
	MaxSlots int
	// Batches is set if the servers batch requests of different priorities, so
	// that they can run a few requests of a higher tier beyond their slots.
	Batches bool
	Classes []ClassSpec
	// Owners maps each owner to the share of the slots of its servers that it
	// may claim, 0 to 1.
	Owners   map[string]float64
	Disabled Disabled
}

// Refusal is the reason why a reservation was refused.
type Refusal uint8

// Reasons for a refusal.
const (
	NotRefused Refusal = iota
	// RefusedNoServer means that no server of the pool may run the request, or that
	// its class is unknown.
	RefusedNoServer
	// RefusedDeadline means that the request would miss, or has missed, its
	// deadline or the starvation bound of its class.
	RefusedDeadline
	// RefusedFull means that the queue is full.
	RefusedFull
	// RefusedEvicted means that the request was evicted from a full queue to admit
	// another one.
	RefusedEvicted
)

// Decision is the result of Reserve.
type Decision struct {
	// Refusal is NotRefused if the reservation was admitted to the queue.
	Refusal Refusal
	// RetryAfter is the delay after which a refused reservation may be retried.
	RetryAfter time.Duration
	// Wait is the estimated wait of an admitted reservation.
	Wait time.Duration
}

// Pick is a slot granted to a reservation.
type Pick struct {
	Reservation Reservation
	Server      string
	// Allowance is set if the starvation allowance granted the slot out of tier
	// order.
	Allowance bool
}

// Pool queues and places the requests of one server pool at one scheduler.
type Pool struct {
	spec           PoolSpec
	classes        map[string]*classState
	orderedClasses []*classState
	queue          *Queue
	servers        []*Server
	load           Load
	allowance      Allowance

	// held holds the gateways that get no grants, because they don't respond.
	held map[string]bool

	withdrawn []LateRefusal
	// freeServers, claimingOwners and slots are set by findFreeServers.
	freeServers    []*Server
	claimingOwners []string
	// tokenGaps is a buffer that referenceGap reuses.
	tokenGaps []time.Duration
	slots     int
	// expressTier is the lowest tier that may use freeServers.
	expressTier int
	// strictestGap is the shortest token-gap target of all classes, or zero if
	// no class has one.
	strictestGap time.Duration
	// incoming is the reservation passed to Reserve. It is stored here because
	// taking the address of a parameter would allocate.
	incoming Reservation
	// fitsFree reports whether a reservation can be granted one of freeServers. The
	// closure is allocated once, because Next passes it on every call.
	fitsFree func(*Reservation) bool
}

// NewPool returns a pool without servers.
func NewPool(spec PoolSpec) *Pool {
	p := &Pool{queue: NewQueue(), load: NewLoad(), classes: map[string]*classState{}, held: map[string]bool{}}
	p.fitsFree = func(r *Reservation) bool { return r.Tier <= p.expressTier && !p.held[r.Key.Gateway] && p.hasFree(r) }
	p.Configure(spec)
	return p
}

func (p *Pool) hasFree(r *Reservation) bool {
	for _, s := range p.freeServers {
		if s.mayRun(r) {
			return true
		}
	}
	return false
}

// SetGatewayHeld suspends or resumes grants to a gateway.
func (p *Pool) SetGatewayHeld(gateway string, held bool) {
	if held {
		p.held[gateway] = true
		return
	}
	delete(p.held, gateway)
}

// Configure applies a new specification. Waiting reservations stay queued.
func (p *Pool) Configure(spec PoolSpec) {
	p.spec = spec
	old := p.classes
	p.classes = make(map[string]*classState, len(spec.Classes))
	p.orderedClasses = p.orderedClasses[:0]
	p.strictestGap = 0
	for _, c := range spec.Classes {
		if gap := c.Target.TokenGap; gap > 0 && (p.strictestGap == 0 || gap < p.strictestGap) {
			p.strictestGap = gap
		}
		if c.Starvation <= 0 {
			c.Starvation = defaultStarvation
		}
		class := old[c.Name]
		if class == nil {
			class = &classState{}
		}
		class.spec = c
		class.queue = p.queue.class(c.Name)
		p.classes[c.Name] = class
		p.orderedClasses = append(p.orderedClasses, class)
	}
	for _, s := range p.servers {
		s.Slots.SetMax(max(spec.Slots, spec.MaxSlots))
	}
	p.queue.Prune()
}

// SetServers replaces the servers. Servers with a known name keep their slots in
// use, their adapted limit and their health.
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

// Server returns the server with the given name, or nil.
func (p *Pool) Server(name string) *Server {
	for _, s := range p.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Servers returns the servers of the pool. The caller must not modify the slice.
func (p *Pool) Servers() []*Server { return p.servers }

// Slots returns the total number of slots of the servers that aren't leaving.
func (p *Pool) Slots() int {
	n := 0
	for _, s := range p.servers {
		if !s.Leaving {
			n += s.Slots.Limit()
		}
	}
	return n
}

// Queue returns the queue of waiting reservations, for reading only.
func (p *Pool) Queue() *Queue { return p.queue }

// Reserve admits or refuses a new reservation, or updates the waiting one with
// the same key. A reservation evicted to make room is reported by
// TakeWithdrawn.
func (p *Pool) Reserve(now time.Time, r Reservation) Decision {
	p.incoming = r
	return p.reserve(now, &p.incoming)
}

func (p *Pool) reserve(now time.Time, r *Reservation) Decision {
	class := p.classes[r.Class]
	if class == nil || !p.servable(r) {
		p.queue.Remove(r.Key)
		return Decision{Refusal: RefusedNoServer, RetryAfter: minRetryAfter}
	}
	r.Tier = class.spec.Tier
	class.recordDemand(now)
	if p.queue.updateWaiting(r) {
		return Decision{Wait: p.load.Wait(p.queue.WorkAhead(r), p.Slots())}
	}
	wait := p.estimateWait(now, r)
	if !p.feasible(now, r, class, wait) {
		return Decision{Refusal: RefusedDeadline, RetryAfter: RetryAfter(wait, class.spec.Target.FirstToken)}
	}
	if p.full(r.Class) {
		evicted, ok := p.queue.EvictFor(r)
		if !ok {
			return Decision{Refusal: RefusedFull, RetryAfter: RetryAfter(wait, class.spec.Target.FirstToken)}
		}
		p.refuseWaiting(now, evicted, RefusedEvicted)
	}
	p.queue.Push(*r)
	return Decision{Wait: wait}
}

// full reports whether a new reservation of the class exceeds the limit. One
// reservation of each class isn't counted: the starvation allowance needs one to
// serve, and it must not take a place from a higher tier.
func (p *Pool) full(class string) bool {
	if p.queue.Len() < p.spec.Limit || p.queue.WaitingInClass(class) == 0 {
		return false
	}
	excess := p.queue.Len()
	for _, c := range p.orderedClasses {
		if c.queue.len() > 0 {
			excess--
		}
	}
	return excess >= p.spec.Limit
}

// servable reports whether the reservation may run on any server of the pool
// that isn't leaving, regardless of free slots.
func (p *Pool) servable(r *Reservation) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool { return !s.Leaving && s.mayRun(r) })
}

// estimateWait returns the estimated wait of a new reservation. It is zero if a slot
// is free for it.
func (p *Pool) estimateWait(now time.Time, r *Reservation) time.Duration {
	if p.noneAhead(r.Tier) {
		p.findFreeServers(now)
		if p.hasFree(r) {
			return 0
		}
	}
	return p.load.Wait(p.queue.WorkAhead(r), p.Slots())
}

func (p *Pool) noneAhead(tier int) bool {
	for t := range tier + 1 {
		if p.queue.Waiting(t) > 0 {
			return false
		}
	}
	return true
}

// feasible reports whether a reservation is expected to start in time. A class
// that is due for the starvation allowance may always have one reservation
// waiting: otherwise the allowance would find none, and the class would starve.
func (p *Pool) feasible(now time.Time, r *Reservation, class *classState, wait time.Duration) bool {
	if !p.load.Trusted() || wait == 0 {
		return true
	}
	if p.queue.WaitingInClass(r.Class) == 0 && class.unservedShare(now) >= dueShare {
		return true
	}
	if class.spec.RefuseLate && now.Add(wait).After(class.latestDispatch(r.Deadline)) {
		return false
	}
	return !now.Add(wait).After(r.Arrived.Add(class.spec.Starvation))
}

// Requeue returns a reservation to the queue and refunds its cost, because its
// grant was lost.
func (p *Pool) Requeue(r Reservation) {
	p.queue.Refund(&r)
	if p.classes[r.Class] != nil {
		p.queue.Push(r)
	}
}

// Cancel removes a reservation from the queue and reports whether it was
// waiting.
func (p *Pool) Cancel(k Key) bool {
	if !p.queue.Remove(k) {
		return false
	}
	p.load.RecordLeft(false)
	return true
}
