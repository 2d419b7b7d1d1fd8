package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
)

const (
	serverCount  = 20
	daemonCount  = 7
	poolSlots    = 16
	poolMaxSlots = 32
	region       = "local"
	serviceName  = "llm"
	poolName     = "llm"

	// steadyLoad is the offered work as a fraction of the throughput of full
	// batches, with no prefix of any prompt cached.
	steadyLoad = 0.8
	// leaveShare is the fraction of callers that close their connection early,
	// after an exponentially distributed time with mean leaveMean.
	leaveShare = 0.01
	leaveMean  = 8 * time.Second
	// templates is the number of prompt prefixes for each customer and class.
	templates = 2
	// lengthBound limits the length of a response, in multiples of the class's
	// median.
	lengthBound = 6
)

// classTraffic describes the requests of a class.
type classTraffic struct {
	class bundle.Class
	// share is the class's fraction of the offered work.
	share float64
	// median and sigma give the lognormal distribution of output lengths, in
	// tokens.
	median, sigma float64
	// shared is the length of a prompt's prefix and unique the length of the
	// rest, in tokens.
	shared, unique int
}

// meanWork returns the mean work of a request, with the prompt counted in
// generated tokens.
func (c *classTraffic) meanWork() float64 {
	return c.median*math.Exp(c.sigma*c.sigma/2) + float64(c.shared+c.unique)/promptTokensPerToken
}

// workload is the traffic of one user of the project, with the classes sorted
// from the highest tier to the lowest.
type workload struct {
	name    string
	classes []classTraffic
	// middle is the index of the class between the highest and the lowest tier
	// that bursts.
	middle int
}

func (w *workload) highest() string { return w.classes[0].class.Name }

func (w *workload) lowest() string { return w.classes[len(w.classes)-1].class.Name }

func class(name string, tier, firstMs, gapMs, starvationS int, promise float64, miss bundle.OnMiss) bundle.Class {
	return bundle.Class{
		Name: name, Tier: tier, FirstTokenMs: firstMs, TokenGapMs: gapMs, Promise: promise,
		StarvationMs: starvationS * 1000, OnMiss: miss, RetryBudget: 0.2,
	}
}

// workloads returns the users' traffic in their busiest hour, as they describe
// it.
func workloads() []*workload {
	return []*workload{
		{name: "utility", middle: 2, classes: []classTraffic{
			{class("counter", 0, 1600, 75, 30, 0.95, bundle.OnMissRefuse), 0.35, 120, 0.7, 800, 200},
			{class("status", 1, 2000, 75, 30, 0.95, bundle.OnMissRefuse), 0.05, 40, 0.4, 400, 50},
			{class("review", 3, 8000, 100, 90, 0.90, bundle.OnMissServeLate), 0.35, 450, 0.8, 1200, 2000},
			{class("letter", 5, 20000, 150, 120, 0.90, bundle.OnMissServeLate), 0.25, 350, 0.6, 1000, 500},
		}},
		{name: "halvorsen", middle: 1, classes: []classTraffic{
			{class("chat", 0, 1600, 75, 30, 0.95, bundle.OnMissRefuse), 0.30, 80, 0.6, 600, 100},
			{class("colourway", 2, 4000, 75, 60, 0.90, bundle.OnMissServeLate), 0.25, 220, 0.6, 800, 400},
			{class("outlook", 6, 30000, 150, 240, 0.90, bundle.OnMissServeLate), 0.45, 1200, 0.6, 2000, 4000},
		}},
	}
}

// customerShares are the customers' fractions of each class's requests: the
// three largest customers send more than half.
var customerShares = []float64{0.25, 0.18, 0.13, 0.10, 0.08, 0.07, 0.06, 0.05, 0.05, 0.03}

func customerName(i int) string { return fmt.Sprintf("customer-%02d", i) }

func serverName(i int) string { return fmt.Sprintf("llm-%02d", i) }

func daemonName(i int) string { return fmt.Sprintf("entry-%d", i) }

// active returns the active bundle for a workload. Each of two owners owns half
// of the servers.
func (w *workload) active(slots, maxSlots int) *bundle.Active {
	b := &bundle.Bundle{
		Services: []bundle.Service{{Name: serviceName, Kind: bundle.EngineService, Repeatable: true}},
		Pools:    []bundle.Pool{{Name: poolName, Service: serviceName, Slots: slots, MaxSlots: maxSlots}},
		Owners: []bundle.Owner{
			{Name: "north", Servers: []string{"llm-0?"}, Share: 0.5},
			{Name: "south", Servers: []string{"llm-1?"}, Share: 0.5},
		},
	}
	var names []string
	for i := range w.classes {
		b.Classes = append(b.Classes, w.classes[i].class)
		names = append(names, w.classes[i].class.Name)
	}
	for i, share := range customerShares {
		b.Customers = append(b.Customers, bundle.Customer{
			Name: customerName(i), Weight: share * float64(len(customerShares)),
			Owner: b.Owners[i%2].Name, Classes: names,
		})
	}
	return bundle.NewActive(1, b)
}

// poolRate returns the throughput of the pool with full batches, in tokens per
// second.
func poolRate() float64 { return serverCount * engineRate() }

// arrivals returns the requests of a run in order of arrival. The steady traffic
// depends on the seed only, so it is the same in all scenarios.
func (w *workload) arrivals(active *bundle.Active, s scenario, seed uint64) []*request {
	g := &generator{active: active, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range w.classes {
		rate := w.classes[i].share * steadyLoad * poolRate() / w.classes[i].meanWork()
		g.addArrivals(&w.classes[i], rate, 0, endTime, -1)
	}
	if s.burst != noBurst {
		g.rng = rand.New(rand.NewPCG(seed, 2))
		c := &w.classes[s.burst.class(w)]
		customer := -1
		if s.burst == burstCustomer {
			customer = burstingCustomer
		}
		g.burst = true
		from, to, load := s.burst.period()
		g.addArrivals(c, load*poolRate()/c.meanWork(), from, to, customer)
	}
	slices.SortStableFunc(g.out, func(a, b *request) int { return int(a.arrived - b.arrived) })
	if s.silentShare > 0 {
		silenceStreams(g.out, s.silentShare, seed)
	}
	return g.out
}

// silenceStreams makes a fraction of the requests stall after a random token.
func silenceStreams(all []*request, share float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for _, q := range all {
		if rng.Float64() < share {
			q.silentAfter = 1 + rng.IntN(q.length)
		}
	}
}

// generator draws random requests.
type generator struct {
	active *bundle.Active
	rng    *rand.Rand
	burst  bool
	out    []*request
}

// addArrivals adds Poisson arrivals of a class. A negative customer draws the
// customer of each request from customerShares.
func (g *generator) addArrivals(c *classTraffic, perSecond float64, from, to time.Duration, customer int) {
	at := from
	for {
		at += time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		g.out = append(g.out, g.newRequest(c, at, customer))
	}
}

func (g *generator) newRequest(c *classTraffic, at time.Duration, customer int) *request {
	// The draw happens in any case, so that each request uses the same number of
	// random values.
	drawn := g.drawCustomer()
	if customer < 0 {
		customer = drawn
	}
	length := c.median * math.Exp(c.sigma*g.rng.NormFloat64())
	q := &request{
		class:    g.active.Class(c.class.Name),
		customer: customerName(customer),
		gateway:  g.rng.IntN(daemonCount),
		template: g.rng.IntN(templates),
		shared:   c.shared,
		prompt:   c.shared + c.unique,
		length:   int(min(max(length, 2), c.median*lengthBound)),
		arrived:  at,
		burst:    g.burst,
	}
	q.setPrefix()
	if g.rng.Float64() < leaveShare {
		q.leaveAfter = time.Duration(g.rng.ExpFloat64() * float64(leaveMean))
	}
	return q
}

func (g *generator) drawCustomer() int {
	x := g.rng.Float64()
	for i, share := range customerShares {
		if x < share {
			return i
		}
		x -= share
	}
	return len(customerShares) - 1
}
