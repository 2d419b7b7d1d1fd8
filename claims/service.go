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
	defaultRetention   = 24 * time.Hour
	defaultCallTimeout = 2 * time.Second
	defaultSweepEvery  = time.Second
)

// Config is what a Service needs.
type Config struct {
	// Store holds the claims.
	Store store.Store
	// Owner names this daemon and its incarnation, as recorded in claims. It
	// must differ after every restart.
	Owner string
	// OwnerAlive reports false for an owner that is known to have died: its
	// unfinished attempts are answered Unknown instead of InProgress. Nil
	// takes every owner for alive.
	OwnerAlive func(owner string) bool
	// Retention is how long outcomes are kept; nil means 24 hours.
	Retention func() time.Duration
	// Sweeps reports whether this daemon removes the expired claims of a
	// shard. At any time about one daemon answers true. Nil sweeps none.
	Sweeps func(shard string) bool
	// CallTimeout bounds one call on the store; zero means 2 seconds.
	CallTimeout time.Duration
	// SweepEvery is the time between two looked-at shards; zero means 1
	// second.
	SweepEvery time.Duration
	// Log and Metrics may be nil.
	Log     *log.Logger
	Metrics metrics.Registry
}

// Service is the Claimer on the platform's store. It is also a kernel service:
// between Start and Stop it retries outstanding writes and sweeps expired
// claims.
type Service struct {
	cfg     Config
	store   *countingStore
	log     *log.Logger
	counts  *counts
	backlog *backlog

	mu sync.Mutex
	// held maps the IDs of running attempts to their stored claims.
	held map[string]*held

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// held is the stored claim of a running attempt.
type held struct {
	key string
	rec record
	rev store.Revision
}

var _ Claimer = (*Service)(nil)

// New returns a service that is not started yet.
func New(cfg Config) *Service {
	cfg = cfg.withDefaults()
	c := newCounts(cfg.Metrics)
	return &Service{
		cfg:     cfg,
		store:   &countingStore{Store: cfg.Store, timeout: cfg.CallTimeout, counts: c},
		log:     cfg.Log,
		counts:  c,
		backlog: newBacklog(c),
		held:    make(map[string]*held),
	}
}

func (c Config) withDefaults() Config {
	if c.OwnerAlive == nil {
		c.OwnerAlive = func(string) bool { return true }
	}
	if c.Retention == nil {
		c.Retention = func() time.Duration { return defaultRetention }
	}
	if c.Sweeps == nil {
		c.Sweeps = func(string) bool { return false }
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.SweepEvery <= 0 {
		c.SweepEvery = defaultSweepEvery
	}
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// Start begins the background work.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.runBacklog(ctx) })
	s.done.Go(func() { s.runSweep(ctx) })
	return nil
}

// Stop waits until the outstanding writes are stored or ctx ends. It returns
// an error if some are left.
func (s *Service) Stop(ctx context.Context) error {
	err := s.backlog.waitEmpty(ctx)
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
	return err
}

// hold remembers the stored claim of an attempt that runs.
func (s *Service) hold(id string, h *held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[id] = h
}

// takeHeld forgets and returns the stored claim of an attempt, or nil.
func (s *Service) takeHeld(id string) *held {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[id]
	delete(s.held, id)
	return h
}
