package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/internal/pause"
	"github.com/jacinththread/jacinththread/policy"
	"github.com/jacinththread/jacinththread/store"
)

// ErrCompacted is returned by a Source when its history no longer contains the
// changes after the requested revision.
var ErrCompacted = errors.New("store has compacted the changes after the requested revision")

// Source reads the mirrored records from the store.
type Source interface {
	// List returns all records and the revision at which the read began.
	List(ctx context.Context) ([]store.Entry, store.Revision, error)
	// Watch waits for changes after a revision and returns them with the
	// revision up to which they are complete. It returns ErrCompacted if the
	// changes after the given revision are no longer available, which includes that the
	// store came back from an older copy.
	Watch(ctx context.Context, after store.Revision) ([]store.Entry, store.Revision, error)
}

const (
	// watchPause is the pause between two calls. Servers write at every heartbeat,
	// so consecutive watches without a pause would return for each of them. The
	// pause limits a daemon to about three calls per second.
	watchPause = 300 * time.Millisecond
	// maxRetryPause limits the pause after a failed call, so that the daemon
	// notices soon when the store is available again.
	maxRetryPause = 500 * time.Millisecond
	// listTimeout limits a read of all records.
	listTimeout = 2500 * time.Millisecond
	// watchTime is how long a watch takes while nothing changes.
	watchTime = 500 * time.Millisecond
	// messageTime is what the calls and messages by which a copy is confirmed may take on their way.
	messageTime = 100 * time.Millisecond
	// maxFollowAge is the maximum age of the copy on a daemon that does not
	// watch the store, before it reads the store itself: a watcher's copy is
	// confirmed after each watch, that of others a round later.
	maxFollowAge = watchTime + watchPause + exchangeInterval + messageTime
	// turnPerDaemon times the number of live daemons is the time over which daemons that don't watch the store
	// spread their calls while their copies are out of date, up to maxTurn. It bounds the calls of all of them together to
	// a store that is already in trouble.
	turnPerDaemon = 10 * time.Millisecond
	maxTurn       = 2 * time.Second
	// turnStep is the time after which a waiting daemon looks whether it still has to wait.
	turnStep = 100 * time.Millisecond
	// heardPeersWithin is the age of the last response of a peer from which a daemon counts as cut off from its peers.
	heardPeersWithin = time.Second
	// unavailableAfter is the number of consecutive failed calls after which the
	// store counts as unavailable. The first failure may be a single broken
	// connection.
	unavailableAfter = 2
)

// Watchers lists the daemons that watch the store. The other daemons receive
// changes from them, so that the number of store calls does not grow with the
// fleet.
type Watchers struct {
	// Self is set if the local daemon is a watcher.
	Self bool
	// Others are the watchers besides the local daemon.
	Others []string
	// Daemons is the number of live daemons, watchers or not.
	Daemons int
}

// Follower updates a copy from the store: it lists all records once and then
// watches for changes.
type Follower struct {
	copy     *Copy
	source   Source
	watchers func() Watchers
	// announce tells other daemons that the copy has new records.
	announce func()
	log      *log.Logger
	cancel   context.CancelFunc
	done     chan struct{}
	rnd      *rand.Rand
	// readAt is when the local daemon last read the store.
	readAt time.Time

	lists, watches, failures metrics.Counter
}

// NewFollower returns a follower that has not started. It calls announce when a daemon that is
// no watcher, whose peers therefore don't ask it in particular, has read new records.
func NewFollower(c *Copy, source Source, watchers func() Watchers, announce func(), logger *log.Logger, registry metrics.Registry) *Follower {
	return &Follower{
		copy: c, source: source, watchers: watchers, announce: announce, log: logger, done: make(chan struct{}),
		rnd:      rand.New(rand.NewPCG(rand.Uint64(), 0)),
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
	listed, failed := false, 0
	for ctx.Err() == nil {
		if f.followsPeers() {
			if failed > 0 {
				failed = 0
				f.recordAvailable()
			}
			pause.For(ctx, watchPause)
			continue
		}
		f.awaitTurn(ctx, f.rnd.Float64())
		if ctx.Err() != nil || f.followsPeers() {
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
			f.log.Warn("store history was compacted, listing all records", "revision", f.copy.Status().Revision)
			listed = false
			continue
		}
		if err != nil {
			failed++
			f.recordFailure(err, failed)
			pause.For(ctx, min(maxRetryPause, policy.Backoff(failed, f.rnd)))
			f.awaitTurn(ctx, 1)
			continue
		}
		listed, failed, f.readAt = true, 0, time.Now()
		f.recordAvailable()
		pause.For(ctx, watchPause)
	}
}

// followsPeers reports whether the local daemon is no watcher and its copy, kept
// up to date by peers, is younger than maxFollowAge.
func (f *Follower) followsPeers() bool {
	status := f.copy.Status()
	return status.Revision > 0 && time.Since(status.Updated) < maxFollowAge && !f.watchers().Self
}

// turn returns the time over which the local daemon and others like it spread their calls to the store, or zero if it
// calls without delay: as a watcher, after a call that the store answered, without a copy or without contact to peers.
// Peers that answer have older copies too, or they would have brought the local one up to date.
func (f *Follower) turn() time.Duration {
	watchers, status := f.watchers(), f.copy.Status()
	if watchers.Self || status.Revision == 0 || time.Since(f.readAt) < 2*maxFollowAge || time.Since(status.PeerHeard) > heardPeersWithin {
		return 0
	}
	return min(maxTurn, time.Duration(watchers.Daemons)*turnPerDaemon)
}

// awaitTurn waits for a share of the turn, or until the copy is up to date or the daemon is to call without delay.
func (f *Follower) awaitTurn(ctx context.Context, share float64) {
	end := time.Now().Add(time.Duration(share * float64(f.turn())))
	for ctx.Err() == nil && time.Now().Before(end) && f.turn() > 0 && !f.followsPeers() {
		pause.For(ctx, min(turnStep, time.Until(end)))
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.lists.Inc(1)
	asOf := time.Now()
	all, at, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.recordChange(f.copy.Replace(all, at, confirmedAt(asOf)))
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	f.watches.Inc(1)
	changes, at, err := f.source.Watch(ctx, f.copy.Status().Revision)
	if err != nil {
		return err
	}
	f.recordChange(f.copy.Merge(changes, at, confirmedAt(time.Now())))
	return nil
}

// recordChange announces new records that the store has told a daemon that is no watcher.
func (f *Follower) recordChange(changed bool) {
	if changed && !f.watchers().Self {
		f.announce()
	}
}

func (f *Follower) recordFailure(err error, failed int) {
	f.failures.Inc(1)
	if failed >= unavailableAfter && f.copy.SetStoreUnavailable(true, time.Now()) {
		f.log.Warn("store lost", "revision", f.copy.Status().Revision, "failed_calls", failed, "err", err)
	}
}

// recordAvailable records that the local daemon read the store, or that a peer did
// on its behalf.
func (f *Follower) recordAvailable() {
	before := f.copy.Status()
	now := time.Now()
	if !f.copy.SetStoreUnavailable(false, now) {
		return
	}
	var lost time.Duration
	if !before.StoreStateSince.IsZero() {
		lost = now.Sub(before.StoreStateSince)
	}
	f.log.Info("store available again", "revision", before.Revision, "lost_ms", lost.Milliseconds())
}
