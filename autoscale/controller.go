package autoscale

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/election"
	"github.com/jacinththread/jacinththread/kernel"
)

// Role is the role of the daemon that orders servers.
const Role = "autoscaling"

const (
	tickInterval = 250 * time.Millisecond
	// observeInterval is the time between two observations on a daemon that doesn't lead.
	observeInterval = time.Second
	orderTimeout    = 1500 * time.Millisecond
	// arrivalMargin is how much longer than their boot time ordered servers take to be known.
	arrivalMargin = 4 * time.Second
	// retryBoots is after how many boot times reclaimable servers are asked for again where there were none.
	retryBoots = 1
	// settleTime is how long a leader that hasn't seen the demand yet waits for the records of all servers.
	settleTime = 2 * time.Second
	// logInterval is the time between two lines of the leader on the state of a service.
	logInterval = 5 * time.Second
	// failurePause is the time without orders after one that failed.
	failurePause = time.Second
)

// Errors of an Orderer.
var (
	// ErrNoneAvailable means that the domain has no more servers of the kind at present.
	ErrNoneAvailable = errors.New("no servers of this kind are available in the domain")
	// ErrRejected means that the order is not possible.
	ErrRejected = errors.New("order of servers was rejected")
)

// Orderer sends orders to the platform. It checks the term right before it sends. An order states the
// number of servers, so repeating it is safe.
type Orderer interface {
	OrderServers(ctx context.Context, t *election.Term, service string, o Order) error
}

// Service is a service whose servers may be ordered.
type Service struct {
	Name string
	Bounds
	// Boot is how long a server takes to start.
	Boot time.Duration
	// Prices are those of a server's second, by domain.
	Prices map[string]float64
}

// Config configures a Controller.
type Config struct {
	// Services returns the services of the configuration in force.
	Services func() []Service
	// Servers returns all known servers of a service, also those that are leaving.
	Servers func(service string) []*backend.Server
	// Use returns what the servers of a service that get requests do, over all daemons.
	Use func(service string) Use
	// Complete reports whether the loads of most daemons are known.
	Complete func() bool
	Orderer  Orderer
	// Term returns the local daemon's term, or nil while another one leads.
	Term    func() *election.Term
	Clock   func() time.Duration
	Log     *log.Logger
	Metrics metrics.Registry
}

// Controller is the service that follows the demand and, while the local daemon leads the role, orders servers.
type Controller struct {
	*kernel.Periodic
	cfg Config

	mu       sync.Mutex
	services map[string]*serviceState
	// nextObservation is when the demand is to be followed next on a daemon that doesn't lead. Only tick uses it.
	nextObservation time.Duration
	// pausedUntil is the end of the pause after a failed order.
	pausedUntil time.Duration

	orders, failures, none metrics.Counter
}

// Status is the state of a service's orders, for operators.
type Status struct {
	Service string `json:"service"`
	// Needed is the number of servers that the demand asks for, Planned the number that the plan is made for.
	Needed  int            `json:"needed"`
	Planned int            `json:"planned"`
	Use     Use            `json:"use"`
	Leads   bool           `json:"leads"`
	Domains []DomainStatus `json:"domains,omitempty"`
}

// DomainStatus is the state of one kind of servers in a domain.
type DomainStatus struct {
	Domain      string `json:"domain"`
	Kind        string `json:"kind"`
	Target      int    `json:"target"`
	Ordered     int    `json:"ordered"`
	Ready       int    `json:"ready"`
	Unavailable bool   `json:"unavailable,omitempty"`
}

// NewController returns a controller that has not been started.
func NewController(cfg Config) *Controller {
	c := &Controller{
		cfg: cfg, services: map[string]*serviceState{},
		orders:   metrics.GetOrRegisterCounter("autoscale.orders", cfg.Metrics),
		failures: metrics.GetOrRegisterCounter("autoscale.failures", cfg.Metrics),
		none:     metrics.GetOrRegisterCounter("autoscale.none_available", cfg.Metrics),
	}
	c.Periodic = kernel.NewPeriodic(tickInterval, func(time.Time) { c.tick(context.Background()) })
	return c
}

// tick follows the demand of all services and orders servers if the local daemon leads. Daemons that don't lead follow the
// demand less often: with thousands of servers that takes a noticeable part of a small host.
func (c *Controller) tick(ctx context.Context) {
	now, term := c.cfg.Clock(), c.cfg.Term()
	if term == nil && now < c.nextObservation {
		return
	}
	c.nextObservation = now + observeInterval
	services := c.cfg.Services()
	for i := range services {
		c.follow(ctx, &services[i], term)
	}
	c.forget(services)
}

// follow takes in the use of a service and, if the local daemon has a term, sends the orders that the use leads to.
func (c *Controller) follow(ctx context.Context, s *Service, term *election.Term) {
	state := c.state(s.Name)
	use := c.cfg.Use(s.Name)
	var servers []*backend.Server
	if term != nil {
		servers = c.cfg.Servers(s.Name)
	}
	c.mu.Lock()
	state.demand.Observe(c.cfg.Clock(), use, s.Boot)
	orders := c.plan(s, state, term, servers, use)
	c.mu.Unlock()
	c.place(ctx, term, s, state, orders)
}

// forget drops services that the configuration doesn't have any more.
func (c *Controller) forget(services []Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.services, func(name string, _ *serviceState) bool {
		return !slices.ContainsFunc(services, func(s Service) bool { return s.Name == name })
	})
}

func (c *Controller) state(service string) *serviceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services[service] == nil {
		c.services[service] = &serviceState{}
	}
	return c.services[service]
}

// plan returns the orders to send now. The caller must hold c.mu.
func (c *Controller) plan(s *Service, state *serviceState, term *election.Term, servers []*backend.Server, use Use) []Order {
	now := c.cfg.Clock()
	needed, known := state.demand.Needed(now)
	state.status = Status{Service: s.Name, Needed: needed, Use: use}
	if !state.begin(term, now, known, len(servers) > 0) {
		return nil
	}
	state.noteReclaimed(servers, now, s.Boot)
	domains := state.domains(s, servers, now)
	state.updatePlanned(domains, s.Bounds, use, needed, known)
	targets := Plan(domains, s.Bounds, state.planned)
	state.status.Planned, state.status.Leads, state.status.Domains = state.planned, true, domainStatus(domains, targets)
	c.logState(state, now)
	if now < c.pausedUntil {
		return nil
	}
	return Orders(domains, targets, s.Bounds, state.planned, c.cfg.Complete())
}

// logState logs the state of a service from time to time. The caller must hold c.mu.
func (c *Controller) logState(state *serviceState, now time.Duration) {
	if now-state.loggedAt < logInterval {
		return
	}
	state.loggedAt = now
	s := &state.status
	c.cfg.Log.Info("servers of a service", "service", s.Service, "needed", s.Needed, "planned", s.Planned, "servers", s.Use.Servers,
		"unread", int(s.Use.Unread), "requests", int(s.Use.Requests), "slots", int(s.Use.Slots), "memory_tokens", int(s.Use.MemoryUsed),
		"memory", int(s.Use.Memory))
}

// place sends orders until one fails.
func (c *Controller) place(ctx context.Context, term *election.Term, s *Service, state *serviceState, orders []Order) {
	for _, o := range orders {
		err := term.Do(ctx, func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			return c.cfg.Orderer.OrderServers(ctx, term, s.Name, o)
		})
		if !c.record(term, s, state, o, err) {
			return
		}
	}
}

// record takes in the result of an order. It returns false if no further order is to be sent now.
func (c *Controller) record(term *election.Term, s *Service, state *serviceState, o Order, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	if state.term != term {
		return false
	}
	c.orders.Inc(1)
	c.cfg.Log.Info("servers ordered", "service", s.Name, "domain", o.Domain, "kind", o.Kind, "count", o.Count, "planned", state.planned,
		"needed", state.status.Needed, "requests", int(state.status.Use.Requests), "unread", int(state.status.Use.Unread),
		"servers", state.status.Use.Servers, "token", uint64(term.Token), "err", err)
	switch {
	case err == nil:
		state.orders[subject{o.Domain, o.Kind}] = placed{count: o.Count, at: now}
		return true
	case errors.Is(err, ErrNoneAvailable):
		c.none.Inc(1)
		state.unavailable[o.Domain] = now + retryBoots*s.Boot
		return true
	}
	c.failures.Inc(1)
	c.pausedUntil = now + failurePause
	return false
}

// States returns the state of each service.
func (c *Controller) States() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		out = append(out, c.services[name].status)
	}
	return out
}
