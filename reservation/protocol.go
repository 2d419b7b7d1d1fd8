package reservation

import (
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/scheduler"
)

// reservation is a request that waits for a slot.
type reservation struct {
	id   uint64
	spec Spec
	// asked holds the schedulers that received the reservation, by name.
	asked map[string]*askState
	// settled is set once the reservation is granted, refused or withdrawn.
	settled bool
	result  chan result
}

// askState is the state of a reservation at one scheduler, as the gateway knows it.
type askState struct {
	sentAt  time.Time
	queued  bool
	refused bool
	// retryAfter is the scheduler's retry delay for a refused reservation and its
	// estimated wait for a queued one.
	retryAfter time.Duration
}

// result is the outcome of a reservation: a slot or a refusal.
type result struct {
	slot    *Slot
	refusal *Refusal
}

func (r result) err() error {
	if r.refusal == nil {
		return nil
	}
	return r.refusal
}

// retryAfter returns the shortest estimate of the asked schedulers, or
// defaultRetryAfter if none gave one.
func (r *reservation) retryAfter() time.Duration {
	var best time.Duration
	for _, a := range r.asked {
		if a.retryAfter > 0 && (best == 0 || a.retryAfter < best) {
			best = a.retryAfter
		}
	}
	if best == 0 {
		return defaultRetryAfter
	}
	return best
}

// pending reports whether any asked scheduler has not refused the reservation.
func (r *reservation) pending() bool {
	for _, a := range r.asked {
		if !a.refused {
			return true
		}
	}
	return false
}

// ask sends a reservation to a scheduler and records it as asked. The caller
// holds m.mu.
func (m *Manager) ask(r *reservation, name string) {
	now := time.Now()
	r.asked[name] = &askState{sentAt: now}
	m.send(name, r.message(now))
}

// message returns the Reserve message for the reservation. Its times are
// relative to now.
func (r *reservation) message(now time.Time) *scheduler.Reserve {
	return &scheduler.Reserve{
		ID:         r.id,
		Pool:       r.spec.Pool.Name,
		Class:      r.spec.Class.Name,
		Customer:   r.spec.Customer,
		DeadlineMs: uint32(max(r.spec.Target.Sub(now).Milliseconds(), 0)),
		Cost:       r.spec.Cost,
		Prefix:     r.spec.Prefix,
		Avoid:      r.spec.ExcludedServers,
		WaitedMs:   uint32(max(now.Sub(r.spec.Arrived).Milliseconds(), 0)),
		Trace:      r.spec.Trace,
	}
}

func (m *Manager) onQueued(from string, msg peer.Message) {
	q := msg.(*scheduler.Queued)
	m.mu.Lock()
	defer m.unlock()
	r := m.waiting[q.ID]
	if r == nil {
		// The reservation is settled, but its Cancel was lost or overtaken by
		// another message.
		m.send(from, &scheduler.Cancel{ID: q.ID})
		return
	}
	if a := r.asked[from]; a != nil {
		a.queued = true
		a.retryAfter = time.Duration(q.WaitMs) * time.Millisecond
		m.askMore(r, m.cfg.SchedulersPerRequest)
	}
}

func (m *Manager) onInfeasible(from string, msg peer.Message) {
	inf := msg.(*scheduler.Infeasible)
	m.mu.Lock()
	defer m.unlock()
	r := m.waiting[inf.ID]
	if r == nil {
		return
	}
	a := r.asked[from]
	if a == nil || a.refused {
		return
	}
	a.refused = true
	a.retryAfter = time.Duration(inf.RetryAfterMs) * time.Millisecond
	if r.pending() {
		return
	}
	m.widen(r, inf.Reason)
}

// widen sends a reservation that all asked schedulers refused to further ones,
// more for higher tiers and none for the lowest. If the scheduler is stopping or
// has no server, even the lowest tier tries one more scheduler. The reservation
// is refused if no scheduler is left. The caller holds m.mu.
func (m *Manager) widen(r *reservation, reason scheduler.InfeasibleReason) {
	more := bundle.MaxTiers - 1 - r.spec.Class.Tier
	if reason == scheduler.ReasonStopping || reason == scheduler.ReasonNoServer {
		more = max(more, 1)
	}
	names := m.chooseSchedulers(r, more)
	if len(names) == 0 {
		m.refuse(r, reason)
		return
	}
	m.widened.Inc(1)
	for _, name := range names {
		m.ask(r, name)
	}
}

func (m *Manager) onGrant(from string, msg peer.Message) {
	g := msg.(*scheduler.Grant)
	key := grantKey{scheduler: from, id: g.GrantID}
	m.mu.Lock()
	defer m.unlock()
	if m.running[key] != nil {
		m.send(from, &scheduler.Accept{GrantID: g.GrantID, ID: g.ID, Server: g.Server})
		return
	}
	r := m.waiting[g.ID]
	if r == nil {
		m.decline(from, g)
		return
	}
	srv, ok := m.cfg.View.Server(g.Server)
	if !ok || srv.Leaving || slices.Contains(r.spec.ExcludedServers, g.Server) {
		m.decline(from, g)
		m.ask(r, from)
		return
	}
	slot := &Slot{
		Server:  srv,
		manager: m,
		key:     key,
		running: scheduler.Running{
			ID:       g.ID,
			GrantID:  g.GrantID,
			Server:   g.Server,
			Class:    r.spec.Class.Name,
			Customer: r.spec.Customer,
		},
	}
	m.running[key] = slot
	m.granted.Inc(1)
	m.send(from, &scheduler.Accept{GrantID: g.GrantID, ID: g.ID, Server: g.Server})
	m.settle(r, from)
	r.result <- result{slot: slot}
}

// decline returns a grant whose slot is not used. The caller holds m.mu.
func (m *Manager) decline(to string, g *scheduler.Grant) {
	m.declined.Inc(1)
	m.send(to, &scheduler.Decline{GrantID: g.GrantID, ID: g.ID, Server: g.Server})
}

func (m *Manager) onDeclareRequest(from string, msg peer.Message) {
	req := msg.(*scheduler.DeclareRequest)
	m.mu.Lock()
	defer m.unlock()
	answer := &scheduler.Declare{Seq: req.Seq}
	for _, s := range m.running {
		if slices.Contains(req.Servers, s.Server.Name) {
			answer.Running = append(answer.Running, s.running)
		}
	}
	m.send(from, answer)
}

// renewAfter returns the interval between renewals of a reservation that has
// waited for the given time.
func renewAfter(waited time.Duration) time.Duration {
	interval := time.Duration(renewShare * float64(waited))
	return min(max(interval, minRenewInterval), maxRenewInterval)
}

// refresh repeats a reservation to schedulers that have not acknowledged it or
// are due for a renewal, and replaces schedulers that have left the cluster.
func (m *Manager) refresh(r *reservation) {
	m.mu.Lock()
	defer m.unlock()
	if r.settled {
		return
	}
	now := time.Now()
	live := m.cfg.View.Schedulers()
	for name, a := range r.asked {
		if !slices.Contains(live, name) {
			delete(r.asked, name)
			continue
		}
		if a.refused {
			continue
		}
		age := now.Sub(a.sentAt)
		if (!a.queued && age >= ackTimeout) || age >= renewAfter(now.Sub(r.spec.Arrived)) {
			a.sentAt = now
			m.renewed.Inc(1)
			m.send(name, r.message(now))
		}
	}
	m.askMore(r, m.cfg.SchedulersPerRequest)
	if len(r.asked) == 0 {
		m.refuse(r, scheduler.ReasonNoServer)
	}
}
