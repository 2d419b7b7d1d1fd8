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

// Peer describes a daemon of the cluster to the activator.
type Peer struct {
	Name   string
	Region string
	// Live is false for a listed daemon that is considered dead.
	Live bool
}

// Config configures an Activator.
type Config struct {
	Store store.Store
	Bus   peer.Bus
	// Region is the region of the local daemon.
	Region string
	// Peers returns all listed daemons, including dead ones. A daemon that
	// starts without the store needs responses from a majority of this list, so
	// the list must not shrink when daemons fail.
	Peers func() []Peer
	// Log and Metrics may be nil.
	Log     *log.Logger
	Metrics metrics.Registry
}

// Activator keeps the newest version in force on this daemon. It learns of
// versions from the store and by gossip from other daemons. It never replaces a
// version by a lower one.
type Activator struct {
	cfg     Config
	store   *Store
	metrics activatorMetrics
	inbox   chan *GossipBody
	// lastRevision is the last revision of bundle/current that was applied. Only
	// the goroutine of followStore uses it.
	lastRevision store.Revision

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	active  *Active
	changed chan struct{}
	// body is the gossip message that carries the version in force.
	body *GossipBody
	join joinState
	// lastDigestAt is when the last digest was received.
	lastDigestAt time.Time
	// requestedVersion is the version last requested from a peer, at
	// requestedAt.
	requestedVersion uint64
	requestedAt      time.Time
}

// activatorMetrics holds the metrics of an Activator.
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

// inboxSize is the maximum number of received bodies waiting for validation.
const inboxSize = 4

// NewActivator returns an activator, which must be started with Start. It
// registers its message handlers on the bus immediately.
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

// Start starts following the store and gossiping. It returns after the first
// attempt to read the store, even if that failed; see Ready.
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

// Stop stops all goroutines and waits for them. Current keeps returning the last
// version in force.
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

// version returns the version in force, or zero. The caller must hold a.mu.
func (a *Activator) version() uint64 {
	if a.active == nil {
		return 0
	}
	return a.active.Version
}

// checkedRecord is a validated record that can be put in force.
type checkedRecord struct {
	record *Record
	active *Active
	body   *GossipBody
}

// checkRecord validates a record. It counts and logs a rejected one.
func (a *Activator) checkRecord(r *Record, body *GossipBody) (*checkedRecord, error) {
	active, err := r.Activate()
	if err != nil {
		a.metrics.rejected.Inc(1)
		a.cfg.Log.Error("bundle version rejected", "version", r.Version, "err", err)
		return nil, err
	}
	return &checkedRecord{record: r, active: active, body: body}, nil
}

// putInForce puts a version in force if it is higher than the current one, and
// reports whether it did. The caller must hold a.mu.
func (a *Activator) putInForce(n *checkedRecord) bool {
	if n.record.Version <= a.version() {
		return false
	}
	a.active, a.body = n.active, n.body
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
