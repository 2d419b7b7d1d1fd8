package bundle

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/store"
)

const (
	// watchersPerRegion is the number of daemons per region that watch the
	// store instead of polling it.
	watchersPerRegion = 2
	// watchTimeout limits a watch, which may have stopped delivering changes
	// without an error.
	watchTimeout = 3 * time.Second
	// readTimeout limits a read of bundle/current, and of a version record.
	readTimeout = 2 * time.Second
	// minPollInterval is the minimum time between polls of one daemon, before
	// jitter.
	minPollInterval = 2 * time.Second
	// fleetPollsPerSecond limits the polls of all daemons together. Jitter, which
	// shortens each interval by up to half, is not included.
	fleetPollsPerSecond = 15
	// isolatedAfter is the time without a digest from a peer after which a daemon
	// no longer relies on gossip and polls at minPollInterval.
	isolatedAfter = 2 * time.Second
	// initialReadBackoff is the wait after the first failed read, before jitter.
	// It doubles with each further failure, up to the poll interval.
	initialReadBackoff = 250 * time.Millisecond
)

// followStore puts new versions from the store in force until ctx ends. It
// closes first after the first read, successful or not.
func (a *Activator) followStore(ctx context.Context, first chan<- struct{}) {
	err := a.readCurrent(ctx)
	close(first)
	wait := initialReadBackoff
	for ctx.Err() == nil {
		if err != nil {
			a.metrics.storeFailures.Inc(1)
			a.cfg.Log.Debug("reading the bundle version from the store failed", "err", err)
			a.pauseWithJitter(ctx, wait)
			wait = min(2*wait, a.pollInterval())
			err = a.readCurrent(ctx)
			continue
		}
		wait = initialReadBackoff
		err = a.waitForChange(ctx)
	}
}

// waitForChange waits for one watch of bundle/current. On a daemon that is not a
// watcher, it waits for the poll interval and reads bundle/current.
func (a *Activator) waitForChange(ctx context.Context) error {
	if !a.isWatcher() {
		a.waitToPoll(ctx)
		return a.readCurrent(ctx)
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	a.metrics.storeReads.Inc(1)
	e, err := a.cfg.Store.Watch(watchCtx, currentKey, a.lastRevision)
	if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	return a.applyCurrent(ctx, e)
}

// waitToPoll waits for the poll interval. It recomputes the interval during the
// wait, because it becomes shorter when the daemon gets isolated.
func (a *Activator) waitToPoll(ctx context.Context) {
	start := time.Now()
	factor := a.jitter()
	for ctx.Err() == nil {
		left := scale(a.pollInterval(), factor) - time.Since(start)
		if left <= 0 {
			return
		}
		pause(ctx, min(isolatedAfter/2, left))
	}
}

// readCurrent reads bundle/current once and applies it.
func (a *Activator) readCurrent(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	a.metrics.storeReads.Inc(1)
	e, err := a.cfg.Store.Get(readCtx, currentKey)
	if errors.Is(err, store.ErrNotFound) {
		a.recordStoreVersion(0)
		return nil
	}
	if err != nil {
		return err
	}
	return a.applyCurrent(readCtx, e)
}

// applyCurrent puts the version named by bundle/current in force.
func (a *Activator) applyCurrent(ctx context.Context, e store.Entry) error {
	if e.Deleted {
		return fmt.Errorf("key %s was deleted from the store", currentKey)
	}
	var p Pointer
	if err := decodeValue(e.Value, &p); err != nil {
		return err
	}
	a.recordStoreVersion(p.Version)
	if current := a.Current(); current == nil || current.Version < p.Version {
		if err := a.fetchVersion(ctx, p); err != nil {
			return err
		}
	}
	a.lastRevision = max(a.lastRevision, e.Revision)
	return nil
}

// fetchVersion reads the record of a version from the store and puts it in force.
func (a *Activator) fetchVersion(ctx context.Context, p Pointer) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	a.metrics.storeReads.Inc(1)
	r, err := a.store.Version(readCtx, p.Version)
	if err != nil {
		return err
	}
	if r.Digest != p.Digest {
		return &DigestError{Want: p.Digest, Got: r.Digest}
	}
	body, err := encodeBody(r)
	if err != nil {
		return err
	}
	n, err := a.checkRecord(r, body)
	if err != nil {
		return err
	}
	if a.putInForceOrHold(n) {
		a.sendDigest(a.randomPeers())
	}
	return nil
}

// isWatcher reports whether the local daemon is one of its region's watchers:
// the live daemons whose names have the lowest hashes.
func (a *Activator) isWatcher() bool {
	self := a.cfg.Bus.Self()
	names := []string{self}
	for _, p := range a.cfg.Peers() {
		if p.Live && p.Region == a.cfg.Region && p.Name != self {
			names = append(names, p.Name)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		hx, hy := hashName(x), hashName(y)
		switch {
		case hx < hy:
			return -1
		case hx > hy:
			return 1
		}
		return 0
	})
	return slices.Contains(names[:min(watchersPerRegion, len(names))], self)
}

func hashName(name string) uint64 { return xxhash.Sum64String("bundle/" + name) }

// pollInterval returns the time between polls, before jitter. It grows with the
// number of daemons, so that the load on the store stays constant. An isolated
// daemon polls at minPollInterval.
func (a *Activator) pollInterval() time.Duration {
	a.mu.Lock()
	isolated := time.Since(a.lastDigestAt) > isolatedAfter
	a.mu.Unlock()
	if isolated {
		return minPollInterval
	}
	n := time.Duration(len(a.cfg.Peers()))
	return max(minPollInterval, n*time.Second/fleetPollsPerSecond)
}

// pauseWithJitter waits for a random time between d/2 and d.
func (a *Activator) pauseWithJitter(ctx context.Context, d time.Duration) {
	pause(ctx, scale(d, a.jitter()))
}

// jitter returns a random factor between 0.5 and 1.
func (a *Activator) jitter() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return 0.5 + a.rng.Float64()/2
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// pause waits until d has passed or ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func encodeBody(r *Record) (*GossipBody, error) {
	plain, err := json.Marshal(r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	packed, err := compress(plain)
	if err != nil {
		return nil, err
	}
	return &GossipBody{Version: r.Version, Record: packed}, nil
}

func decodeBody(body *GossipBody) (*Record, error) {
	if !bytes.HasPrefix(body.Record, gzipMagic) {
		return nil, errors.New("record is not compressed with gzip")
	}
	r := &Record{}
	if err := decodeValue(body.Record, r); err != nil {
		return nil, err
	}
	if r.Version != body.Version {
		return nil, fmt.Errorf("body for version %d contains the record of version %d", body.Version, r.Version)
	}
	return r, nil
}
