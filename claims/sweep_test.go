package claims_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// fullRound is longer than one look at every shard.
const fullRound = 10 * time.Minute

func sweeping(retention time.Duration) func(*claims.Config) {
	return func(c *claims.Config) {
		c.Retention = func() time.Duration { return retention }
		c.Sweeps = func(string) bool { return true }
	}
}

func TestSweepRemovesWhatIsOlderThanTheRetention(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1", sweeping(time.Hour))
		a := f.begin(s, digestA, claims.Run)
		assert.NilError(t, s.Finish(t.Context(), a, okay))
		time.Sleep(50 * time.Minute)
		f.begin(s, digestA, claims.Replay)
		time.Sleep(10*time.Minute + fullRound)
		assert.Equal(t, len(f.store.Snapshot()), 0)
	})
}

func TestSweepKeepsAnUnfinishedClaimAsUnknownForAnotherRetention(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1", sweeping(time.Hour))
		a := f.begin(s, digestA, claims.Run)
		time.Sleep(59 * time.Minute)
		f.begin(s, digestA, claims.InProgress)
		time.Sleep(fullRound)
		assert.Assert(t, time.Now().After(a.DispatchBy))
		f.begin(s, digestA, claims.Unknown)
		assert.NilError(t, s.Finish(t.Context(), a, okay))
		f.begin(s, digestA, claims.Replay)
	})
}

func TestSweepRemovesReleasedClaimsSoon(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1", sweeping(time.Hour))
		s.Release(f.begin(s, digestA, claims.Run))
		time.Sleep(9 * time.Minute)
		assert.Equal(t, len(f.store.Snapshot()), 1)
		time.Sleep(time.Minute + fullRound)
		assert.Equal(t, len(f.store.Snapshot()), 0)
	})
}

func TestSweepReadsOneShardASecondWhateverTheNumberOfDaemons(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
		for _, name := range []string{"d0", "d1", "d2", "d3"} {
			f.daemon(name, func(c *claims.Config) {
				c.Sweeps = func(shard string) bool { return pick(shard) == name }
			})
		}
		time.Sleep(256*time.Second + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, f.store.Calls(storetest.OpList), 256)
	})
}

// pick spreads the shards over four daemons.
func pick(shard string) string {
	sum := 0
	for _, c := range shard {
		sum += int(c)
	}
	return "d" + string(rune('0'+sum%4))
}
