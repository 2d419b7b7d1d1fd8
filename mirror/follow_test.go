package mirror

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/store"
)

// fakeSource is a store that can be unavailable or compact its history.
type fakeSource struct {
	mu                sync.Mutex
	h                 history
	unavailable       bool
	compactedRevision store.Revision
	calls             int
}

var errUnavailable = errors.New("store is unavailable")

func (f *fakeSource) List(context.Context) ([]store.Entry, store.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.unavailable {
		return nil, 0, errUnavailable
	}
	return values(f.h.state(f.h.at())), f.h.at(), nil
}

func (f *fakeSource) Watch(ctx context.Context, after store.Revision) ([]store.Entry, store.Revision, error) {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	for range 25 { // platform.KV waits half a second.
		f.mu.Lock()
		unavailable, compacted, changes, at := f.unavailable, f.compactedRevision, f.h.log[after:], f.h.at()
		f.mu.Unlock()
		switch {
		case unavailable:
			return nil, 0, errUnavailable
		case after < compacted:
			return nil, 0, ErrCompacted
		case len(changes) > 0:
			return changes, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil, after, nil
}

func (f *fakeSource) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fakeSource) called() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func everyoneWatches() Watchers { return Watchers{Self: true} }

func quietLog() *log.Logger { return log.New(io.Discard) }

// maxApplyDelay is the maximum time until a change must be applied.
const maxApplyDelay = 2 * time.Second

func TestFollowerSeesChangesThroughOutagesAndLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &fakeSource{}
		c := NewCopy(func([]store.Entry, Status) {}, noRenewals)
		f := NewFollower(c, src, everyoneWatches, func() {}, quietLog(), metrics.NewRegistry())
		assert.NilError(t, f.Start(t.Context()))
		src.change(func() { src.h.put("a", "1") })
		time.Sleep(maxApplyDelay)
		assert.Equal(t, len(c.Records("a")), 1)
		assert.Assert(t, !c.Status().StoreUnavailable)

		src.change(func() { src.unavailable = true; src.h.put("b", "1"); src.h.remove("a") })
		time.Sleep(maxApplyDelay)
		assert.Assert(t, c.Status().StoreUnavailable)
		assert.Equal(t, len(c.Records("a")), 1, "an outage removes no records")

		src.change(func() { src.unavailable = false; src.compactedRevision = src.h.at() })
		time.Sleep(maxApplyDelay)
		assert.Assert(t, !c.Status().StoreUnavailable)
		assert.Equal(t, len(c.Records("a")), 0)
		assert.Equal(t, len(c.Records("b")), 1)
		assert.NilError(t, f.Stop(t.Context()))
	})
}

// TestHeartbeatsDoNotRaiseStoreCalls checks that the number of store calls does
// not grow with the heartbeats that servers write to the store.
func TestHeartbeatsDoNotRaiseStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &fakeSource{}
		c := NewCopy(func([]store.Entry, Status) {}, noRenewals)
		f := NewFollower(c, src, everyoneWatches, func() {}, quietLog(), metrics.NewRegistry())
		assert.NilError(t, f.Start(t.Context()))
		const seconds, writesPerSecond, callsPerSecond = 20, 50, 4
		for range seconds * writesPerSecond {
			src.change(func() { src.h.put("a", "beat") })
			time.Sleep(time.Second / writesPerSecond)
		}
		calls := src.called()
		assert.Assert(t, calls <= seconds*callsPerSecond, "%d calls in %d seconds", calls, seconds)
		assert.NilError(t, f.Stop(t.Context()))
	})
}

// TestCopyIsOldOnlyAfterAWatchAndARound guards against daemons that read the store although watchers keep their copies up to date,
// when a confirmation takes as long as it may.
func TestCopyIsOldOnlyAfterAWatchAndARound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCopy(func([]store.Entry, Status) {}, noRenewals)
		f := NewFollower(c, &fakeSource{}, func() Watchers { return Watchers{} }, func() {}, quietLog(), metrics.NewRegistry())
		c.Merge(nil, 1, confirmedAt(time.Now()))
		time.Sleep(500*time.Millisecond + watchPause + exchangeInterval + 50*time.Millisecond)
		assert.Assert(t, f.followsPeers())
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, !f.followsPeers(), "the store isn't read after watchers are lost")
	})
}
