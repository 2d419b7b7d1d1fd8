package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer"
)

const (
	// tickInterval is the period of expiry checks.
	tickInterval = 100 * time.Millisecond
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
}

// Service grants the slots of the backend servers that are assigned to the
// local daemon. It implements kernel.Service.
type Service struct {
	cfg     Config
	metrics counters

	mu      sync.Mutex
	pools   map[string]*pool
	ledger  ledger
	outbox  []outgoing
	stopped bool

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
		cfg.Log = log.New(nil)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	s := &Service{
		cfg:     cfg,
		metrics: newCounters(cfg.Metrics),
		pools:   map[string]*pool{},
		ledger:  newLedger(time.Now()),
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
	s.locked(s.refuseAll)
	return nil
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
		for again := true; again; {
			select {
			case <-ctx.Done():
				return
			case <-view:
				again = false
			case <-active:
				again = false
			case <-ticker.C:
				s.locked(s.tick)
			}
		}
	}
}

// locked runs f under the lock and sends the messages it queued afterwards,
// because the bus delivers messages to the local daemon at once.
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
