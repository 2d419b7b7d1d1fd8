package storetest

import (
	"context"
	"sync"

	"github.com/jacinththread/jacinththread/store"
)

var (
	_ store.Store    = (*Link)(nil)
	_ store.HostList = (*Link)(nil)
)

// Link is one client's connection to a Platform. It can fail independently of
// the platform.
type Link struct {
	p *Platform

	mu      sync.Mutex
	state   LinkState
	changed chan struct{}
}

// LinkState is the state of a Link.
type LinkState int

// States of a Link.
const (
	// LinkUp passes calls.
	LinkUp LinkState = iota
	// LinkDown fails new calls and waiting watches with ErrUnavailable.
	LinkDown
	// LinkSilent blocks calls until their context ends. Writes take no effect
	// and fail with ErrOutcomeUnknown.
	LinkSilent
)

// Link returns a new connection to the platform.
func (p *Platform) Link() *Link {
	return &Link{p: p, changed: make(chan struct{})}
}

// Set changes the state of the link. It affects new calls and waiting watches.
func (l *Link) Set(s LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) current() (LinkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// check returns nil if the link passes a new call. On a silent link it blocks
// until ctx ends.
func (l *Link) check(ctx context.Context, op Op) error {
	state, _ := l.current()
	switch {
	case state == LinkDown:
		return store.ErrUnavailable
	case state == LinkSilent:
		<-ctx.Done()
		if op.writes() {
			return outcomeUnknown(ctx.Err())
		}
		return ctx.Err()
	}
	return nil
}

// Get implements store.Store.
func (l *Link) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := l.check(ctx, OpGet); err != nil {
		return store.Entry{}, err
	}
	return l.p.Get(ctx, key)
}

// List implements store.Store.
func (l *Link) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := l.check(ctx, OpList); err != nil {
		return nil, err
	}
	return l.p.List(ctx, prefix)
}

// Create implements store.Store.
func (l *Link) Create(ctx context.Context, key string, value []byte) (store.Revision, error) {
	if err := l.check(ctx, OpCreate); err != nil {
		return 0, err
	}
	return l.p.Create(ctx, key, value)
}

// CompareAndSwap implements store.Store.
func (l *Link) CompareAndSwap(ctx context.Context, key string, rev store.Revision, value []byte) (store.Revision, error) {
	if err := l.check(ctx, OpSwap); err != nil {
		return 0, err
	}
	return l.p.CompareAndSwap(ctx, key, rev, value)
}

// Delete implements store.Store.
func (l *Link) Delete(ctx context.Context, key string, rev store.Revision) error {
	if err := l.check(ctx, OpDelete); err != nil {
		return err
	}
	return l.p.Delete(ctx, key, rev)
}

// Hosts implements store.HostList.
func (l *Link) Hosts(ctx context.Context) ([]store.Host, error) {
	if err := l.check(ctx, OpHosts); err != nil {
		return nil, err
	}
	return l.p.Hosts(ctx)
}

// Watch implements store.Store. If the link goes down while the watch is
// waiting, it returns ErrUnavailable. If the link becomes silent, it blocks
// until ctx ends.
func (l *Link) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	if err := l.check(ctx, OpWatch); err != nil {
		return store.Entry{}, err
	}
	_, change := l.current()
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-change:
			cancel()
		case <-stop:
		}
	}()
	e, err := l.p.Watch(inner, key, after)
	if inner.Err() == nil || ctx.Err() != nil {
		return e, err
	}
	if err := l.check(ctx, OpWatch); err != nil {
		return store.Entry{}, err
	}
	return store.Entry{}, store.ErrUnavailable
}
