package claims_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/store/storetest"
)

var (
	testKey    = claims.Key{Customer: "utility", Service: "permohonan-app", Token: "fee-17"}
	digestA    = sha256.Sum256([]byte("a"))
	digestB    = sha256.Sum256([]byte("b"))
	okResponse = claims.Response{Status: 200, ContentType: "text/plain", Body: []byte("posted")}
)

// fixture is an in-memory platform with claims services that share it.
type fixture struct {
	t     *testing.T
	store *storetest.Platform
	dead  map[string]bool
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, store: storetest.New(), dead: map[string]bool{}}
}

// daemon starts the claims service of a daemon and stops it when the test ends.
func (f *fixture) daemon(owner string, change ...func(*claims.Config)) *claims.Service {
	cfg := claims.Config{
		Store:      f.store,
		Owner:      owner,
		OwnerAlive: func(o string) bool { return !f.dead[o] },
	}
	for _, c := range change {
		c(&cfg)
	}
	s := claims.New(cfg)
	assert.NilError(f.t, s.Start(f.t.Context()))
	f.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx)
	})
	return s
}

func (f *fixture) begin(s *claims.Service, digest [32]byte, want claims.Verdict) claims.Attempt {
	f.t.Helper()
	a, err := s.Begin(f.t.Context(), testKey, digest)
	assert.NilError(f.t, err)
	assert.Equal(f.t, a.Verdict, want)
	return a
}

// inVirtualTime runs a test with a new fixture in a synctest bubble.
func inVirtualTime(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newFixture(t)) })
}

func TestRetryGetsTheRecordedResponse(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		one, two := f.daemon("d1"), f.daemon("d2")
		a := f.begin(one, digestA, claims.Run)
		assert.Assert(t, a.DispatchBy.After(time.Now()))
		f.begin(two, digestA, claims.InProgress)
		f.begin(two, digestB, claims.Mismatch)
		assert.NilError(t, one.Finish(t.Context(), a, okResponse))
		again := f.begin(two, digestA, claims.Replay)
		assert.Equal(t, again.Response.Status, 200)
		assert.Equal(t, string(again.Response.Body), "posted")
		sum := sha256.Sum256(okResponse.Body)
		assert.DeepEqual(t, again.Response.Digest, sum[:])
		f.begin(two, digestB, claims.Mismatch)
	})
}

func TestCallCostsTwoWritesAndNoRead(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1")
		a := f.begin(s, digestA, claims.Run)
		assert.NilError(t, s.Finish(t.Context(), a, okResponse))
		assert.Equal(t, f.store.Calls(storetest.OpCreate), 1)
		assert.Equal(t, f.store.Calls(storetest.OpSwap), 1)
		assert.Equal(t, f.store.TotalCalls(), 2)
	})
}

func TestLongResponseIsTruncatedAndMarked(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1")
		a := f.begin(s, digestA, claims.Run)
		body := bytes.Repeat([]byte("x"), claims.MaxRecordedBodyBytes+1)
		assert.NilError(t, s.Finish(t.Context(), a, claims.Response{Status: 200, Body: body}))
		again := f.begin(s, digestA, claims.Replay)
		assert.Assert(t, again.Response.Truncated)
		assert.Equal(t, len(again.Response.Body), claims.MaxRecordedBodyBytes)
		sum := sha256.Sum256(body)
		assert.DeepEqual(t, again.Response.Digest, sum[:])
	})
}

func TestAbandonedAttemptStaysUnknown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		one, two := f.daemon("d1"), f.daemon("d2")
		a := f.begin(one, digestA, claims.Run)
		assert.NilError(t, one.Abandon(t.Context(), a))
		f.begin(two, digestA, claims.Unknown)
		f.begin(one, digestA, claims.Unknown)
	})
}

func TestDeadOwnerMakesTheOutcomeUnknownUntilItRecords(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		one, two := f.daemon("d1"), f.daemon("d2")
		a := f.begin(one, digestA, claims.Run)
		f.dead["d1"] = true
		f.begin(two, digestA, claims.Unknown)
		assert.NilError(t, one.Finish(t.Context(), a, okResponse))
		f.begin(two, digestA, claims.Replay)
	})
}

func TestReleasedKeyRunsAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		one, two := f.daemon("d1"), f.daemon("d2")
		one.Release(f.begin(one, digestA, claims.Run))
		synctest.Wait()
		a := f.begin(two, digestB, claims.Run)
		f.begin(one, digestB, claims.InProgress)
		assert.NilError(t, two.Finish(t.Context(), a, okResponse))
		f.begin(one, digestB, claims.Replay)
	})
}

func TestStoreDownIsUnavailableAndLeavesNothing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1")
		f.store.SetDown(true)
		f.begin(s, digestA, claims.Unavailable)
		f.store.SetDown(false)
		f.begin(s, digestA, claims.Run)
	})
}

func TestStoreDownAfterAnExistingClaimWasSeenIsUndecided(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1")
		f.begin(s, digestA, claims.Run)
		f.store.FailNext(storetest.OpGet, 10, storetest.Unavailable)
		f.begin(s, digestA, claims.Undecided)
	})
}

func TestLostRepliesOfTheCreateAreSettled(t *testing.T) {
	faults := []storetest.Fault{
		storetest.ReplyLost, storetest.RequestLost, storetest.Late,
	}
	for _, fault := range faults {
		inVirtualTime(t, func(t *testing.T, f *fixture) {
			s := f.daemon("d1")
			f.store.FailNext(storetest.OpCreate, 1, fault)
			a := f.begin(s, digestA, claims.Run)
			time.Sleep(time.Minute)
			f.begin(s, digestA, claims.InProgress)
			assert.NilError(t, s.Finish(t.Context(), a, okResponse))
			f.begin(s, digestA, claims.Replay)
		})
	}
}

// An attempt whose create is delayed in the store and whose key cannot be read
// is undecided. Its create must not take effect later and block the key.
func TestUndecidedAttemptIsFencedAgainstItsLateCreate(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.store.SetLateBy(5 * time.Second)
		one, two := f.daemon("d1"), f.daemon("d2")
		f.store.FailNext(storetest.OpCreate, 1, storetest.Late)
		f.store.FailNext(storetest.OpGet, 3, storetest.Unavailable)
		f.begin(one, digestA, claims.Undecided)
		time.Sleep(time.Minute)
		f.begin(two, digestB, claims.Run)
	})
}

// A create that was sent twice may be applied again after the claim was
// released. It must fail on the released record and leave the key usable.
func TestLateDuplicateOfTheCreateDoesNotOutlastTheRelease(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.store.SetLateBy(5 * time.Second)
		s := f.daemon("d1")
		f.store.FailNext(storetest.OpCreate, 1, storetest.Late)
		s.Release(f.begin(s, digestA, claims.Run))
		time.Sleep(time.Minute)
		f.begin(s, digestB, claims.Run)
	})
}

// The create of an undecided attempt took effect, but its response was lost and
// the key could not be read back. The claim must be released in the background.
func TestUndecidedAttemptThatTookEffectIsWithdrawn(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		one, two := f.daemon("d1"), f.daemon("d2")
		f.store.FailNext(storetest.OpCreate, 1, storetest.ReplyLost)
		f.store.FailNext(storetest.OpGet, 3, storetest.Unavailable)
		f.begin(one, digestA, claims.Undecided)
		time.Sleep(time.Minute)
		f.begin(two, digestB, claims.Run)
	})
}

// The compare-and-swap of a released record is delayed in the store and the
// attempt is undecided. Its write must not take effect later and block the key.
func TestUndecidedSwapOfAReleasedClaimIsFenced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.store.SetLateBy(5 * time.Second)
		one, two := f.daemon("d1"), f.daemon("d2")
		one.Release(f.begin(one, digestA, claims.Run))
		synctest.Wait()
		f.store.FailNext(storetest.OpSwap, 1, storetest.Late)
		f.store.FailNext(storetest.OpGet, 1, storetest.NoFault)
		f.store.FailNext(storetest.OpGet, 3, storetest.Unavailable)
		f.begin(one, digestA, claims.Undecided)
		time.Sleep(time.Minute)
		f.begin(two, digestB, claims.Run)
	})
}

func TestOutcomeIsStoredAfterAnOutage(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1")
		a := f.begin(s, digestA, claims.Run)
		f.store.SetDown(true)
		assert.ErrorContains(t, s.Finish(t.Context(), a, okResponse), "not stored yet")
		time.Sleep(time.Hour)
		f.store.SetDown(false)
		time.Sleep(time.Minute)
		f.begin(s, digestA, claims.Replay)
	})
}

func TestStopWaitsForTheOutcome(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1")
		a := f.begin(s, digestA, claims.Run)
		f.store.SetDown(true)
		assert.ErrorContains(t, s.Finish(t.Context(), a, okResponse), "not stored yet")
		time.AfterFunc(10*time.Second, func() { f.store.SetDown(false) })
		assert.NilError(t, s.Stop(t.Context()))
		f.begin(f.daemon("d2"), digestA, claims.Replay)
	})
}

func TestStopReportsUnstoredWrites(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1")
		s.Release(f.begin(s, digestA, claims.Run))
		f.store.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s.Release(f.begin(s, digestA, claims.Unavailable))
		err := s.Stop(ctx)
		assert.ErrorContains(t, err, "1 claim writes are not stored")
	})
}

func TestIncompleteKeyIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		s := f.daemon("d1")
		_, err := s.Begin(t.Context(), claims.Key{Customer: "c", Service: "s"}, digestA)
		assert.ErrorContains(t, err, "no idempotency key")
		assert.Equal(t, f.store.TotalCalls(), 0)
	})
}

func TestStoreHoldsNoTokenInClear(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.begin(f.daemon("d1"), digestA, claims.Run)
		for key, e := range f.store.Snapshot() {
			stored := key + string(e.Value)
			assert.Assert(t, !strings.Contains(stored, testKey.Token))
			assert.Assert(t, !strings.Contains(stored, testKey.Customer))
		}
	})
}

func TestVerdictsAreCounted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		r := metrics.NewRegistry()
		s := f.daemon("d1", func(c *claims.Config) { c.Metrics = r })
		f.begin(s, digestA, claims.Run)
		f.begin(s, digestA, claims.InProgress)
		assert.Equal(t, r.Get("claims.verdict.run").(metrics.Counter).Count(), int64(1))
		assert.Equal(t, r.Get("claims.verdict.in_progress").(metrics.Counter).Count(), int64(1))
		assert.Equal(t, r.Get("claims.store.writes").(metrics.Counter).Count(), int64(2))
	})
}
