package reservation

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/scheduler"
	"github.com/rcrowley/go-metrics"
)

const (
	// refreshInterval is how often a waiting reservation is checked for lost
	// messages and lost schedulers.
	refreshInterval = 500 * time.Millisecond
	// firstAnswerWait is how long the scheduler preferred for its prompt cache is
	// asked alone.
	firstAnswerWait = 10 * time.Millisecond
	// ackTimeout is how long a scheduler may take to answer a reservation.
	ackTimeout = 300 * time.Millisecond
	// A queued reservation is repeated, so that a restarted scheduler does not
	// lose it: renewShare of the time it has waited after the last time, but not
	// sooner than minRenewInterval and not later than maxRenewInterval.
	minRenewInterval = 2 * time.Second
	maxRenewInterval = 15 * time.Second
	renewShare       = 0.5
	// defaultRetryAfter is told when no scheduler gave an estimate.
	defaultRetryAfter = time.Second
	// sampleSize and sampleDecay favor the last five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Config configures a Manager.
type Config struct {
	Bus     peer.Bus
	View    membership.View
	Bundles bundle.Source
	// Count is the number of schedulers asked for each request.
	Count int
	// Seed seeds the choice of schedulers.
	Seed    uint64
	Metrics metrics.Registry
}

// Manager places reservations and keeps the ledger of accepted grants. It is
// safe for concurrent use.
type Manager struct {
	cfg Config

	mu      sync.Mutex
	rng     *rand.Rand
	lastID  uint64
	waiting map[uint64]*reservation
	running map[grantKey]*Slot
	owners  assignments
	outbox  []outgoing

	placed   metrics.Counter
	granted  metrics.Counter
	declined metrics.Counter
	refused  metrics.Counter
	widened  metrics.Counter
	renewed  metrics.Counter
	// waitMs is the time from placing to the end of a reservation, in
	// milliseconds.
	waitMs metrics.Histogram
}

// NewManager returns a manager and registers its message handlers.
func NewManager(cfg Config) *Manager {
	m := &Manager{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		lastID:  cfg.Seed,
		waiting: map[uint64]*reservation{},
		running: map[grantKey]*Slot{},

		placed:   metrics.NewRegisteredCounter("reservation.placed", cfg.Metrics),
		granted:  metrics.NewRegisteredCounter("reservation.granted", cfg.Metrics),
		declined: metrics.NewRegisteredCounter("reservation.declined", cfg.Metrics),
		refused:  metrics.NewRegisteredCounter("reservation.refused", cfg.Metrics),
		widened:  metrics.NewRegisteredCounter("reservation.widened", cfg.Metrics),
		renewed:  metrics.NewRegisteredCounter("reservation.renewed", cfg.Metrics),
		waitMs: metrics.NewRegisteredHistogram("reservation.wait_ms", cfg.Metrics,
			metrics.NewExpDecaySample(sampleSize, sampleDecay)),
	}
	m.register()
	return m
}

func (m *Manager) register() {
	bus := m.cfg.Bus
	bus.Handle(peer.KindQueued, func() peer.Message { return new(scheduler.Queued) }, m.onQueued)
	bus.Handle(peer.KindInfeasible, func() peer.Message { return new(scheduler.Infeasible) }, m.onInfeasible)
	bus.Handle(peer.KindGrant, func() peer.Message { return new(scheduler.Grant) }, m.onGrant)
	bus.Handle(peer.KindDeclareRequest, func() peer.Message { return new(scheduler.DeclareRequest) }, m.onDeclareRequest)
}

// Acquire waits for a slot. It returns a *Refusal when none is granted, and
// ctx.Err() when the caller went away.
func (m *Manager) Acquire(ctx context.Context, spec Spec) (*Slot, error) {
	r := m.place(spec)
	start := time.Now()
	defer func() { m.waitMs.Update(time.Since(start).Milliseconds()) }()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	rest := time.NewTimer(firstAnswerWait)
	defer rest.Stop()
	giveUp, stop := giveUpTimer(spec.GiveUp)
	defer stop()
	for {
		select {
		case out := <-r.result:
			return out.slot, out.err()
		case <-ctx.Done():
			return m.withdraw(r, ctx.Err())
		case <-giveUp:
			return m.withdraw(r, &Refusal{Reason: scheduler.ReasonDeadline, RetryAfter: m.retryAfter(r)})
		case <-rest.C:
			m.askRest(r)
		case <-ticker.C:
			m.refresh(r)
		}
	}
}

// giveUpTimer returns a channel that fires at a time; a zero time never fires.
func giveUpTimer(at time.Time) (<-chan time.Time, func() bool) {
	if at.IsZero() {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(time.Until(at))
	return t.C, t.Stop
}

// place creates the reservation and asks the first schedulers: with a prompt
// prefix only the one that owns the prefix's server, so that it is granted
// where the prompt is cached if a slot is free there. The others follow as soon
// as that one queues or refuses the reservation, or does not answer at once.
func (m *Manager) place(spec Spec) *reservation {
	m.mu.Lock()
	defer m.unlock()
	m.lastID++
	r := &reservation{
		id:     m.lastID,
		spec:   spec,
		asked:  map[string]*ask{},
		result: make(chan result, 1),
	}
	m.waiting[r.id] = r
	m.placed.Inc(1)
	first := m.cfg.Count
	if spec.Prefix != 0 {
		first = 1
	}
	m.askMore(r, first)
	if len(r.asked) == 0 {
		m.refuse(r, scheduler.ReasonNoServer)
	}
	return r
}

// askMore asks further schedulers until count are asked. The caller holds m.mu.
func (m *Manager) askMore(r *reservation, count int) {
	for _, name := range m.choose(r, count-len(r.asked)) {
		m.ask(r, name)
	}
}

// askRest asks the other schedulers if the first has not answered.
func (m *Manager) askRest(r *reservation) {
	m.mu.Lock()
	defer m.unlock()
	if !r.settled {
		m.askMore(r, m.cfg.Count)
	}
}

// withdraw ends a reservation without a slot. A grant that was accepted just
// before is returned unused.
func (m *Manager) withdraw(r *reservation, err error) (*Slot, error) {
	m.mu.Lock()
	settled := r.settled
	if !settled {
		m.settle(r, "")
	}
	m.unlock()
	if !settled {
		return nil, err
	}
	out := <-r.result
	if out.slot == nil {
		return nil, out.err()
	}
	if _, refused := err.(*Refusal); refused {
		return out.slot, nil
	}
	out.slot.Done(Report{Outcome: scheduler.OutcomeCanceled})
	return nil, err
}

// settle forgets a waiting reservation and cancels it at all schedulers but
// one. The caller holds m.mu.
func (m *Manager) settle(r *reservation, except string) {
	r.settled = true
	delete(m.waiting, r.id)
	for name, a := range r.asked {
		if name != except && !a.refused {
			m.send(name, &scheduler.Cancel{ID: r.id})
		}
	}
}

// refuse ends a reservation with a refusal. The caller holds m.mu.
func (m *Manager) refuse(r *reservation, reason scheduler.InfeasibleReason) {
	m.settle(r, "")
	m.refused.Inc(1)
	r.result <- result{refusal: &Refusal{Reason: reason, RetryAfter: r.retryAfter()}}
}

func (m *Manager) retryAfter(r *reservation) time.Duration {
	m.mu.Lock()
	defer m.unlock()
	return r.retryAfter()
}

// outgoing is a message that is sent once the lock is released.
type outgoing struct {
	to  string
	msg peer.Message
}

// send queues a message until unlock. The caller holds m.mu.
func (m *Manager) send(to string, msg peer.Message) {
	m.outbox = append(m.outbox, outgoing{to: to, msg: msg})
}

// unlock releases m.mu and sends the queued messages, because the bus may
// deliver a message to the local daemon at once. A message that is not
// delivered is repeated by refresh or times out at the scheduler.
func (m *Manager) unlock() {
	out := m.outbox
	m.outbox = nil
	m.mu.Unlock()
	for _, o := range out {
		_ = m.cfg.Bus.Send(o.to, o.msg)
	}
}

// done removes a slot from the ledger and tells its scheduler, and the daemon
// that owns the server by now if that is another.
func (m *Manager) done(s *Slot, r Report) {
	m.mu.Lock()
	defer m.unlock()
	delete(m.running, s.key)
	msg := &scheduler.Done{
		GrantID:      s.key.id,
		ID:           s.running.ID,
		Server:       s.Server.Name,
		Outcome:      r.Outcome,
		Tokens:       uint32(r.Tokens),
		FirstTokenMs: uint32(r.First.Milliseconds()),
		TokenGapUs:   uint32(r.Gap.Microseconds()),
		Class:        s.running.Class,
		Customer:     s.running.Customer,
	}
	m.send(s.key.scheduler, msg)
	owner := m.ownerOf(s.Server)
	if owner != "" && owner != s.key.scheduler {
		m.send(owner, msg)
	}
}

// InFlight returns the number of slots in use.
func (m *Manager) InFlight() int {
	m.mu.Lock()
	defer m.unlock()
	return len(m.running)
}
