package bundle

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store"
)

var (
	_ kernel.Service = (*Activator)(nil)
	_ Source         = (*Activator)(nil)
)

// Peer is a daemon as the activator needs to know it.
type Peer struct {
	Name   string
	Region string
	// Live is false for a daemon that is listed and believed dead.
	Live bool
}

// Config configures an Activator.
type Config struct {
	Store store.Store
	Bus   peer.Bus
	// Region is the region of the local daemon.
	Region string
	// Peers returns all listed daemons, dead ones included. The majority that
	// a start without the store needs is counted over this list, so it must
	// not shrink when daemons fail.
	Peers func() []Peer
	// Log and Metrics may be nil.
	Log     *log.Logger
	Metrics metrics.Registry
}

// Activator keeps the newest accepted version in force on this daemon. It
// learns of versions from the store and from other daemons, and only ever
// replaces a version by a higher one.
type Activator struct {
	cfg     Config
	store   *Store
	metrics activatorMetrics
	inbox   chan *GossipBody
	// lastRevision is the revision of bundle/current that was handled last. It
	// is used by one goroutine.
	lastRevision store.Revision

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	active  *Active
	changed chan struct{}
	// packed is the body that other daemons get.
	packed *GossipBody
	join   joinState
	// heardAt is when the last digest arrived.
	heardAt time.Time
	// requested is the version asked for last, at requestedAt.
	requested   uint64
	requestedAt time.Time
}

// activatorMetrics counts what an Activator does.
type activatorMetrics struct {
	version       metrics.Gauge
	spreadMs      metrics.Gauge
	activated     metrics.Counter
	rejected      metrics.Counter
	storeReads    metrics.Counter
	storeFailures metrics.Counter
	digestsSent   metrics.Counter
	bodiesSent    metrics.Counter
	bodiesDropped metrics.Counter
}

func newActivatorMetrics(r metrics.Registry) activatorMetrics {
	return activatorMetrics{
		version:       metrics.GetOrRegisterGauge("bundle.version", r),
		spreadMs:      metrics.GetOrRegisterGauge("bundle.spread_ms", r),
		activated:     metrics.GetOrRegisterCounter("bundle.activated", r),
		rejected:      metrics.GetOrRegisterCounter("bundle.rejected", r),
		storeReads:    metrics.GetOrRegisterCounter("bundle.store_reads", r),
		storeFailures: metrics.GetOrRegisterCounter("bundle.store_failures", r),
		digestsSent:   metrics.GetOrRegisterCounter("bundle.digests_sent", r),
		bodiesSent:    metrics.GetOrRegisterCounter("bundle.bodies_sent", r),
		bodiesDropped: metrics.GetOrRegisterCounter("bundle.bodies_dropped", r),
	}
}

// inboxSize bounds the bodies that wait for their check.
const inboxSize = 4

// NewActivator returns an activator that starts with Start. It registers its
// message handlers at once.
func NewActivator(cfg Config) *Activator {
	if cfg.Log == nil {
		cfg.Log = log.New(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	seed := hashName(cfg.Bus.Self())
	a := &Activator{
		cfg:     cfg,
		store:   NewStore(cfg.Store),
		metrics: newActivatorMetrics(cfg.Metrics),
		inbox:   make(chan *GossipBody, inboxSize),
		rng:     rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))),
		changed: make(chan struct{}),
		join:    newJoinState(),
	}
	a.handleMessages()
	return a
}

// Start begins to watch the store and to gossip. It returns after the first
// attempt to read the store, whatever its result: see Ready.
func (a *Activator) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.cancel = cancel
	first := make(chan struct{})
	a.wg.Go(func() { a.followStore(run, first) })
	a.wg.Go(func() { a.gossip(run) })
	a.wg.Go(func() { a.checkBodies(run) })
	select {
	case <-first:
	case <-ctx.Done():
	}
	return nil
}

// Stop ends all work. The version in force stays readable.
func (a *Activator) Stop(context.Context) error {
	if a.cancel != nil {
		a.cancel()
	}
	a.wg.Wait()
	return nil
}

// Current implements Source.
func (a *Activator) Current() *Active {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// Changed implements Source.
func (a *Activator) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// Ready reports whether a version is in force on this daemon.
func (a *Activator) Ready() bool { return a.Current() != nil }

// version returns the version in force, or zero. The caller holds the lock.
func (a *Activator) version() uint64 {
	if a.active == nil {
		return 0
	}
	return a.active.Version
}

// accepted is a checked record, ready to be put in force.
type accepted struct {
	record *Record
	active *Active
	packed *GossipBody
}

// accept checks a record.
func (a *Activator) accept(r *Record, packed *GossipBody) (*accepted, error) {
	active, err := r.Activate()
	if err != nil {
		a.metrics.rejected.Inc(1)
		a.cfg.Log.Error("bundle version rejected", "version", r.Version, "err", err)
		return nil, err
	}
	return &accepted{record: r, active: active, packed: packed}, nil
}

// putInForce replaces the version in force by a higher one and reports whether
// it did. The caller holds the lock.
func (a *Activator) putInForce(n *accepted) bool {
	if n.record.Version <= a.version() {
		return false
	}
	a.active, a.packed = n.active, n.packed
	close(a.changed)
	a.changed = make(chan struct{})
	spread := time.Since(n.record.RolledAt)
	a.metrics.version.Update(int64(n.record.Version))
	a.metrics.spreadMs.Update(spread.Milliseconds())
	a.metrics.activated.Inc(1)
	a.cfg.Log.Info("bundle version in force", "version", n.record.Version,
		"change_id", n.record.ChangeID, "digest", n.record.Digest, "since_roll", spread)
	return true
}
