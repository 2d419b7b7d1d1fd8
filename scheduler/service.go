package scheduler

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/policy"
)

const (
	// tickInterval is the period of the time-based checks.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the interval between two ticks above which the daemon is
	// considered to have been paused.
	pauseThreshold = 2 * time.Second
	// grantMargin is how long after the end of its validity a grant expires at
	// the scheduler. It covers the network delay of the Grant and of the Accept
	// or Decline that the gateway sends back.
	grantMargin = 500 * time.Millisecond

	defaultQueueLimit    = 10000
	defaultGrantValidity = time.Second
)

// Config holds the dependencies and settings of a Service.
type Config struct {
	Bus     peer.Bus
	View    membership.View
	Bundles bundle.Source
	// QueueLimit bounds the reservations waiting in each pool.
	QueueLimit int
	// GrantValidity is how long a granted slot waits for the gateway's Accept or
	// Decline.
	GrantValidity time.Duration
	Log           *log.Logger
	Metrics       metrics.Registry
	// Tracer records a span for each grant of a sampled request; nil disables
	// these spans.
	Tracer trace.Tracer
	// Disabled switches off parts of the policy, for measurements.
	Disabled policy.Disabled
	// Observe, if set, receives each decision. It is called under the service's
	// lock and must not block.
	Observe func(Event)
}

// Service grants the slots of the backend servers that the local daemon owns. It
// implements kernel.Service.
type Service struct {
	cfg     Config
	metrics schedulerMetrics

	mu     sync.Mutex
	active *bundle.Active
	pools  map[string]*pool
	// ordered holds the pools sorted by name.
	ordered  []*pool
	ledger   ledger
	gateways map[string]*gatewayState
	rounds   map[uint64]*declareRound
	// ended holds requests that ended or were canceled, so that late duplicates of
	// their messages are ignored.
	ended recentRequests[struct{}]
	// declined holds the servers that the gateway of a request declined.
	declined     recentRequests[[]string]
	lastRoundSeq uint64
	lastTick     time.Time
	outbox       []outgoing
	stopped      bool

	cancel context.CancelFunc
	done   chan struct{}
}

// outgoing is a message to be sent after the lock is released.
type outgoing struct {
	to string
	m  peer.Message
}

// New returns a Service and registers its message handlers on the bus.
func New(cfg Config) *Service {
	if cfg.QueueLimit <= 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	if cfg.GrantValidity <= 0 {
		cfg.GrantValidity = defaultGrantValidity
	}
	if cfg.Log == nil {
		cfg.Log = log.New(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	now := time.Now()
	s := &Service{
		cfg:          cfg,
		metrics:      newSchedulerMetrics(cfg.Metrics),
		pools:        map[string]*pool{},
		ledger:       newLedger(now),
		gateways:     map[string]*gatewayState{},
		rounds:       map[uint64]*declareRound{},
		lastRoundSeq: uint64(now.UnixNano()),
		lastTick:     now,
	}
	s.registerHandlers()
	return s
}

// Start starts granting slots.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done = make(chan struct{})
	s.withLock(s.refresh)
	go s.run(ctx)
	return nil
}

// Stop refuses all waiting and future reservations and stops granting slots.
func (s *Service) Stop(context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	<-s.done
	s.withLock(s.stop)
	return nil
}

func (s *Service) stop(now time.Time) {
	s.stopped = true
	for _, p := range s.ordered {
		p.RefuseAll(now, policy.RefusedNoServer)
		s.refuseWithdrawn(now, p, ReasonStopping, 0)
	}
}

// run refreshes the pools when the membership or the bundle changes, and runs the
// time-based checks on each tick.
func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		view := s.cfg.View.Changed()
		active := s.cfg.Bundles.Changed()
		s.withLock(s.refresh)
		if !s.tickUntilChange(ctx, ticker.C, view, active) {
			return
		}
	}
}

// tickUntilChange runs tick on each tick until the membership or the bundle
// changes. It returns false if the service stops.
func (s *Service) tickUntilChange(ctx context.Context, tick <-chan time.Time, view, active <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-view:
			return true
		case <-active:
			return true
		case <-tick:
			s.withLock(s.tick)
		}
	}
}

// tick runs the time-based checks: expiry of grants and reservations, open rounds,
// audits and overdue requests.
func (s *Service) tick(now time.Time) {
	paused := now.Sub(s.lastTick) > pauseThreshold
	s.lastTick = now
	if paused {
		s.recheckAllServers(now)
	}
	s.expireGrants(now)
	s.checkRounds(now)
	s.audit(now)
	s.reportOverdue(now)
	for _, p := range s.ordered {
		p.Expire(now)
		s.refuseWithdrawn(now, p, 0, 0)
		s.grantFreeSlots(now, p)
	}
	s.updateGauges()
}

func (s *Service) updateGauges() {
	waiting, slots, stragglers := 0, 0, 0
	for _, p := range s.ordered {
		waiting += p.Queue().Len()
		slots += p.Slots()
		for _, srv := range p.Servers() {
			if srv.Health.State() != policy.Healthy {
				stragglers++
			}
		}
	}
	s.metrics.waiting.Update(int64(waiting))
	s.metrics.slots.Update(int64(slots))
	s.metrics.stragglers.Update(int64(stragglers))
	s.metrics.running.Update(int64(len(s.ledger.running)))
}

// withLock runs f under the lock. The messages that f queued are sent after the
// lock is released, because the bus may deliver a message to the local daemon
// synchronously, and its handler takes the lock.
func (s *Service) withLock(f func(now time.Time)) {
	s.mu.Lock()
	f(time.Now())
	out := s.outbox
	s.outbox = nil
	s.mu.Unlock()
	for _, o := range out {
		if err := s.cfg.Bus.Send(o.to, o.m); err != nil {
			s.metrics.sendFailed.Inc(1)
			s.cfg.Log.Debug("sending a scheduler message failed", "to", o.to, "kind", o.m.Kind(), "err", err)
		}
	}
}

// send queues a message for withLock. The caller holds s.mu.
func (s *Service) send(to string, m peer.Message) {
	s.outbox = append(s.outbox, outgoing{to: to, m: m})
}
