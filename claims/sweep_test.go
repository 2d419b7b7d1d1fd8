package claims_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// fullSweep exceeds the time of one sweep over all 256 shards, one a second.
const fullSweep = 10 * time.Minute

func withSweep(retention time.Duration) func(*claims.Config) {
	return func(c *claims.Config) {
		c.Retention = func() time.Duration { return retention }
		c.SweepsShard = func(string) bool { return true }
	}
}

func TestSweepRemovesExpiredClaims(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1", withSweep(time.Hour))
		a := f.begin(s, digestA, claims.Run)
		assert.NilError(t, s.Finish(t.Context(), a, okResponse))
		time.Sleep(50 * time.Minute)
		f.begin(s, digestA, claims.Replay)
		time.Sleep(10*time.Minute + fullSweep)
		assert.Equal(t, len(f.store.Snapshot()), 0)
	})
}

func TestSweepKeepsAnUnfinishedClaimAsUnknownForAnotherRetention(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1", withSweep(time.Hour))
		a := f.begin(s, digestA, claims.Run)
		time.Sleep(59 * time.Minute)
		f.begin(s, digestA, claims.InProgress)
		time.Sleep(fullSweep)
		assert.Assert(t, time.Now().After(a.DispatchBy))
		f.begin(s, digestA, claims.Unknown)
		assert.NilError(t, s.Finish(t.Context(), a, okResponse))
		f.begin(s, digestA, claims.Replay)
	})
}

func TestSweepRemovesReleasedClaimsSoon(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1", withSweep(time.Hour))
		s.Release(f.begin(s, digestA, claims.Run))
		time.Sleep(9 * time.Minute)
		assert.Equal(t, len(f.store.Snapshot()), 1)
		time.Sleep(time.Minute + fullSweep)
		assert.Equal(t, len(f.store.Snapshot()), 0)
	})
}

func TestSweepReadsOneShardASecondWhateverTheNumberOfDaemons(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		for _, name := range []string{"d0", "d1", "d2", "d3"} {
			f.daemon(name, func(c *claims.Config) {
				c.SweepsShard = func(shard string) bool { return sweeperOf(shard) == name }
			})
		}
		time.Sleep(256*time.Second + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, f.store.Calls(storetest.OpList), 256)
	})
}

// sweeperOf assigns each shard to one of four daemons.
func sweeperOf(shard string) string {
	sum := 0
	for _, c := range shard {
		sum += int(c)
	}
	return "d" + string(rune('0'+sum%4))
}
