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
	// refreshInterval is the period at which a waiting reservation is checked
	// for lost messages and departed schedulers.
	refreshInterval = 500 * time.Millisecond
	// preferredAnswerTimeout is how long the manager waits for the scheduler that
	// owns the server with the cached prompt before it asks other schedulers too.
	preferredAnswerTimeout = 10 * time.Millisecond
	// ackTimeout is how long a scheduler may take to respond to a Reserve message
	// before the message is repeated.
	ackTimeout = 300 * time.Millisecond
	// A queued reservation is sent again periodically, so that a scheduler that
	// restarted gets it back. The interval is renewShare of the time the request
	// has waited so far, limited to minRenewInterval..maxRenewInterval.
	minRenewInterval = 2 * time.Second
	maxRenewInterval = 15 * time.Second
	renewShare       = 0.5
	// defaultRetryAfter is used when no scheduler gave an estimate.
	defaultRetryAfter = time.Second
	// waitSampleSize and waitSampleDecay configure the exponentially decaying
	// sample of the wait histogram. It is weighted towards the last five minutes.
	waitSampleSize  = 1028
	waitSampleDecay = 0.015
)

// Config holds the dependencies and settings of a Manager.
type Config struct {
	Bus     peer.Bus
	View    membership.View
	Bundles bundle.Source
	// SchedulersPerRequest is the number of schedulers that a request is sent to
	// unless all of them refuse it. A request with a prompt prefix is first sent
	// to only one of them; see Manager.place.
	SchedulersPerRequest int
	// Seed seeds the random choice of schedulers and is the start of the request
	// IDs.
	Seed    uint64
	Metrics metrics.Registry
}

// Manager places reservations with schedulers and keeps track of the slots in
// use. It is safe for concurrent use.
type Manager struct {
	cfg Config

	mu          sync.Mutex
	rng         *rand.Rand
	lastID      uint64
	waiting     map[uint64]*reservation
	running     map[grantKey]*Slot
	assignments assignmentCache
	outbox      []outgoing

	placed   metrics.Counter
	granted  metrics.Counter
	declined metrics.Counter
	refused  metrics.Counter
	widened  metrics.Counter
	renewed  metrics.Counter
	// waitMs is the time from placing a reservation until it is granted, refused
	// or canceled, in milliseconds.
	waitMs metrics.Histogram
}

// NewManager returns a Manager and registers its message handlers on the bus.
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
			metrics.NewExpDecaySample(waitSampleSize, waitSampleDecay)),
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

// Acquire reserves a slot and blocks until one is granted. It returns a *Refusal
// if no scheduler grants one or spec.StartDeadline passes, and ctx.Err() if ctx
// ends first.
func (m *Manager) Acquire(ctx context.Context, spec Spec) (*Slot, error) {
	r := m.place(spec)
	start := time.Now()
	defer func() { m.waitMs.Update(time.Since(start).Milliseconds()) }()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	preferredTimer := time.NewTimer(preferredAnswerTimeout)
	defer preferredTimer.Stop()
	startDeadline, stop := deadlineTimer(spec.StartDeadline)
	defer stop()
	for {
		select {
		case out := <-r.result:
			return out.slot, out.err()
		case <-ctx.Done():
			return m.withdraw(r, ctx.Err())
		case <-startDeadline:
			return m.withdraw(r, &Refusal{Reason: scheduler.ReasonDeadline, RetryAfter: m.retryAfter(r)})
		case <-preferredTimer.C:
			m.askRemaining(r)
		case <-ticker.C:
			m.refresh(r)
		}
	}
}

// deadlineTimer returns a channel that fires at the given time and a function
// that stops the timer. The zero time never fires.
func deadlineTimer(at time.Time) (<-chan time.Time, func() bool) {
	if at.IsZero() {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(time.Until(at))
	return t.C, t.Stop
}

// place creates a reservation and sends it to the first schedulers. A request
// with a prompt prefix is first sent only to the scheduler that owns the
// prefix's server, so that it runs where the prompt is cached if a slot is free
// there. The other schedulers are asked as soon as that one queues or refuses
// the reservation, or has not responded within preferredAnswerTimeout.
func (m *Manager) place(spec Spec) *reservation {
	m.mu.Lock()
	defer m.unlock()
	m.lastID++
	r := &reservation{
		id:     m.lastID,
		spec:   spec,
		asked:  map[string]*askState{},
		result: make(chan result, 1),
	}
	m.waiting[r.id] = r
	m.placed.Inc(1)
	first := m.cfg.SchedulersPerRequest
	if spec.Prefix != 0 {
		first = 1
	}
	m.askMore(r, first)
	if len(r.asked) == 0 {
		m.refuse(r, scheduler.ReasonNoServer)
	}
	return r
}

// askMore sends the reservation to more schedulers until count have it. The
// caller holds m.mu.
func (m *Manager) askMore(r *reservation, count int) {
	for _, name := range m.chooseSchedulers(r, count-len(r.asked)) {
		m.ask(r, name)
	}
}

// askRemaining sends a reservation that is still waiting to further schedulers
// until Config.SchedulersPerRequest have it.
func (m *Manager) askRemaining(r *reservation) {
	m.mu.Lock()
	defer m.unlock()
	if !r.settled {
		m.askMore(r, m.cfg.SchedulersPerRequest)
	}
}

// withdraw ends a reservation and returns err, which is a *Refusal if the start
// deadline has passed and the context's error otherwise. If the reservation was
// settled just before, a refusal is returned instead of err. A slot is returned if
// the start deadline has passed, and released unused if the context has ended.
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

// settle removes a waiting reservation and cancels it at all schedulers except
// the one named, if any. The caller holds m.mu.
func (m *Manager) settle(r *reservation, except string) {
	r.settled = true
	delete(m.waiting, r.id)
	for name, a := range r.asked {
		if name != except && !a.refused {
			m.send(name, &scheduler.Cancel{ID: r.id})
		}
	}
}

// refuse settles a reservation with a Refusal. The caller holds m.mu.
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

// outgoing is a message to be sent after the lock is released.
type outgoing struct {
	to  string
	msg peer.Message
}

// send queues a message that unlock sends. The caller holds m.mu.
func (m *Manager) send(to string, msg peer.Message) {
	m.outbox = append(m.outbox, outgoing{to: to, msg: msg})
}

// unlock releases m.mu and then sends the queued messages. They are not sent
// under the lock because the bus may deliver a message to the local daemon
// synchronously, and its handler takes the lock. Send errors are ignored:
// refresh repeats a lost reservation, and the scheduler times out the rest.
func (m *Manager) unlock() {
	out := m.outbox
	m.outbox = nil
	m.mu.Unlock()
	for _, o := range out {
		_ = m.cfg.Bus.Send(o.to, o.msg)
	}
}

// release removes a slot from those in use and notifies the scheduler that granted
// it. If another daemon owns the server by now, that daemon is notified too.
func (m *Manager) release(s *Slot, r Report) {
	m.mu.Lock()
	defer m.unlock()
	delete(m.running, s.key)
	msg := &scheduler.Done{
		GrantID:      s.key.id,
		ID:           s.running.ID,
		Server:       s.Server.Name,
		Outcome:      r.Outcome,
		Tokens:       uint32(r.Tokens),
		FirstTokenMs: uint32(r.FirstToken.Milliseconds()),
		TokenGapUs:   uint32(r.TokenGap.Microseconds()),
		Class:        s.running.Class,
		Customer:     s.running.Customer,
	}
	m.send(s.key.scheduler, msg)
	owner := m.ownerOf(s.Server)
	if owner != "" && owner != s.key.scheduler {
		m.send(owner, msg)
	}
}

// InFlight returns the number of slots currently in use.
func (m *Manager) InFlight() int {
	m.mu.Lock()
	defer m.unlock()
	return len(m.running)
}
