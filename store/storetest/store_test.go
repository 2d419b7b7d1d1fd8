package storetest_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/storetest"
	"gotest.tools/v3/assert"
)

func TestWritesAreConditional(t *testing.T) {
	ctx, p := t.Context(), storetest.New()
	rev, err := p.Create(ctx, "a", []byte("1"))
	assert.NilError(t, err)
	_, err = p.Create(ctx, "a", []byte("2"))
	assert.ErrorIs(t, err, store.ErrExists)
	next, err := p.CompareAndSwap(ctx, "a", rev, []byte("2"))
	assert.NilError(t, err)
	assert.Assert(t, next > rev)
	_, err = p.CompareAndSwap(ctx, "a", rev, []byte("3"))
	assert.ErrorIs(t, err, store.ErrConflict)
	assert.ErrorIs(t, p.Delete(ctx, "a", rev), store.ErrConflict)
	assert.NilError(t, p.Delete(ctx, "a", next))
	_, err = p.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	again, err := p.Create(ctx, "a", nil)
	assert.NilError(t, err)
	assert.Assert(t, again > next)
	_, err = p.Create(ctx, "big", make([]byte, store.MaxValueBytes+1))
	assert.ErrorIs(t, err, store.ErrTooLarge)
	assert.Equal(t, p.Calls(storetest.OpSwap), 2)
}

func TestFaultsOfWrites(t *testing.T) {
	for _, c := range []struct {
		fault              storetest.Fault
		err                error
		atOnce, eventually bool
	}{
		{storetest.Unavailable, store.ErrUnavailable, false, false},
		{storetest.ReplyLost, store.ErrOutcomeUnknown, true, true},
		{storetest.RequestLost, store.ErrOutcomeUnknown, false, false},
		{storetest.Late, store.ErrOutcomeUnknown, false, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := storetest.New()
			p.FailNext(storetest.OpCreate, 1, c.fault)
			_, err := p.Create(t.Context(), "a", nil)
			assert.ErrorIs(t, err, c.err)
			_, err = p.Get(t.Context(), "a")
			assert.Equal(t, err == nil, c.atOnce)
			time.Sleep(2 * time.Second)
			_, err = p.Get(t.Context(), "a")
			assert.Equal(t, err == nil, c.eventually)
		})
	}
}

func TestSlowWriteTakesEffectAfterItsContextEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := storetest.New()
		p.SetLatency(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := p.Create(ctx, "a", nil)
		assert.ErrorIs(t, err, store.ErrOutcomeUnknown)
		_, err = p.Get(t.Context(), "a")
		assert.NilError(t, err)
	})
}

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := storetest.New()
		link := p.Link()
		type result struct {
			e   store.Entry
			err error
		}
		watch := func(after store.Revision) <-chan result {
			ch := make(chan result, 1)
			go func() {
				e, err := link.Watch(t.Context(), "a", after)
				ch <- result{e, err}
			}()
			synctest.Wait()
			return ch
		}
		ch := watch(0)
		rev, err := p.Create(t.Context(), "a", []byte("1"))
		assert.NilError(t, err)
		assert.Equal(t, string((<-ch).e.Value), "1")

		ch = watch(rev)
		assert.NilError(t, p.Delete(t.Context(), "a", rev))
		assert.Assert(t, (<-ch).e.Deleted)

		ch = watch(p.Snapshot()["a"].Revision + 100)
		p.SetDown(true)
		assert.ErrorIs(t, (<-ch).err, store.ErrUnavailable)
		p.SetDown(false)

		ch = watch(100)
		link.Set(storetest.LinkDown)
		assert.ErrorIs(t, (<-ch).err, store.ErrUnavailable)
	})
}

func TestSilentLinkHangsUntilTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := storetest.New().Link()
		link.Set(storetest.LinkSilent)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := link.Get(ctx, "a")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := storetest.New()
		p.SetHostLag(3 * time.Second)
		p.SetHosts([]store.Host{{Name: "a"}})
		time.Sleep(5 * time.Second)
		p.SetHosts(nil)
		time.Sleep(2 * time.Second)
		hosts, err := p.Hosts(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(hosts), 1)
		time.Sleep(2 * time.Second)
		hosts, err = p.Hosts(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(hosts), 0)
	})
}

func TestRandomFaultsFollowTheSeed(t *testing.T) {
	run := func(seed uint64) (failed int) {
		p := storetest.New()
		p.SetRandomFaults(storetest.RandomFaults{Seed: seed, Unavailable: 0.3})
		for range 1000 {
			if _, err := p.List(t.Context(), ""); err != nil {
				failed++
			}
		}
		return failed
	}
	assert.Equal(t, run(7), run(7))
	assert.Assert(t, run(7) > 200 && run(7) < 400)
}
