package claims

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/store"
)

// Defaults of Config.
const (
	defaultRetention     = 24 * time.Hour
	defaultCallTimeout   = 2 * time.Second
	defaultSweepInterval = time.Second
)

// Config configures a Service.
type Config struct {
	// Store holds the claims.
	Store store.Store
	// Owner identifies this daemon and its incarnation in stored claims. It
	// must differ after every restart.
	Owner string
	// OwnerAlive returns false for an owner that is known to have died. Begin
	// returns Unknown instead of InProgress for its unfinished attempts. If
	// nil, every owner is assumed to be alive.
	OwnerAlive func(owner string) bool
	// Retention is how long outcomes are kept; nil means 24 hours.
	Retention func() time.Duration
	// SweepsShard reports whether this daemon removes the expired claims of a
	// shard. It should return true on about one daemon at a time. If nil, this
	// daemon sweeps no shard.
	SweepsShard func(shard string) bool
	// CallTimeout bounds one call on the store; zero means 2 seconds.
	CallTimeout time.Duration
	// SweepInterval is the interval between two shards of the sweep; zero means 1
	// second.
	SweepInterval time.Duration
	// Log and Metrics may be nil.
	Log     *log.Logger
	Metrics metrics.Registry
}

// Service implements Claimer on the platform's store. It is also a kernel
// service: between Start and Stop it retries the writes in the backlog and
// sweeps expired claims.
type Service struct {
	cfg     Config
	store   *countingStore
	log     *log.Logger
	counts  *counts
	backlog *backlog

	mu sync.Mutex
	// running holds the stored claims of running attempts by attempt ID.
	running map[string]*storedClaim

	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// storedClaim is the record of a running attempt as it was last written.
type storedClaim struct {
	key string
	rec record
	rev store.Revision
}

var _ Claimer = (*Service)(nil)

// New returns a Service that is not started.
func New(cfg Config) *Service {
	cfg = cfg.withDefaults()
	c := newCounts(cfg.Metrics)
	return &Service{
		cfg:     cfg,
		store:   &countingStore{Store: cfg.Store, timeout: cfg.CallTimeout, counts: c},
		log:     cfg.Log,
		counts:  c,
		backlog: newBacklog(c),
		running: make(map[string]*storedClaim),
	}
}

func (c Config) withDefaults() Config {
	if c.OwnerAlive == nil {
		c.OwnerAlive = func(string) bool { return true }
	}
	if c.Retention == nil {
		c.Retention = func() time.Duration { return defaultRetention }
	}
	if c.SweepsShard == nil {
		c.SweepsShard = func(string) bool { return false }
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.SweepInterval <= 0 {
		c.SweepInterval = defaultSweepInterval
	}
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// Start starts the backlog and sweep workers. They run until Stop is called,
// not until the context passed to Start ends.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.workers.Go(func() { s.runBacklog(ctx) })
	s.workers.Go(func() { s.runSweep(ctx) })
	return nil
}

// Stop waits until the backlog is stored or ctx ends, and then stops the
// workers. It returns an error if writes are left in the backlog.
func (s *Service) Stop(ctx context.Context) error {
	err := s.backlog.waitDrained(ctx)
	if s.cancel != nil {
		s.cancel()
	}
	s.workers.Wait()
	return err
}

// trackClaim adds the stored claim of an attempt to running.
func (s *Service) trackClaim(id string, h *storedClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = h
}

// untrackClaim removes the stored claim of an attempt from running and returns
// it, or nil if there is none.
func (s *Service) untrackClaim(id string) *storedClaim {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.running[id]
	delete(s.running, id)
	return h
}
