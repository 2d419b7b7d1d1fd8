package claims

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/store"
)

// counts holds the metrics of a Service.
type counts struct {
	reads    metrics.Counter
	writes   metrics.Counter
	verdicts [Undecided + 1]metrics.Counter
	// background is the number of writes in the backlog.
	background metrics.Gauge
	dropped    metrics.Counter
	fenced     metrics.Counter
	expired    metrics.Counter
	unreadable metrics.Counter
}

func newCounts(r metrics.Registry) *counts {
	c := &counts{
		reads:      metrics.GetOrRegisterCounter("claims.store.reads", r),
		writes:     metrics.GetOrRegisterCounter("claims.store.writes", r),
		background: metrics.GetOrRegisterGauge("claims.background.waiting", r),
		dropped:    metrics.GetOrRegisterCounter("claims.background.dropped", r),
		fenced:     metrics.GetOrRegisterCounter("claims.fenced", r),
		expired:    metrics.GetOrRegisterCounter("claims.expired", r),
		unreadable: metrics.GetOrRegisterCounter("claims.unreadable", r),
	}
	for v := Run; v <= Undecided; v++ {
		c.verdicts[v] = metrics.GetOrRegisterCounter("claims.verdict."+v.String(), r)
	}
	return c
}

// countingStore counts the calls on a store and applies a timeout to each. It
// detaches calls from the cancellation of the caller's context, because the
// outcome of a canceled write is unknown.
type countingStore struct {
	store.Store
	timeout time.Duration
	counts  *counts
}

func (c *countingStore) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
}

// Get implements store.Store.
func (c *countingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	c.counts.reads.Inc(1)
	return c.Store.Get(ctx, key)
}

// List implements store.Store.
func (c *countingStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	c.counts.reads.Inc(1)
	return c.Store.List(ctx, prefix)
}

// Create implements store.Store.
func (c *countingStore) Create(ctx context.Context, key string, value []byte) (store.Revision, error) {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	c.counts.writes.Inc(1)
	return c.Store.Create(ctx, key, value)
}

// CompareAndSwap implements store.Store.
func (c *countingStore) CompareAndSwap(ctx context.Context, key string, rev store.Revision, value []byte) (store.Revision, error) {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	c.counts.writes.Inc(1)
	return c.Store.CompareAndSwap(ctx, key, rev, value)
}

// Delete implements store.Store.
func (c *countingStore) Delete(ctx context.Context, key string, rev store.Revision) error {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	c.counts.writes.Inc(1)
	return c.Store.Delete(ctx, key, rev)
}

// writeResult classifies the outcome of a write.
type writeResult uint8

const (
	// writeDone: the write took effect.
	writeDone writeResult = iota + 1
	// writeRefused: the key is not in the expected state and the write took no
	// effect.
	writeRefused
	// writeNoEffect: the write took no effect, because the store is unavailable
	// or the value is too large.
	writeNoEffect
	// writeUnknown: the write may take effect now, later or never.
	writeUnknown
)

// classifyWriteError returns the outcome of a write that returned err. Any
// error that does not rule out an effect is writeUnknown.
func classifyWriteError(err error) writeResult {
	switch {
	case err == nil:
		return writeDone
	case errors.Is(err, store.ErrExists),
		errors.Is(err, store.ErrConflict),
		errors.Is(err, store.ErrNotFound):
		return writeRefused
	case errors.Is(err, store.ErrUnavailable),
		errors.Is(err, store.ErrTooLarge):
		return writeNoEffect
	default:
		return writeUnknown
	}
}

// String returns the verdict's name in metrics and logs.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Replay:
		return "replay"
	case InProgress:
		return "in_progress"
	case Unknown:
		return "unknown"
	case Mismatch:
		return "mismatch"
	case Unavailable:
		return "unavailable"
	case Undecided:
		return "undecided"
	default:
		return "invalid"
	}
}
