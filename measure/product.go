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
	// maxDispatches and resumeWait are those of the gateway.
	maxDispatches = 5
	resumeWait    = 10 * time.Second
	// defaultTokens and lengthGain are those of the gateway's estimate.
	defaultTokens = 256.0
	lengthGain    = 1.0 / 16
)

// variant is the router with some of its choices changed.
type variant struct {
	name string
	// count is the number of schedulers asked for each request.
	count      int
	noAffinity bool
	// slots and maxSlots are the bundle's numbers for each server.
	slots, maxSlots int
	noResume        bool
	disabled        policy.Disabled
}

func defaultVariant() variant {
	return variant{name: productName, count: 3, slots: poolSlots, maxSlots: poolSlots}
}

// product runs the scheduler and reservation services of all daemons.
type product struct {
	wd       *world
	variant  variant
	active   *bundle.Active
	start    time.Time
	services []*scheduler.Service
	gateways []*gateway
	queued   atomic.Int64
	network  *peertest.Network
}

// gateway is the part of a gateway that decides on a request: it gets a slot,
// dispatches and resumes.
type gateway struct {
	manager *reservation.Manager
	lengths map[lengthKey]float64
	budgets map[string]*policy.RetryBudget
}

type lengthKey struct{ class, customer string }

func newProduct(wd *world, v variant, active *bundle.Active, start time.Time) *product {
	network := peertest.NewNetwork(wd.seed)
	p := &product{wd: wd, variant: v, active: active, start: start, network: network}
	network.SetDelay(linkDelay, 0)
	// The gateway sends each request's tier as its priority.
	for _, e := range wd.engines {
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
				Bus: bus, View: view, Bundles: bundles, Count: v.count,
				Seed: wd.seed<<8 + uint64(i), Metrics: metrics.NewRegistry(),
			}),
			lengths: map[lengthKey]float64{},
			budgets: map[string]*policy.RetryBudget{},
		})
	}
	return p
}

// messages is the number of messages between daemons so far.
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

func (p *product) spec(q *request, g *gateway) reservation.Spec {
	s := reservation.Spec{
		Pool:     p.active.Pool(poolName),
		Class:    q.class,
		Customer: q.customer,
		Arrived:  p.start.Add(q.arrived),
		Target:   p.start.Add(q.target()),
		Cost:     uint32(g.estimate(q) + float64(q.prompt)/promptTokensPerToken),
		Prefix:   q.prefix,
	}
	if q.class.OnMiss == bundle.Refuse {
		s.GiveUp = s.Target
	}
	if p.variant.noAffinity {
		s.Prefix = 0
	}
	return s
}

// serve runs a request to its end, over several servers if it has to.
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
		a := p.run(ctx, q, p.wd.engine(slot.Server.Name))
		slot.Done(reservation.Report{Outcome: outcomeOf(ctx, a), Tokens: a.tokens, First: a.first, Gap: a.gap})
		if !p.again(ctx, cancel, q, g, a, n) {
			return
		}
		spec.Avoid = append(spec.Avoid, slot.Server.Name)
		if q.delivered > 0 {
			spec.GiveUp = time.Now().Add(resumeWait)
		}
	}
}

func (p *product) notGranted(q *request, err error) {
	p.wd.clock.locked(func() {
		var refusal *reservation.Refusal
		switch {
		case q.outcome != pending:
		case errors.As(err, &refusal) && q.started == 0:
			p.wd.end(q, refused)
		default:
			p.wd.end(q, failed)
		}
	})
}

// run dispatches and waits for the end of the attempt.
func (p *product) run(ctx context.Context, q *request, e *engine) attempt {
	done := make(chan attempt, 1)
	p.wd.clock.locked(func() {
		if ctx.Err() != nil {
			done <- attempt{}
			return
		}
		p.wd.dispatch(q, e, func(a attempt) { done <- a })
	})
	return <-done
}

func outcomeOf(ctx context.Context, a attempt) scheduler.Outcome {
	switch {
	case a.whole:
		return scheduler.OutcomeOK
	case ctx.Err() != nil:
		return scheduler.OutcomeCanceled
	case a.silent:
		return scheduler.OutcomeSilent
	}
	return scheduler.OutcomeFailed
}

// again settles the request, or reports that it goes on at another server.
func (p *product) again(ctx context.Context, cancel func(), q *request, g *gateway, a attempt, dispatches int) bool {
	retry := false
	p.wd.clock.locked(func() {
		switch {
		case q.outcome != pending || ctx.Err() != nil:
		case a.whole:
			g.observe(q)
			p.wd.end(q, whole)
		case dispatches >= maxDispatches || q.delivered > 0 && p.variant.noResume:
			p.wd.end(q, failed)
		case !a.opened || g.budget(q).Allow():
			q.withdraw = cancel
			retry = true
		default:
			p.wd.end(q, failed)
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

func (g *gateway) observe(q *request) {
	for _, k := range []lengthKey{{q.class.Name, q.customer}, {q.class.Name, ""}} {
		m, ok := g.lengths[k]
		if !ok {
			m = float64(q.length)
		}
		g.lengths[k] = m + (float64(q.length)-m)*lengthGain
	}
}

// estimate is the expected length of the answer in tokens.
func (g *gateway) estimate(q *request) float64 {
	for _, k := range []lengthKey{{q.class.Name, q.customer}, {q.class.Name, ""}} {
		if m, ok := g.lengths[k]; ok {
			return m
		}
	}
	return defaultTokens
}
