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
	// tickInterval is the period of expiry checks.
	tickInterval = 100 * time.Millisecond
	// pauseBound is the time between two ticks from which the daemon counts as
	// having been paused.
	pauseBound = 2 * time.Second
	// grantMargin is added to the validity of a grant before its slot is taken
	// back, for the time the grant and its answer travel.
	grantMargin = 500 * time.Millisecond

	defaultQueueLimit = 10000
	defaultGrantFor   = time.Second
)

// Config holds what a Service needs.
type Config struct {
	Bus     peer.Bus
	View    membership.View
	Bundles bundle.Source
	// QueueLimit bounds the reservations waiting in each pool.
	QueueLimit int
	// GrantFor is how long a granted slot waits for its gateway.
	GrantFor time.Duration
	Log      *log.Logger
	Metrics  metrics.Registry
	// Tracer records a span for each grant of a sampled request; nil records
	// none.
	Tracer trace.Tracer
	// Disabled turns choices of the policy off, for measurements.
	Disabled policy.Disabled
	// Observe receives each decision, if set. It is called under the service's
	// lock and must not block.
	Observe func(Event)
}

// Service grants the slots of the backend servers that are assigned to the
// local daemon. It implements kernel.Service.
type Service struct {
	cfg     Config
	metrics counters

	mu       sync.Mutex
	active   *bundle.Active
	pools    map[string]*pool
	ordered  []*pool
	ledger   ledger
	gateways map[string]*gateway
	rounds   map[uint64]*round
	// ended holds requests that ended, against late copies of their messages.
	ended recent[struct{}]
	// declined holds the servers that gateways declined for a request.
	declined recent[[]string]
	lastSeq  uint64
	lastTick time.Time
	outbox   []outgoing
	stopped  bool

	cancel context.CancelFunc
	done   chan struct{}
}

// outgoing is a message that is sent once the lock is released.
type outgoing struct {
	to string
	m  peer.Message
}

// New returns a Service and registers its message handlers on the bus.
func New(cfg Config) *Service {
	if cfg.QueueLimit <= 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	if cfg.GrantFor <= 0 {
		cfg.GrantFor = defaultGrantFor
	}
	if cfg.Log == nil {
		cfg.Log = log.New(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	now := time.Now()
	s := &Service{
		cfg:      cfg,
		metrics:  newCounters(cfg.Metrics),
		pools:    map[string]*pool{},
		ledger:   newLedger(now),
		gateways: map[string]*gateway{},
		rounds:   map[uint64]*round{},
		lastSeq:  uint64(now.UnixNano()),
		lastTick: now,
	}
	s.register()
	return s
}

// Start begins to grant slots.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done = make(chan struct{})
	s.locked(s.refresh)
	go s.run(ctx)
	return nil
}

// Stop refuses all waiting reservations and grants nothing from then on.
func (s *Service) Stop(context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	<-s.done
	s.locked(s.stop)
	return nil
}

func (s *Service) stop(now time.Time) {
	s.stopped = true
	for _, p := range s.ordered {
		p.RefuseAll(now, policy.RefusedNoServer)
		s.refuseWithdrawn(now, p, ReasonStopping, 0)
	}
}

// run refreshes the pools when membership or the bundle change and checks
// expiries on each tick.
func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		view := s.cfg.View.Changed()
		active := s.cfg.Bundles.Changed()
		s.locked(s.refresh)
		if !s.ticks(ctx, ticker.C, view, active) {
			return
		}
	}
}

// ticks runs until membership or the bundle change. It reports false if the
// service stops.
func (s *Service) ticks(ctx context.Context, tick <-chan time.Time, view, active <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-view:
			return true
		case <-active:
			return true
		case <-tick:
			s.locked(s.tick)
		}
	}
}

// tick checks everything that depends on the passing of time.
func (s *Service) tick(now time.Time) {
	paused := now.Sub(s.lastTick) > pauseBound
	s.lastTick = now
	if paused {
		s.recheckAll(now)
	}
	s.expireGrants(now)
	s.checkRounds(now)
	s.audit(now)
	s.suspectStragglers(now)
	for _, p := range s.ordered {
		p.Expire(now)
		s.refuseWithdrawn(now, p, 0, 0)
		s.grant(now, p)
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

// locked runs f under the lock and sends the messages it queued afterwards,
// because the bus may deliver messages to the local daemon at once.
func (s *Service) locked(f func(now time.Time)) {
	s.mu.Lock()
	f(time.Now())
	out := s.outbox
	s.outbox = nil
	s.mu.Unlock()
	for _, o := range out {
		if err := s.cfg.Bus.Send(o.to, o.m); err != nil {
			s.metrics.sendFailed.Inc(1)
			s.cfg.Log.Debug("message not sent", "to", o.to, "kind", o.m.Kind(), "err", err)
		}
	}
}

func (s *Service) send(to string, m peer.Message) {
	s.outbox = append(s.outbox, outgoing{to: to, m: m})
}
