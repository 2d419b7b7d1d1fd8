package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/policy"
	"github.com/jacinththread/jacinththread/store"
)

// ErrCompacted is returned by a Source whose history no longer reaches back to
// the revision asked for.
var ErrCompacted = errors.New("store no longer has the history asked for")

// Source reads the mirrored records from the store.
type Source interface {
	// List returns all records and the revision at which it began to read.
	List(ctx context.Context) ([]store.Entry, store.Revision, error)
	// Watch waits for changes after a revision and returns them with the
	// revision up to which they are complete. It returns ErrCompacted if the
	// history is gone.
	Watch(ctx context.Context, after store.Revision) ([]store.Entry, store.Revision, error)
}

const (
	// spacing is the pause between two watches. Servers write at every
	// heartbeat, so a watch without a pause would return for each of them; the
	// pause bounds the calls of a daemon at about three a second.
	spacing = 300 * time.Millisecond
	// retryMax bounds the pause after a failed call, so that the store's return
	// is noticed soon.
	retryMax = 500 * time.Millisecond
	// listTimeout bounds a read of all records.
	listTimeout = 2500 * time.Millisecond
	// followStale is how old the copy of a daemon that does not watch may get
	// before it reads the store itself: two rounds of an exchange, and a watch.
	followStale = 1800 * time.Millisecond
	// awayAfter is the number of failed calls in a row after which the store
	// counts as away: the first failure may be one broken connection.
	awayAfter = 2
)

// Watchers tells which daemons watch the store, so that the calls of a large
// fleet do not grow with it. The others learn from them.
type Watchers struct {
	// Self is set if the local daemon is one of them.
	Self bool
	// Others are the watchers besides the local daemon.
	Others []string
}

// Follower keeps a copy up to date from the store.
type Follower struct {
	copy     *Copy
	source   Source
	watchers func() Watchers
	log      *log.Logger
	cancel   context.CancelFunc
	done     chan struct{}

	lists, watches, failures metrics.Counter
}

// NewFollower returns a follower that has not started.
func NewFollower(c *Copy, source Source, watchers func() Watchers, logger *log.Logger, registry metrics.Registry) *Follower {
	return &Follower{
		copy: c, source: source, watchers: watchers, log: logger, done: make(chan struct{}),
		lists:    metrics.GetOrRegisterCounter("mirror.lists", registry),
		watches:  metrics.GetOrRegisterCounter("mirror.watches", registry),
		failures: metrics.GetOrRegisterCounter("mirror.failures", registry),
	}
}

// Start implements kernel.Service. It does not wait for the store.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx)
	return nil
}

// Stop implements kernel.Service.
func (f *Follower) Stop(context.Context) error {
	f.cancel()
	<-f.done
	return nil
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	rnd := rand.New(rand.NewPCG(rand.Uint64(), 0))
	listed, failed := false, 0
	for ctx.Err() == nil {
		if f.followsPeers() {
			sleep(ctx, spacing)
			continue
		}
		var err error
		if listed {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCompacted) {
			f.log.Warn("store dropped its history, reading all records", "revision", f.copy.Status().At)
			listed = false
			continue
		}
		if err != nil {
			failed++
			f.fail(err, failed)
			sleep(ctx, min(retryMax, policy.Backoff(failed, rnd)))
			continue
		}
		listed, failed = true, 0
		f.regained()
		sleep(ctx, spacing)
	}
}

// followsPeers reports whether peers keep the copy current enough.
func (f *Follower) followsPeers() bool {
	status := f.copy.Status()
	return status.At > 0 && time.Since(status.Updated) < followStale && !f.watchers().Self
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.lists.Inc(1)
	all, at, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.copy.Replace(all, at, time.Now())
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	f.watches.Inc(1)
	changes, at, err := f.source.Watch(ctx, f.copy.Status().At)
	if err != nil {
		return err
	}
	f.copy.Merge(changes, at, time.Now())
	return nil
}

func (f *Follower) fail(err error, failed int) {
	f.failures.Inc(1)
	if failed >= awayAfter && f.copy.SetAway(true, time.Now()) {
		f.log.Warn("store lost", "revision", f.copy.Status().At, "failed_calls", failed, "err", err)
	}
}

func (f *Follower) regained() {
	before := f.copy.Status()
	now := time.Now()
	if !f.copy.SetAway(false, now) {
		return
	}
	var lost time.Duration
	if !before.Since.IsZero() {
		lost = now.Sub(before.Since)
	}
	f.log.Info("store reached", "revision", before.At, "lost_ms", lost.Milliseconds())
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
