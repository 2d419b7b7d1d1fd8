package measure

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/policy"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/scheduler"
)

const (
	// maxDispatches and resumeWait are the gateway's limits on the dispatches of
	// a request and on the wait for a server that resumes a stream.
	maxDispatches = 5
	resumeWait    = 10 * time.Second
	// defaultTokens is the gateway's estimate of a response's length before it
	// has seen one, and lengthGain the weight of each new length in its moving
	// average.
	defaultTokens = 256.0
	lengthGain    = 1.0 / 16
)

// variant is a configuration of the router under test.
type variant struct {
	name string
	// count is the number of schedulers asked for each request.
	count int
	// noAffinity ignores prompt prefixes when a server is chosen.
	noAffinity bool
	// slots and maxSlots are the slots of each server in the bundle.
	slots, maxSlots int
	// noResume fails streams that break after their first token.
	noResume bool
	disabled policy.Disabled
}

func defaultVariant() variant {
	return variant{name: productName, count: 3, slots: poolSlots, maxSlots: poolSlots}
}

// product is the router under test: the scheduler and reservation services of
// all daemons, unchanged, with a simplified gateway loop.
type product struct {
	sim      *simulation
	variant  variant
	active   *bundle.Active
	start    time.Time
	services []*scheduler.Service
	gateways []*gateway
	queued   atomic.Int64
	network  *peertest.Network
}

// gateway models the gateway of one daemon, without HTTP: it acquires slots,
// dispatches requests, retries and resumes them.
type gateway struct {
	manager *reservation.Manager
	// lengths holds moving averages of response lengths, in tokens.
	lengths map[lengthKey]float64
	budgets map[string]*policy.RetryBudget
}

// lengthKey is a class and one of its customers, or "" for all customers.
type lengthKey struct{ class, customer string }

func newProduct(sim *simulation, v variant, active *bundle.Active, start time.Time) *product {
	network := peertest.NewNetwork(sim.seed)
	p := &product{sim: sim, variant: v, active: active, start: start, network: network}
	network.SetDelay(linkDelay, 0)
	// Engines queue by tier, since the gateway sends it as the priority.
	for _, e := range sim.engines {
		e.byTier = true
	}
	for i := range daemonCount {
		name := daemonName(i)
		bus, view, bundles := network.Bus(name), newFixedView(name), fixedBundle{active}
		p.services = append(p.services, scheduler.New(scheduler.Config{
			Bus: bus, View: view, Bundles: bundles, Metrics: metrics.NewRegistry(), Disabled: v.disabled,
		}))
		p.gateways = append(p.gateways, &gateway{
			manager: reservation.NewManager(reservation.Config{
				Bus: bus, View: view, Bundles: bundles, SchedulersPerRequest: v.count,
				Seed: sim.seed<<8 + uint64(i), Metrics: metrics.NewRegistry(),
			}),
			lengths: map[lengthKey]float64{},
			budgets: map[string]*policy.RetryBudget{},
		})
	}
	return p
}

// messages returns the number of messages sent between daemons so far.
func (p *product) messages() int {
	n := 0
	for i := range daemonCount {
		n += p.network.Stats(daemonName(i)).MessagesSent
	}
	return n
}

func (p *product) waiting() int { return int(p.queued.Load()) }

func (p *product) submit(q *request) {
	g := p.gateways[q.gateway]
	g.budget(q).FirstTry(q.class.RetryBudget)
	ctx, cancel := context.WithCancel(context.Background())
	q.withdraw = cancel
	spec := p.spec(q, g)
	go p.serve(ctx, cancel, q, g, spec)
}

// spec returns the reservation request that the gateway makes for q.
func (p *product) spec(q *request, g *gateway) reservation.Spec {
	s := reservation.Spec{
		Pool:     p.active.Pool(poolName),
		Class:    q.class,
		Customer: q.customer,
		Arrived:  p.start.Add(q.arrived),
		Target:   p.start.Add(q.firstTokenDeadline()),
		Cost:     uint32(g.estimate(q) + float64(q.prompt)/promptTokensPerToken),
		Prefix:   q.prefix,
	}
	if q.class.OnMiss == bundle.OnMissRefuse {
		s.StartDeadline = s.Target
	}
	if p.variant.noAffinity {
		s.Prefix = 0
	}
	return s
}

// serve runs a request to its end. After a failed attempt it goes on at another
// server, within the limits of the gateway.
func (p *product) serve(ctx context.Context, cancel func(), q *request, g *gateway, spec reservation.Spec) {
	defer cancel()
	for n := 1; ; n++ {
		p.queued.Add(1)
		slot, err := g.manager.Acquire(ctx, spec)
		p.queued.Add(-1)
		if err != nil {
			p.notGranted(q, err)
			return
		}
		a := p.run(ctx, q, p.sim.engine(slot.Server.Name))
		slot.Done(reservation.Report{Outcome: outcomeOf(ctx, a), Tokens: a.tokens, FirstToken: a.first, TokenGap: a.gap})
		if !p.finishOrRetry(ctx, cancel, q, g, a, n) {
			return
		}
		spec.ExcludedServers = append(spec.ExcludedServers, slot.Server.Name)
		if q.delivered > 0 {
			spec.StartDeadline = time.Now().Add(resumeWait)
		}
	}
}

// notGranted ends a request that got no slot: it is refused if it was never
// dispatched, and failed otherwise.
func (p *product) notGranted(q *request, err error) {
	p.sim.clock.locked(func() {
		var refusal *reservation.Refusal
		switch {
		case q.outcome != pending:
		case errors.As(err, &refusal) && q.started == 0:
			p.sim.end(q, refused)
		default:
			p.sim.end(q, failed)
		}
	})
}

// run dispatches a request and waits until the attempt has ended.
func (p *product) run(ctx context.Context, q *request, e *engine) attempt {
	done := make(chan attempt, 1)
	p.sim.clock.locked(func() {
		if ctx.Err() != nil {
			done <- attempt{}
			return
		}
		p.sim.dispatch(q, e, func(a attempt) { done <- a })
	})
	return <-done
}

func outcomeOf(ctx context.Context, a attempt) scheduler.Outcome {
	switch {
	case a.complete:
		return scheduler.OutcomeOK
	case ctx.Err() != nil:
		return scheduler.OutcomeCanceled
	case a.silent:
		return scheduler.OutcomeNoProgress
	}
	return scheduler.OutcomeFailed
}

// finishOrRetry records the outcome of the request, or returns true if the
// request is to be dispatched to another server.
func (p *product) finishOrRetry(ctx context.Context, cancel func(), q *request, g *gateway, a attempt, dispatches int) bool {
	retry := false
	p.sim.clock.locked(func() {
		switch {
		case q.outcome != pending || ctx.Err() != nil:
		case a.complete:
			g.observe(q)
			p.sim.end(q, completed)
		case dispatches >= maxDispatches || q.delivered > 0 && p.variant.noResume:
			p.sim.end(q, failed)
		case !a.opened || g.budget(q).Allow():
			q.withdraw = cancel
			retry = true
		default:
			p.sim.end(q, failed)
		}
	})
	return retry
}

func (g *gateway) budget(q *request) *policy.RetryBudget {
	b := g.budgets[q.class.Name]
	if b == nil {
		b = &policy.RetryBudget{}
		g.budgets[q.class.Name] = b
	}
	return b
}

// observe updates the moving averages with the length of a response.
func (g *gateway) observe(q *request) {
	for _, k := range []lengthKey{{q.class.Name, q.customer}, {q.class.Name, ""}} {
		m, ok := g.lengths[k]
		if !ok {
			m = float64(q.length)
		}
		g.lengths[k] = m + (float64(q.length)-m)*lengthGain
	}
}

// estimate returns the expected length of the response in tokens.
func (g *gateway) estimate(q *request) float64 {
	for _, k := range []lengthKey{{q.class.Name, q.customer}, {q.class.Name, ""}} {
		if m, ok := g.lengths[k]; ok {
			return m
		}
	}
	return defaultTokens
}
