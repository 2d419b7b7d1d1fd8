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
	// watchersPerRegion is the number of daemons in a region that watch the
	// store.
	watchersPerRegion = 2
	// watchBound ends a watch that may have fallen silent.
	watchBound = 3 * time.Second
	// readTimeout bounds the reads after a change was seen.
	readTimeout = 2 * time.Second
	// minPollInterval is the shortest time between polls of a daemon that does
	// not watch.
	minPollInterval = 2 * time.Second
	// pollsPerSecond bounds the polls of all daemons together, before jitter
	// that shortens each interval by up to half.
	pollsPerSecond = 15
	// isolatedAfter is the time without a message after which a daemon no longer
	// counts on others to tell it.
	isolatedAfter = 2 * time.Second
	// firstRetry is the pause after a first failed read.
	firstRetry = 250 * time.Millisecond
)

// followStore learns new versions from the store until ctx ends. It closes
// first after the first attempt.
func (a *Activator) followStore(ctx context.Context, first chan<- struct{}) {
	err := a.read(ctx)
	close(first)
	wait := firstRetry
	for ctx.Err() == nil {
		if err != nil {
			a.metrics.storeFailures.Inc(1)
			a.cfg.Log.Debug("bundle not read from the store", "err", err)
			a.sleep(ctx, wait)
			wait = min(2*wait, a.pollInterval())
			err = a.read(ctx)
			continue
		}
		wait = firstRetry
		err = a.waitForChange(ctx)
	}
}

// waitForChange watches or, on daemons that do not watch, polls once.
func (a *Activator) waitForChange(ctx context.Context) error {
	if !a.watches() {
		a.waitToPoll(ctx)
		return a.read(ctx)
	}
	bound, cancel := context.WithTimeout(ctx, watchBound)
	defer cancel()
	a.metrics.storeReads.Inc(1)
	e, err := a.cfg.Store.Watch(bound, currentKey, a.lastRevision)
	if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	return a.follow(ctx, e)
}

// waitToPoll waits for the poll interval, which may shrink on the way.
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

// read reads bundle/current once and follows it.
func (a *Activator) read(ctx context.Context) error {
	bound, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	a.metrics.storeReads.Inc(1)
	e, err := a.cfg.Store.Get(bound, currentKey)
	if errors.Is(err, store.ErrNotFound) {
		a.learnFloor(0)
		return nil
	}
	if err != nil {
		return err
	}
	return a.follow(bound, e)
}

// follow puts the version that bundle/current names in force.
func (a *Activator) follow(ctx context.Context, e store.Entry) error {
	if e.Deleted {
		return fmt.Errorf("%s was deleted", currentKey)
	}
	var p Pointer
	if err := decodeValue(e.Value, &p); err != nil {
		return err
	}
	a.learnFloor(p.Version)
	if current := a.Current(); current == nil || current.Version < p.Version {
		if err := a.fetch(ctx, p); err != nil {
			return err
		}
	}
	a.lastRevision = max(a.lastRevision, e.Revision)
	return nil
}

// fetch reads the record of a version and puts it in force.
func (a *Activator) fetch(ctx context.Context, p Pointer) error {
	bound, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	a.metrics.storeReads.Inc(1)
	r, err := a.store.Version(bound, p.Version)
	if err != nil {
		return err
	}
	if r.Digest != p.Digest {
		return &DigestError{Want: p.Digest, Got: r.Digest}
	}
	packed, err := packRecord(r)
	if err != nil {
		return err
	}
	n, err := a.accept(r, packed)
	if err != nil {
		return err
	}
	if a.offer(n) {
		a.sendDigest(a.randomPeers())
	}
	return nil
}

// watches reports whether the local daemon is one of its region's watchers.
func (a *Activator) watches() bool {
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

// pollInterval grows with the number of daemons, so that the store's load does
// not. A daemon that hears of no other polls often.
func (a *Activator) pollInterval() time.Duration {
	a.mu.Lock()
	isolated := time.Since(a.heardAt) > isolatedAfter
	a.mu.Unlock()
	if isolated {
		return minPollInterval
	}
	n := time.Duration(len(a.cfg.Peers()))
	return max(minPollInterval, n*time.Second/pollsPerSecond)
}

// sleep waits between half of d and d.
func (a *Activator) sleep(ctx context.Context, d time.Duration) {
	pause(ctx, scale(d, a.jitter()))
}

// jitter returns a number between 0.5 and 1.
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

func packRecord(r *Record) (*GossipBody, error) {
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

func unpackRecord(body *GossipBody) (*Record, error) {
	if !bytes.HasPrefix(body.Record, gzipMagic) {
		return nil, errors.New("record is not compressed")
	}
	r := &Record{}
	if err := decodeValue(body.Record, r); err != nil {
		return nil, err
	}
	if r.Version != body.Version {
		return nil, fmt.Errorf("body of version %d holds version %d", body.Version, r.Version)
	}
	return r, nil
}
