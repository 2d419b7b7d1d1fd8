package storetest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/store"
)

var (
	_ store.Store    = (*Platform)(nil)
	_ store.HostList = (*Platform)(nil)
)

// Platform is an in-memory store and host list with fault injection. It is safe
// for concurrent use.
type Platform struct {
	mu      sync.Mutex
	entries map[string]store.Entry
	// changed is closed and replaced at every change, to wake waiting watches.
	changed  chan struct{}
	revision store.Revision
	hosts    []hostsAt
	calls    map[Op]int
	observe  func(store.Entry)

	faults  faultPlan
	down    bool
	latency time.Duration
	lateBy  time.Duration
	hostLag time.Duration
}

// hostsAt is a host list and the time at which it was set.
type hostsAt struct {
	at    time.Time
	hosts []store.Host
}

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{
		entries: map[string]store.Entry{},
		changed: make(chan struct{}),
		calls:   map[Op]int{},
		faults:  newFaultPlan(),
		lateBy:  defaultLateBy,
	}
}

// Calls returns the number of calls of a type, including failed ones.
func (p *Platform) Calls(op Op) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[op]
}

// TotalCalls returns the number of calls of all types, including failed ones.
func (p *Platform) TotalCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.calls {
		n += c
	}
	return n
}

// ResetCalls sets the call counters to zero.
func (p *Platform) ResetCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.calls)
}

// Snapshot returns all entries by key. It does not count as a call.
func (p *Platform) Snapshot() map[string]store.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Collect(func(yield func(string, store.Entry) bool) {
		for k, e := range p.entries {
			if !e.Deleted && !yield(k, e) {
				return
			}
		}
	})
}

// Observe registers f to be called when a write takes effect, in the order of
// revisions. It replaces the previous function. f must not call the platform,
// whose lock is held.
func (p *Platform) Observe(f func(store.Entry)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe = f
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hostsAt{at: time.Now(), hosts: slices.Clone(hosts)})
}

// Hosts implements store.HostList.
func (p *Platform) Hosts(ctx context.Context) ([]store.Host, error) {
	if err := p.beginRead(ctx, OpHosts); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.laggedHosts()), nil
}

// laggedHosts returns the list that was current hostLag ago, or the oldest one
// if there was none.
func (p *Platform) laggedHosts() []store.Host {
	if len(p.hosts) == 0 {
		return nil
	}
	limit := time.Now().Add(-p.hostLag)
	found := 0
	for i, h := range p.hosts {
		if !h.at.After(limit) {
			found = i
		}
	}
	return p.hosts[found].hosts
}

// Get implements store.Store.
func (p *Platform) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := p.beginRead(ctx, OpGet); err != nil {
		return store.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(key)
}

func (p *Platform) get(key string) (store.Entry, error) {
	e, ok := p.entries[key]
	if !ok || e.Deleted {
		return store.Entry{}, store.ErrNotFound
	}
	return cloneEntry(e), nil
}

// List implements store.Store.
func (p *Platform) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := p.beginRead(ctx, OpList); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	found := []store.Entry{}
	for k, e := range p.entries {
		if strings.HasPrefix(k, prefix) && !e.Deleted {
			found = append(found, cloneEntry(e))
		}
	}
	slices.SortFunc(found, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Create implements store.Store.
func (p *Platform) Create(ctx context.Context, key string, value []byte) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	value = slices.Clone(value)
	return p.write(ctx, OpCreate, func() (store.Revision, error) {
		if _, err := p.get(key); err == nil {
			return 0, store.ErrExists
		}
		return p.put(store.Entry{Key: key, Value: value}), nil
	})
}

// CompareAndSwap implements store.Store.
func (p *Platform) CompareAndSwap(ctx context.Context, key string, rev store.Revision, value []byte) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	value = slices.Clone(value)
	return p.write(ctx, OpSwap, func() (store.Revision, error) {
		if err := p.checkRevision(key, rev); err != nil {
			return 0, err
		}
		return p.put(store.Entry{Key: key, Value: value}), nil
	})
}

// Delete implements store.Store.
func (p *Platform) Delete(ctx context.Context, key string, rev store.Revision) error {
	_, err := p.write(ctx, OpDelete, func() (store.Revision, error) {
		if err := p.checkRevision(key, rev); err != nil {
			return 0, err
		}
		return p.put(store.Entry{Key: key, Deleted: true}), nil
	})
	return err
}

func (p *Platform) checkRevision(key string, rev store.Revision) error {
	e, err := p.get(key)
	if err != nil {
		return err
	}
	if e.Revision != rev {
		return store.ErrConflict
	}
	return nil
}

func (p *Platform) put(e store.Entry) store.Revision {
	p.revision++
	e.Revision = p.revision
	p.entries[e.Key] = e
	if p.observe != nil {
		p.observe(cloneEntry(e))
	}
	p.notifyWatches()
	return e.Revision
}

func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Watch implements store.Store.
func (p *Platform) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	if err := p.beginRead(ctx, OpWatch); err != nil {
		return store.Entry{}, err
	}
	for {
		p.mu.Lock()
		down, changed := p.down, p.changed
		e, ok := p.entries[key]
		p.mu.Unlock()
		if down {
			return store.Entry{}, store.ErrUnavailable
		}
		if ok && e.Revision > after {
			return cloneEntry(e), nil
		}
		select {
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		case <-changed:
		}
	}
}

// begin counts a call and returns its injected fault and its latency.
func (p *Platform) begin(op Op) (Fault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[op]++
	if p.down {
		return Unavailable, 0
	}
	return p.faults.next(op), p.latency
}

func (p *Platform) beginRead(ctx context.Context, op Op) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	fault, latency := p.begin(op)
	if fault != NoFault {
		return store.ErrUnavailable
	}
	return sleep(ctx, latency)
}

// write runs apply under the lock, subject to the fault and latency of the
// call.
func (p *Platform) write(ctx context.Context, op Op, apply func() (store.Revision, error)) (store.Revision, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Join(store.ErrUnavailable, err)
	}
	fault, latency := p.begin(op)
	switch fault {
	case Unavailable:
		return 0, store.ErrUnavailable
	case RequestLost:
		return 0, outcomeUnknown(sleep(ctx, latency))
	case Late:
		p.applyAfter(p.lateDelay(), apply)
		return 0, outcomeUnknown(sleep(ctx, latency))
	}
	if latency > 0 {
		return p.writeSlowly(ctx, fault, latency, apply)
	}
	rev, err := p.applyNow(apply)
	if fault == ReplyLost {
		return 0, outcomeUnknown(nil)
	}
	return rev, err
}

// writeSlowly runs apply after half of the latency, even if ctx ends meanwhile.
func (p *Platform) writeSlowly(ctx context.Context, fault Fault, latency time.Duration, apply func() (store.Revision, error)) (store.Revision, error) {
	type result struct {
		rev store.Revision
		err error
	}
	applied := make(chan result, 1)
	time.AfterFunc(latency/2, func() {
		rev, err := p.applyNow(apply)
		applied <- result{rev, err}
	})
	if err := sleep(ctx, latency); err != nil {
		return 0, outcomeUnknown(err)
	}
	r := <-applied
	if fault == ReplyLost {
		return 0, outcomeUnknown(nil)
	}
	return r.rev, r.err
}

func (p *Platform) applyNow(apply func() (store.Revision, error)) (store.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return apply()
}

func (p *Platform) applyAfter(d time.Duration, apply func() (store.Revision, error)) {
	time.AfterFunc(d, func() { _, _ = p.applyNow(apply) })
}

func (p *Platform) lateDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lateBy
}

func outcomeUnknown(cause error) error {
	if cause == nil {
		return store.ErrOutcomeUnknown
	}
	return fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, cause)
}

func cloneEntry(e store.Entry) store.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
